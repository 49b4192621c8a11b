/// @file
/// Messages of the service "pool", which owns the idle connections to the upstreams on this host.
///
/// Ownership of a connection passes to the session that requested it and back. A connection that is destroyed anywhere
/// notifies the pool (see node/upstream_connection.h), so that the pool's count of used connections stays correct.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "kernel/mailbox.h"

namespace heatherdeck {

class upstream_connection;  // node/upstream_connection.h
using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

/// Sent by the pool to itself every second: closes connections that are stale or idle for too long.
struct pool_tick {};

/// Requests a connection. Errors: `refused` (the upstream does not run), `timeout`, `overloaded` (all connections to
/// the target are in use, or it has just rejected the request), `unreachable` (any other failure, which says nothing
/// about whether the upstream runs). After an error nothing has been sent to the upstream.
struct acquire_connection {
  std::string upstream_address;  ///< "ip:port"
  bool non_idempotent = true;    ///< excludes connections that were idle for too long to be safe
  duration timeout{};            ///< for establishing a connection
  reply<upstream_connection_ptr> answer;
  bool fresh = false;      ///< only a new connection will do
  std::string request_id;  ///< excludes connections on which the upstream has rejected or failed this request
};

/// Returns a connection, or reports that it was closed.
struct release_connection {
  std::string upstream_address;
  upstream_connection_ptr connection;  ///< null: closed
};

/// Sent by "announcements": the number of connections that the target accepts; 0: the target has been withdrawn.
struct set_connection_limit {
  std::string upstream_address;
  std::uint32_t limit = 0;
};

using pool_message = std::variant<pool_tick, acquire_connection, release_connection, set_connection_limit>;

}  // namespace heatherdeck

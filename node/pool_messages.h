/// @file
/// Messages of the service "pool", which owns the idle connections to the upstream on this host.
///
/// A connection moves to the session that asked for it and back; in between nobody else holds it. Its destruction
/// anywhere tells the pool that it is closed (see node/upstream_connection.h), so no slot is lost.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "kernel/mailbox.h"

namespace heatherdeck {

class upstream_connection;  // node/upstream_connection.h
using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

struct pool_tick {};

/// Errors: `unreachable`, `timeout`, `overloaded` (the target's connections are all in use). Nothing has been sent.
struct acquire_connection {
  std::string upstream_address;  ///< "ip:port"
  bool non_idempotent = true;    ///< the request may not be repeated: no connection that was idle for long
  duration timeout{};            ///< for connecting
  reply<upstream_connection_ptr> answer;
};

/// Gives a connection back.
struct release_connection {
  std::string upstream_address;
  upstream_connection_ptr connection;  ///< null: it was closed
};

/// Sent by `announcements`: how many connections the target accepts; zero when the target has left.
struct set_connection_limit {
  std::string upstream_address;
  std::uint32_t limit = 0;
};

using pool_message = std::variant<pool_tick, acquire_connection, release_connection, set_connection_limit>;

}  // namespace heatherdeck

/// @file
/// A connection to an upstream on this host, owned alternately by the pool and by a session.
///
/// While a session holds the connection, it is leased from the pool: destroying it, for whatever reason, notifies the
/// pool that it is closed. A session that wants to keep it open returns it:
///
///     return_to_pool(std::move(connection));
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "node/h1_stream.h"
#include "node/pool_messages.h"

namespace heatherdeck {

/// Unsuccessful requests that are remembered for one connection, which is closed when it has as many.
inline constexpr std::size_t max_unsuccessful_ids = 32;

class upstream_connection {
 public:
  upstream_connection(tcp_socket socket, std::string upstream_address)
      : stream(std::move(socket)), address_(std::move(upstream_address)) {}
  upstream_connection(const upstream_connection&) = delete;
  upstream_connection& operator=(const upstream_connection&) = delete;
  ~upstream_connection() { set_lease({}); }

  h1_stream stream;
  time_point idle_since{};  ///< last return to the pool
  bool reused = false;      ///< has carried an exchange before

  /// Records that the upstream has rejected or failed a request on this connection, so that it may be sent again. It
  /// must not be sent on this connection: a late copy of the response could not be told from the one to the later
  /// attempt.
  void add_unsuccessful_id(std::string request_id) { unsuccessful_ids_.push_back(std::move(request_id)); }
  /// @return whether the upstream has rejected or failed the request on this connection.
  bool was_unsuccessful(const std::string& request_id) const {
    return std::find(unsuccessful_ids_.begin(), unsuccessful_ids_.end(), request_id) != unsuccessful_ids_.end();
  }
  /// @return whether the connection must not be reused, because no further request could be remembered.
  bool unsuccessful_ids_full() const { return unsuccessful_ids_.size() >= max_unsuccessful_ids; }

  /// Called by the pool when it hands out the connection. An empty address ends the current lease, which notifies the
  /// pool that the connection is closed.
  void set_lease(address<pool_message> pool) {
    if (const auto previous_pool = std::exchange(pool_, std::move(pool)))
      previous_pool.post(release_connection{address_, nullptr});
  }

 private:
  friend void return_to_pool(upstream_connection_ptr connection);

  std::string address_;
  address<pool_message> pool_;
  std::vector<std::string> unsuccessful_ids_;
};

/// Returns an open connection to the pool after a complete exchange.
inline void return_to_pool(upstream_connection_ptr connection) {
  const address<pool_message> pool = std::exchange(connection->pool_, {});
  const std::string upstream_address = connection->address_;
  // The message contains no address of its own mailbox, so messages left in a closed mailbox are freed with it.
  if (pool) pool.post(release_connection{upstream_address, std::move(connection)});
}

}  // namespace heatherdeck

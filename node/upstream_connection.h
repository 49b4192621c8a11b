/// @file
/// A connection to the upstream on this host, as it moves between the pool and a session.
///
/// The connection carries the pool's claim on it: whoever destroys it, for whatever reason, thereby tells the pool that
/// it is closed. A session that wants to keep it open gives it back:
///
///     return_to_pool(std::move(connection));
#pragma once

#include <string>
#include <utility>

#include "node/h1_stream.h"
#include "node/pool_messages.h"

namespace heatherdeck {

class upstream_connection {
 public:
  upstream_connection(tcp_socket socket, std::string upstream_address)
      : stream(std::move(socket)), address_(std::move(upstream_address)) {}
  upstream_connection(const upstream_connection&) = delete;
  upstream_connection& operator=(const upstream_connection&) = delete;
  ~upstream_connection() { set_lease({}); }

  h1_stream stream;
  time_point idle_since{};
  bool reused = false;  ///< has carried an exchange before

  /// Called by the pool when the connection goes out; an empty address ends the present lease.
  void set_lease(address<pool_message> pool) {
    if (const auto previous_pool = std::exchange(pool_, std::move(pool)))
      previous_pool.post(release_connection{address_, nullptr});
  }

 private:
  friend void return_to_pool(upstream_connection_ptr connection);

  std::string address_;
  address<pool_message> pool_;
};

/// Returns an open connection on which a whole exchange has ended to the pool.
inline void return_to_pool(upstream_connection_ptr connection) {
  const address<pool_message> pool = std::exchange(connection->pool_, {});
  const std::string upstream_address = connection->address_;
  // The message holds no address of its own mailbox, so messages left in a closed mailbox are freed with it.
  if (pool) pool.post(release_connection{upstream_address, std::move(connection)});
}

}  // namespace heatherdeck

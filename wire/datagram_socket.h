/// @file
/// A UDP socket whose datagrams are authenticated with the mesh key (truncated HMAC-SHA256); used by the directory
/// service for gossip.
///
///     BOOST_LEAF_AUTO(socket, datagram_socket::make(k.executor(), "10.0.0.3:7001", key));
///     socket->send("10.0.0.4:7001", payload);
///     auto got = co_await socket->receive();      // datagrams without a valid MAC are dropped and counted
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "kernel/mailbox.h"

namespace heatherdeck {

struct datagram {
  std::string from;  ///< "ip:port"
  std::string payload;
};

class datagram_socket {
 public:
  /// @param listen "ip:port"; with port 0 the system chooses a free port.
  /// @param key the mesh key.
  static result<std::unique_ptr<datagram_socket>> make(executor_type executor, const std::string& listen,
                                                       std::string key);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  /// Sends without waiting; a datagram that is too long or that the kernel does not accept is dropped and counted.
  /// @param to "ip:port".
  void send(const std::string& to, std::string payload);

  /// Waits for the next datagram with a valid MAC; fails with `closed` after `close`.
  awaitable<outcome<datagram>> receive();

  void close();
  std::uint16_t port() const;

  struct counters {
    std::uint64_t sent = 0;  ///< datagrams, as are the other counters except sent_bytes
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t refused = 0;  ///< received without a valid MAC
    std::uint64_t dropped = 0;  ///< not sent: bad address, too long, or rejected by the kernel
  };
  const counters& counts() const;

 private:
  struct state;
  explicit datagram_socket(std::shared_ptr<state> s);
  std::shared_ptr<state> state_;
};

}  // namespace heatherdeck

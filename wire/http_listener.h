/// @file
/// An HTTP/1.1 listener for small APIs (Beast); requests and answers are held whole.
///
///     BOOST_LEAF_AUTO(listener, http_listener::make(k, "127.0.0.1:9901", [this](http_request r) { return
///     serve(std::move(r)); }));
///
/// One task per connection. Limits: 16 KiB of headers, 8 MiB of body, 256 connections, 60 s idle.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "kernel/kernel.h"
#include "wire/http_message.h"

namespace heatherdeck {

class http_listener {
 public:
  /// Opens the port and begins to serve.
  /// @param listen "ip:port"; port 0 takes a free one.
  /// @return the listener, or `bad_settings` or `unreachable` when the address cannot be used.
  static result<std::unique_ptr<http_listener>> make(kernel& k, const std::string& listen, http_handler handler);

  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  /// @return the port that is listened on.
  std::uint16_t port() const;

  /// Closes the port and all connections.
  void stop();

 private:
  struct state;
  explicit http_listener(std::shared_ptr<state> s);
  std::shared_ptr<state> state_;
};

}  // namespace heatherdeck

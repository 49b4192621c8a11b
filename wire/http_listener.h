/// @file
/// An HTTP/1.1 server for small APIs (Beast): admin, operators, configuration and announcements. Requests and responses
/// are buffered completely.
///
///     BOOST_LEAF_AUTO(listener, http_listener::make(k, "127.0.0.1:9901", [this](http_request r) { return
///     serve(std::move(r)); }));
///
/// One task per connection. Limits: 16 KiB of headers, 8 MiB of body, 256 connections, 60 s to receive a request or
/// send a response; a handler may take longer.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "kernel/kernel.h"
#include "wire/http_message.h"

namespace heatherdeck {

class http_listener {
 public:
  /// Opens the port and starts to serve requests.
  /// @param listen "ip:port"; with port 0 the system chooses a free port.
  /// @return the listener; `usage` if the address is malformed, `bad_settings` if it cannot be bound.
  static result<std::unique_ptr<http_listener>> make(kernel& k, const std::string& listen, http_handler handler);

  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  /// @return the local port; 0 after `stop`.
  std::uint16_t port() const;

  /// Closes the port and waits until the requests that were read have been answered, or until `stop`.
  awaitable<void> drain();

  /// Closes the port and all connections; pending requests get no response.
  void stop();

 private:
  struct state;
  explicit http_listener(std::shared_ptr<state> s);
  std::shared_ptr<state> state_;
};

}  // namespace heatherdeck

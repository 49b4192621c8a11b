/// @file
/// A second node for tests of calls over two nodes, with the real mesh between them.
///
///     second_node second(echo_upstream);
///     proxy_harness first(echo_upstream, 60s, true);
///     route_to(first, second);
#pragma once

#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "testing/proxy_harness.h"

namespace heatherdeck {

/// A second node that runs on its own thread; its state may be read after `join`.
class second_node {
 public:
  /// @param dialect of the upstream.
  explicit second_node(upstream_script script, const http_dialect& dialect = native_dialect())
      : harness(std::move(script), std::chrono::seconds(60), true, dialect) {
    thread_ = std::thread([this] { harness.k.io().run(); });
  }
  second_node(const second_node&) = delete;
  second_node& operator=(const second_node&) = delete;
  ~second_node() { join(); }

  void post(std::function<void()> function) { boost::asio::post(harness.k.io(), std::move(function)); }
  void join() {
    if (!thread_.joinable()) return;
    // Waits until the last choice has been finished, which happens after the response.
    auto settle = [this]() -> awaitable<void> {
      (void)co_await eventually(harness.k, [this] { return harness.traffic->open_picks == 0; });
      harness.k.io().stop();
    };
    boost::asio::co_spawn(harness.k.io(), settle, boost::asio::detached);
    thread_.join();
  }

  proxy_harness harness;

 private:
  std::thread thread_;
};

/// Makes the first node choose the upstream of the second node.
inline void route_to(proxy_harness& first, const second_node& second) {
  first.choice.local = false;
  first.choice.mesh_address = "127.0.0.1:" + std::to_string(second.harness.mesh->port());
  first.choice.locality = locality_class::zone;
}

}  // namespace heatherdeck

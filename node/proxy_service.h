/// @file
/// The service "proxy": accepts callers' connections and calls from other nodes.
///
///     BOOST_LEAF_AUTO(proxy, proxy_service::make(settings));
///     k.add(std::move(proxy));
///
/// Listens on `caller_listen` and receives incoming mesh streams of kind `call`. Each connection and each stream is
/// served by a task of its own; the service only counts them. Requires "traffic" and "pool"; uses "mesh" and
/// "directory" if they run in the process. `drain` announces that the process is shutting down, continues to accept
/// callers for half of stop_grace, because they notice the readiness change only after some time, and then waits for
/// all sessions to end.
#pragma once

#include <cstdint>
#include <memory>

#include "kernel/kernel.h"
#include "model/settings.h"
#include "node/dialect.h"

namespace heatherdeck {

class proxy_service : public service {
 public:
  /// @param s uses id, caller_listen, caller_service and stop_grace.
  /// @param dialect of callers and upstreams; outlives the service.
  static result<std::unique_ptr<service>> make(const settings& s, const http_dialect& dialect = native_dialect());
  ~proxy_service() override;

  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  std::vector<std::string_view> optional_dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  awaitable<void> drain() override;
  /// @return false once the drain has begun.
  bool ready() const override;
  void stop() override;
  boost::json::value dump() const override;

  /// Connections without progress are closed after this time; the default is 60 s. Call before `start`.
  void set_idle_timeout(duration timeout) { idle_timeout_ = timeout; }

  /// @return the port that callers connect to; valid after `start`.
  std::uint16_t port() const;

 private:
  struct state;
  proxy_service(const settings& s, const http_dialect& dialect);

  std::string listen_;
  std::string node_id_;
  std::string caller_service_;
  const http_dialect* dialect_;
  duration idle_timeout_ = std::chrono::seconds(60);
  duration accept_while_draining_;
  duration stop_notice_;
  duration drain_limit_;
  std::shared_ptr<state> state_;
};

}  // namespace heatherdeck

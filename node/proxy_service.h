/// @file
/// The service "proxy": callers' connections and calls from other nodes.
///
///     BOOST_LEAF_AUTO(proxy, proxy_service::make(settings));
///     k.add(std::move(proxy));
///
/// Listens on `caller_listen` and takes incoming streams of kind `call`. Each connection and stream has a task of its
/// own; the service only counts them. Needs "traffic" and "pool"; uses "mesh" and "directory" when they run.
/// `drain` announces that the process is leaving, goes on to accept callers for half of stop_grace, since they learn
/// from the readiness only after some time, and then waits for all sessions.
#pragma once

#include <cstdint>
#include <memory>

#include "kernel/kernel.h"
#include "model/settings.h"
#include "node/dialect.h"

namespace heatherdeck {

class proxy_service : public service {
 public:
  /// @param s uses id, caller_listen and caller_service.
  /// @param spoken by callers and upstreams; outlives the service.
  static result<std::unique_ptr<service>> make(const settings& s, const http_dialect& dialect = native_dialect());
  ~proxy_service() override;

  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  awaitable<void> drain() override;
  /// @return false from the beginning of the drain on.
  bool ready() const override;
  void stop() override;
  boost::json::value dump() const override;

  /// Connections without progress are closed after this time; 60 s unless changed before `start`.
  void set_idle_timeout(duration limit) { idle_timeout_ = limit; }

  /// @return the port for callers; known after `start`.
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
  std::shared_ptr<state> state_;
};

}  // namespace heatherdeck

/// @file
/// The admin HTTP endpoints of every process: state dump, metrics, liveness, readiness, drain, log level, membership.
///
///     GET  /dump      state of every service, as JSON
///     GET  /metrics   Prometheus text format
///     GET  /live      200 while the process runs
///     GET  /ready     200 when every service is ready, else 503 with the names of the services that are not
///     POST /drain     begins a graceful stop; responds with 202 at once
///     PUT  /log-level?level=debug|info|warning|error     sets the minimum log level until the next restart or reload
///     POST /members?action=add|promote|remove&host=ID    only with the role `control`: changes the Raft membership;
///                                                       only the leader accepts it, and responds once committed
#pragma once

#include <memory>
#include <string>

#include "kernel/kernel.h"
#include "model/raft_messages.h"
#include "model/settings.h"
#include "wire/http_listener.h"

namespace heatherdeck {

class admin_service : public service {
 public:
  /// @param s only admin_listen is used.
  static result<std::unique_ptr<service>> make(const settings& s);

  std::string_view name() const override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  explicit admin_service(std::string listen) : listen_(std::move(listen)) {}

  struct route;
  static const route routes[];  ///< by method and path

  awaitable<http_response> serve(http_request request);
  awaitable<http_response> show_dump(http_request request);
  awaitable<http_response> show_metrics(http_request request);
  awaitable<http_response> show_live(http_request request);
  awaitable<http_response> show_ready(http_request request);
  awaitable<http_response> begin_drain(http_request request);
  awaitable<http_response> change_log_level(http_request request);
  awaitable<http_response> change_members(http_request request);

  std::string listen_;
  kernel* kernel_ = nullptr;
  address<consensus_message> consensus_;  ///< set only in a process with the role `control`
  std::unique_ptr<http_listener> listener_;
};

}  // namespace heatherdeck

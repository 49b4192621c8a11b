/// @file
/// The fake upstream: an HTTP/1.1 server that follows an upstream_model and announces itself to the node on its host.
/// heatherdeck_upstream runs it.
///
/// It counts the runs of each request by the header `hd-test-id`, so that a test can detect a request that ran twice:
///     GET /stand-in/runs      {"ids": distinct ids, "runs": runs, "repeated": ids that ran more than once, ...}
/// Two headers change one request: `hd-test-work-ms` its service time and `hd-test-body-bytes` the size of the
/// response. A response carries the request's `hd-test-id` as `x-test-id`, because nodes drop unknown fields of
/// responses that start with `hd-`. A request that it sheds (503), or that cannot finish within its `hd-deadline-ms`
/// (504), does not run and is answered at once with `hd-outcome: not-run`. If the client has closed the connection by
/// the time of the response, the request is counted as cancelled.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "kernel/kernel.h"
#include "testing/upstream_model.h"
#include "wire/http_message.h"

namespace heatherdeck {

/// Addresses, and the values that the upstream announces to the node on its host.
struct upstream_identity {
  std::string listen;       ///< "ip:port" on which it accepts requests
  std::string announce_to;  ///< upstream_listen of the node, "ip:port"; empty: announce nothing
  std::string service;
  std::string upstream_version;
  std::string target;               ///< name of this upstream process
  std::uint32_t connections = 130;  ///< connection limit that it announces; not enforced here
  std::uint32_t body_bytes = 200;   ///< size of each response body
  bool log_runs = false;            ///< write `request_run` with id and planned time for each request that runs
};

/// Request from a connection's task for each HTTP request: decide whether it runs.
struct begin_request {
  std::string path;
  std::string test_id;
  std::optional<milliseconds> deadline;
  std::optional<milliseconds> work;
  reply<upstream_model::planned_response> answer;
};

/// Message from a connection's task when the planned delay of a request has passed, before the response is written.
struct end_request {
  std::uint64_t request_id = 0;
  bool cancelled = false;  ///< the client has closed the connection
};

/// Request for the counts of /stand-in/runs.
struct get_runs {
  reply<boost::json::value> answer;
};

/// Timer message: send an announcement to the node.
struct announce_now {};

using upstream_message = std::variant<announce_now, begin_request, end_request, get_runs>;

/// The service that owns the model, the counts and the listener.
class upstream_service : public service {
 public:
  upstream_service(upstream_identity identity, const upstream_behaviour& behaviour)
      : identity_(std::move(identity)), behaviour_(behaviour), model_(behaviour, timer_service::now()) {}

  std::string_view name() const override { return "upstream"; }
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  awaitable<void> drain() override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  awaitable<void> run();
  awaitable<void> announce();
  void handle(announce_now&& m);
  void handle(begin_request&& m);
  void handle(end_request&& m);
  void handle(get_runs&& m);

  upstream_identity identity_;
  upstream_behaviour behaviour_;
  upstream_model model_;
  kernel* kernel_ = nullptr;
  std::unique_ptr<mailbox<upstream_message>> inbox_;
  std::map<std::string, std::uint32_t> run_counts_;
  std::uint64_t requests_run_ = 0;
  std::uint64_t requests_cancelled_ = 0;
  std::uint64_t requests_shed_ = 0;
  using finished_channel = boost::asio::experimental::channel<void(boost::system::error_code)>;
  std::unique_ptr<finished_channel> request_finished_;  ///< signalled when a request ends; drain() waits for it
  bool draining_ = false;
  bool announcing_ = false;
  subscription announce_timer_;
  struct listener;
  std::shared_ptr<listener> listener_;
};

}  // namespace heatherdeck

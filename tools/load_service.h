/// @file
/// Open-loop HTTP/1.1 load generator: calls are scheduled as a Poisson process, independent of the responses.
///
/// The service's task owns the schedule, the report and the list of idle connections. Each connection's task owns its
/// socket, receives calls as messages and reports each result as a message. The service stops the kernel after the last
/// call has finished; heatherdeck_load then prints `dump()`.
#pragma once

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "kernel/kernel.h"
#include "tools/load_report.h"

namespace heatherdeck {

struct load_options {
  std::vector<std::string> addresses;  ///< "ip:port"; connections are assigned to them round-robin
  std::string host;                    ///< value of the Host header
  std::vector<std::string> paths;      ///< used round-robin
  std::string method = "GET";
  std::uint32_t body_bytes = 0;         ///< size of each request body
  double rate = 100;                    ///< mean calls per second, over all addresses
  milliseconds length{1'000};           ///< duration of the run
  milliseconds timeout{2'000};          ///< of one call, including the connect
  std::uint32_t max_connections = 256;  ///< over all addresses
  std::string id_prefix;        ///< prefix of the header hd-test-id, followed by the call number; empty: no such header
  std::uint64_t seed = 1;       ///< of the random arrival times
  std::uint64_t max_calls = 0;  ///< 0: limited by `length` only
};

/// Message to a connection's task: send one call.
struct scheduled_call {
  std::uint64_t number = 0;
  time_point due;  ///< scheduled send time; the latency is measured from it
};

/// Timer message: at least one call has reached its scheduled send time.
struct call_due {};

/// Message from a connection's task: its call has finished and the connection is idle.
struct call_finished {
  std::size_t connection = 0;
  call_result result;
};

using load_message = std::variant<call_due, call_finished>;

/// The service that owns the schedule and the report of one run.
class load_service : public service {
 public:
  explicit load_service(load_options options) : options_(std::move(options)), random_(options_.seed) {}

  std::string_view name() const override { return "load"; }
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

  const load_report& report() const { return report_; }

 private:
  awaitable<void> run();
  void handle(const call_due& m);
  void handle(const call_finished& m);
  void schedule_next_call();
  /// Hands pending calls to idle connections and opens connections up to the limit.
  void dispatch();
  void add_connection();

  load_options options_;
  std::mt19937_64 random_;
  kernel* kernel_ = nullptr;
  std::unique_ptr<mailbox<load_message>> inbox_;
  std::vector<address<scheduled_call>> connection_inboxes_;
  std::vector<std::size_t> idle_connections_;
  std::deque<scheduled_call> pending_calls_;
  load_report report_;
  subscription next_call_timer_;
  time_point started_;
  time_point next_due_;
  std::uint64_t issued_ = 0;
  bool all_issued_ = false;
};

}  // namespace heatherdeck

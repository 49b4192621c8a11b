/// @file
/// Open-loop load: calls are due at Poisson arrivals whatever the answers do.
///
/// The service's task owns the schedule, the report and the list of idle connections; each connection's task owns its
/// socket, gets calls by message and reports each answer by message.
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

struct load_plan {
  std::vector<std::string> addresses;  ///< "ip:port", used in turn
  std::string host;
  std::vector<std::string> paths;  ///< used in turn
  std::string method = "GET";
  std::uint32_t body_bytes = 0;
  double rate = 100;  ///< calls a second, of all addresses together
  milliseconds length{1'000};
  milliseconds timeout{2'000};
  std::uint32_t max_connections = 256;
  std::string id_prefix;  ///< prefix of hd-test-id; empty: no such header
  std::uint64_t seed = 1;
  std::uint64_t max_calls = 0;  ///< 0: limited by the length only
};

/// One call on its way to a connection's task.
struct load_call {
  std::uint64_t number = 0;
  time_point due;
};

struct call_due {};

struct call_finished {
  std::size_t connection = 0;
  call_result result;
};

using load_message = std::variant<call_due, call_finished>;

class load_service : public service {
 public:
  explicit load_service(load_plan plan) : plan_(std::move(plan)), random_(plan_.seed) {}

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
  void arm();
  void dispatch();
  void add_connection();

  load_plan plan_;
  std::mt19937_64 random_;
  kernel* kernel_ = nullptr;
  std::unique_ptr<mailbox<load_message>> inbox_;
  std::vector<address<load_call>> connections_;
  std::vector<std::size_t> idle_;
  std::deque<load_call> waiting_;
  load_report report_;
  subscription next_call_;
  time_point started_;
  time_point next_due_;
  std::uint64_t issued_ = 0;
  bool all_issued_ = false;
};

}  // namespace heatherdeck

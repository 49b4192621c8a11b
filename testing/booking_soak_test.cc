// Kills, freezes, stops and reloads real processes in the platform's dialect while callers book at upstreams that shed
// and misbehave. Guards against bookings that run after a status that promises that they never will, or run twice, and
// against answers that belong to another request or are not whole.
//
// HD_SEED=n runs the seed n instead of the fixed one, HD_SEED=regression all seeds that have failed.
// HD_WITHOUT=fault,fault leaves out faults of the upstreams.
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <iostream>
#include <set>
#include <thread>
#include <type_traits>
#include <unordered_map>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "testing/booking_callers.h"
#include "testing/booking_upstream.h"
#include "testing/soak_deployment.h"
#include "testing/soak_disruptions.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

struct regression_seed {
  std::uint64_t seed;
  std::string_view cause;
};

constexpr std::string_view copy_believed =
    "a copy of a rejection was taken for the answer to the request's next attempt on the connection";
constexpr std::string_view missing_id_believed = "a rejection without an id was believed on a connection in use again";
constexpr regression_seed regression_seeds[] = {
    {1, missing_id_believed},  {2, copy_believed},  {3, missing_id_believed},  {4, missing_id_believed},
    {5, copy_believed},        {6, copy_believed},  {7, copy_believed},        {8, missing_id_believed},
    {9, missing_id_believed},  {10, copy_believed}, {11, missing_id_believed}, {12, copy_believed},
    {13, missing_id_believed}, {14, copy_believed}, {16, copy_believed},       {17, copy_believed},
    {18, copy_believed},       {19, copy_believed}, {20, missing_id_believed},
};
constexpr std::uint64_t fixed_seed = 12;    ///< one of regression_seeds
constexpr milliseconds length = 10s;        ///< of the time in which disruptions begin
constexpr milliseconds longer_limit = 60s;  ///< more disruptions, until the faults that matter most have happened
constexpr milliseconds ready_limit = 60s;
constexpr milliseconds end_limit = 60s;
constexpr milliseconds quiet_period = 1s;  ///< without a run, after which no request is on its way
constexpr auto poll_interval = 20ms;
// Without pressing, the callers of an upstream ask for about half of what its slots allow, so that the retry budget
// lasts for most of the rejections.
constexpr std::size_t callers_per_upstream = 20;
constexpr std::size_t front_nodes = 2;
constexpr std::size_t findings_shown = 100;  ///< of each rule
constexpr const char* host = "desk.example";
constexpr const char* configuration =
    R"({"version":"00000001","routes":{)"
    R"("book":{"host":"desk.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1500,"objective_ms":300,"priority":0,"service":"desk","attempts":3},)"
    R"("read":{"host":"desk.example","path_prefix":"/read/","kind":"safe","timeout_ms":1000,"objective_ms":300,"priority":1,"service":"desk","attempts":3},)"
    R"("file":{"host":"desk.example","path_prefix":"/file/","kind":"download","timeout_ms":2000,"objective_ms":800,"priority":2,"service":"desk","attempts":2}},)"
    R"("services":{"desk":{"health_path":"/health","connections":24,"protocol":"h1","tls":false},)"
    R"("front":{"health_path":"/health","connections":24,"protocol":"h1","tls":false}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct judged_attempt {
  const caller_attempt& attempt;
  const std::vector<upstream_run>& runs;

  bool refused_and_ran() const { return attempt.promised_not_run() && !runs.empty(); }
  bool ran_twice() const { return attempt.unsafe() && runs.size() > 1; }
  bool wrong_answer() const {
    if (attempt.bytes_before != 0) return true;
    if (!attempt.answered_id.empty() && attempt.answered_id != attempt.id) return true;
    if (attempt.status == 200) return !attempt.own_answer;
    return !attempt.seal.empty() && std::none_of(runs.begin(), runs.end(), [this](const upstream_run& run) {
      return run.status == attempt.status;
    });
  }
  bool changed() const {
    return std::any_of(runs.begin(), runs.end(), [](const upstream_run& run) { return !run.intact; });
  }
};

struct soak_rule {
  std::string_view name;
  bool (judged_attempt::*broken)() const;
};

constexpr soak_rule rules[] = {
    {"REFUSED", &judged_attempt::refused_and_ran},
    {"TWICE", &judged_attempt::ran_twice},
    {"MIXED", &judged_attempt::wrong_answer},
    {"UNASKED", &judged_attempt::changed},
};

struct soak_finding {
  std::string_view rule;
  caller_attempt attempt;
  std::vector<upstream_run> runs;
};

std::vector<soak_finding> judge(const std::vector<caller_attempt>& attempts, const std::vector<upstream_run>& runs) {
  std::unordered_map<std::string, std::vector<upstream_run>> runs_by_id;
  for (const upstream_run& run : runs) runs_by_id[run.id].push_back(run);
  std::vector<soak_finding> findings;
  for (const caller_attempt& attempt : attempts) {
    const auto made = runs_by_id.extract(attempt.id);
    const judged_attempt judged{attempt, made ? made.mapped() : std::vector<upstream_run>{}};
    for (const soak_rule& rule : rules) {
      if ((judged.*rule.broken)()) findings.push_back({rule.name, attempt, judged.runs});
    }
  }
  for (const auto& [id, unasked] : runs_by_id) findings.push_back({"UNASKED", {.id = id}, unasked});
  return findings;
}

// A rule that finds nothing would let every soak pass.
TEST(booking_soak_rules, find_each_violation) {
  const upstream_run run{.id = "a", .target = "u1-1"};
  upstream_run changed = run;
  changed.intact = false;
  const caller_attempt success{.id = "a", .status = 200, .answered_id = "a", .own_answer = true};
  caller_attempt refused{.id = "a", .status = 503};
  caller_attempt foreign = success;
  foreign.own_answer = false;
  const auto found = [](const caller_attempt& attempt, const std::vector<upstream_run>& runs) {
    std::string names;
    for (const soak_finding& finding : judge({attempt}, runs)) names += finding.rule;
    return names;
  };
  EXPECT_EQ(found(success, {run}), "");
  EXPECT_EQ(found(refused, {}), "");
  for (const unsigned status : {408U, 421U, 429U, 503U}) {
    refused.status = status;
    EXPECT_EQ(found(refused, {run}), "REFUSED");
  }
  EXPECT_EQ(found(success, {run, run}), "TWICE");
  EXPECT_EQ(found(foreign, {run}), "MIXED");
  EXPECT_EQ(found(success, {changed}), "UNASKED");
  EXPECT_EQ(found(success, {run, {.id = "b"}}), "UNASKED");
}

/// @return the names of what matters most and has not happened.
std::string missing(const upstream_record& record, const std::set<upstream_fault>& without) {
  std::string names;
  for (const auto fault :
       {upstream_fault::lost_answer, upstream_fault::answer_copy, upstream_fault::refusal, upstream_fault::refusal_copy,
        upstream_fault::refusal_copy_return, upstream_fault::extra_rejection}) {
    if (!record.faults.contains(fault) && !without.contains(fault)) names += fmt::format("{} ", to_name(fault));
  }
  if (record.refused_full == 0) names += "refused_full ";
  if (record.returned == 0) names += "returned ";
  return names;
}

/// The upstreams and callers, on a thread of their own.
class booking_traffic {
 public:
  booking_traffic(const soak_deployment& deployment, const std::vector<std::string>& services, std::uint64_t seed,
                  const std::set<upstream_fault>& without) {
    const std::size_t callers_per_node = (services.size() - front_nodes) * callers_per_upstream / services.size();
    for (std::size_t i = 0; i < services.size(); ++i) {
      const std::string node = "n" + std::to_string(i + 1);
      upstreams_.push_back(std::make_unique<booking_upstream>(
          kernel_,
          booking_upstream_options{.name = "u" + std::to_string(i + 1),
                                   .service = services[i],
                                   .listen = deployment.address(node, soak_port::upstream),
                                   .announce_to = deployment.address(node, soak_port::announcements),
                                   .seed = seed * 1000 + i,
                                   .without = without},
          record_));
      for (std::size_t c = 0; c < callers_per_node; ++c) {
        const std::string name = fmt::format("s{}.{}.{}", seed, node, c);
        callers_.push_back(std::make_unique<booking_caller>(
            kernel_, booking_caller_options{.name = name,
                                            .node = node,
                                            .address = deployment.address(node, soak_port::caller),
                                            .host = host,
                                            .seed = seed * 1000 + 100 * (i + 1) + c}));
      }
    }
    thread_ = std::thread([this] { kernel_.io().run(); });
  }
  booking_traffic(const booking_traffic&) = delete;
  booking_traffic& operator=(const booking_traffic&) = delete;
  ~booking_traffic() { end(); }

  outcome<void> start_upstreams() {
    return on_loop([this] {
      return capture([this]() -> result<void> {
        for (const auto& u : upstreams_) BOOST_LEAF_CHECK(u->start());
        return {};
      });
    });
  }
  void start_callers() {
    on_loop([this] {
      for (const auto& c : callers_) c->start();
    });
  }
  void press(bool pressing) {
    on_loop([this, pressing] {
      for (const auto& c : callers_) c->set_pressing(pressing);
    });
  }
  void replace_upstream(std::size_t number) {
    on_loop([this, number] { upstreams_.at(number)->replace(); });
  }

  std::string missing_faults(const std::set<upstream_fault>& without) {
    return on_loop([&] { return missing(record_, without); });
  }

  /// Lets every caller end its call and waits until no request runs or is on its way.
  /// @return false after the limit.
  bool finish() {
    on_loop([this] {
      for (const auto& c : callers_) c->stop();
    });
    const time_point limit = steady_clock::now() + end_limit;
    std::size_t runs = 0;
    time_point quiet_since = steady_clock::now();
    while (steady_clock::now() < limit) {
      const auto [idle, runs_now] = on_loop([this] {
        const bool all_ended = std::all_of(callers_.begin(), callers_.end(), [](const auto& c) { return c->ended(); });
        const bool all_idle =
            std::all_of(upstreams_.begin(), upstreams_.end(), [](const auto& u) { return u->idle(); });
        return std::pair(all_ended && all_idle, record_.runs.size());
      });
      if (!idle || std::exchange(runs, runs_now) != runs_now) quiet_since = steady_clock::now();
      if (steady_clock::now() - quiet_since > quiet_period) return true;
      std::this_thread::sleep_for(poll_interval);
    }
    return false;
  }

  /// Ends the thread; the record may be read afterwards.
  void end() {
    if (!thread_.joinable()) return;
    on_loop([this] {
      for (const auto& u : upstreams_) u->close();
    });
    guard_.reset();
    kernel_.io().stop();
    thread_.join();
  }

  const upstream_record& record() const { return record_; }
  std::vector<caller_attempt> attempts() const {
    std::vector<caller_attempt> all;
    for (const auto& c : callers_) all.insert(all.end(), c->attempts().begin(), c->attempts().end());
    return all;
  }

 private:
  template <class Function>
  std::invoke_result_t<Function> on_loop(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto done = task.get_future();
    boost::asio::post(kernel_.io(), [&task] { task(); });
    return done.get();
  }

  kernel kernel_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_{kernel_.io().get_executor()};
  upstream_record record_;
  std::vector<std::unique_ptr<booking_upstream>> upstreams_;
  std::vector<std::unique_ptr<booking_caller>> callers_;
  std::thread thread_;
};

/// @return the finding, the disruptions around it and its log lines, with times relative to the begin of the request.
std::string describe(const soak_deployment& deployment, const soak_finding& finding,
                     const std::vector<disruption>& disruptions) {
  constexpr milliseconds shown_before = 5s;
  const caller_attempt& attempt = finding.attempt;
  std::string text =
      fmt::format("{}: {} {} at {}, ended at {} ms, status {}\n", finding.rule, to_name(attempt.kind), attempt.id,
                  attempt.node, (attempt.ended_at - attempt.sent_at).count(), attempt.status);
  for (const upstream_run& run : finding.runs) {
    text += fmt::format("  run at {} from {} ms on, status {}{}", run.target, (run.begun_at - attempt.sent_at).count(),
                        run.status, run.intact ? "" : ", changed");
    for (const std::string& late : run.late) text += ", late " + late;
    text += "\n";
  }
  for (const disruption& d : disruptions) {
    if (d.begun_at < attempt.sent_at - shown_before || d.begun_at > attempt.ended_at) continue;
    if (d.kind == disruption_kind::reload || d.kind == disruption_kind::press) continue;
    text += fmt::format("  {} of {} at {} ms\n", to_name(d.kind), d.name, (d.begun_at - attempt.sent_at).count());
  }
  for (const std::string& line :
       deployment.log_lines('"' + attempt.id + '"', {"upstream_rejection", "attempt_not_executed", "request_refused",
                                                     "request_unanswered", "upstream_call_lost"}))
    text += "  " + line + "\n";
  return text;
}

std::string report(const soak_deployment& deployment, const std::vector<soak_finding>& findings,
                   const std::vector<disruption>& disruptions) {
  std::map<std::string_view, std::size_t> counts;
  std::string text;
  for (const soak_finding& finding : findings) {
    if (++counts[finding.rule] <= findings_shown) text += describe(deployment, finding, disruptions);
  }
  for (const auto& [name, count] : counts) text += fmt::format("{} {}\n", count, name);
  return text;
}

std::set<upstream_fault> faults_left_out() {
  const char* chosen = std::getenv("HD_WITHOUT");
  std::set<upstream_fault> without;
  for (const auto& entry : enum_table<upstream_fault>::entries) {
    if (chosen != nullptr &&
        ("," + std::string(chosen) + ",").find(fmt::format(",{},", entry.name)) != std::string::npos)
      without.insert(entry.value);
  }
  return without;
}

void run_soak(std::uint64_t seed) {
  const std::set<upstream_fault> without = faults_left_out();
  const std::string work =
      (std::filesystem::temp_directory_path() / fmt::format("hd-booking-soak-{}-{}", ::getpid(), seed)).string();
  // Few upstreams, so that a rejected request comes to the same one again.
  std::vector<std::string> services(1 + seed % 3, "desk");
  services.insert(services.end(), front_nodes, "front");
  auto made =
      capture([&] { return soak_deployment::make({.bin = HD_BUILD_FOLDER, .work = work, .services = services}); });
  ASSERT_TRUE(made) << made.failure().message();
  soak_deployment& deployment = **made;
  booking_traffic traffic(deployment, services, seed, without);
  std::vector<std::vector<std::string>> groups = {deployment.names('c'), {}, {}};
  for (const std::string& name : deployment.names('n'))
    groups[services.at(std::stoul(name.substr(1)) - 1) == "desk" ? 1 : 2].push_back(name);
  for (const auto& group : groups) {
    for (const std::string& name : group) ASSERT_TRUE(capture([&] { return deployment.start(name); })) << work;
  }
  ASSERT_TRUE(traffic.start_upstreams());
  ASSERT_TRUE(deployment.put_configuration("00000000", configuration, ready_limit)) << work;
  const time_point limit = steady_clock::now() + ready_limit;
  for (const std::string& name : deployment.names('n')) {
    while (!deployment.ready(name) && steady_clock::now() < limit) std::this_thread::sleep_for(poll_interval);
    ASSERT_TRUE(deployment.ready(name)) << name << ", logs in " << work;
  }

  traffic.start_callers();
  soak_disruptions disruptions(deployment, groups,
                               {.press = [&](bool pressing) { traffic.press(pressing); },
                                .replace_upstream = [&](std::size_t number) { traffic.replace_upstream(number); },
                                .upstreams = groups[1].size()},
                               seed);
  std::string failures = disruptions.run(length);
  const time_point longest = steady_clock::now() + longer_limit;
  while (failures.empty() && !traffic.missing_faults(without).empty() && steady_clock::now() < longest)
    failures = disruptions.run(1s);
  EXPECT_EQ(failures, "") << work;
  EXPECT_TRUE(traffic.finish()) << "requests are still on their way, logs in " << work;
  traffic.end();

  const upstream_record& record = traffic.record();
  const std::vector<caller_attempt> attempts = traffic.attempts();
  const std::vector<soak_finding> findings = judge(attempts, record.runs);
  const auto successes = std::count_if(attempts.begin(), attempts.end(), [](const auto& a) { return a.status == 200; });
  const auto promises =
      std::count_if(attempts.begin(), attempts.end(), [](const auto& a) { return a.promised_not_run(); });
  std::string summary = fmt::format("seed {}: {} attempts, {} successes, {} promised not run, {} runs, {} findings\n",
                                    seed, attempts.size(), successes, promises, record.runs.size(), findings.size());
  for (const auto& [fault, count] : record.faults) summary += fmt::format("{} {}, ", to_name(fault), count);
  summary +=
      fmt::format("refused_full {}, returned {}, misdirected {}, reset {}, rejected_upload {}", record.refused_full,
                  record.returned, record.misdirected, record.reset, record.rejected_upload);
  for (const auto& entry : enum_table<disruption_kind>::entries) {
    summary += fmt::format(", {} {}", entry.name, disruptions.count(entry.value));
    EXPECT_GT(disruptions.count(entry.value), 0U) << entry.name << " never happened";
  }
  std::cout << summary << std::endl;
  EXPECT_GT(static_cast<std::size_t>(successes), attempts.size() / 10) << "too few successes to judge the rest";
  EXPECT_GT(promises, 0);
  EXPECT_EQ(missing(record, without), "") << "never happened";
  EXPECT_TRUE(findings.empty()) << "seed " << seed << ", logs in " << work << "\n"
                                << report(deployment, findings, disruptions.begun());
  if (!testing::Test::HasFailure()) std::filesystem::remove_all(work);
}

std::vector<std::uint64_t> chosen_seeds() {
  const char* chosen = std::getenv("HD_SEED");
  if (chosen == nullptr) return {fixed_seed};
  if (std::string_view(chosen) != "regression") return {std::stoull(chosen)};
  std::vector<std::uint64_t> seeds;
  for (const regression_seed& r : regression_seeds) {
    std::cout << fmt::format("seed {} has failed: {}\n", r.seed, r.cause);
    seeds.push_back(r.seed);
  }
  return seeds;
}

TEST(booking_soak, keeps_promises_and_books_once_under_disruption) {
  for (const std::uint64_t seed : chosen_seeds()) run_soak(seed);
}

}  // namespace
}  // namespace heatherdeck

// Stops, restarts and reloads real processes while callers go on. Guards against requests that are read whole and lost,
// refused after they ran, or answered by a node while their upstream is at work.
//
// HD_SEED=n runs the seed n instead of the fixed one.
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include "testing/fleet.h"
#include "testing/soak_callers.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t fixed_seed = 1;
constexpr unsigned control_hosts = 3;
constexpr unsigned nodes = 12;
/// Callers can know of a stop this long after the SIGTERM.
constexpr milliseconds callers_know_after = readiness_period * misses_until_out;
// A node accepts callers for half of the grace time. That half must be longer than callers_know_after, or no request
// comes after callers could know of the stop.
constexpr milliseconds stop_grace = 6s;
static_assert(stop_grace / 2 > callers_know_after);
// A connection that ends within this time after the request was sent, while no upstream ran it, counts as closed before
// the node read the request.
constexpr milliseconds read_slack{500};
constexpr milliseconds length = 16s;  ///< of the time in which planned work begins
constexpr auto ready_limit = 60s;
constexpr unsigned first_timeout_ms = 10'000;
constexpr std::size_t findings_shown = 5;  ///< of each rule
// Some archive and order calls take longer than their objective, as the slowest calls of a route do.
constexpr const char* soak_routes =
    "  routes.soak:\n"
    "    archive: {host: certdesk.pwani, path_prefix: /archive, kind: safe, timeout_ms: 30000, objective_ms: 4000, "
    "attempts: 3, service: certdesk}\n"
    "    order: {host: certdesk.pwani, path_prefix: /orders, kind: unsafe, timeout_ms: 30000, objective_ms: 3000, "
    "service: certdesk}\n"
    "    download: {host: certdesk.pwani, path_prefix: /downloads, kind: download, timeout_ms: 30000, objective_ms: "
    "1000, "
    "attempts: 3, service: certdesk}\n";

/// One run of a request, as its upstream logged it.
struct upstream_run {
  std::string request;
  std::string node;  ///< on the upstream's host
  milliseconds begun_at{0};
  milliseconds planned{0};  ///< time from the begin to the response
};

/// One SIGTERM of a node.
struct node_stop {
  std::string node;
  milliseconds signalled_at{0};
  milliseconds took{0};
  int exit_code = -1;
};

constexpr std::string_view not_run = "not-run";

struct judged_call {
  const call_record& call;
  const std::vector<upstream_run>& runs;

  bool unanswered() const {
    const bool read = !runs.empty() || call.response_began || call.ended_at - call.sent_at > read_slack;
    return !call.answered && read;
  }
  bool replaced() const { return call.answered && call.status != 200 && call.outcome != not_run && !runs.empty(); }
  bool ran_though_refused() const { return call.outcome == not_run && !runs.empty(); }
  bool ran_twice() const { return call.kind == call_kind::order && runs.size() > 1; }
  bool wrong_response() const {
    if (!call.answered) return false;
    if (call.status != 200) return !call.answered_id.empty() && call.answered_id != call.id;
    return call.answered_id != call.id || call.upstream_id != call.id || !call.body_complete;
  }
};

struct soak_rule {
  std::string_view name;
  bool (judged_call::*broken)() const;
  bool excusable;  ///< by work in the last sixth of the grace time
};

constexpr soak_rule rules[] = {
    // A request was read whole, and the connection ended without a complete response.
    {"unanswered", &judged_call::unanswered, true},
    // An upstream was at work, and a node answered in its place.
    {"replaced", &judged_call::replaced, true},
    // The response says "not executed", and an upstream ran the request.
    {"ran_though_refused", &judged_call::ran_though_refused, false},
    // A request that is not idempotent ran more than once.
    {"ran_twice", &judged_call::ran_twice, false},
    // The response belongs to another request, or a success lacks part of its body.
    {"wrong_response", &judged_call::wrong_response, false},
};

struct soak_finding {
  std::string_view rule;
  call_record call;
  std::vector<upstream_run> runs;
};

struct soak_judgement {
  std::vector<soak_finding> findings;
  std::size_t excused = 0;  ///< calls that were cut as was_at_work_at_the_end() allows
};

bool was_at_work_at_the_end(const judged_call& judged, const node_stop& stop) {
  const milliseconds last_sixth = stop.signalled_at + stop_grace * 5 / 6;
  if (judged.call.sent_at > stop.signalled_at + callers_know_after || judged.call.ended_at < last_sixth) return false;
  return std::any_of(judged.runs.begin(), judged.runs.end(), [&](const upstream_run& run) {
    const bool on_the_way = stop.node == judged.call.node || stop.node == run.node;
    return on_the_way && run.begun_at < stop.signalled_at + stop_grace && run.begun_at + run.planned > last_sixth;
  });
}

soak_judgement judge_calls(const std::vector<call_record>& calls, const std::vector<upstream_run>& runs,
                           const std::vector<node_stop>& stops) {
  std::map<std::string, std::vector<upstream_run>> runs_by_request;
  for (const upstream_run& run : runs) runs_by_request[run.request].push_back(run);
  soak_judgement judgement;
  for (const call_record& call : calls) {
    const judged_call judged{call, runs_by_request[call.id]};
    const bool excused = std::any_of(stops.begin(), stops.end(),
                                     [&](const node_stop& stop) { return was_at_work_at_the_end(judged, stop); });
    for (const soak_rule& rule : rules) {
      if (!(judged.*rule.broken)()) continue;
      if (rule.excusable && excused) {
        ++judgement.excused;
      } else {
        judgement.findings.push_back({rule.name, call, judged.runs});
      }
    }
  }
  return judgement;
}

// A rule that finds nothing would let every soak pass.
TEST(stop_soak_rules, find_each_violation_and_excuse_only_work_at_the_end) {
  const std::vector<node_stop> stops = {{.node = "n1", .signalled_at = 10s}};
  const upstream_run short_run{.request = "a", .node = "n2", .begun_at = 11s, .planned = 3s};
  const upstream_run long_run{.request = "a", .node = "n2", .begun_at = 11s, .planned = 5s};
  call_record cut{.id = "a", .node = "n1", .kind = call_kind::order, .sent_at = 11s, .ended_at = 15'800ms};
  call_record replaced = cut;
  replaced.answered = true;
  replaced.status = 502;
  call_record refused = replaced;
  refused.outcome = not_run;
  call_record success = replaced;
  success.status = 200;
  success.answered_id = success.upstream_id = "b";
  const auto found = [&](const call_record& call, const std::vector<upstream_run>& runs) {
    std::string names;
    for (const soak_finding& finding : judge_calls({call}, runs, stops).findings) names += finding.rule;
    return names;
  };
  EXPECT_EQ(found(cut, {short_run}), "unanswered");
  EXPECT_EQ(found(cut, {long_run}), "");
  EXPECT_EQ(found(cut, {}), "unanswered");
  EXPECT_EQ(found(replaced, {short_run}), "replaced");
  EXPECT_EQ(found(refused, {long_run}), "ran_though_refused");
  EXPECT_EQ(found(success, {short_run, long_run}), "ran_twicewrong_response");
  cut.sent_at = 12'001ms;  // when callers could know of the stop
  EXPECT_EQ(found(cut, {long_run}), "unanswered");
}

/// The seeded schedule: series of stops, reloads and document changes that overlap.
class planned_work {
 public:
  planned_work(fleet& f, std::uint64_t seed) : fleet_(f), random_(seed) {}

  /// Begins work for the time `length` and then waits until every stopped node has been started again.
  /// @return false if a process could not be started or did not end after a SIGKILL.
  bool run() {
    for (series& s : all_) s.due = steady_clock::now() + draw(0ms, s.most);
    const time_point end = steady_clock::now() + length;
    const auto ended = fleet_.wait_until(length + 4 * stop_grace, [&] {
      for (series& s : all_) {
        if (steady_clock::now() < s.due || steady_clock::now() > end) continue;
        (this->*s.begin)();
        s.due = steady_clock::now() + draw(s.least, s.most);
      }
      observe_stops();
      return steady_clock::now() > end && stopping_.empty() && restarts_.empty();
    });
    if (submission_.valid()) submission_.wait();
    return ended && start_failures_ == 0;
  }

  const std::vector<node_stop>& stops() const { return stops_; }
  std::string summary() const {
    return fmt::format("{} stops, {} reloads, {} document changes", stops_.size(), reloads_, submissions_);
  }

 private:
  struct series {
    void (planned_work::*begin)();
    milliseconds least;  ///< time to the next work of the series
    milliseconds most;
    time_point due{};
  };

  milliseconds draw(milliseconds least, milliseconds most) {
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(least.count(), most.count())(random_));
  }

  /// @return whether the process has started so far that a signal does not end it by its default action.
  bool handles_signals(const std::string& name) const { return fleet_.dump(name).has_value(); }

  /// Sends SIGTERM to a group of nodes, so that at most half of all nodes are down.
  void stop_group() {
    std::vector<std::string> running;
    for (const std::string& name : fleet_.names('n')) {
      if (!stopping_.contains(name) && !restarts_.contains(name) && handles_signals(name)) running.push_back(name);
    }
    std::shuffle(running.begin(), running.end(), random_);
    const std::size_t down = nodes - running.size();
    const std::size_t size = std::uniform_int_distribution<std::size_t>(1, nodes / 2)(random_);
    for (std::size_t i = 0; i < size && down + i < nodes / 2; ++i) {
      fleet_.send_signal(running[i], SIGTERM);
      stopping_[running[i]] = {.node = running[i], .signalled_at = wall_clock()};
    }
  }

  void reload_process() {
    const char kind = std::uniform_int_distribution<unsigned>(0, 3)(random_) == 0 ? 'c' : 'n';
    const std::vector<std::string> names = fleet_.names(kind);
    const std::string& name = names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random_)];
    if (!handles_signals(name)) return;
    fleet_.send_signal(name, SIGHUP);
    ++reloads_;
  }

  void change_document() {
    if (submission_.valid() && submission_.wait_for(0s) != std::future_status::ready) return;
    const unsigned timeout_ms = first_timeout_ms + ++submissions_;
    submission_ = std::async(std::launch::async, [this, timeout_ms] { return fleet_.submit(timeout_ms, "accepted"); });
  }

  void observe_stops() {
    std::erase_if(stopping_, [this](const auto& entry) { return has_ended(entry.second); });
    std::erase_if(restarts_, [this](const auto& entry) {
      if (steady_clock::now() < entry.second) return false;
      if (!capture([&] { return fleet_.start(entry.first); })) ++start_failures_;
      return true;
    });
  }

  /// Sends SIGKILL when the grace time is over.
  bool has_ended(node_stop stop) {
    const std::optional<int> code = fleet_.try_wait(stop.node);
    stop.took = wall_clock() - stop.signalled_at;
    if (!code && stop.took > stop_grace) fleet_.send_signal(stop.node, SIGKILL);
    if (!code) return false;
    stop.exit_code = *code;
    stops_.push_back(stop);
    restarts_[stop.node] = steady_clock::now() + draw(100ms, 1500ms);
    return true;
  }

  fleet& fleet_;
  std::mt19937_64 random_;
  std::vector<series> all_ = {{&planned_work::stop_group, 1500ms, 4000ms},
                              {&planned_work::reload_process, 200ms, 1000ms},
                              {&planned_work::change_document, 500ms, 2000ms}};
  std::map<std::string, node_stop> stopping_;
  std::map<std::string, time_point> restarts_;
  std::vector<node_stop> stops_;
  std::future<command_output> submission_;
  unsigned reloads_ = 0;
  unsigned submissions_ = 0;
  unsigned start_failures_ = 0;
};

std::vector<upstream_run> logged_runs(const fleet& f) {
  std::vector<upstream_run> runs;
  for (const logged_line& line : f.logged('u', "request_run")) {
    runs.push_back({.request = std::string(line.fields.at("request").as_string()),
                    .node = "n" + line.process.substr(1),
                    .begun_at = line.logged_at,
                    .planned = milliseconds(line.fields.at("planned_ms").to_number<milliseconds::rep>())});
  }
  return runs;
}

/// @return the finding and its log lines, with the times of stops and runs relative to the end of the request.
std::string describe(const fleet& f, const soak_finding& finding, const std::vector<node_stop>& stops) {
  const call_record& call = finding.call;
  std::string text = fmt::format("{}: {} {} at {}, ended at {} ms, status {} {}\n", finding.rule, to_name(call.kind),
                                 call.id, call.node, (call.ended_at - call.sent_at).count(), call.status, call.outcome);
  std::set<std::string> on_the_way{call.node};
  for (const upstream_run& run : finding.runs) {
    on_the_way.insert(run.node);
    text += fmt::format("  run beside {} from {} ms on, planned {} ms\n", run.node,
                        (run.begun_at - call.sent_at).count(), run.planned.count());
  }
  for (const node_stop& stop : stops) {
    const milliseconds ended_at = stop.signalled_at + stop.took;
    if (!on_the_way.contains(stop.node) || stop.signalled_at > call.ended_at || ended_at < call.sent_at) continue;
    text += fmt::format("  SIGTERM of {} at {} ms, ended at {} ms with {}\n", stop.node,
                        (stop.signalled_at - call.sent_at).count(), (ended_at - call.sent_at).count(), stop.exit_code);
  }
  for (const char* event : {"request_unanswered", "request_refused"}) {
    for (const logged_line& line : f.logged('n', event)) {
      if (line.fields.at("request").as_string() == call.id) text += "  " + boost::json::serialize(line.fields) + "\n";
    }
  }
  return text;
}

std::string report(const fleet& f, const std::vector<soak_finding>& findings, const std::vector<node_stop>& stops) {
  std::map<std::string_view, std::size_t> counts;
  std::string text;
  for (const soak_finding& finding : findings) {
    if (++counts[finding.rule] <= findings_shown) text += describe(f, finding, stops);
  }
  for (const auto& [name, count] : counts) text += fmt::format("{} {}\n", count, name);
  for (const logged_line& line : f.logged('n', "drain_limit_reached")) {
    if (line.fields.at("service").as_string() != "proxy") continue;
    text += fmt::format("{}: drain_limit_reached at {}, sessions {}\n", line.process,
                        std::string_view(line.fields.at("time").as_string()),
                        boost::json::serialize(line.fields.at("state").at("sessions_by_kind")));
  }
  return text;
}

TEST(stop_soak, loses_no_request_around_planned_work) {
  const char* chosen_seed = std::getenv("HD_SEED");
  const std::uint64_t seed = chosen_seed == nullptr ? fixed_seed : std::stoull(chosen_seed);
  const std::string work =
      (std::filesystem::temp_directory_path() / fmt::format("hd-stop-soak-{}-{}", ::getpid(), seed)).string();
  auto made = capture([&] {
    return fleet::make({.bin = HD_BUILD_FOLDER,
                        .work = work,
                        .base_port = 22'000,
                        .control_hosts = control_hosts,
                        .nodes = nodes,
                        .upstreams = nodes,
                        .stop_grace = stop_grace,
                        .stop_notice = callers_know_after,
                        .further_sections = soak_routes,
                        .upstream_flags = {"--log_runs"}});
  });
  ASSERT_TRUE(made) << made.failure().message();
  fleet& f = **made;
  ASSERT_TRUE(capture([&] { return f.start_all(); })) << work;
  const command_output submitted = f.submit(first_timeout_ms, "accepted");
  ASSERT_EQ(submitted.exit_code, 0) << submitted.output;
  ASSERT_TRUE(f.wait_in_force(ready_limit)) << work;

  soak_caller_options options{.host = "certdesk.pwani", .seed = seed};
  for (const std::string& name : f.names('n'))
    options.nodes.push_back({name, f.address(name, caller_port), f.address(name, admin_port)});
  soak_callers callers(std::move(options));
  callers.start();
  planned_work planned(f, seed);
  EXPECT_TRUE(planned.run()) << work;
  const std::vector<call_record>& calls = callers.finish();

  const auto judged = judge_calls(calls, logged_runs(f), planned.stops());
  const auto successes = std::count_if(calls.begin(), calls.end(), [](const auto& call) { return call.status == 200; });
  const auto refused = std::count_if(calls.begin(), calls.end(), [](const auto& c) { return c.outcome == "not-run"; });
  std::cout << fmt::format("seed {}: {} calls, {} successes, {} refused as not executed, {} excused, {} findings; {}\n",
                           seed, calls.size(), successes, refused, judged.excused, judged.findings.size(),
                           planned.summary());
  EXPECT_GT(static_cast<std::size_t>(successes), calls.size() / 2) << "too few calls succeed to judge the rest";
  EXPECT_FALSE(planned.stops().empty());
  for (const node_stop& stop : planned.stops()) {
    EXPECT_EQ(stop.exit_code, 0) << stop.node << " after " << stop.took.count() << " ms";
    EXPECT_LE(stop.took, stop_grace) << stop.node;
  }
  EXPECT_TRUE(judged.findings.empty()) << "seed " << seed << ", logs in " << work << "\n"
                                       << report(f, judged.findings, planned.stops());
  if (!testing::Test::HasFailure()) std::filesystem::remove_all(work);
}

}  // namespace
}  // namespace heatherdeck

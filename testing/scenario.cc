// A table from step kind to member function runs each step. The invariant of the whole product, that a node never goes
// back, is checked from the nodes' own logs, which also cover the time between steps.
#include "testing/scenario.h"

#include <algorithm>
#include <future>
#include <map>

#include <fmt/format.h>
#include <signal.h>

#include "model/yaml_reader.h"

namespace heatherdeck {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t max_processes = 64;
constexpr std::uint64_t max_wait_ms = 120'000;
constexpr int exit_conflict = 3;
constexpr auto start_limit = milliseconds(30'000);
constexpr auto leader_limit = milliseconds(20'000);

class scenario_run {
 public:
  scenario_run(const scenario& s, fleet& f) : scenario_(s), fleet_(f) {}

  scenario_report run();

 private:
  struct row {
    step_kind kind;
    void (scenario_run::*run)(const scenario_step&);
  };
  static const row rows[];

  void start(const scenario_step& step);
  void submit(const scenario_step& step);
  void resubmit(const scenario_step& step);
  void race(const scenario_step& step) { race(step, std::launch::async); }
  void race_in_turn(const scenario_step& step) { race(step, std::launch::deferred); }
  void race(const scenario_step& step, std::launch how);
  void kill(const scenario_step& step);
  void freeze(const scenario_step& step);
  void release(const scenario_step& step);
  void stop(const scenario_step& step);
  void lose_disk(const scenario_step& step);
  void add_member(const scenario_step& step);
  void promote_member(const scenario_step& step);
  void change_member(const scenario_step& step, const std::string& action);
  void expect_in_force(const scenario_step& step);
  void expect_ready(const scenario_step& step);
  void expect_not_ready(const scenario_step& step);
  void expect_refused(const scenario_step& step);

  std::vector<std::string> subjects(const std::string& at);
  void say(const std::string& line) { report_.session += line + "\n"; }
  void fault(const std::string& text) { report_.faults.push_back(text); }
  bool ready(const std::string& name) const;
  void check_versions();

  const scenario& scenario_;
  fleet& fleet_;
  scenario_report report_;
  std::string frozen_;
  std::string killed_;
  std::string last_id_;
  unsigned submissions_ = 0;
};

const scenario_run::row scenario_run::rows[] = {
    {step_kind::start, &scenario_run::start},
    {step_kind::submit, &scenario_run::submit},
    {step_kind::resubmit, &scenario_run::resubmit},
    {step_kind::race, static_cast<void (scenario_run::*)(const scenario_step&)>(&scenario_run::race)},
    {step_kind::race_in_turn, &scenario_run::race_in_turn},
    {step_kind::kill, &scenario_run::kill},
    {step_kind::freeze, &scenario_run::freeze},
    {step_kind::release, &scenario_run::release},
    {step_kind::stop, &scenario_run::stop},
    {step_kind::lose_disk, &scenario_run::lose_disk},
    {step_kind::add_member, &scenario_run::add_member},
    {step_kind::promote_member, &scenario_run::promote_member},
    {step_kind::expect_in_force, &scenario_run::expect_in_force},
    {step_kind::expect_ready, &scenario_run::expect_ready},
    {step_kind::expect_not_ready, &scenario_run::expect_not_ready},
    {step_kind::expect_refused, &scenario_run::expect_refused},
};

scenario_report scenario_run::run() {
  say("scenario: " + scenario_.name);
  for (const scenario_step& step : scenario_.steps) {
    for (const row& r : rows) {
      if (r.kind == step.kind) (this->*r.run)(step);
    }
    check_versions();
    if (!report_.faults.empty()) break;
  }
  return std::move(report_);
}

std::vector<std::string> scenario_run::subjects(const std::string& at) {
  if (at == "frozen") return {frozen_};
  if (at == "killed") return {killed_};
  if (at == "all_control") return fleet_.names('c');
  if (at.empty() || at == "all") {
    std::vector<std::string> all = fleet_.names('c');
    for (const std::string& name : fleet_.names('n')) all.push_back(name);
    return all;
  }
  if (at != "leader" && at != "follower") return {at};
  std::string leader;
  const auto waited = fleet_.wait_until(leader_limit, [&] { return !(leader = fleet_.leader()).empty(); });
  if (!waited) fault("there is no leader");
  if (at == "leader") return {leader};
  for (const std::string& name : fleet_.names('c')) {
    if (name != leader && fleet_.running(name) && name != frozen_) return {name};
  }
  fault("there is no follower");
  return {};
}

void scenario_run::start(const scenario_step& step) {
  for (const std::string& name : subjects(step.at)) {
    if (fleet_.running(name)) continue;
    const outcome<void> started = capture([&] { return fleet_.start(name); });
    if (!started) fault(started.failure().message());
  }
  for (const std::string& name : subjects(step.at)) {
    const auto answers = fleet_.wait_until(start_limit, [&] { return fleet_.dump(name).has_value(); });
    if (!answers) fault(name + " does not answer after its start");
  }
  say("start " + (step.at.empty() ? "all" : step.at));
}

void scenario_run::submit(const scenario_step& step) {
  last_id_ = fmt::format("scenario-{}", ++submissions_);
  const finished_command done = fleet_.submit(step.value, "accepted", last_id_);
  say(fmt::format("submit {}: exit {}", step.value, done.exit_code));
  if (done.exit_code != 0) fault("submission: " + done.output);
}

// A submission that is sent again with its id must get its first answer and change nothing.
void scenario_run::resubmit(const scenario_step& step) {
  const finished_command done = fleet_.submit(step.value, "accepted", last_id_);
  say(fmt::format("resubmit {}: exit {}", step.value, done.exit_code));
  if (done.exit_code != 0) fault("resent submission: " + done.output);
}

// Two operators submit from the same base: exactly one is accepted, and the other is told of the conflict.
// Each submitter has a base of its own: an accepted submission brings its base file up to date, so with a common one a
// late submitter built on the change of the other, and both were accepted.
void scenario_run::race(const scenario_step& step, std::launch how) {
  for (const char* racer : {"race1", "race2"}) {
    const finished_command shown = fleet_.cli({"show", "--out=" + fleet_.options().work + "/" + racer + ".yaml"});
    if (shown.exit_code != 0) return fault("show: " + shown.output);
  }
  auto first = std::async(how, [&] { return fleet_.submit_from_race(step.value, 1); });
  auto second = std::async(how, [&] { return fleet_.submit_from_race(step.value, 2); });
  std::vector<finished_command> done{first.get(), second.get()};
  const auto count = [&](int code) {
    return std::count_if(done.begin(), done.end(), [&](const auto& d) { return d.exit_code == code; });
  };
  say(fmt::format("race {}: {} accepted, {} in conflict", step.value, count(0), count(exit_conflict)));
  if (count(0) != 1 || count(exit_conflict) != 1) fault("race: " + done[0].output + done[1].output);
}

void scenario_run::kill(const scenario_step& step) {
  for (const std::string& name : subjects(step.at)) {
    if (!fleet_.running(name)) continue;
    fleet_.kill(name);
    killed_ = name;
  }
  say("kill " + step.at);
}

void scenario_run::freeze(const scenario_step& step) {
  for (const std::string& name : subjects(step.at)) {
    fleet_.send_signal(name, SIGSTOP);
    frozen_ = name;
  }
  say("freeze " + step.at);
}

void scenario_run::release(const scenario_step& step) {
  for (const std::string& name : subjects(step.at)) fleet_.send_signal(name, SIGCONT);
  frozen_.clear();
  say("release " + step.at);
}

void scenario_run::stop(const scenario_step& step) {
  for (const std::string& name : subjects(step.at)) {
    if (!fleet_.running(name)) continue;
    const int code = fleet_.stop(name);
    if (code != 0) fault(fmt::format("{} ended with exit code {}", name, code));
  }
  say("stop " + step.at);
}

void scenario_run::lose_disk(const scenario_step& step) {
  for (const std::string& name : subjects(step.at)) {
    if (fleet_.running(name)) fleet_.kill(name);
    fleet_.lose_disk(name);
    killed_ = name;
  }
  say("lose_disk " + step.at);
}

void scenario_run::add_member(const scenario_step& step) { change_member(step, "add"); }

void scenario_run::promote_member(const scenario_step& step) { change_member(step, "promote"); }

// The leader refuses a change until the host has told its new store, or while the learner is behind; so it is asked
// again until the limit.
void scenario_run::change_member(const scenario_step& step, const std::string& action) {
  for (const std::string& name : subjects(step.at)) {
    std::string last;
    const auto changed = fleet_.wait_until(milliseconds(step.within_ms), [&] {
      const std::string leader = fleet_.leader();
      if (leader.empty()) return false;
      const finished_command done = fleet_.cli({"members", fleet_.address(leader, 1), action, name});
      last = done.output;
      return done.exit_code == 0;
    });
    if (!changed) fault(fmt::format("{} {}: {}", action, name, last));
  }
  say(action + " member " + step.at);
}

void scenario_run::expect_in_force(const scenario_step& step) {
  const auto waited = fleet_.wait_in_force(milliseconds(step.within_ms));
  if (!waited) fault(waited.failure().message());
  say(fmt::format("in force at every running node within {} ms", step.within_ms));
}

bool scenario_run::ready(const std::string& name) const {
  const auto state = fleet_.dump(name);
  if (!state) return false;
  const auto& services = state->as_object().at("services").as_object();
  const auto* subscriber = services.if_contains("subscriber");
  return subscriber == nullptr || subscriber->as_object().at("has_document").as_bool();
}

void scenario_run::expect_ready(const scenario_step& step) {
  for (const std::string& name : subjects(step.at)) {
    if (!fleet_.running(name)) continue;
    const auto waited = fleet_.wait_until(milliseconds(step.within_ms), [&] { return ready(name); });
    if (!waited) fault(name + " is not ready in time");
  }
  say(fmt::format("ready within {} ms: {}", step.within_ms, step.at.empty() ? "all" : step.at));
}

// Holds for the whole time given, so that a late document would be seen too.
void scenario_run::expect_not_ready(const scenario_step& step) {
  for (const std::string& name : subjects(step.at)) {
    const auto waited = fleet_.wait_until(milliseconds(step.within_ms), [&] { return ready(name); });
    if (waited) fault(name + " acts on a document that no quorum has confirmed");
  }
  say(fmt::format("not ready during {} ms: {}", step.within_ms, step.at));
}

// Without a quorum a submission must not be accepted.
void scenario_run::expect_refused(const scenario_step& step) {
  const finished_command done = fleet_.submit(step.value, "accepted", "refused-" + std::to_string(step.value));
  if (done.exit_code == 0) fault("a submission was accepted without a quorum: " + done.output);
  say("submission is not accepted");
}

void scenario_run::check_versions() {
  std::map<std::string, version> highest;
  for (const applied_line& line : fleet_.applied_lines()) {
    version& seen = highest[line.node];
    if (line.applied < seen) {
      fault(fmt::format("{} went back from {} to {}", line.node, seen.text(), line.applied.text()));
    }
    seen = std::max(seen, line.applied);
  }
}

result<scenario_step> read_step(const yaml_node& item) {
  BOOST_LEAF_CHECK(item.expect_keys({"do", "at", "value", "within_ms"}));
  scenario_step step;
  BOOST_LEAF_AUTO(kind, item.require("do"));
  BOOST_LEAF_ASSIGN(step.kind, kind->as_enum<step_kind>());
  if (const yaml_node* at = item.find("at")) {
    BOOST_LEAF_ASSIGN(step.at, at->as_string());
  }
  if (const yaml_node* value = item.find("value")) {
    BOOST_LEAF_AUTO(number, value->as_unsigned(1, 1'000'000));
    step.value = static_cast<unsigned>(number);
  }
  if (const yaml_node* within = item.find("within_ms")) {
    BOOST_LEAF_AUTO(number, within->as_unsigned(1, max_wait_ms));
    step.within_ms = static_cast<unsigned>(number);
  }
  return step;
}

}  // namespace

result<scenario> parse_scenario(std::string_view text, const std::string& name) {
  BOOST_LEAF_AUTO(root, read_yaml(text, {.name = name}));
  BOOST_LEAF_CHECK(root.expect_keys({"name", "control_hosts", "nodes", "steps"}));
  scenario s;
  BOOST_LEAF_AUTO(title, root.require("name"));
  BOOST_LEAF_ASSIGN(s.name, title->as_string());
  BOOST_LEAF_AUTO(control, root.require("control_hosts"));
  BOOST_LEAF_AUTO(control_count, control->as_unsigned(1, 7));
  s.control_hosts = static_cast<unsigned>(control_count);
  BOOST_LEAF_AUTO(nodes, root.require("nodes"));
  BOOST_LEAF_AUTO(node_count, nodes->as_unsigned(1, max_processes));
  s.nodes = static_cast<unsigned>(node_count);
  BOOST_LEAF_AUTO(steps, root.require("steps"));
  BOOST_LEAF_CHECK(steps->expect_kind(yaml_kind::list));
  for (const yaml_node& item : steps->items()) {
    BOOST_LEAF_AUTO(step, read_step(item));
    s.steps.push_back(step);
  }
  return s;
}

scenario_report run_scenario(const scenario& s, fleet& f) { return scenario_run(s, f).run(); }

}  // namespace heatherdeck

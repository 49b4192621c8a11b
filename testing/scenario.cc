// A table maps each step kind to the member function that runs it. The main invariant of the system, that the version a
// node applies never decreases, is checked from the nodes' logs, which also cover the time between steps. Cost: the
// check reads all logs after each step.
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

constexpr std::uint64_t max_nodes = 64;
constexpr std::uint64_t max_wait_ms = 120'000;
constexpr int exit_conflict = 3;
constexpr auto start_timeout = milliseconds(30'000);
constexpr auto leader_timeout = milliseconds(20'000);

class scenario_run {
 public:
  scenario_run(const scenario& s, fleet& f) : scenario_(s), fleet_(f) {}

  scenario_report run();

 private:
  struct step_handler {
    step_kind kind;
    void (scenario_run::*run)(const scenario_step&);
  };
  static const step_handler step_handlers[];

  void start(const scenario_step& step);
  void submit(const scenario_step& step);
  void resubmit(const scenario_step& step);
  void race(const scenario_step& step) { race(step, std::launch::async); }
  void race_in_turn(const scenario_step& step) { race(step, std::launch::deferred); }
  void race(const scenario_step& step, std::launch launch_policy);
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

  std::vector<std::string> resolve_processes(const std::string& at);
  void add_line(const std::string& line) { report_.session += line + "\n"; }
  void add_failure(const std::string& text) { report_.failures.push_back(text); }
  bool is_ready(const std::string& name) const;
  void check_no_version_decrease();

  const scenario& scenario_;
  fleet& fleet_;
  scenario_report report_;
  std::string last_frozen_;
  std::string last_killed_;
  std::string last_submission_id_;
  unsigned submissions_ = 0;
};

const scenario_run::step_handler scenario_run::step_handlers[] = {
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
  add_line("scenario: " + scenario_.name);
  for (const scenario_step& step : scenario_.steps) {
    for (const step_handler& r : step_handlers) {
      if (r.kind == step.kind) (this->*r.run)(step);
    }
    check_no_version_decrease();
    if (!report_.failures.empty()) break;
  }
  return std::move(report_);
}

std::vector<std::string> scenario_run::resolve_processes(const std::string& at) {
  if (at == "frozen") return {last_frozen_};
  if (at == "killed") return {last_killed_};
  if (at == "all_control") return fleet_.names('c');
  if (at.empty() || at == "all") {
    std::vector<std::string> all = fleet_.names('c');
    for (const std::string& name : fleet_.names('n')) all.push_back(name);
    return all;
  }
  if (at != "leader" && at != "follower") return {at};
  std::string leader;
  const auto waited = fleet_.wait_until(leader_timeout, [&] { return !(leader = fleet_.leader()).empty(); });
  if (!waited) add_failure("no control host became leader within the timeout");
  if (at == "leader") return {leader};
  for (const std::string& name : fleet_.names('c')) {
    if (name != leader && fleet_.running(name) && name != last_frozen_) return {name};
  }
  add_failure("no running control host is a follower");
  return {};
}

void scenario_run::start(const scenario_step& step) {
  for (const std::string& name : resolve_processes(step.at)) {
    if (fleet_.running(name)) continue;
    const outcome<void> started = capture([&] { return fleet_.start(name); });
    if (!started) add_failure(started.failure().message());
  }
  for (const std::string& name : resolve_processes(step.at)) {
    const auto answered = fleet_.wait_until(start_timeout, [&] { return fleet_.dump(name).has_value(); });
    if (!answered) add_failure(name + " does not answer on its admin port after the start");
  }
  add_line("start " + (step.at.empty() ? "all" : step.at));
}

void scenario_run::submit(const scenario_step& step) {
  last_submission_id_ = fmt::format("scenario-{}", ++submissions_);
  const command_output done = fleet_.submit(step.value, "accepted", last_submission_id_);
  add_line(fmt::format("submit {}: exit {}", step.value, done.exit_code));
  if (done.exit_code != 0) add_failure("submission: " + done.output);
}

// A submission that is repeated with the same id must get the result of the first one and change nothing.
void scenario_run::resubmit(const scenario_step& step) {
  const command_output done = fleet_.submit(step.value, "accepted", last_submission_id_);
  add_line(fmt::format("resubmit {}: exit {}", step.value, done.exit_code));
  if (done.exit_code != 0) add_failure("repeated submission: " + done.output);
}

// Two operators submit from the same base version: exactly one must be accepted, and the other must get a conflict.
// Each submitter has its own base file, because an accepted submission updates that file: with a shared file, a late
// submitter was based on the change of the other, and both were accepted.
void scenario_run::race(const scenario_step& step, std::launch launch_policy) {
  for (const char* submitter : {"race1", "race2"}) {
    const command_output saved = fleet_.run_cli({"show", "--out=" + fleet_.options().work + "/" + submitter + ".yaml"});
    if (saved.exit_code != 0) return add_failure("show: " + saved.output);
  }
  auto first = std::async(launch_policy, [&] { return fleet_.submit_on_saved_base(step.value, 1); });
  auto second = std::async(launch_policy, [&] { return fleet_.submit_on_saved_base(step.value, 2); });
  std::vector<command_output> done{first.get(), second.get()};
  const auto count = [&](int code) {
    return std::count_if(done.begin(), done.end(), [&](const auto& d) { return d.exit_code == code; });
  };
  add_line(fmt::format("race {}: {} accepted, {} in conflict", step.value, count(0), count(exit_conflict)));
  if (count(0) != 1 || count(exit_conflict) != 1) add_failure("race: " + done[0].output + done[1].output);
}

void scenario_run::kill(const scenario_step& step) {
  for (const std::string& name : resolve_processes(step.at)) {
    if (!fleet_.running(name)) continue;
    fleet_.kill(name);
    last_killed_ = name;
  }
  add_line("kill " + step.at);
}

void scenario_run::freeze(const scenario_step& step) {
  for (const std::string& name : resolve_processes(step.at)) {
    fleet_.send_signal(name, SIGSTOP);
    last_frozen_ = name;
  }
  add_line("freeze " + step.at);
}

void scenario_run::release(const scenario_step& step) {
  for (const std::string& name : resolve_processes(step.at)) fleet_.send_signal(name, SIGCONT);
  last_frozen_.clear();
  add_line("release " + step.at);
}

void scenario_run::stop(const scenario_step& step) {
  for (const std::string& name : resolve_processes(step.at)) {
    if (!fleet_.running(name)) continue;
    const int code = fleet_.stop(name);
    if (code != 0) add_failure(fmt::format("{} ended with exit code {}", name, code));
  }
  add_line("stop " + step.at);
}

void scenario_run::lose_disk(const scenario_step& step) {
  for (const std::string& name : resolve_processes(step.at)) {
    if (fleet_.running(name)) fleet_.kill(name);
    fleet_.delete_data_folder(name);
    last_killed_ = name;
  }
  add_line("lose_disk " + step.at);
}

void scenario_run::add_member(const scenario_step& step) { change_member(step, "add"); }

void scenario_run::promote_member(const scenario_step& step) { change_member(step, "promote"); }

// The leader refuses a membership change until the host has reported the id of its new store, and while the learner is
// behind; so the command is retried until the timeout of the step.
void scenario_run::change_member(const scenario_step& step, const std::string& action) {
  for (const std::string& name : resolve_processes(step.at)) {
    std::string last_output;
    const auto changed = fleet_.wait_until(milliseconds(step.within_ms), [&] {
      const std::string leader = fleet_.leader();
      if (leader.empty()) return false;
      const command_output done = fleet_.run_cli({"members", fleet_.address(leader, 1), action, name});
      last_output = done.output;
      return done.exit_code == 0;
    });
    if (!changed) add_failure(fmt::format("{} {}: {}", action, name, last_output));
  }
  add_line(action + " member " + step.at);
}

void scenario_run::expect_in_force(const scenario_step& step) {
  const auto waited = fleet_.wait_in_force(milliseconds(step.within_ms));
  if (!waited) add_failure(waited.failure().message());
  add_line(fmt::format("in force at every running node within {} ms", step.within_ms));
}

bool scenario_run::is_ready(const std::string& name) const {
  const auto state = fleet_.dump(name);
  if (!state) return false;
  const auto& services = state->as_object().at("services").as_object();
  const auto* subscriber = services.if_contains("subscriber");
  return subscriber == nullptr || subscriber->as_object().at("has_document").as_bool();
}

void scenario_run::expect_ready(const scenario_step& step) {
  for (const std::string& name : resolve_processes(step.at)) {
    if (!fleet_.running(name)) continue;
    const auto waited = fleet_.wait_until(milliseconds(step.within_ms), [&] { return is_ready(name); });
    if (!waited) add_failure(name + " is not ready within the time limit");
  }
  add_line(fmt::format("ready within {} ms: {}", step.within_ms, step.at.empty() ? "all" : step.at));
}

// Observes the node for the whole time given, so that a document that arrives late is detected too.
void scenario_run::expect_not_ready(const scenario_step& step) {
  for (const std::string& name : resolve_processes(step.at)) {
    const auto waited = fleet_.wait_until(milliseconds(step.within_ms), [&] { return is_ready(name); });
    if (waited) add_failure(name + " applied a document that no quorum has confirmed");
  }
  add_line(fmt::format("not ready during {} ms: {}", step.within_ms, step.at));
}

// A submission must not be accepted without a quorum.
void scenario_run::expect_refused(const scenario_step& step) {
  const command_output done = fleet_.submit(step.value, "accepted", "refused-" + std::to_string(step.value));
  if (done.exit_code == 0) add_failure("a submission was accepted without a quorum: " + done.output);
  add_line("submission is not accepted");
}

void scenario_run::check_no_version_decrease() {
  std::map<std::string, version> highest;
  for (const applied_event& event : fleet_.applied_events()) {
    version& highest_seen = highest[event.node];
    if (event.applied_version < highest_seen) {
      add_failure(fmt::format("{}: applied version decreased from {} to {}", event.node, highest_seen.text(),
                              event.applied_version.text()));
    }
    highest_seen = std::max(highest_seen, event.applied_version);
  }
}

result<scenario_step> parse_step(const yaml_node& item) {
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
  BOOST_LEAF_AUTO(node_count, nodes->as_unsigned(1, max_nodes));
  s.nodes = static_cast<unsigned>(node_count);
  BOOST_LEAF_AUTO(steps, root.require("steps"));
  BOOST_LEAF_CHECK(steps->expect_kind(yaml_kind::list));
  for (const yaml_node& item : steps->items()) {
    BOOST_LEAF_AUTO(step, parse_step(item));
    s.steps.push_back(step);
  }
  return s;
}

scenario_report run_scenario(const scenario& s, fleet& f) { return scenario_run(s, f).run(); }

}  // namespace heatherdeck

/// @file
/// Scenarios in a small test language: a YAML list of steps that is run against a mesh of real processes.
///
///     name: the leader is killed during a change
///     control_hosts: 3
///     nodes: 6
///     steps:
///       - {do: start}
///       - {do: submit, value: 150}              # accepted change of a route's time-out
///       - {do: kill, at: leader}
///       - {do: submit, value: 151}
///       - {do: expect_in_force, within_ms: 4000}
///
/// Steps: start [at], submit value [expect], resubmit value, race value, race_in_turn value, kill at, freeze at,
/// release at, stop at, lose_disk at, add_member at, promote_member at, expect_in_force within_ms, expect_ready
/// within_ms [at], expect_not_ready at, expect_refused at. `at` is a process's name, `leader`, `follower` (the first
/// control host that runs and is not the leader), `frozen` (the process that was frozen last), `killed` (the one that
/// was killed last), `all_control` or `all`.
///
/// After every step, and at the end over the nodes' whole logs, the version at each node must not have gone down.
/// The session of a run, without times and ports, is compared with a golden file.
#pragma once

#include <string>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/result.h"
#include "testing/fleet.h"

namespace heatherdeck {

enum class step_kind {
  start,
  submit,
  resubmit,
  race,
  race_in_turn,
  kill,
  freeze,
  release,
  stop,
  lose_disk,
  add_member,
  promote_member,
  expect_in_force,
  expect_ready,
  expect_not_ready,
  expect_refused,
};

template <>
struct enum_table<step_kind> {
  static constexpr auto entries = std::to_array<enum_entry<step_kind>>({
      {step_kind::start, "start"},
      {step_kind::submit, "submit"},
      {step_kind::resubmit, "resubmit"},
      {step_kind::race, "race"},
      {step_kind::race_in_turn, "race_in_turn"},
      {step_kind::kill, "kill"},
      {step_kind::freeze, "freeze"},
      {step_kind::release, "release"},
      {step_kind::stop, "stop"},
      {step_kind::lose_disk, "lose_disk"},
      {step_kind::add_member, "add_member"},
      {step_kind::promote_member, "promote_member"},
      {step_kind::expect_in_force, "expect_in_force"},
      {step_kind::expect_ready, "expect_ready"},
      {step_kind::expect_not_ready, "expect_not_ready"},
      {step_kind::expect_refused, "expect_refused"},
  });
};

struct scenario_step {
  step_kind kind = step_kind::start;
  std::string at;
  unsigned value = 0;
  unsigned within_ms = 10'000;
};

struct scenario {
  std::string name;
  unsigned control_hosts = 3;
  unsigned nodes = 6;
  std::vector<scenario_step> steps;
};

/// @param text YAML.
/// @param name of the file, for errors.
result<scenario> parse_scenario(std::string_view text, const std::string& name);

/// Result of a run: the session as text, and what was wrong.
struct scenario_report {
  std::string session;
  std::vector<std::string> faults;
};

/// Runs all steps; stops at the first fault.
scenario_report run_scenario(const scenario& s, fleet& f);

}  // namespace heatherdeck

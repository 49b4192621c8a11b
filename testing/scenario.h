/// @file
/// Scenario tests: a YAML list of steps that heatherdeck_scenario runs against a mesh of real processes.
///
///     name: the leader is killed during a change
///     control_hosts: 3
///     nodes: 6
///     steps:
///       - {do: start}
///       - {do: submit, value: 150}              # changes a route's timeout
///       - {do: kill, at: leader}
///       - {do: submit, value: 151}
///       - {do: expect_in_force, within_ms: 4000}
///
/// Steps and their keys ([optional]; `within_ms` is 10,000 if left out):
///   - start [at]: starts processes and waits until they answer; `at` is `all` if left out
///   - submit value: submits a change with this timeout (ms) and expects that it is accepted
///   - resubmit value: sends the last submission again with the same id and expects exit code 0
///   - race value, race_in_turn value: two submissions from the same base, at the same time or one after the other;
///     expects that one is accepted and the other gets a conflict
///   - kill at, stop at: SIGKILL, or SIGTERM with exit code 0 expected
///   - freeze at, release at: SIGSTOP, SIGCONT
///   - lose_disk at: kills a control host and deletes its data folder
///   - add_member at [within_ms]: adds a control host to the Raft group as a learner
///   - promote_member at [within_ms]: makes a learner a voter
///   - expect_in_force [within_ms]: every running node applies the highest version in time
///   - expect_ready [at] [within_ms]: the processes answer, and nodes have a document, in time
///   - expect_not_ready at [within_ms]: the opposite, for this whole time
///   - expect_refused value: a submission is not accepted (there is no quorum)
///
/// `at` is the name of a process, `leader`, `follower` (the first running control host that is not the leader),
/// `frozen` (the process that was frozen last), `killed` (the one that was killed, or lost its disk, last),
/// `all_control`, or `all` (control hosts and nodes).
///
/// After every step the logs of all nodes are checked: the version that a node applies must never decrease.
/// The session (the printed lines of a run) has no times and ports, and is compared with a golden file.
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

/// One step; which fields are used depends on the kind, see the head of this file.
struct scenario_step {
  step_kind kind = step_kind::start;
  std::string at;               ///< process name or selector
  unsigned value = 0;           ///< timeout of the changed route, ms
  unsigned within_ms = 10'000;  ///< time limit of the step
};

/// A parsed scenario file.
struct scenario {
  std::string name;
  unsigned control_hosts = 3;
  unsigned nodes = 6;
  std::vector<scenario_step> steps;
};

/// Parses a scenario file.
/// @param text content of the file, YAML.
/// @param name path of the file, for error messages.
result<scenario> parse_scenario(std::string_view text, const std::string& name);

/// Result of a run.
struct scenario_report {
  std::string session;                ///< one line per step
  std::vector<std::string> failures;  ///< failed expectations; empty: the scenario passed
};

/// Runs the steps in order; stops after the first step that fails.
scenario_report run_scenario(const scenario& s, fleet& f);

}  // namespace heatherdeck

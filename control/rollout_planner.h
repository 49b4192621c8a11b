/// @file
/// Decides the next step of one rollout: raise the share, wait, give some traffic back for a comparison, finish, or
/// withdraw the version.
///
///     rollout_planner planner(0.5);
///     const plan_step step = planner.next(facts);
///     if (step.action == plan_action::set_share) propose(set_rollout_step{..., step.share, step.status});
///
/// The planner keeps no state: everything is in the facts, so a new leader plans on. Its rules, in order:
/// 1. evidence at or above the threshold: withdraw, as long as old upstreams run;
/// 2. no raise while evidence or local cuts give cause for concern; when the old version has few calls left and the new
///    one has become worse than the old one was, some traffic is given back to compare the two;
/// 3. the share follows a geometric ramp that ends some time before the finish time: a fault of any size then meets a
///    share in proportion to the time spent so far, and every step shows the load of the next one at least in part;
/// 4. a step is at most `largest_growth` times the share before, is held for a least time, needs calls of the new
///    version since the last step, and is bounded by the warm upstreams of the new version.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"
#include "model/compiled_document.h"
#include "model/document.h"

namespace heatherdeck {

enum class plan_action { wait, set_share, withdraw };

template <>
struct enum_table<plan_action> {
  static constexpr auto entries = std::to_array<enum_entry<plan_action>>({
      {plan_action::wait, "wait"},
      {plan_action::set_share, "set_share"},
      {plan_action::withdraw, "withdraw"},
  });
};

/// What the plan depends on.
struct plan_facts {
  time_point now{};
  rollout_spec wanted;
  basis_points share = 0;
  rollout_status status = rollout_status::running;
  time_point started{};         ///< when this process first saw the rollout
  time_point last_step{};       ///< when the share last changed, or this leader's term began
  time_point watching_since{};  ///< only with status watching
  std::size_t warm_new = 0;     ///< warm announced upstreams of the new version
  std::size_t warm_old = 0;
  std::uint64_t new_calls = 0;  ///< since the last step
  std::uint64_t old_calls = 0;
  double evidence = 1;
  double threshold = 200;
  std::uint32_t probes = 0;   ///< how often traffic was given back for a comparison
  bool suspicious = false;    ///< see version_judge::suspicious
  bool cut_recently = false;  ///< a node has cut the version off in the last seconds
};

struct plan_step {
  plan_action action = plan_action::wait;
  basis_points share = 0;
  rollout_status status = rollout_status::running;
  std::string reason;  ///< in words, for operators
};

class rollout_planner {
 public:
  static constexpr double largest_growth = 3.0;
  /// Share of the new version while a suspicion is examined: one that shows most in the least time; and one at which a
  /// fault that needs nearly all traffic still shows, used right after a raise and when the first confirmed nothing.
  static constexpr basis_points even_probe_share = 5'000;
  static constexpr basis_points loaded_probe_share = 9'000;
  /// The last step starts from at least nearly_all, so that a fault which needs nearly all traffic meets a share that
  /// still leaves calls of the old version to compare with.
  static constexpr basis_points nearly_all = 9'000;
  static constexpr basis_points last_share_before_all = 9'500;
  static constexpr std::chrono::seconds probe_time{25};

  /// @param convergence_weight 1 favours an early finish, 0 uses nearly all of the time for evidence.
  explicit rollout_planner(double convergence_weight = 0.5) : convergence_weight_(convergence_weight) {}

  plan_step next(const plan_facts& facts) const;

  /// @return when a rollout that has reached this share would have started by the plan; `now` for share 0.
  time_point started_from(const rollout_spec& wanted, basis_points share, time_point now) const;

  /// @return the part of the finish time in which the ramp is planned to end.
  double planned_part() const;

 private:
  plan_step running(const plan_facts& facts) const;
  plan_step watching(const plan_facts& facts) const;
  std::optional<plan_step> probe(const plan_facts& facts) const;
  basis_points ramp(const plan_facts& facts) const;

  double convergence_weight_;
};

}  // namespace heatherdeck

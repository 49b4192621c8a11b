/// @file
/// Decides the next step of one rollout: raise the share of the new version, wait, lower the share for a comparison
/// with the old version, finish, or withdraw the new version. Called once a second by rollout_core.
///
///     rollout_planner planner(0.5);
///     const planner_decision step = planner.next(input);
///     if (step.action == plan_action::set_share) propose(set_rollout_step{..., step.share, step.status});
///
/// The planner is stateless: everything it needs is in planner_input, so a new leader continues the plan. Its rules, in
/// order:
/// 1. an e-value at or above the threshold: withdraw, as long as upstreams of the old version run;
/// 2. no raise while the e-value is high or a node has cut the new version off locally; when the old version has few
///    calls left and the new one has become worse than the old one was, the share is lowered to compare the two;
/// 3. the share follows a geometric ramp that ends some time before the finish time: the share at which a fault of any
///    size appears is then in proportion to the time spent so far, and every step shows at least part of the load of
///    the next one;
///    With a bound of exposure (rollout_spec::max_exposure) the ramp starts as late as the finish time allows and takes
///    its steps quickly: the longer the share is small, the less a version gets that turns out to be bad. A step that
///    would exceed the bound before a verdict on it can be in force is not made. The step to all traffic is exempt: it
///    needs a share of `bounded_share_before_all` without a sign of a fault, and a rollout could never finish
///    otherwise;
/// 4. a step is at most `max_growth_factor` times the previous share, is held for a minimum time, needs calls of the
///    new version since the last step, and is bounded by the warm upstreams of the new version.
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

/// Everything that a decision depends on.
struct planner_input {
  time_point now{};
  rollout_spec spec;
  basis_points share = 0;  ///< of the new version, at present
  rollout_status status = rollout_status::running;
  time_point started{};         ///< when this process first saw the rollout; for one in progress see estimated_start
  time_point last_step{};       ///< when the share last changed, or this leader's term began
  time_point watching_since{};  ///< only with status watching
  std::size_t warm_new = 0;     ///< announced upstreams of the new version that are warm
  std::size_t warm_old = 0;
  std::uint64_t new_calls = 0;  ///< calls to the new version since last_step
  std::uint64_t old_calls = 0;
  double e_value = 1;  ///< see version_judge::e_value
  double threshold = 200;
  std::uint32_t comparisons = 0;  ///< how often the share was lowered for a comparison
  bool drift_detected = false;    ///< see version_judge::drift_detected
  bool cut_recently = false;      ///< a node has cut the new version off in the last seconds
  duration exposure{};            ///< what the new version has received so far, in time at full traffic
};

/// What to do next; `share` and `status` are the new ones of the rollout when the action is set_share.
struct planner_decision {
  plan_action action = plan_action::wait;
  basis_points share = 0;
  rollout_status status = rollout_status::running;
  std::string reason;  ///< a text for operators
};

class rollout_planner {
 public:
  static constexpr double max_growth_factor = 3.0;
  /// Share of the new version during a comparison. The even share gives the most information in the least time. At the
  /// loaded share a fault that needs nearly all traffic still shows; it is used right after a raise, and when an
  /// earlier comparison has found no fault.
  static constexpr basis_points even_comparison_share = 5'000;
  static constexpr basis_points loaded_comparison_share = 9'000;
  /// The step to all traffic starts from a share between these two, so that a fault which needs nearly all traffic
  /// appears while the old version still has calls to compare with.
  static constexpr basis_points min_share_before_all = 9'000;
  static constexpr basis_points max_share_before_all = 9'500;
  static constexpr std::chrono::seconds comparison_time{25};  ///< longest time of one comparison
  /// As max_share_before_all, with a bound of exposure. The old version keeps a fifth of the calls, so that a verdict
  /// takes less than a second; with a twentieth it takes several.
  static constexpr basis_points bounded_share_before_all = 8'000;
  /// Time from the first calls at a new share to the moment at which a withdrawal is in force at the nodes: calls end,
  /// nodes report, the leader decides, a quorum accepts, nodes apply.
  static constexpr std::chrono::milliseconds verdict_delay{900};
  /// Time between two steps of a rollout with a bound of exposure.
  static constexpr std::chrono::milliseconds bounded_step_time{1000};

  /// @param convergence_weight 0 to 1: 1 favours an early finish, 0 uses nearly all of the time to collect evidence.
  explicit rollout_planner(double convergence_weight = 0.5) : convergence_weight_(convergence_weight) {}

  planner_decision next(const planner_input& input) const;

  /// @return the time at which a rollout that follows the ramp started, if it has now reached this share; `now` for
  /// share 0.
  time_point estimated_start(const rollout_spec& spec, basis_points share, time_point now) const;

  /// @return the fraction of the finish time after which the ramp reaches all traffic.
  double ramp_fraction() const;

 private:
  planner_decision running(const planner_input& input) const;
  planner_decision watching(const planner_input& input) const;
  std::optional<planner_decision> comparison_step(const planner_input& input) const;
  basis_points ramp(const planner_input& input) const;
  static basis_points next_bounded_share(basis_points share);
  static duration bounded_ramp_time(basis_points share);
  static basis_points max_bounded_share(const planner_input& input);
  static time_point next_bounded_step(const planner_input& input);
  basis_points planned_share(const planner_input& input) const;
  static double growth_limit(const planner_input& input);
  static std::string ramp_wait_reason(const planner_input& input);

  double convergence_weight_;
};

}  // namespace heatherdeck

// The ramp is share(t) = first * (1 / first) ^ (t / planned time). The ramp spends equal time on equal growth factors,
// so a fault can affect the same fraction of the calls before it is found, whichever step it appears in; that bounds
// the cost of a fault whose time of appearance is unknown. Invariant: a raise needs calls of the new version since the
// last step, unless fewer than `negligible_calls` are expected in a step. Cost: O(1).
//
// With a bound of exposure the cost of a fault is the integral of the share until the withdrawal is in force. A
// geometric ramp spends most of it at large shares that have shown all they can show; there, each share is held only
// until a verdict on it is possible, and the time that is left over is spent at the first share.
#include "control/rollout_planner.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace heatherdeck {
namespace {

// At or above this e-value no share is raised. A good version reaches it with a probability of at most one tenth, and
// is only delayed then.
constexpr double hold_e_value = 10;
// At or above this e-value a comparison is continued; for most good versions the e-value is below 1.
constexpr double continue_comparison_e_value = 2;
// A fault that appears within this time after a raise may depend on the load.
constexpr std::chrono::seconds recent_raise{30};
// Calls of the new version that are required between two steps; fewer when time is short.
constexpr double min_calls_per_step = 60;
constexpr std::chrono::seconds max_hold{15};
// One evidence period: in a rollout of a few seconds each step is held for one period.
constexpr std::chrono::seconds min_hold{1};
// A step takes effect some milliseconds after the tick that decided it; without this tolerance a hold of whole seconds
// lasts one tick longer, which a rollout of a few seconds cannot afford.
constexpr std::chrono::milliseconds tick_tolerance{200};
// With fewer expected calls than this in a step a fault affects hardly any caller, and waiting for min_calls_per_step
// would take too long.
constexpr double negligible_calls = 3;
// In a service that can lose an availability zone an upstream runs at no more than half of its capacity, so it can take
// twice its usual share of the traffic.
constexpr double capacity_headroom = 2;

double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

planner_decision wait(std::string reason) { return {.reason = std::move(reason)}; }

basis_points capacity_bound(const planner_input& input) {
  if (input.warm_new == 0) return 0;
  if (input.warm_old == 0) return full_share;
  const double fraction = capacity_headroom * static_cast<double>(input.warm_new) / static_cast<double>(input.warm_old);
  return static_cast<basis_points>(std::min(1.0, fraction) * full_share);
}

duration hold_time(const planner_input& input) {
  if (input.spec.max_exposure) return rollout_planner::bounded_step_time;
  const duration twentieth = std::chrono::duration_cast<duration>(input.spec.finish_within) / 20;
  return std::clamp<duration>(twentieth, min_hold, max_hold);
}

// A comparison that finds no fault must leave enough time to finish the rollout.
duration max_comparison_time(const planner_input& input) {
  return std::min<duration>(rollout_planner::comparison_time,
                            std::chrono::duration_cast<duration>(input.spec.finish_within) / 6);
}

}  // namespace

double rollout_planner::ramp_fraction() const { return 0.95 - 0.3 * std::clamp(convergence_weight_, 0.0, 1.0); }

time_point rollout_planner::estimated_start(const rollout_spec& spec, basis_points share, time_point now) const {
  const double first = std::clamp(static_cast<double>(spec.max_first_share) / full_share, 1e-4, 1.0);
  if (share == 0 || first >= 1) return now;
  if (spec.max_exposure) return now - std::max(duration{}, spec.finish_within - bounded_ramp_time(share));
  const double reached = static_cast<double>(share) / full_share;
  const double fraction = std::clamp(1 - std::log(reached) / std::log(first), 0.0, 1.0);
  const auto elapsed = std::chrono::duration<double>(fraction * ramp_fraction() * seconds(spec.finish_within));
  return now - std::chrono::duration_cast<duration>(elapsed);
}

planner_decision rollout_planner::next(const planner_input& input) const {
  if (input.status != rollout_status::running && input.status != rollout_status::watching) return wait("finished");
  if (input.e_value >= input.threshold) {
    if (input.warm_old == 0)
      return wait("the new version is worse, but the old one has no warm upstream left to return to");
    return {plan_action::withdraw, 0, rollout_status::rolled_back, "the new version is worse than the old one"};
  }
  return input.status == rollout_status::running ? running(input) : watching(input);
}

std::optional<planner_decision> rollout_planner::comparison_step(const planner_input& input) const {
  if (!input.drift_detected || input.warm_old == 0) return std::nullopt;
  const bool raised_recently = input.now - input.last_step < recent_raise;
  const basis_points comparison_share =
      input.comparisons > 0 || raised_recently ? loaded_comparison_share : even_comparison_share;
  const auto new_upstreams = static_cast<double>(std::max<std::size_t>(1, input.warm_new));
  const double capacity = capacity_headroom * static_cast<double>(input.warm_old) / new_upstreams;
  const double old_fraction = std::min(1 - static_cast<double>(comparison_share) / full_share, capacity);
  const auto share = static_cast<basis_points>(std::lround((1 - old_fraction) * full_share));
  if (share >= input.share) return std::nullopt;
  return planner_decision{plan_action::set_share, share, input.status,
                          "some traffic returns to the old version for a comparison"};
}

basis_points rollout_planner::ramp(const planner_input& input) const {
  const double first = std::max(1.0, static_cast<double>(input.spec.max_first_share)) / full_share;
  const double planned = seconds(input.spec.finish_within) * ramp_fraction();
  const double fraction = planned <= 0 ? 1 : std::clamp(seconds(input.now - input.started) / planned, 0.0, 1.0);
  return static_cast<basis_points>(std::lround(std::pow(first, 1 - fraction) * full_share));
}

basis_points rollout_planner::next_bounded_share(basis_points share) {
  if (share >= bounded_share_before_all) return full_share;
  const auto grown = static_cast<basis_points>(static_cast<double>(share) * max_growth_factor);
  return std::min(grown, bounded_share_before_all);
}

// Time that the ramp needs from this share to all traffic.
duration rollout_planner::bounded_ramp_time(basis_points share) {
  duration time{};
  for (basis_points reached = std::max<basis_points>(share, 1); reached < full_share;
       reached = next_bounded_share(reached)) {
    time += bounded_step_time;
  }
  return time;
}

// Returns the largest share whose calls until a verdict do not exceed the bound.
basis_points rollout_planner::max_bounded_share(const planner_input& input) {
  const double left = seconds(*input.spec.max_exposure - input.exposure);
  return static_cast<basis_points>(std::clamp(left / seconds(verdict_delay), 0.0, 1.0) * full_share);
}

// The time of the next step of a bounded ramp, so that the steps after it still fit into the finish time.
time_point rollout_planner::next_bounded_step(const planner_input& input) {
  return input.started + input.spec.finish_within - bounded_ramp_time(input.share);
}

// The share that the ramp has reached, without the limits of growth and capacity.
basis_points rollout_planner::planned_share(const planner_input& input) const {
  if (!input.spec.max_exposure) return ramp(input);
  if (input.now + tick_tolerance < next_bounded_step(input)) return input.share;
  return next_bounded_share(input.share) < full_share ? max_bounded_share(input) : full_share;
}

double rollout_planner::growth_limit(const planner_input& input) {
  if (input.spec.max_exposure) return next_bounded_share(input.share);
  if (input.share >= min_share_before_all) return full_share;
  return std::min<double>(input.share * max_growth_factor, max_share_before_all);
}

std::string rollout_planner::ramp_wait_reason(const planner_input& input) {
  if (!input.spec.max_exposure || input.now + tick_tolerance < next_bounded_step(input)) {
    return "the ramp has not reached the next step";
  }
  return fmt::format("a larger share may exceed the bound of exposure: {:.0f} of {} ms are spent",
                     1000 * seconds(input.exposure), input.spec.max_exposure->count());
}

planner_decision rollout_planner::running(const planner_input& input) const {
  if (input.warm_new == 0) return wait("no warm upstream of the new version");
  if (input.share == 0) {
    const basis_points first = std::clamp<basis_points>(input.spec.max_first_share, 1, full_share);
    return {plan_action::set_share, std::min(first, capacity_bound(input)), rollout_status::running, "first share"};
  }
  if (const auto step = comparison_step(input)) return *step;
  if (input.e_value >= hold_e_value) return wait("the evidence against the new version is too high for a raise");
  if (input.cut_recently) return wait("a node has recently cut the new version off");
  const duration hold = hold_time(input);
  if (input.now - input.last_step < hold - tick_tolerance) return wait("the last step is too recent");
  const double limit = std::min<double>(growth_limit(input), capacity_bound(input));
  const auto target = static_cast<basis_points>(std::min<double>(planned_share(input), limit));
  if (target <= input.share)
    return wait(limit <= input.share ? "too few warm upstreams of the new version" : ramp_wait_reason(input));
  // A raise of less than a quarter is not worth a log entry and a message to every node.
  if (target < max_share_before_all && target < input.share + input.share / 4) return wait(ramp_wait_reason(input));
  const double fraction = static_cast<double>(input.share) / full_share;
  const double expected = fraction * static_cast<double>(input.new_calls + input.old_calls);
  const double time_left = 1 - seconds(input.now - input.started) / std::max(1.0, seconds(input.spec.finish_within));
  const double needed = min_calls_per_step * std::clamp(2 * time_left, 0.05, 1.0);
  if (static_cast<double>(input.new_calls) < needed && expected >= negligible_calls) {
    return wait(
        fmt::format("{} of {:.0f} required calls of the new version since the last step", input.new_calls, needed));
  }
  const bool complete = target >= full_share;
  return {plan_action::set_share, target, complete ? rollout_status::watching : rollout_status::running,
          complete ? "all traffic" : "next step"};
}

planner_decision rollout_planner::watching(const planner_input& input) const {
  const duration since_step = input.now - input.last_step;
  if (input.share < full_share) {
    const bool undecided = input.e_value >= continue_comparison_e_value || input.cut_recently;
    if (undecided || since_step < max_comparison_time(input)) return wait("the versions are being compared");
    return {plan_action::set_share, full_share, rollout_status::watching, "the comparison has not confirmed a fault"};
  }
  if (const auto step = comparison_step(input)) return *step;
  if (input.now - input.watching_since >= input.spec.watch_period - tick_tolerance) {
    return {plan_action::set_share, full_share, rollout_status::done, "no fault found in the watch time"};
  }
  return wait("watching");
}

}  // namespace heatherdeck

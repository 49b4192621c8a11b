// The ramp is share(t) = first * (1 / first) ^ (t / planned time). With equal time for each factor, the share of calls
// that a fault can hurt before it is found is the same at each factor, which is what bounds the cost of a fault of
// unknown time of appearance. Invariant: a raise needs calls of the new version since the last step, except for a
// service that has hardly any calls. Cost: O(1).
#include "control/rollout_planner.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace heatherdeck {
namespace {

// Evidence at which no share is raised; a good version reaches it with a probability of at most one tenth, and only
// waits then.
constexpr double evidence_of_concern = 10;
// Evidence above which a comparison goes on; it is below 1 for most good versions.
constexpr double evidence_to_go_on = 2;
// A fault that shows within this time after a raise may depend on the load.
constexpr std::chrono::seconds recent_raise{30};
// Calls of the new version that a step must have seen when there is time enough.
constexpr double calls_for_step = 60;
constexpr std::chrono::seconds longest_hold{15};
// One period of evidence: in a rollout of some seconds each step is held for just one.
constexpr std::chrono::seconds shortest_hold{1};
// A step is in force some milliseconds after the tick that decided it; without this tolerance a hold of whole seconds
// lasts a tick longer, which a rollout of some seconds cannot afford.
constexpr std::chrono::milliseconds tick_tolerance{200};
// With fewer expected calls than this in a step a fault hurts next to nobody, and waiting for them would take for ever.
constexpr double negligible_calls = 3;
// An upstream works at half of its capacity at most in a service that can lose an availability zone, so it can take
// twice its usual part.
constexpr double headroom = 2;

double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

plan_step wait(std::string reason) { return {.reason = std::move(reason)}; }

basis_points capacity_bound(const plan_facts& facts) {
  if (facts.warm_new == 0) return 0;
  if (facts.warm_old == 0) return whole_traffic;
  const double part = headroom * static_cast<double>(facts.warm_new) / static_cast<double>(facts.warm_old);
  return static_cast<basis_points>(std::min(1.0, part) * whole_traffic);
}

duration hold_time(const plan_facts& facts) {
  const duration tenth = std::chrono::duration_cast<duration>(facts.wanted.finish_within) / 20;
  return std::clamp<duration>(tenth, shortest_hold, longest_hold);
}

// A comparison must leave time to finish when it confirms nothing.
duration longest_probe(const plan_facts& facts) {
  return std::min<duration>(rollout_planner::probe_time,
                            std::chrono::duration_cast<duration>(facts.wanted.finish_within) / 6);
}

}  // namespace

double rollout_planner::planned_part() const { return 0.95 - 0.3 * std::clamp(convergence_weight_, 0.0, 1.0); }

time_point rollout_planner::started_from(const rollout_spec& wanted, basis_points share, time_point now) const {
  const double first = std::clamp(static_cast<double>(wanted.max_first_share) / whole_traffic, 1e-4, 1.0);
  if (share == 0 || first >= 1) return now;
  const double reached = static_cast<double>(share) / whole_traffic;
  const double part = std::clamp(1 - std::log(reached) / std::log(first), 0.0, 1.0);
  const auto elapsed = std::chrono::duration<double>(part * planned_part() * seconds(wanted.finish_within));
  return now - std::chrono::duration_cast<duration>(elapsed);
}

plan_step rollout_planner::next(const plan_facts& facts) const {
  if (facts.status != rollout_status::running && facts.status != rollout_status::watching) return wait("finished");
  if (facts.evidence >= facts.threshold) {
    if (facts.warm_old == 0) return wait("the new version is bad, but no upstream of the old version is left");
    return {plan_action::withdraw, 0, rollout_status::rolled_back, "the new version is worse than the old one"};
  }
  return facts.status == rollout_status::running ? running(facts) : watching(facts);
}

std::optional<plan_step> rollout_planner::probe(const plan_facts& facts) const {
  if (!facts.suspicious || facts.warm_old == 0) return std::nullopt;
  const bool after_raise = facts.now - facts.last_step < recent_raise;
  const basis_points probe = facts.probes > 0 || after_raise ? loaded_probe_share : even_probe_share;
  const auto fresh = static_cast<double>(std::max<std::size_t>(1, facts.warm_new));
  const double capacity = headroom * static_cast<double>(facts.warm_old) / fresh;
  const double old_part = std::min(1 - static_cast<double>(probe) / whole_traffic, capacity);
  const auto share = static_cast<basis_points>(std::lround((1 - old_part) * whole_traffic));
  if (share >= facts.share) return std::nullopt;
  return plan_step{plan_action::set_share, share, facts.status, "some traffic goes back for a comparison"};
}

basis_points rollout_planner::ramp(const plan_facts& facts) const {
  const double first = std::max(1.0, static_cast<double>(facts.wanted.max_first_share)) / whole_traffic;
  const double planned = seconds(facts.wanted.finish_within) * planned_part();
  const double part = planned <= 0 ? 1 : std::clamp(seconds(facts.now - facts.started) / planned, 0.0, 1.0);
  return static_cast<basis_points>(std::lround(std::pow(first, 1 - part) * whole_traffic));
}

plan_step rollout_planner::running(const plan_facts& facts) const {
  if (facts.warm_new == 0) return wait("no warm upstream of the new version");
  if (facts.share == 0) {
    const basis_points first = std::clamp<basis_points>(facts.wanted.max_first_share, 1, whole_traffic);
    return {plan_action::set_share, std::min(first, capacity_bound(facts)), rollout_status::running, "first share"};
  }
  if (const auto step = probe(facts)) return *step;
  if (facts.evidence >= evidence_of_concern) return wait("the evidence gives cause for concern");
  if (facts.cut_recently) return wait("a node has cut the new version off");
  const duration hold = hold_time(facts);
  if (facts.now - facts.last_step < hold - tick_tolerance) return wait("the last step is recent");
  const double growth =
      facts.share < nearly_all ? std::min<double>(facts.share * largest_growth, last_share_before_all) : whole_traffic;
  const double limit = std::min<double>(growth, capacity_bound(facts));
  const auto target = static_cast<basis_points>(std::min<double>(ramp(facts), limit));
  if (target <= facts.share) return wait(limit <= facts.share ? "too few warm upstreams" : "the plan has no step yet");
  // A step of less than a quarter is not worth a log entry and a message to every node.
  if (target < last_share_before_all && target < facts.share + facts.share / 4) return wait("the plan has no step yet");
  const double part = static_cast<double>(facts.share) / whole_traffic;
  const double expected = part * static_cast<double>(facts.new_calls + facts.old_calls);
  const double time_left = 1 - seconds(facts.now - facts.started) / std::max(1.0, seconds(facts.wanted.finish_within));
  const double needed = calls_for_step * std::clamp(2 * time_left, 0.05, 1.0);
  if (static_cast<double>(facts.new_calls) < needed && expected >= negligible_calls) {
    return wait(fmt::format("{} of {:.0f} calls since the last step", facts.new_calls, needed));
  }
  const bool complete = target >= whole_traffic;
  return {plan_action::set_share, target, complete ? rollout_status::watching : rollout_status::running,
          complete ? "all traffic" : "next step"};
}

plan_step rollout_planner::watching(const plan_facts& facts) const {
  const duration since_step = facts.now - facts.last_step;
  if (facts.share < whole_traffic) {
    const bool open = facts.evidence >= evidence_to_go_on || facts.cut_recently;
    if (open || since_step < longest_probe(facts)) return wait("comparing with the old version");
    return {plan_action::set_share, whole_traffic, rollout_status::watching, "the suspicion was not confirmed"};
  }
  if (const auto step = probe(facts)) return *step;
  if (facts.now - facts.watching_since >= facts.wanted.watch - tick_tolerance) {
    return {plan_action::set_share, whole_traffic, rollout_status::done, "watched without a fault"};
  }
  return wait("watching");
}

}  // namespace heatherdeck

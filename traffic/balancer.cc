// A random choice instead of the best of all candidates: otherwise the many nodes that hold the same old load reports
// would all send their requests to the same target until the next report. By utilisation the better of two is taken; by
// response time a candidate is drawn with a weight of the sixth power of 1 / expected time, which is steep enough to
// leave slow targets nearly idle while fast ones have free slots, and gives near equals equal parts. The weight of a
// report halves every 500 ms, because a target's queue changes within a few service times. Invariant: a candidate at
// its connection limit is never chosen, and one of another region only when every candidate of this region is avoided.
// Cost: O(candidates) for each pick.
#include "traffic/balancer.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <vector>

namespace heatherdeck {
namespace {

constexpr double half_life_s = 0.5;
// Score penalty for a latency of twice the lowest one, as a fraction of the slots being busy; proportional beyond that.
constexpr double latency_weight = 0.25;
// Caps the penalty, so that a target that was slow once still gets requests, which show when it has recovered.
constexpr double max_latency_ratio = 8;
// A pace lasts some hundred milliseconds, so an older report says little about the present one.
constexpr double pace_half_life_s = 0.3;
// Utilisation below full slots counts as this part of a service time at most: the estimate of the requests is old, and
// other nodes send to the same fast target meanwhile.
constexpr double utilisation_time = 0.3;
// Added for a target of another zone of the region, in mean service times: the way is short, but its bytes are paid.
constexpr double other_zone_time = 0.25;
// Lower bound of an expected response time, for upstreams that have answered at once so far.
constexpr double shortest_time = 0.05;

using index_list = std::vector<std::size_t>;

bool has_free_slot(const balance_candidate& c, time_point now) {
  return c.load->estimated_requests(now) < std::max(1.0, c.slots * c.weight);
}

bool can_connect(const balance_candidate& c) { return c.load->own_in_flight < c.connections; }

// Preference of a candidate; the lowest value is taken. An avoided candidate comes after all others. A target of this
// region comes before one of another region also when it seems full: the estimate is old, its node queues a request for
// a short time only or refuses it at once, after which the target is avoided, and every request that leaves the region
// costs two long ways and paid bytes.
struct preference {
  bool avoided;
  bool other_region;
  bool full;
  bool other_zone;  // only of candidates with a free slot: among full ones the least loaded of the region is taken

  // clang-tidy mistakes the zero in the compiler's rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const preference&) const = default;
};

preference preference_of(const balance_candidate& c, placement_policy placement, time_point now) {
  const bool avoided = c.suspect || c.tried || c.refusing;
  const bool other_region = c.locality == locality_class::remote;
  // The expected response time covers full slots and the way to another zone.
  if (placement == placement_policy::response_time) return {avoided, other_region, false, false};
  const bool full = !has_free_slot(c, now);
  // The upstream on this host ranks equally with the others of its zone; otherwise a node with many callers would
  // overload it.
  return {avoided, other_region, full, !full && c.locality > locality_class::zone};
}

}  // namespace

void load_estimate::apply_report(const load_report& load, time_point now) {
  last_report = load;
  own_in_flight_at_report = own_in_flight;
  reported_at = now;
}

double load_estimate::estimated_requests(time_point now) const {
  if (reported_at == time_point{}) return own_in_flight;
  const double total = static_cast<double>(last_report.in_flight) + last_report.queued;
  const double others = std::max(0.0, total - own_in_flight_at_report);
  const double age_s = std::chrono::duration<double>(now - reported_at).count();
  return own_in_flight + others * std::exp2(-std::max(0.0, age_s) / half_life_s);
}

double load_estimate::estimated_pace(time_point now) const {
  if (!reports_pace()) return 1;
  const double age_s = std::chrono::duration<double>(now - reported_at).count();
  return 1 + (last_report.pace - 1) * std::exp2(-std::max(0.0, age_s) / pace_half_life_s);
}

double expected_response_time(const balance_candidate& candidate, time_point now) {
  const double slots = std::max(1.0, candidate.slots * candidate.weight);
  const double requests = candidate.load->estimated_requests(now);
  const double ahead = std::max(0.0, requests + 1 - slots) / slots;
  const double busy = utilisation_time * std::min(1.0, requests / slots);
  const double way = candidate.locality > locality_class::zone ? other_zone_time : 0;
  return candidate.relative_time * candidate.load->estimated_pace(now) * (1 + busy + ahead) + way;
}

double balance_score(const balance_candidate& candidate, double lowest_latency_ms, time_point now) {
  const double capacity = std::max(1.0, static_cast<double>(candidate.slots)) * std::max(0.05, candidate.weight);
  const double busy = (candidate.load->estimated_requests(now) + 1) / capacity;
  if (lowest_latency_ms <= 0 || candidate.latency_ms <= 0) return busy;
  return busy + latency_weight * std::min(candidate.latency_ms / lowest_latency_ms - 1, max_latency_ratio);
}

struct balancer::placement_row {
  placement_policy policy;
  std::size_t (balancer::*choose)(std::span<const balance_candidate>, std::span<std::size_t>, time_point);
};

const balancer::placement_row balancer::placements[] = {
    {placement_policy::utilisation, &balancer::choose_by_utilisation},
    {placement_policy::response_time, &balancer::choose_by_response_time},
};

std::size_t balancer::choose_by_utilisation(std::span<const balance_candidate> candidates,
                                            std::span<std::size_t> eligible, time_point now) {
  const std::size_t first = random_.below(eligible.size());
  std::size_t second = random_.below(eligible.size() - 1);
  if (second >= first) ++second;
  double lowest = 0;
  for (const std::size_t i : eligible) {
    const double latency = candidates[i].latency_ms;
    if (latency > 0 && (lowest == 0 || latency < lowest)) lowest = latency;
  }
  const std::size_t a = eligible[first];
  const std::size_t b = eligible[second];
  return balance_score(candidates[b], lowest, now) < balance_score(candidates[a], lowest, now) ? b : a;
}

std::size_t balancer::choose_by_response_time(std::span<const balance_candidate> candidates,
                                              std::span<std::size_t> eligible, time_point now) {
  std::vector<double> cumulative;
  cumulative.reserve(eligible.size());
  double total = 0;
  for (const std::size_t i : eligible) {
    const double squared = std::pow(std::max(shortest_time, expected_response_time(candidates[i], now)), 2);
    total += 1 / (squared * squared * squared);
    cumulative.push_back(total);
  }
  const double drawn = random_.fraction() * total;
  const auto at = std::upper_bound(cumulative.begin(), cumulative.end() - 1, drawn);
  return eligible[static_cast<std::size_t>(at - cumulative.begin())];
}

std::optional<std::size_t> balancer::pick(std::span<const balance_candidate> candidates, time_point now,
                                          spillover_policy spillover, placement_policy placement) {
  const auto in_other_region = [](const balance_candidate& c) { return c.locality == locality_class::remote; };
  const bool stay_in_region = spillover == spillover_policy::avoid_other_regions &&
                              std::any_of(candidates.begin(), candidates.end(),
                                          [&](const auto& c) { return !in_other_region(c) && !c.suspect; });
  index_list eligible;
  std::optional<preference> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const balance_candidate& c = candidates[i];
    if (!can_connect(c) || (stay_in_region && (in_other_region(c) || c.tried))) continue;
    const preference rank = preference_of(c, placement, now);
    if (best && rank > *best) continue;
    if (!best || rank < *best) eligible.clear();
    best = rank;
    eligible.push_back(i);
  }
  if (eligible.empty()) return std::nullopt;
  if (eligible.size() == 1) return eligible.front();
  const auto* row = std::find_if(std::begin(placements), std::end(placements),
                                 [placement](const placement_row& r) { return r.policy == placement; });
  return (this->*row->choose)(candidates, eligible, now);
}

}  // namespace heatherdeck

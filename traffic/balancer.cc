// Power of two choices instead of the best of all candidates: otherwise the many nodes that hold the same old load
// reports would all send their requests to the same target until the next report. The weight of a report halves every
// 500 ms, because a target's queue changes within a few service times. Invariant: a candidate at its connection limit
// is never chosen, and one of another region only when every candidate of this region is avoided. Cost: O(candidates)
// for each pick.
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

preference preference_of(const balance_candidate& c, time_point now) {
  const bool full = !has_free_slot(c, now);
  // The upstream on this host ranks equally with the others of its zone; otherwise a node with many callers would
  // overload it.
  return {c.suspect || c.tried || c.refusing, c.locality == locality_class::remote, full,
          !full && c.locality > locality_class::zone};
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

double balance_score(const balance_candidate& candidate, double lowest_latency_ms, time_point now) {
  const double capacity = std::max(1.0, static_cast<double>(candidate.slots)) * std::max(0.05, candidate.weight);
  const double busy = (candidate.load->estimated_requests(now) + 1) / capacity;
  if (lowest_latency_ms <= 0 || candidate.latency_ms <= 0) return busy;
  return busy + latency_weight * std::min(candidate.latency_ms / lowest_latency_ms - 1, max_latency_ratio);
}

std::optional<std::size_t> balancer::pick(std::span<const balance_candidate> candidates, time_point now,
                                          spillover_policy spillover) {
  const auto in_other_region = [](const balance_candidate& c) { return c.locality == locality_class::remote; };
  const bool stay_in_region = spillover == spillover_policy::avoid_other_regions &&
                              std::any_of(candidates.begin(), candidates.end(),
                                          [&](const auto& c) { return !in_other_region(c) && !c.suspect; });
  index_list eligible;
  std::optional<preference> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const balance_candidate& c = candidates[i];
    if (!can_connect(c) || (stay_in_region && (in_other_region(c) || c.tried))) continue;
    const preference rank = preference_of(c, now);
    if (best && rank > *best) continue;
    if (!best || rank < *best) eligible.clear();
    best = rank;
    eligible.push_back(i);
  }
  if (eligible.empty()) return std::nullopt;
  if (eligible.size() == 1) return eligible.front();
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

}  // namespace heatherdeck

// Two random choices instead of the best of all: many nodes that hold equal and old reports would otherwise send all
// their requests to the same target until the next report. Reports lose half of their weight each 500 ms, because a
// target's queue changes within a few service times. Invariant: a candidate at its connection limit is never chosen,
// and a farther class only when no nearer candidate has a free slot. Cost: O(candidates) for each pick.
#include "traffic/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace heatherdeck {
namespace {

constexpr double half_life_s = 0.5;
// One latency ratio above the lowest counts like this part of the slots being busy.
constexpr double latency_weight = 0.25;
// Limits the penalty, so that a target that was slow once still gets requests and can show that it has recovered.
constexpr double highest_latency_ratio = 8;

using index_list = std::vector<std::size_t>;

bool has_free_slot(const balance_candidate& c, time_point now) {
  return c.load->requests(now) < std::max(1.0, c.slots * c.weight);
}

bool can_connect(const balance_candidate& c) { return c.load->own_in_flight < c.connections; }

// Where to look, best first: near before far, and an avoided candidate only after all others. Of the full candidates
// the nearest come first, because a queue at a near target is shorter than the way to a far one that is full as well.
struct preference {
  bool avoid;
  bool free_slot;
};
constexpr std::array<preference, 4> preferences{{{false, true}, {false, false}, {true, true}, {true, false}}};

}  // namespace

void load_estimate::report(const load_report& load, time_point now) {
  reported = load;
  own_at_report = own_in_flight;
  reported_at = now;
}

double load_estimate::requests(time_point now) const {
  if (reported_at == time_point{}) return own_in_flight;
  const double total = static_cast<double>(reported.in_flight) + reported.queued;
  const double others = std::max(0.0, total - own_at_report);
  const double age_s = std::chrono::duration<double>(now - reported_at).count();
  return own_in_flight + others * std::exp2(-std::max(0.0, age_s) / half_life_s);
}

double balance_score(const balance_candidate& candidate, double lowest_latency_ms, time_point now) {
  const double capacity = std::max(1.0, static_cast<double>(candidate.slots)) * std::max(0.05, candidate.weight);
  const double busy = (candidate.load->requests(now) + 1) / capacity;
  if (lowest_latency_ms <= 0 || candidate.latency_ms <= 0) return busy;
  return busy + latency_weight * std::min(candidate.latency_ms / lowest_latency_ms - 1, highest_latency_ratio);
}

std::optional<std::size_t> balancer::pick(std::span<const balance_candidate> candidates, time_point now,
                                          balance_reach reach) {
  const auto other_region = [](const balance_candidate& c) { return c.locality == choice_reason::remote; };
  const bool region_serves =
      reach == balance_reach::near &&
      std::any_of(candidates.begin(), candidates.end(), [&](const auto& c) { return !other_region(c) && !c.suspect; });
  index_list eligible;
  for (const preference& wanted : preferences) {
    std::optional<choice_reason> nearest;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const balance_candidate& c = candidates[i];
      const bool avoided = c.suspect || c.tried || c.refusing;
      if (avoided != wanted.avoid || !can_connect(c) || has_free_slot(c, now) != wanted.free_slot) continue;
      if (region_serves && (other_region(c) || c.tried)) continue;
      // The upstream on the own host competes with the others of its zone; otherwise a node with many callers would
      // overload it.
      const choice_reason locality = std::max(c.locality, choice_reason::zone);
      if (nearest && locality > *nearest) continue;
      if (nearest && locality < *nearest) eligible.clear();
      nearest = locality;
      eligible.push_back(i);
    }
    if (!eligible.empty()) break;
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

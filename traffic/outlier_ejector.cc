// Two criteria eject an upstream: consecutive failures (fast ones count double), and the moving average of its failure
// rate, which catches an upstream that fails every second call and so never five times in a row. Invariant: an upstream
// is ejected only while fewer than 30% of the service's upstreams are ejected. Cost: O(log n) for each call; O(n) for a
// failure that meets a criterion, to count the ejected upstreams.
#include "traffic/outlier_ejector.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace heatherdeck {
namespace {

// The moving average covers about 20 calls and is evaluated only after as many; a value of 0.4 is then well above what
// an upstream with 5% random failures reaches.
constexpr double ewma_weight = 0.05;
constexpr std::uint32_t min_calls_for_failure_rate = 20;
constexpr double failure_rate_threshold = 0.4;
constexpr milliseconds base_avoidance_time{250};
constexpr std::uint32_t max_avoidance_doublings = 5;

struct outcome_effect {
  call_outcome outcome;
  double failure_weight;  ///< 0 when the call did not fail
  bool avoidance;         ///< the request did not run: avoid the upstream for a while
  bool counted;           ///< the outcome is attributed to the upstream
};

constexpr std::array<outcome_effect, 6> effects{{
    {call_outcome::ok, 0, false, true},
    {call_outcome::upstream_error, 1, false, true},
    {call_outcome::not_executed, 0, true, false},
    {call_outcome::timeout, 1, false, true},
    {call_outcome::connection_failed, 1, true, true},
    {call_outcome::cancelled, 0, false, false},
}};

const outcome_effect& effect_of(call_outcome outcome) {
  return *std::find_if(effects.begin(), effects.end(), [&](const auto& e) { return e.outcome == outcome; });
}

}  // namespace

void outlier_ejector::record(const std::string& key, call_outcome outcome, bool fast, std::size_t upstreams,
                             time_point now) {
  const outcome_effect& effect = effect_of(outcome);
  history& upstream = upstreams_[key];
  if (effect.avoidance) avoid(upstream, now);
  if (!effect.counted) return;
  ++upstream.calls;
  const bool failed = effect.failure_weight > 0;
  upstream.failure_rate += ewma_weight * ((failed ? 1.0 : 0.0) - upstream.failure_rate);
  if (!failed) {
    upstream.failure_score = 0;
    upstream.refusals = 0;
    upstream.avoided_until = {};
    return;
  }
  upstream.failure_score += effect.failure_weight * (fast ? 2 : 1);
  const bool fails_often =
      upstream.calls >= min_calls_for_failure_rate && upstream.failure_rate >= failure_rate_threshold;
  if ((upstream.failure_score < ejection_threshold && !fails_often) || upstream.ejected_until > now) return;
  const auto limit = static_cast<std::size_t>(std::floor(max_ejected_fraction * static_cast<double>(upstreams)));
  if (ejected(now) < limit) eject(upstream, now);
}

void outlier_ejector::eject(history& upstream, time_point now) {
  // A time without ejections of more than twice the last ejection time halves the next one; repeatedly, if it was long.
  if (upstream.ejections > 0) {
    auto length = base_ejection_time * (1U << std::min(upstream.ejections - 1, 6U));
    for (auto quiet_time = now - upstream.ejected_until; upstream.ejections > 0 && quiet_time > 2 * length;
         length /= 2) {
      quiet_time -= 2 * length;
      --upstream.ejections;
    }
  }
  const std::uint32_t doublings = std::min(upstream.ejections, 6U);
  upstream.ejected_until = now + std::min(max_ejection_time, base_ejection_time * (1U << doublings));
  ++upstream.ejections;
  upstream.failure_score = 0;
  upstream.failure_rate = 0;
  upstream.calls = 0;
}

void outlier_ejector::avoid(history& upstream, time_point now) {
  if (upstream.avoided_until > now) return;
  upstream.avoided_until = now + base_avoidance_time * (1U << std::min(upstream.refusals, max_avoidance_doublings));
  ++upstream.refusals;
}

outlier_ejector::status outlier_ejector::status_of(const std::string& key, time_point now) const {
  const auto found = upstreams_.find(key);
  if (found == upstreams_.end()) return status::available;
  if (found->second.ejected_until > now) return status::ejected;
  return found->second.avoided_until > now ? status::avoided : status::available;
}

std::size_t outlier_ejector::ejected(time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto& u) { return u.second.ejected_until > now; }));
}

}  // namespace heatherdeck

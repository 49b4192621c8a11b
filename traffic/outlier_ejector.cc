// Two signs lead to an ejection: consecutive failures (fast ones count double), and a moving average of failures that
// catches an upstream which fails every second call and so never fails five times in a row. Invariant: a new ejection
// happens only while fewer than 30% of the service's upstreams are out. Cost: O(log n) for each call; O(n) when a call
// fails beyond the limit, to count those that are out.
#include "traffic/outlier_ejector.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace heatherdeck {
namespace {

// A moving average over about 20 calls, judged after as many: 0.4 is then well above what chance gives at 5% failures.
constexpr double average_step = 0.05;
constexpr std::uint32_t calls_for_average = 20;
constexpr double failing_part_to_eject = 0.4;
constexpr milliseconds first_avoidance{250};
constexpr std::uint32_t longest_avoidance_doublings = 5;

struct outcome_effect {
  call_outcome outcome;
  double failure;  ///< weight as a failure of the upstream
  bool avoidance;  ///< nothing has run: use others for a while
  bool counts;     ///< says something of the upstream
};

constexpr std::array<outcome_effect, 6> effects{{
    {call_outcome::ok, 0, false, true},
    {call_outcome::upstream_error, 1, false, true},
    {call_outcome::not_run, 0, true, false},
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
  if (!effect.counts) return;
  ++upstream.calls;
  const bool failed = effect.failure > 0;
  upstream.failing_part += average_step * ((failed ? 1.0 : 0.0) - upstream.failing_part);
  if (!failed) {
    upstream.score = 0;
    upstream.refusals = 0;
    upstream.avoided_until = {};
    return;
  }
  upstream.score += effect.failure * (fast ? 2 : 1);
  const bool often = upstream.calls >= calls_for_average && upstream.failing_part >= failing_part_to_eject;
  if ((upstream.score < failures_to_eject && !often) || upstream.ejected_until > now) return;
  const auto limit = static_cast<std::size_t>(std::floor(highest_ejected_part * static_cast<double>(upstreams)));
  if (ejected(now) < limit) eject(upstream, now);
}

void outlier_ejector::eject(history& upstream, time_point now) {
  // A quiet time as long as the last ejection halves the next one.
  if (upstream.ejections > 0) {
    auto length = first_ejection * (1U << std::min(upstream.ejections - 1, 6U));
    for (auto quiet = now - upstream.ejected_until; upstream.ejections > 0 && quiet > 2 * length; length /= 2) {
      quiet -= 2 * length;
      --upstream.ejections;
    }
  }
  const std::uint32_t doublings = std::min(upstream.ejections, 6U);
  upstream.ejected_until = now + std::min(longest_ejection, first_ejection * (1U << doublings));
  ++upstream.ejections;
  upstream.score = 0;
  upstream.failing_part = 0;
  upstream.calls = 0;
}

void outlier_ejector::avoid(history& upstream, time_point now) {
  if (upstream.avoided_until > now) return;
  upstream.avoided_until = now + first_avoidance * (1U << std::min(upstream.refusals, longest_avoidance_doublings));
  ++upstream.refusals;
}

outlier_ejector::standing outlier_ejector::standing_of(const std::string& key, time_point now) const {
  const auto found = upstreams_.find(key);
  if (found == upstreams_.end()) return standing::in;
  if (found->second.ejected_until > now) return standing::ejected;
  return found->second.avoided_until > now ? standing::avoided : standing::in;
}

std::size_t outlier_ejector::ejected(time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto& u) { return u.second.ejected_until > now; }));
}

}  // namespace heatherdeck

// Applies the sequential test of model/sequential_odds_test.h to this node's own calls, with a much higher threshold
// than the leader's and practically without a bound on the evidence of one window, because a cut must come within a few
// failed calls. A window in which only one version was called is no comparison and is carried over into the next.
// Invariant: nothing is cut without calls of the old version in the same window, so a fault that affects both versions
// cuts neither. Cost: O(1) for each call.
#include "traffic/version_circuit_breaker.h"

#include <algorithm>

namespace heatherdeck {
namespace {

// A window in which only one version was called is carried over up to this many calls and then discarded, because calls
// that far apart are not comparable.
constexpr std::uint32_t max_carried_calls = 2000;
constexpr double tolerated_odds = 2.0;

}  // namespace

sequential_odds_test version_circuit_breaker::new_test() {
  return sequential_odds_test({.tolerated_odds_ratio = tolerated_odds, .max_factor = 1e6, .windows = 4500});
}

void version_circuit_breaker::set_document(const compiled_document& document) {
  std::map<std::string, watched_rollout> next;
  for (const auto& [service, progress] : document.rollout_progress) {
    if (!progress.active()) continue;
    const auto known = rollouts_.find(service);
    const bool same =
        known != rollouts_.end() && known->second.from == progress.from && known->second.to == progress.to;
    next.emplace(service,
                 same ? known->second : watched_rollout{.from = progress.from, .to = progress.to, .test = new_test()});
  }
  rollouts_ = std::move(next);
}

void version_circuit_breaker::record(const std::string& service, const std::string& upstream_version, bool failed,
                                     std::uint32_t calls) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  watched_rollout& r = found->second;
  if (upstream_version == r.to) {
    r.window.new_calls += calls;
    r.window.new_events += failed ? calls : 0;
    r.failures += failed ? calls : 0;
  } else if (upstream_version == r.from) {
    r.window.old_calls += calls;
    r.window.old_events += failed ? calls : 0;
  }
}

std::vector<withdrawn_key> version_circuit_breaker::close_window(time_point now) {
  std::vector<withdrawn_key> cut_now;
  for (auto& [service, r] : rollouts_) {
    if (r.window.new_calls + r.window.old_calls == 0) continue;
    if (r.window.new_calls == 0 || r.window.old_calls == 0) {
      if (r.window.new_calls + r.window.old_calls > max_carried_calls) r.window = {};
      continue;
    }
    r.test.add(std::span(&r.window, 1));
    r.window = {};
    if (r.cut_until > now || r.test.e_value() < evidence_threshold || r.failures < min_failures) continue;
    r.cut_until = now + base_cut_time * (1U << std::min(r.cut_count, 2U));
    ++r.cut_count;
    r.test = new_test();
    r.failures = 0;
    cut_now.emplace_back(service, r.to);
  }
  return cut_now;
}

bool version_circuit_breaker::cut(const std::string& service, const std::string& upstream_version,
                                  time_point now) const {
  const auto found = rollouts_.find(service);
  return found != rollouts_.end() && found->second.to == upstream_version && found->second.cut_until > now;
}

std::vector<withdrawn_key> version_circuit_breaker::cut_versions(time_point now) const {
  std::vector<withdrawn_key> cut_now;
  for (const auto& [service, r] : rollouts_) {
    if (r.cut_until > now) cut_now.emplace_back(service, r.to);
  }
  return cut_now;
}

}  // namespace heatherdeck

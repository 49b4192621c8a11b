// A start is seen when a target is new after the first seconds of this process, or when its start time rises. The clock
// that is used does not count time during which the host is suspended; a cold time ends later for it, never earlier.
// Invariant: an upstream that may be cold as far as is known here counts as cold. Cost: one map look-up.
#include "traffic/warmup_tracker.h"

#include <algorithm>

namespace heatherdeck {

void warmup_tracker::report(const std::string& target, const warmup_report& report, bool may_have_run, time_point now) {
  const auto [entry, added] = targets_.try_emplace(target);
  state& known = entry->second;
  // Without a time that it gives itself, nothing shows how long ago it started.
  const bool start_unknown = may_have_run && !report.left;
  const bool started = added ? !may_have_run || start_unknown : report.start_time_ms > known.start_time_ms;
  if (started) known.started_at = now;
  known.start_time_ms = std::max(known.start_time_ms, report.start_time_ms);
  known.reported_until = now + report.left.value_or(milliseconds(0));
  known.heard_at = now;
  if (targets_.size() > max_targets) {
    targets_.erase(std::min_element(targets_.begin(), targets_.end(), [](const auto& a, const auto& b) {
      return a.second.heard_at < b.second.heard_at;
    }));
  }
}

bool warmup_tracker::cold(const std::string& target, duration warmup, time_point now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return true;
  const state& known = found->second;
  return now < known.reported_until || (known.started_at && now < *known.started_at + warmup);
}

}  // namespace heatherdeck

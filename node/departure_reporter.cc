// Ids rise, so the pending reports are in order of age. Cost: linear in the pending reports, of which there are few.
#include "node/departure_reporter.h"

#include <algorithm>
#include <utility>

namespace heatherdeck {

bool departure_reporter::is_recorded(const target_departure& departure) const {
  return std::find(recorded_.begin(), recorded_.end(), departure) != recorded_.end();
}

std::optional<departure_report> departure_reporter::add(time_point now, const target_departure& departure) {
  if (pending_.size() >= max_pending) return std::nullopt;
  const std::uint64_t id = next_id_++;
  pending_.emplace(id, pending_report{departure, now});
  return departure_report{id, departure};
}

std::vector<departure_report> departure_reporter::unanswered() const {
  std::vector<departure_report> reports;
  for (const auto& [id, pending] : pending_) reports.push_back({id, pending.departure});
  return reports;
}

std::optional<time_point> departure_reporter::confirm(std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return std::nullopt;
  const time_point since = found->second.since;
  recorded_.push_back(std::move(found->second.departure));
  if (recorded_.size() > max_recorded) recorded_.pop_front();
  pending_.erase(found);
  return since;
}

std::vector<std::uint64_t> departure_reporter::expire(time_point now) {
  std::vector<std::uint64_t> expired;
  std::erase_if(pending_, [&](const auto& entry) {
    if (now - entry.second.since < receipt_timeout) return false;
    expired.push_back(entry.first);
    return true;
  });
  return expired;
}

}  // namespace heatherdeck

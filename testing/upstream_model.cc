// A server with c slots and one queue: a request starts at the earliest time at which a slot is free, so its delay is
// known when it arrives and no queue of requests has to be kept. Invariant: at most slots + queue_limit requests are in
// flight. Cost: O(slots) per request.
#include "testing/upstream_model.h"

#include <algorithm>

namespace heatherdeck {

upstream_model::upstream_model(const upstream_behaviour& behaviour, time_point start)
    : behaviour_(behaviour), start_(start), slot_free_(std::max(1U, behaviour.slots), start), random_(behaviour.seed) {}

duration upstream_model::work_time(time_point now) const {
  const duration age = now - start_;
  if (behaviour_.cold_for == milliseconds(0) || age >= behaviour_.cold_for) return behaviour_.work;
  const double left = 1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(behaviour_.cold_for);
  const double factor = 1.0 + (behaviour_.cold_factor - 1.0) * left;
  return std::chrono::duration_cast<duration>(behaviour_.work * factor);
}

bool upstream_model::fault_applies(const std::string& path, time_point now) const {
  return behaviour_.fault_from && now - start_ >= *behaviour_.fault_from && path.starts_with(behaviour_.fault_path) &&
         in_flight() >= behaviour_.fault_in_flight;
}

upstream_model::verdict upstream_model::begin(const std::string& path, std::optional<milliseconds> deadline,
                                              time_point now) {
  if (in_flight() >= behaviour_.slots + behaviour_.queue_limit) return {.what = decision::shed, .status = 503};
  const auto slot = std::min_element(slot_free_.begin(), slot_free_.end());
  const time_point begin = std::max(*slot, now);
  duration work = work_time(now);
  verdict answer;
  if (fault_applies(path, now)) {
    work += behaviour_.slow_by;
    if (std::uniform_real_distribution<>(0.0, 1.0)(random_) < behaviour_.fail_ratio) answer.status = 500;
  }
  if (deadline && begin + work - now > *deadline) return {.what = decision::late, .status = 504};
  *slot = begin + work;
  answer.delay = *slot - now;
  answer.ticket = next_ticket_++;
  running_[answer.ticket] = *slot;
  remember_load(now);
  return answer;
}

void upstream_model::finish(std::uint64_t ticket, time_point now) {
  running_.erase(ticket);
  remember_load(now);
}

void upstream_model::remember_load(time_point now) {
  past_.emplace_back(now, in_flight());
  while (past_.size() > 1 && now - past_[1].first > behaviour_.report_lag) past_.pop_front();
}

std::uint32_t upstream_model::reported_load(time_point now) {
  if (behaviour_.report_fixed) return *behaviour_.report_fixed;
  if (behaviour_.report_lag == milliseconds(0) || past_.empty()) return in_flight();
  while (past_.size() > 1 && now - past_[1].first > behaviour_.report_lag) past_.pop_front();
  return past_.front().second;
}

}  // namespace heatherdeck

// A server with several slots and one FIFO queue. A request starts as soon as a slot is free, so its delay is known
// when it arrives, and no queue of requests has to be stored. Invariant: at most slots + queue_limit requests are in
// flight. Cost: O(slots) per request.
#include "testing/upstream_model.h"

#include <algorithm>

namespace heatherdeck {

upstream_model::upstream_model(const upstream_behaviour& behaviour, time_point start)
    : behaviour_(behaviour),
      start_(start),
      slot_free_at_(std::max(1U, behaviour.slots), start),
      random_(behaviour.seed) {}

duration upstream_model::current_service_time(time_point now) const {
  const duration age = now - start_;
  if (behaviour_.cold_start == milliseconds(0) || age >= behaviour_.cold_start) return behaviour_.service_time;
  const double left = 1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(behaviour_.cold_start);
  const double factor = 1.0 + (behaviour_.cold_start_factor - 1.0) * left;
  return std::chrono::duration_cast<duration>(behaviour_.service_time * factor);
}

bool upstream_model::fault_applies(const std::string& path, time_point now) const {
  return behaviour_.fault_start && now - start_ >= *behaviour_.fault_start &&
         path.starts_with(behaviour_.fault_path_prefix) && in_flight() >= behaviour_.fault_min_in_flight;
}

upstream_model::planned_response upstream_model::begin(const std::string& path, std::optional<milliseconds> deadline,
                                                       time_point now, std::optional<milliseconds> work) {
  if (in_flight() >= behaviour_.slots + behaviour_.queue_limit) return {.kind = decision::shed, .status = 503};
  const auto slot = std::min_element(slot_free_at_.begin(), slot_free_at_.end());
  const time_point begin = std::max(*slot, now);
  duration service_time = work ? duration(*work) : current_service_time(now);
  planned_response response;
  if (fault_applies(path, now)) {
    service_time += behaviour_.fault_delay;
    if (std::uniform_real_distribution<>(0.0, 1.0)(random_) < behaviour_.fault_error_ratio) response.status = 500;
  }
  if (deadline && begin + service_time - now > *deadline) return {.kind = decision::deadline_exceeded, .status = 504};
  *slot = begin + service_time;
  response.delay = *slot - now;
  response.request_id = next_request_id_++;
  active_requests_[response.request_id] = *slot;
  record_load(now);
  return response;
}

void upstream_model::finish(std::uint64_t request_id, time_point now) {
  active_requests_.erase(request_id);
  record_load(now);
}

void upstream_model::record_load(time_point now) {
  load_history_.emplace_back(now, in_flight());
  while (load_history_.size() > 1 && now - load_history_[1].first > behaviour_.reported_load_lag)
    load_history_.pop_front();
}

std::uint32_t upstream_model::reported_load(time_point now) {
  if (behaviour_.fixed_reported_load) return *behaviour_.fixed_reported_load;
  if (behaviour_.reported_load_lag == milliseconds(0) || load_history_.empty()) return in_flight();
  while (load_history_.size() > 1 && now - load_history_[1].first > behaviour_.reported_load_lag)
    load_history_.pop_front();
  return load_history_.front().second;
}

}  // namespace heatherdeck

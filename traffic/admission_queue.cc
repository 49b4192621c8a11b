// Service times are moving averages by route, measured at this upstream alone, so they include its speed and its cold
// start. A request is queued only when it can meet its objective after those ahead of it; otherwise an immediate
// refusal costs its caller less than a late one. How long it may wait is a part of its slack: under overload the queue
// is as long as admission allows, and a short queue keeps the slots as busy as a long one, with fewer late answers and
// earlier refusals, after which another upstream may still answer in time. Invariant: running_ counts each request from
// `run` or `take_ready` to `release`, and exceeds slots_ only after the number of slots was lowered; each of them has
// taken a token of the rate limit. Cost: O(waiting) for each request that is admitted, made ready or expired.
#include "traffic/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace heatherdeck {
namespace {

// Averages cover about ten calls: a cold start has an effect within a second, a single slow call has little.
constexpr double ewma_weight = 0.1;
// The mean plus one mean deviation covers about four of five runs. A larger margin refuses requests at slow upstreams
// that would mostly be in time.
constexpr double deviation_margin = 1;
// Part of the time between the earliest possible response and the objective that a request may spend in the queue.
constexpr double max_queued_fraction_of_slack = 0.3;
// Bounds of the retry-after hint: long enough that a retry may succeed, short enough that freed slots are used.
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{1000};

duration to_duration(double ms) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

void admission_queue::service_time::add_sample(double ms) {
  if (mean_ms == 0) {
    mean_ms = ms;
    return;
  }
  deviation_ms += ewma_weight * (std::abs(ms - mean_ms) - deviation_ms);
  mean_ms += ewma_weight * (ms - mean_ms);
}

duration admission_queue::run_time(const service_time& time) {
  return to_duration(time.mean_ms + deviation_margin * time.deviation_ms);
}

// Falls back to the average of all routes and, before the first answer, to what the request assumes: after a restart
// all callers come at once, and a queue without any estimate would take more of them than it can answer in time.
admission_queue::service_time admission_queue::service_time_of(const admission_request& request) const {
  const auto known = routes_.find(request.route);
  if (known != routes_.end()) return known->second;
  if (overall_.mean_ms > 0) return overall_;
  return {std::chrono::duration<double, std::milli>(request.assumed_service_time).count(), 0};
}

// One of the busy slots becomes free after the mean service time divided by their number; the requests ahead go first.
// Each request also needs a token of the rate limit.
duration admission_queue::expected_queue_time(time_point now, const admission_request& request) const {
  duration work = to_duration(overall_.mean_ms > 0 ? overall_.mean_ms : service_time_of(request).mean_ms);
  std::size_t requests_ahead = 0;
  for (const admission_request& other : waiting_) {
    if (std::tie(other.priority, other.objective) > std::tie(request.priority, request.objective)) continue;
    work += to_duration(service_time_of(other).mean_ms);
    ++requests_ahead;
  }
  const bool slot_is_free = running_ + requests_ahead < slots_;
  return std::max(slot_is_free ? duration::zero() : work / slots_, rate_.time_until(now, requests_ahead + 1));
}

admission_decision admission_queue::admit(time_point now, const admission_request& request) {
  const service_time route_time = service_time_of(request);
  // The caller would give up before the response: the run would only take a slot from another request.
  if (now + to_duration(route_time.mean_ms) > request.deadline) return admission_decision::refuse;
  if (running_ < slots_ && waiting_.empty() && rate_.try_start(now)) {
    ++running_;
    return admission_decision::run;
  }
  if (waiting_.size() >= max_waiting_per_slot * slots_) return admission_decision::refuse;
  const duration queue_time = expected_queue_time(now, request);
  const duration slack = request.objective - now - to_duration(route_time.mean_ms);
  if (queue_time > std::chrono::duration_cast<duration>(max_queued_fraction_of_slack * slack)) {
    return admission_decision::refuse;
  }
  if (now + queue_time + run_time(route_time) > request.objective) return admission_decision::refuse;
  waiting_.push_back(request);
  return admission_decision::wait;
}

void admission_queue::release(const std::string& route, duration service_time) {
  if (running_ > 0) --running_;
  if (service_time <= duration::zero()) return;
  const double ms = std::chrono::duration<double, std::milli>(service_time).count();
  overall_.add_sample(ms);
  routes_[route].add_sample(ms);
}

void admission_queue::cancel(std::uint64_t id) {
  std::erase_if(waiting_, [id](const admission_request& r) { return r.id == id; });
}

std::vector<std::uint64_t> admission_queue::take_ready(time_point now) {
  std::vector<std::uint64_t> ready;
  while (running_ < slots_ && !waiting_.empty() && rate_.try_start(now)) {
    const auto best = std::min_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
      return std::tie(a.priority, a.objective) < std::tie(b.priority, b.objective);
    });
    ready.push_back(best->id);
    waiting_.erase(best);
    ++running_;
  }
  return ready;
}

std::optional<time_point> admission_queue::next_start(time_point now) const {
  if (waiting_.empty() || running_ >= slots_) return std::nullopt;
  return now + rate_.time_until(now, 1);
}

std::uint32_t admission_queue::effective_slots() const {
  if (!rate_.rate() || overall_.mean_ms <= 0) return slots_;
  const double used = std::ceil(*rate_.rate() * overall_.mean_ms / 1000);
  return used >= slots_ ? slots_ : std::max(1U, static_cast<std::uint32_t>(used));
}

load_report admission_queue::load() const {
  const double scale = static_cast<double>(slots_) / effective_slots();
  const auto scaled = [scale](std::size_t requests) {
    return static_cast<std::uint32_t>(std::lround(scale * static_cast<double>(requests)));
  };
  return {scaled(running_), scaled(waiting_.size())};
}

std::vector<std::uint64_t> admission_queue::take_expired(time_point now) {
  std::vector<std::uint64_t> expired;
  std::erase_if(waiting_, [&](const admission_request& r) {
    if (now + run_time(service_time_of(r)) <= r.objective) return false;
    expired.push_back(r.id);
    return true;
  });
  return expired;
}

void admission_queue::limit_waiting(time_point end) {
  for (admission_request& r : waiting_) {
    r.objective = std::min(r.objective, end);
    r.deadline = std::min(r.deadline, end);
  }
}

std::vector<std::uint64_t> admission_queue::take_all() {
  std::vector<std::uint64_t> all;
  for (const admission_request& r : waiting_) all.push_back(r.id);
  waiting_.clear();
  return all;
}

milliseconds admission_queue::retry_after(time_point now) const {
  const double queued_ms = overall_.mean_ms * static_cast<double>(waiting_.size() + running_) / slots_;
  const auto next_token = std::chrono::ceil<milliseconds>(rate_.time_until(now, waiting_.size() + 1));
  return std::clamp(std::max(milliseconds(static_cast<std::int64_t>(queued_ms)), next_token), min_retry_after,
                    max_retry_after);
}

}  // namespace heatherdeck

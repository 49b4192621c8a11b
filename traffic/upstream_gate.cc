// Service times are moving averages by route, learnt from this upstream alone, so its speed and its cold start are in
// them. A request waits only when those ahead of it leave it time to meet its objective; refusing it at once costs its
// caller less than holding it. Invariant: running_ counts each request from `run` or `take_ready` to `leave`, and
// exceeds the slots only after their number was lowered. Cost: O(waiting) for each arrival and release.
#include "traffic/upstream_gate.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace heatherdeck {
namespace {

// About ten calls: a cold start shows within a second, one slow call does not.
constexpr double average_step = 0.1;
// Mean and two mean deviations cover about nineteen of twenty runs. An overload keeps the queue at the edge of what is
// admitted, and a short queue keeps the slots as busy as a long one.
constexpr double deviations = 2;
// Bounds of what a refused caller is told: long enough to be worth a new try, short enough to use freed slots.
constexpr milliseconds shortest_stay{50};
constexpr milliseconds longest_stay{1000};

duration from_ms(double ms) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

void upstream_gate::service_time::learn(double ms) {
  if (mean_ms == 0) {
    mean_ms = ms;
    return;
  }
  deviation_ms += average_step * (std::abs(ms - mean_ms) - deviation_ms);
  mean_ms += average_step * (ms - mean_ms);
}

// Without any measurement nothing is refused for lack of time; the first answers give the figures.
const upstream_gate::service_time& upstream_gate::time_of(const std::string& route) const {
  const auto known = routes_.find(route);
  return known != routes_.end() ? known->second : usual_;
}

// One of the busy slots becomes free after the usual time divided by their number; those ahead then go first.
duration upstream_gate::expected_wait(const gate_request& request) const {
  duration work = from_ms(usual_.mean_ms);
  for (const gate_request& other : waiting_) {
    const bool ahead = std::tie(other.rank, other.objective) <= std::tie(request.rank, request.objective);
    if (ahead) work += from_ms(time_of(other.route).mean_ms);
  }
  return work / slots_;
}

gate_verdict upstream_gate::arrive(time_point now, const gate_request& request) {
  const service_time& own = time_of(request.route);
  // A run that its caller does not wait for takes a slot from one that is waited for.
  if (now + from_ms(own.mean_ms) > request.deadline) return gate_verdict::refuse;
  if (running_ < slots_ && waiting_.empty()) {
    ++running_;
    return gate_verdict::run;
  }
  if (waiting_.size() >= waiting_per_slot * slots_) return gate_verdict::refuse;
  const duration run = from_ms(own.mean_ms + deviations * own.deviation_ms);
  if (now + expected_wait(request) + run > request.objective) return gate_verdict::refuse;
  waiting_.push_back(request);
  return gate_verdict::wait;
}

void upstream_gate::leave(const std::string& route, duration service_time) {
  if (running_ > 0) --running_;
  if (service_time <= duration::zero()) return;
  const double ms = std::chrono::duration<double, std::milli>(service_time).count();
  usual_.learn(ms);
  routes_[route].learn(ms);
}

void upstream_gate::withdraw(std::uint64_t id) {
  std::erase_if(waiting_, [id](const gate_request& r) { return r.id == id; });
}

std::vector<std::uint64_t> upstream_gate::take_ready() {
  std::vector<std::uint64_t> ready;
  while (running_ < slots_ && !waiting_.empty()) {
    const auto best = std::min_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
      return std::tie(a.rank, a.objective) < std::tie(b.rank, b.objective);
    });
    ready.push_back(best->id);
    waiting_.erase(best);
    ++running_;
  }
  return ready;
}

std::vector<std::uint64_t> upstream_gate::take_expired(time_point now) {
  std::vector<std::uint64_t> expired;
  std::erase_if(waiting_, [&](const gate_request& r) {
    if (now + from_ms(time_of(r.route).mean_ms) <= r.objective) return false;
    expired.push_back(r.id);
    return true;
  });
  return expired;
}

std::vector<std::uint64_t> upstream_gate::take_all() {
  std::vector<std::uint64_t> all;
  for (const gate_request& r : waiting_) all.push_back(r.id);
  waiting_.clear();
  return all;
}

milliseconds upstream_gate::retry_after() const {
  const double queued_ms = usual_.mean_ms * static_cast<double>(waiting_.size() + running_) / slots_;
  return std::clamp(milliseconds(static_cast<std::int64_t>(queued_ms)), shortest_stay, longest_stay);
}

}  // namespace heatherdeck

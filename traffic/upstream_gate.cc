// Service times are moving averages by route, learnt from this upstream alone, so its speed and its cold start are in
// them. A request waits only when those ahead of it leave it time to meet its objective; refusing it at once costs its
// caller less than holding it. Invariant: running_ counts each request from `run` or `take_ready` to `leave`, and
// exceeds the slots only after their number was lowered. Cost: O(waiting) for each arrival and release.
#include "traffic/upstream_gate.h"

#include <algorithm>
#include <tuple>

namespace heatherdeck {
namespace {

// About ten calls: a cold start shows within a second, one slow call does not.
constexpr double average_step = 0.1;
// Without any measurement nothing is refused for lack of time; the first answers give the figure.
constexpr double unknown_ms = 0;
// Bounds of what a refused caller is told: long enough to be worth a new try, short enough to use freed slots.
constexpr milliseconds shortest_stay{50};
constexpr milliseconds longest_stay{1000};

duration from_ms(double ms) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

void average(double& value, double sample) { value = value == 0 ? sample : value + average_step * (sample - value); }

}  // namespace

duration upstream_gate::estimate(const std::string& route) const {
  const auto known = route_ms_.find(route);
  return from_ms(known != route_ms_.end() ? known->second : usual_ms_ > 0 ? usual_ms_ : unknown_ms);
}

// One of the busy slots becomes free after the usual time divided by their number; those ahead then go first.
duration upstream_gate::expected_wait(const gate_request& request) const {
  duration work = from_ms(usual_ms_);
  for (const gate_request& other : waiting_) {
    const bool ahead = std::tie(other.rank, other.objective) <= std::tie(request.rank, request.objective);
    if (ahead) work += estimate(other.route);
  }
  return work / slots_;
}

gate_verdict upstream_gate::arrive(time_point now, const gate_request& request) {
  if (running_ < slots_ && waiting_.empty()) {
    ++running_;
    return gate_verdict::run;
  }
  if (waiting_.size() >= waiting_per_slot * slots_) return gate_verdict::refuse;
  if (now + expected_wait(request) + estimate(request.route) > request.objective) return gate_verdict::refuse;
  waiting_.push_back(request);
  return gate_verdict::wait;
}

void upstream_gate::leave(const std::string& route, duration service_time) {
  if (running_ > 0) --running_;
  if (service_time <= duration::zero()) return;
  const double ms = std::chrono::duration<double, std::milli>(service_time).count();
  average(usual_ms_, ms);
  average(route_ms_[route], ms);
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
    if (now + estimate(r.route) <= r.objective) return false;
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
  const double queued_ms = usual_ms_ * static_cast<double>(waiting_.size() + running_) / slots_;
  return std::clamp(milliseconds(static_cast<std::int64_t>(queued_ms)), shortest_stay, longest_stay);
}

}  // namespace heatherdeck

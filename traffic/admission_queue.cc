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
#include <utility>

namespace heatherdeck {
namespace {

// Averages cover about ten calls: a cold start has an effect within a second, a single slow call has little.
constexpr double ewma_weight = 0.1;
// The mean plus one mean deviation covers about four of five runs. A larger margin refuses requests at slow upstreams
// that would mostly be in time.
constexpr double deviation_margin = 1;
// Part of the time between the earliest possible response and the objective that a request may spend in the queue.
constexpr double max_queued_fraction_of_slack = 0.3;
// A late request runs only while more than this part of the slots is free. Up to a third of them made no difference;
// without any, late requests took slots from others that came a moment later and could have been in time.
constexpr double slots_kept_from_late = 0.25;
// No slots are kept where most requests are late anyway, for example at an upstream that needs longer than the
// objective.
constexpr double min_timely_part = 0.5;
constexpr double timely_weight = 0.02;
// Bounds of the retry-after hint: long enough that a retry may succeed, short enough that freed slots are used.
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{1000};
// Callers come back within this part of the estimated time before or after it.
constexpr double retry_spread = 0.25;
// Bounds of what is believed of the pace of an upstream.
constexpr double min_pace = 0.1;
constexpr double max_pace = 100;

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

void admission_queue::set_pace(double pace) { pace_ = std::clamp(pace, min_pace, max_pace); }

// Falls back to the average of all routes and, before the first answer, to what the request assumes: after a restart
// all callers come at once, and a queue without any estimate would take more of them than it can answer in time.
admission_queue::service_time admission_queue::service_time_of(const admission_request& request) const {
  const auto known = routes_.find(request.route);
  const service_time usual =
      known != routes_.end() ? known->second
      : overall_.mean_ms > 0
          ? overall_
          : service_time{std::chrono::duration<double, std::milli>(request.assumed_service_time).count(), 0};
  return {usual.mean_ms * pace_, usual.deviation_ms * pace_};
}

double admission_queue::mean_service_ms(const admission_request& request) const {
  return overall_.mean_ms > 0 ? overall_.mean_ms * pace_ : service_time_of(request).mean_ms;
}

// A rejected call of a running request costs the work of that request, so a late response is worth waiting for.
time_point admission_queue::useful_until(const admission_request& request) {
  return request.nested && request.deadline != time_point::max() ? request.deadline : request.objective;
}

// Each request also needs a token of the rate limit.
duration admission_queue::queue_time_after(time_point now, duration work, std::size_t requests_ahead) const {
  const bool slot_is_free = running_ + requests_ahead < slots_;
  return std::max(slot_is_free ? duration::zero() : work / slots_, rate_.time_until(now, requests_ahead + 1));
}

// One of the busy slots becomes free after the mean service time divided by their number; the requests ahead go first.
duration admission_queue::expected_queue_time(time_point now, const admission_request& request,
                                              const rejection_rank& rank) const {
  duration work = to_duration(mean_service_ms(request));
  std::size_t requests_ahead = 0;
  for (const waiting_request& other : waiting_) {
    if (other.rank > rank) continue;
    work += to_duration(service_time_of(other.request).mean_ms);
    ++requests_ahead;
  }
  return queue_time_after(now, work, requests_ahead);
}

bool admission_queue::fits(time_point now, const admission_request& request, const rejection_rank& rank) const {
  const service_time route_time = service_time_of(request);
  const duration queue_time = expected_queue_time(now, request, rank);
  const duration slack = useful_until(request) - now - to_duration(route_time.mean_ms);
  if (queue_time > std::chrono::duration_cast<duration>(max_queued_fraction_of_slack * slack)) return false;
  return now + queue_time + run_time(route_time) <= useful_until(request);
}

bool admission_queue::has_slots_for_late() const {
  if (running_ == 0 || timely_part_ < min_timely_part) return running_ < slots_;
  return running_ + std::ceil(slots_ * slots_kept_from_late) < slots_;
}

// A full queue gives up the request whose rejection costs least, if that is less than the cost of rejecting the new
// one.
bool admission_queue::make_room(const rejection_rank& rank) {
  if (waiting_.size() < max_waiting_per_slot * slots_) return true;
  const auto cheapest =
      std::max_element(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) { return a.rank < b.rank; });
  if (cheapest->rank <= rank) return false;
  displaced_.push_back(cheapest->request.id);
  ++displaced_count_;
  waiting_.erase(cheapest);
  return true;
}

// Rejects the requests that the new one has made late: waiting on, they would only be told later.
void admission_queue::displace_late(time_point now, const rejection_rank& added) {
  std::vector<const waiting_request*> order;
  order.reserve(waiting_.size());
  for (const waiting_request& w : waiting_) order.push_back(&w);
  std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) { return a->rank < b->rank; });
  duration work = to_duration(mean_service_ms(order.front()->request));
  std::size_t requests_ahead = 0;
  std::vector<std::uint64_t> late;
  for (const waiting_request* w : order) {
    const service_time route_time = service_time_of(w->request);
    const duration queue_time = queue_time_after(now, work, requests_ahead);
    if (w->rank > added && now + queue_time + to_duration(route_time.mean_ms) > useful_until(w->request)) {
      late.push_back(w->request.id);
      continue;
    }
    work += to_duration(route_time.mean_ms);
    ++requests_ahead;
  }
  for (const std::uint64_t id : late) cancel(id);
  displaced_.insert(displaced_.end(), late.begin(), late.end());
  displaced_count_ += late.size();
}

void admission_queue::start(time_point now, const admission_request& request) {
  ++running_;
  shares_.on_start(now, request.account, request.route);
}

admission_decision admission_queue::admit(time_point now, const admission_request& request) {
  const share_standing share = shares_.on_arrival(now, request.account, request.route);
  const service_time route_time = service_time_of(request);
  // The caller would give up before the response: the run would only take a slot from another request.
  if (now + to_duration(route_time.mean_ms) > request.deadline) return admission_decision::refuse;
  const bool late = now + to_duration(route_time.mean_ms) > request.objective;
  timely_part_ += timely_weight * ((late ? 0 : 1) - timely_part_);
  if (late && !request.nested && !has_slots_for_late()) return admission_decision::refuse;
  if (running_ < slots_ && waiting_.empty() && rate_.try_start(now)) {
    start(now, request);
    return admission_decision::run;
  }
  const rejection_rank rank = rank_request({.claim = request.nested ? slot_claim::nested
                                                     : share.owed   ? slot_claim::owed
                                                                    : slot_claim::usual,
                                            .due = share.due,
                                            .excess = share.excess,
                                            .priority = request.priority,
                                            .route_priority = request.route_priority.value_or(request.priority),
                                            .objective = request.objective,
                                            .service_ms = route_time.mean_ms});
  if (!fits(now, request, rank) || !make_room(rank)) return admission_decision::refuse;
  waiting_.push_back({request, rank});
  displace_late(now, rank);
  return admission_decision::wait;
}

void admission_queue::release(const std::string& route, duration service_time) {
  if (running_ > 0) --running_;
  if (service_time <= duration::zero()) return;
  const double ms = std::chrono::duration<double, std::milli>(service_time).count() / pace_;
  overall_.add_sample(ms);
  routes_[route].add_sample(ms);
}

void admission_queue::cancel(std::uint64_t id) {
  std::erase_if(waiting_, [id](const waiting_request& w) { return w.request.id == id; });
}

std::vector<std::uint64_t> admission_queue::take_ready(time_point now) {
  std::vector<std::uint64_t> ready;
  while (running_ < slots_ && !waiting_.empty() && rate_.try_start(now)) {
    const auto best = std::min_element(waiting_.begin(), waiting_.end(),
                                       [](const auto& a, const auto& b) { return a.rank < b.rank; });
    ready.push_back(best->request.id);
    start(now, best->request);
    waiting_.erase(best);
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
  std::vector<std::uint64_t> expired = std::exchange(displaced_, {});
  std::erase_if(waiting_, [&](const waiting_request& w) {
    if (now + run_time(service_time_of(w.request)) <= useful_until(w.request)) return false;
    expired.push_back(w.request.id);
    return true;
  });
  return expired;
}

void admission_queue::limit_waiting(time_point end) {
  for (waiting_request& w : waiting_) {
    w.request.objective = std::min(w.request.objective, end);
    w.request.deadline = std::min(w.request.deadline, end);
    w.rank.objective = w.request.objective;
  }
}

std::vector<std::uint64_t> admission_queue::take_all() {
  std::vector<std::uint64_t> all = std::exchange(displaced_, {});
  for (const waiting_request& w : waiting_) all.push_back(w.request.id);
  waiting_.clear();
  return all;
}

milliseconds admission_queue::retry_after(time_point now, double drawn) const {
  const double queued_ms = overall_.mean_ms * pace_ * static_cast<double>(waiting_.size() + running_) / slots_;
  const auto next_token = std::chrono::ceil<milliseconds>(rate_.time_until(now, waiting_.size() + 1));
  const double until_free = std::max(queued_ms, static_cast<double>(next_token.count()));
  const double latest = std::min((1 + retry_spread) * until_free, static_cast<double>(max_retry_after.count()));
  // A wait that is cut to the maximum is spread over the time before it.
  const double earliest = latest * (1 - retry_spread) / (1 + retry_spread);
  return std::max(min_retry_after, milliseconds(std::llround(earliest + drawn * (latest - earliest))));
}

}  // namespace heatherdeck

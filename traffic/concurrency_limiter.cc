// Gradient algorithm: at the end of each window the limit is multiplied by (tolerated latency / measured latency),
// clamped to 0.5..1, and then increased in proportion to its square root, so that it can find free capacity again. The
// baseline latency follows lower measurements fast and higher ones slowly (about a minute; much slower while requests
// are refused, and never beyond twice the lowest latency of the last ten minutes), so that the latency of an overload
// does not become the baseline. Invariants: `admit` never raises in_flight above the limit; while latency is within the
// tolerance, the limit grows only after a window in which at least half of it was used, since an idle service gives no
// information about its capacity. Cost: O(1).
#include "traffic/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace heatherdeck {
namespace {

constexpr std::uint32_t min_calls_per_window = 20;
constexpr milliseconds min_window{100};
constexpr milliseconds max_window{1000};
// Latency of up to twice the baseline is the normal variation of a busy service.
constexpr double latency_tolerance = 2.0;
constexpr double decrease_weight = 0.3;
constexpr double baseline_increase_weight = 0.002;
constexpr double refusing_baseline_increase_weight = 0.0002;
constexpr double minimum_increase_weight = 0.0002;
constexpr double max_baseline_ratio = 2.0;
constexpr double limit_smoothing = 0.5;

}  // namespace

void concurrency_limiter::set_ceiling(std::optional<std::uint32_t> ceiling) {
  ceiling_ = ceiling ? std::max(1.0, static_cast<double>(*ceiling)) : max_limit;
  limit_ = std::min(limit_, ceiling_);
}

bool concurrency_limiter::admit(request_class kind) {
  const double usable = kind == request_class::reserved ? limit_ : limit_ * (1 - reserved_fraction);
  if (in_flight_ + 1 > std::max(1.0, usable)) {
    ++refused_;
    window_refused_ = true;
    window_peak_ = std::max(window_peak_, static_cast<std::uint32_t>(limit_));
    return false;
  }
  ++in_flight_;
  window_peak_ = std::max(window_peak_, in_flight_);
  return true;
}

void concurrency_limiter::release_unused() {
  if (in_flight_ > 0) --in_flight_;
}

void concurrency_limiter::finish(time_point now, call_outcome outcome, std::chrono::microseconds latency) {
  release_unused();
  if (window_start_ == time_point{}) window_start_ = now;
  // A failed or refused call may be fast, so its latency is not representative of the service time.
  const bool measured = outcome == call_outcome::ok || outcome == call_outcome::timeout;
  if (measured) {
    window_sum_ms_ += static_cast<double>(latency.count()) / 1000.0;
    ++window_calls_;
    if (outcome == call_outcome::timeout) ++window_failures_;
  }
  const auto length = now - window_start_;
  const bool enough = window_calls_ >= min_calls_per_window && length >= min_window;
  if (enough || (length >= max_window && window_calls_ > 0)) close_window(now);
}

void concurrency_limiter::update_baseline(double measured_ms) {
  if (baseline_ms_ == 0) baseline_ms_ = minimum_ms_ = measured_ms;
  const double rise = window_refused_ ? refusing_baseline_increase_weight : baseline_increase_weight;
  baseline_ms_ += (measured_ms < baseline_ms_ ? decrease_weight : rise) * (measured_ms - baseline_ms_);
  minimum_ms_ += (measured_ms < minimum_ms_ ? decrease_weight : minimum_increase_weight) * (measured_ms - minimum_ms_);
  baseline_ms_ = std::min(baseline_ms_, max_baseline_ratio * minimum_ms_);
}

void concurrency_limiter::close_window(time_point now) {
  const double measured = std::max(0.01, window_sum_ms_ / window_calls_);
  update_baseline(measured);
  const double gradient = std::clamp(latency_tolerance * baseline_ms_ / measured, 0.5, 1.0);
  const bool near_limit = window_peak_ * 2 >= limit_;
  double next = limit_ * gradient;
  if (gradient >= 1 && near_limit) next += std::sqrt(limit_);
  if (gradient < 1) next += std::sqrt(next) * 0.5;
  // More than 10% timeouts: upstreams are processing requests whose callers have given up.
  if (window_failures_ * 10 > window_calls_) next = std::min(next, limit_ * 0.7);
  limit_ = std::clamp(limit_ + limit_smoothing * (next - limit_), std::min(min_limit, ceiling_), ceiling_);
  window_sum_ms_ = 0;
  window_calls_ = 0;
  window_failures_ = 0;
  window_peak_ = in_flight_;
  window_refused_ = false;
  window_start_ = now;
}

}  // namespace heatherdeck

// A gradient of latencies: at the end of each window the limit is multiplied by (tolerated latency / measured latency),
// between a half and 1, and then grows by its square root so that it can find free capacity again. The usual latency
// follows lower measurements fast and higher ones slowly (about a minute; much slower while requests are refused, and
// not beyond twice the lowest latency of the last ten minutes), so that an overload does not become the usual state.
// Invariants: in_flight never exceeds the limit by an admission, and the limit grows only when the window came near it,
// since an idle service tells nothing of its capacity. Cost: O(1).
#include "traffic/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace heatherdeck {
namespace {

constexpr std::uint32_t calls_per_window = 20;
constexpr milliseconds shortest_window{100};
constexpr milliseconds longest_window{1000};
// Latency up to twice the usual value is the normal variation of a busy service.
constexpr double tolerance = 2.0;
constexpr double usual_fall = 0.3;
constexpr double usual_rise = 0.002;
constexpr double usual_rise_when_refusing = 0.0002;
constexpr double lowest_rise = 0.0002;
constexpr double highest_usual_ratio = 2.0;
constexpr double smoothing = 0.5;

}  // namespace

void concurrency_limiter::set_ceiling(std::optional<std::uint32_t> ceiling) {
  ceiling_ = ceiling ? std::max(1.0, static_cast<double>(*ceiling)) : highest_limit;
  limit_ = std::min(limit_, ceiling_);
}

bool concurrency_limiter::admit(work_class work) {
  const double usable = work == work_class::reserved ? limit_ : limit_ * (1 - reserved_part);
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

void concurrency_limiter::abandon() {
  if (in_flight_ > 0) --in_flight_;
}

void concurrency_limiter::finish(time_point now, call_outcome outcome, std::chrono::microseconds latency) {
  abandon();
  if (window_start_ == time_point{}) window_start_ = now;
  // A failed or refused call may be fast, and then says nothing of the time that work takes.
  const bool measured = outcome == call_outcome::ok || outcome == call_outcome::timeout;
  if (measured) {
    window_sum_ms_ += static_cast<double>(latency.count()) / 1000.0;
    ++window_calls_;
    if (outcome == call_outcome::timeout) ++window_failures_;
  }
  const auto length = now - window_start_;
  const bool enough = window_calls_ >= calls_per_window && length >= shortest_window;
  if (enough || (length >= longest_window && window_calls_ > 0)) close_window(now);
}

void concurrency_limiter::follow_usual(double measured_ms) {
  if (usual_ms_ == 0) usual_ms_ = lowest_ms_ = measured_ms;
  const double rise = window_refused_ ? usual_rise_when_refusing : usual_rise;
  usual_ms_ += (measured_ms < usual_ms_ ? usual_fall : rise) * (measured_ms - usual_ms_);
  lowest_ms_ += (measured_ms < lowest_ms_ ? usual_fall : lowest_rise) * (measured_ms - lowest_ms_);
  usual_ms_ = std::min(usual_ms_, highest_usual_ratio * lowest_ms_);
}

void concurrency_limiter::close_window(time_point now) {
  const double measured = std::max(0.01, window_sum_ms_ / window_calls_);
  follow_usual(measured);
  const double gradient = std::clamp(tolerance * usual_ms_ / measured, 0.5, 1.0);
  const bool near_limit = window_peak_ * 2 >= limit_;
  double next = limit_ * gradient;
  if (gradient >= 1 && near_limit) next += std::sqrt(limit_);
  if (gradient < 1) next += std::sqrt(next) * 0.5;
  // More than a tenth of time-outs means that work is done which nobody waits for any more.
  if (window_failures_ * 10 > window_calls_) next = std::min(next, limit_ * 0.7);
  limit_ = std::clamp(limit_ + smoothing * (next - limit_), std::min(lowest_limit, ceiling_), ceiling_);
  window_sum_ms_ = 0;
  window_calls_ = 0;
  window_failures_ = 0;
  window_peak_ = in_flight_;
  window_refused_ = false;
  window_start_ = now;
}

}  // namespace heatherdeck

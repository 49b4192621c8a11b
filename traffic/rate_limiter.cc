// After charge_recent_starts the tokens may be negative. Invariant: in any period p at most rate * p + max(1, rate *
// burst_period) requests start. Cost: O(1).
#include "traffic/rate_limiter.h"

#include <algorithm>

namespace heatherdeck {
namespace {

double to_seconds(duration d) { return std::chrono::duration<double>(d).count(); }

constexpr duration recent_period = std::chrono::seconds(1);
// Part of the rate by which the starts of one second may exceed it after a limit was set in the middle of traffic.
constexpr double recent_overage = 0.5;

// Absorbs rounding, so that a request may start when time_until has passed.
constexpr double whole_token = 1 - 1e-6;

}  // namespace

double rate_limiter::max_tokens() const { return std::max(1.0, *rate_ * to_seconds(burst_period)); }

double rate_limiter::tokens_at(time_point now) const {
  return std::min(max_tokens(), tokens_ + *rate_ * std::max(0.0, to_seconds(now - updated_at_)));
}

void rate_limiter::set_rate(std::optional<double> per_second, time_point now) {
  const double kept = rate_ ? tokens_at(now) : 1;
  rate_ = per_second ? std::optional(std::max(*per_second, min_rate)) : std::nullopt;
  if (!rate_) return;
  tokens_ = std::min(kept, max_tokens());
  updated_at_ = now;
}

bool rate_limiter::try_start(time_point now) {
  if (rate_) {
    const double tokens = tokens_at(now);
    if (tokens < whole_token) return false;
    tokens_ = tokens - 1;
    updated_at_ = std::max(now, updated_at_);
  }
  record_start(now);
  return true;
}

void rate_limiter::record_start(time_point now) {
  while (!starts_.empty() && starts_.front() + recent_period <= now) starts_.pop_front();
  starts_.push_back(now);
}

// The requests that started just before the limit and those that the rate admits in the second after it add up to the
// bound. After a second the former are outside of every window, so the pause is never longer.
void rate_limiter::charge_recent_starts(time_point now) {
  if (!rate_) return;
  const auto recent =
      std::count_if(starts_.begin(), starts_.end(), [now](time_point start) { return start + recent_period > now; });
  const double left = 1 + recent_overage * *rate_ - static_cast<double>(recent);
  tokens_ = std::min(tokens_at(now), std::max(left, 1 - *rate_));
  updated_at_ = std::max(now, updated_at_);
}

duration rate_limiter::time_until(time_point now, std::size_t requests) const {
  if (!rate_) return duration::zero();
  const double missing = static_cast<double>(requests) - tokens_at(now);
  if (missing <= 0) return duration::zero();
  return std::chrono::ceil<std::chrono::microseconds>(std::chrono::duration<double>(missing / *rate_));
}

}  // namespace heatherdeck

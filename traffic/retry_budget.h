/// @file
/// Limits retries of one service to a part of its calls, so that retries cannot multiply an overload.
///
///     retry_budget budget(0.1);
///     budget.on_call(now);
///     if (!budget.try_retry(now)) refuse(refusal_reason::retry_budget);
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "kernel/timer_service.h"

namespace heatherdeck {

/// A bucket of tokens: each call adds `ratio` of a token, each retry takes one. Tokens lose half of their number every
/// ten seconds, so that calls of long ago allow no burst now. Cost: O(1).
class retry_budget {
 public:
  /// Retries that are allowed without any call before; a service with few calls could otherwise never retry.
  static constexpr double reserve = 3;
  static constexpr double half_life_s = 10;

  explicit retry_budget(double ratio = 0.1) : ratio_(ratio) {}

  void set_ratio(double ratio) { ratio_ = ratio; }

  /// A first attempt was made.
  void on_call(time_point now) {
    age(now);
    tokens_ += ratio_;
  }

  /// @return true when a retry may be made; it is counted then.
  bool try_retry(time_point now) {
    age(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  double tokens() const { return tokens_; }

 private:
  void age(time_point now) {
    const double passed_s = std::chrono::duration<double>(now - aged_at_).count();
    if (aged_at_ != time_point{} && passed_s > 0) {
      tokens_ = tokens_ * std::exp2(-passed_s / half_life_s);
      // Without calls the reserve comes back within ten seconds, unless the ratio forbids retries.
      if (ratio_ > 0) tokens_ = std::max(tokens_, std::min(reserve, tokens_ + passed_s * reserve / half_life_s));
    }
    aged_at_ = now;
  }

  double ratio_;
  double tokens_ = reserve;
  time_point aged_at_{};
};

}  // namespace heatherdeck

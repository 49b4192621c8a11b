/// @file
/// Limits the retries of one service to a fraction of its calls, so that retries cannot amplify an overload.
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

/// Token bucket: each first attempt adds `ratio` tokens, each retry takes one. The number of tokens decays with a
/// half-life of ten seconds, so that calls of long ago do not permit a burst of retries now. traffic_core keeps one
/// budget for each service. Cost: O(1).
class retry_budget {
 public:
  /// Tokens of a service without recent calls; without them a service with few calls could never retry.
  static constexpr double reserve_tokens = 3;
  static constexpr double half_life_s = 10;

  /// @param ratio retries per first attempt; 0 permits only the initial reserve.
  explicit retry_budget(double ratio = 0.1) : ratio_(ratio) {}

  void set_ratio(double ratio) { ratio_ = ratio; }

  /// Records a first attempt.
  void on_call(time_point now) {
    decay(now);
    tokens_ += ratio_;
  }

  /// Takes a token for a retry.
  /// @return false when there is none: the retry must not be sent.
  bool try_retry(time_point now) {
    decay(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  double tokens() const { return tokens_; }

 private:
  void decay(time_point now) {
    const double elapsed_s = std::chrono::duration<double>(now - updated_at_).count();
    if (updated_at_ != time_point{} && elapsed_s > 0) {
      tokens_ = tokens_ * std::exp2(-elapsed_s / half_life_s);
      // Without calls the reserve refills within ten seconds, unless the ratio forbids retries.
      if (ratio_ > 0)
        tokens_ = std::max(tokens_, std::min(reserve_tokens, tokens_ + elapsed_s * reserve_tokens / half_life_s));
    }
    updated_at_ = now;
  }

  double ratio_;
  double tokens_ = reserve_tokens;
  time_point updated_at_{};
};

}  // namespace heatherdeck

/// @file
/// Token bucket: limits how many requests a second are started, with short bursts.
///
///     rate_limiter limiter;
///     limiter.set_rate(57.8, now);             // requests a second; nothing: unlimited
///     if (limiter.try_start(now)) ...
///     else wait(limiter.time_until(now, 1));   // until the next request may start
///
/// Used by admission_queue for an upstream that states how many requests it accepts. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "kernel/timer_service.h"

namespace heatherdeck {

class rate_limiter {
 public:
  /// Unused tokens of this period are kept, so that requests that arrive together need not wait.
  static constexpr duration burst_period = milliseconds(250);
  /// A lower limit is raised to this rate: without any request a node would not learn that the limit has been lifted.
  static constexpr double min_rate = 0.5;

  /// @param per_second nothing: unlimited. A change keeps the tokens that are left; a first limit starts with one.
  void set_rate(std::optional<double> per_second, time_point now);

  /// Counts the requests of the last second towards a limit that has just been set, so that in any second, also in one
  /// that begins before, at most one and a half times the rate start, or as many as had started already.
  void charge_recent_starts(time_point now);

  /// @return the rate in force, in requests a second; nothing when unlimited.
  const std::optional<double>& rate() const { return rate_; }

  /// Takes a token, if there is one.
  /// @return whether a request may start now.
  bool try_start(time_point now);

  /// @param requests at least 1.
  /// @return how long it takes until that many requests could have started; zero when unlimited.
  duration time_until(time_point now, std::size_t requests) const;

 private:
  void record_start(time_point now);
  double tokens_at(time_point now) const;
  double max_tokens() const;

  std::optional<double> rate_;
  double tokens_ = 0;  ///< at updated_at_
  time_point updated_at_{};
  std::deque<time_point> starts_;  ///< of the last second
};

}  // namespace heatherdeck

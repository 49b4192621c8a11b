/// @file
/// Gives a cold upstream a growing part of the requests that a warm one gets.
///
///     slow_start start;
///     start.became_ready(now);
///     candidate.weight = start.weight(now);     // 0.1 at first, 1 after ten seconds
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "kernel/timer_service.h"

namespace heatherdeck {

class slow_start {
 public:
  static constexpr std::chrono::seconds period{10};
  static constexpr std::chrono::seconds settling_period{4};
  /// The first weight; with none a cold upstream would get no request that could warm it.
  static constexpr double lowest_weight = 0.1;

  /// The upstream has just become ready.
  void became_ready(time_point now) { since_ = now; }

  /// The upstream was ready before it was first seen here.
  void assume_warm() { since_.reset(); }

  /// @return true while the upstream counts as cold.
  bool cold(time_point now) const { return since_ && now - *since_ < period; }

  /// @return true while its latency still tells of the cold start rather than of the version; the platforms served have
  /// cold starts of 3 s.
  bool settling(time_point now) const { return since_ && now - *since_ < settling_period; }

  /// @return the part of a warm upstream's requests, from lowest_weight to 1.
  double weight(time_point now) const {
    if (!cold(now)) return 1;
    return std::max(lowest_weight,
                    std::chrono::duration<double>(now - *since_) / std::chrono::duration<double>(period));
  }

 private:
  std::optional<time_point> since_;
};

}  // namespace heatherdeck

/// @file
/// Slow start of one upstream: its load balancing weight grows from 0.1 to 1 in the ten seconds after it became ready,
/// so that a cold process is not flooded with requests.
///
///     slow_start start;
///     start.became_ready(now);
///     candidate.weight = start.weight(now);     // 0.1 at first, 1 after ten seconds
///
/// An upstream that was never marked as ready here counts as warm.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "kernel/timer_service.h"

namespace heatherdeck {

class slow_start {
 public:
  static constexpr std::chrono::seconds period{10};            ///< duration of the slow start
  static constexpr std::chrono::seconds cold_start_period{4};  ///< during which latency is not representative
  /// Initial weight. With 0 a cold upstream would get no request that could warm it up.
  static constexpr double min_weight = 0.1;

  /// Starts the slow start: the upstream has just become ready.
  void became_ready(time_point now) { ready_since_ = now; }

  /// Ends the slow start, for an upstream that was ready before this node first saw it.
  void assume_warm() { ready_since_.reset(); }

  /// @return true during the slow start.
  bool active(time_point now) const { return ready_since_ && now - *ready_since_ < period; }

  /// @return true while the latency of calls reflects the cold start rather than the upstream version; cold starts take
  ///   3 s on the platforms served.
  bool in_cold_start(time_point now) const { return ready_since_ && now - *ready_since_ < cold_start_period; }

  /// @return load balancing weight, from min_weight to 1; a warm upstream has 1.
  double weight(time_point now) const {
    if (!active(now)) return 1;
    return std::max(min_weight,
                    std::chrono::duration<double>(now - *ready_since_) / std::chrono::duration<double>(period));
  }

 private:
  std::optional<time_point> ready_since_;
};

}  // namespace heatherdeck

/// @file
/// Infers from the remaining deadline of a request whether its caller is retrying, and how long ago it first tried.
///
/// Callers of a route give all their first attempts the same deadline; a caller that was refused and retries sends the
/// rest of it. The latency objective counts from the first attempt, so the node must know how much of it has elapsed:
///
///     retry_age_estimator estimator;
///     const milliseconds first = estimator.estimate(800ms);   // 0 ms: 800 ms is the usual deadline
///     const milliseconds retry = estimator.estimate(650ms);   // 150 ms: a retry, 150 ms after the first attempt
///
/// When no deadline is common enough to be the usual one, the estimate is always zero. traffic_core keeps one estimator
/// for each route. Pure; each call costs O(log n) in the number of distinct deadlines remembered, which is at most 257.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace heatherdeck {

class retry_age_estimator {
 public:
  /// Counts the deadline of one request.
  /// @param deadline time that the caller has left.
  /// @return time since the caller's first attempt; zero when it cannot be inferred.
  std::chrono::milliseconds estimate(std::chrono::milliseconds deadline);

 private:
  void halve_counts();

  std::map<std::chrono::milliseconds, std::uint32_t> counts_;  ///< requests by deadline
  std::uint32_t total_ = 0;                                    ///< sum of counts_
  std::chrono::milliseconds usual_deadline_{0};                ///< the deadline with the highest count
};

}  // namespace heatherdeck

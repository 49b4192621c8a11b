/// @file
/// Tells a caller's repeated attempt from a first one by the time that it has left.
///
/// Callers of a route give their first attempts the same deadline; one that was refused and comes back has less. Its
/// objective counts from the first attempt, so the node must know how much of it is gone:
///
///     deadline_habit habit;
///     const milliseconds gone = habit.time_gone(800ms);   // 0 while 800 ms is the usual deadline
///     const milliseconds late = habit.time_gone(650ms);   // 150 ms: this one has come back
///
/// Where no deadline is usual, nothing is inferred. Pure; O(log n) for each call, at most 257 deadlines are remembered.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace heatherdeck {

class deadline_habit {
 public:
  /// Remembers the deadline of one request.
  /// @return how long ago the caller made its first attempt; zero when that is not known.
  std::chrono::milliseconds time_gone(std::chrono::milliseconds deadline);

 private:
  void forget_half();

  std::map<std::chrono::milliseconds, std::uint32_t> counts_;
  std::uint32_t total_ = 0;
  std::chrono::milliseconds usual_{0};  ///< the deadline with the highest count
};

}  // namespace heatherdeck

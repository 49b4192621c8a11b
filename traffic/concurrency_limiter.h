/// @file
/// Adaptive limit of the requests that this node has in flight at one service.
///
///     concurrency_limiter limiter;
///     if (!limiter.admit(work_class::ordinary)) refuse(refusal_reason::overloaded);
///     ... limiter.finish(now, outcome, latency);
///
/// The limit falls when latency rises above its usual value, before queues make calls time out; what is refused has not
/// run. The last tenth of the limit is kept for work that a refusal hurts most: requests that must not be repeated and
/// requests whose deadline is short.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

enum class work_class { ordinary, reserved };

template <>
struct enum_table<work_class> {
  static constexpr auto entries = std::to_array<enum_entry<work_class>>({
      {work_class::ordinary, "ordinary"},
      {work_class::reserved, "reserved"},
  });
};

class concurrency_limiter {
 public:
  static constexpr double lowest_limit = 4;
  static constexpr double highest_limit = 4096;
  static constexpr double reserved_part = 0.1;

  /// Sets the ceiling from the document; nothing means highest_limit.
  void set_ceiling(std::optional<std::uint32_t> ceiling);

  /// Counts the request as in flight when it is admitted.
  /// @return false when the request must be refused.
  bool admit(work_class work);

  /// Counts a request as in flight without a limit.
  void enter() { ++in_flight_; }

  /// Ends an admitted request.
  /// @param latency to the first byte of the answer.
  void finish(time_point now, call_outcome outcome, std::chrono::microseconds latency);

  /// Ends an admitted request that was never sent.
  void abandon();

  double limit() const { return limit_; }
  std::uint32_t in_flight() const { return in_flight_; }
  double usual_latency_ms() const { return usual_ms_; }
  std::uint64_t refused() const { return refused_; }

 private:
  void close_window(time_point now);
  void follow_usual(double measured_ms);

  double limit_ = 100;
  double ceiling_ = highest_limit;
  double usual_ms_ = 0;   ///< latency without queueing; 0 when unknown
  double lowest_ms_ = 0;  ///< follows the lowest window, rises over about ten minutes
  bool window_refused_ = false;
  double window_sum_ms_ = 0;
  std::uint32_t window_calls_ = 0;
  std::uint32_t window_failures_ = 0;
  std::uint32_t window_peak_ = 0;
  time_point window_start_{};
  std::uint32_t in_flight_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace heatherdeck

/// @file
/// Adaptive concurrency limit: bounds the requests that this node has in flight at one service.
///
///     concurrency_limiter limiter;
///     if (!limiter.admit(request_class::ordinary)) refuse(refusal_reason::overloaded);
///     ... limiter.finish(now, outcome, latency);
///
/// The limit decreases when latency rises above its baseline, before queues make calls time out. A request that is
/// refused has not run. The last tenth of the limit is reserved for requests for which a refusal costs most: those that
/// must not be repeated and those with a short deadline. traffic_core keeps one limiter for each service.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

/// `reserved` requests may use the whole limit, `ordinary` ones all but the reserved fraction.
enum class request_class { ordinary, reserved };

template <>
struct enum_table<request_class> {
  static constexpr auto entries = std::to_array<enum_entry<request_class>>({
      {request_class::ordinary, "ordinary"},
      {request_class::reserved, "reserved"},
  });
};

class concurrency_limiter {
 public:
  static constexpr double min_limit = 4;     ///< requests in flight; a lower ceiling takes precedence
  static constexpr double max_limit = 4096;  ///< requests in flight
  static constexpr double reserved_fraction = 0.1;

  /// Sets the upper bound of the limit, in requests in flight, from the document; without a value it is max_limit.
  void set_ceiling(std::optional<std::uint32_t> ceiling);

  /// Counts the request as in flight if the limit permits it.
  /// @return false when the request must be refused.
  bool admit(request_class kind);

  /// Counts a request as in flight regardless of the limit.
  void admit_unlimited() { ++in_flight_; }

  /// Ends an admitted request and updates the limit.
  /// @param latency time to the first byte of the response.
  void finish(time_point now, call_outcome outcome, std::chrono::microseconds latency);

  /// Ends an admitted request that was never sent; the limit is not updated.
  void release_unused();

  double limit() const { return limit_; }
  std::uint32_t in_flight() const { return in_flight_; }
  double baseline_latency_ms() const { return baseline_ms_; }
  std::uint64_t refused() const { return refused_; }

 private:
  void close_window(time_point now);
  void update_baseline(double measured_ms);

  double limit_ = 100;
  double ceiling_ = max_limit;
  double baseline_ms_ = 0;       ///< latency without queueing; 0 when unknown
  double minimum_ms_ = 0;        ///< lowest average of a window; rises slowly, over about ten minutes
  bool window_refused_ = false;  ///< a request was refused in this window
  double window_sum_ms_ = 0;     ///< sum of latencies
  std::uint32_t window_calls_ = 0;
  std::uint32_t window_failures_ = 0;  ///< calls that timed out
  std::uint32_t window_peak_ = 0;  ///< highest number of requests in flight, or the limit once a request was refused
  time_point window_start_{};
  std::uint32_t in_flight_ = 0;
  std::uint64_t refused_ = 0;  ///< total since construction
};

}  // namespace heatherdeck

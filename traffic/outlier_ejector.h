/// @file
/// Outlier detection for the upstreams of one service: ejects a failing upstream from load balancing and readmits it
/// after a time that doubles with each ejection.
///
///     outlier_ejector ejector;
///     ejector.record("dar-1-03/certdesk-2", call_outcome::upstream_error, fast, upstream_count, now);
///     if (ejector.status_of(key, now) == outlier_ejector::status::ejected) continue;
///
/// At most 30% of the upstreams are ejected at a time: when all fail for a shared cause, ejection would only
/// concentrate the load on the remaining ones. A failed connection, or a refusal that reports the request as not run,
/// makes an upstream `avoided` for a short time. Avoidance has no such limit, because an avoided upstream is still used
/// when there is no other. traffic_core keeps one ejector for each service; keys are "<node id>/<target>".
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

class outlier_ejector {
 public:
  enum class status { available, avoided, ejected };

  static constexpr double max_ejected_fraction = 0.3;
  static constexpr double ejection_threshold = 5;  ///< consecutive failures, of which fast ones count double
  static constexpr std::chrono::seconds base_ejection_time{5};
  static constexpr std::chrono::seconds max_ejection_time{320};

  /// Records the result of a call.
  /// @param fast the call failed in less than half of the baseline latency. Such failures count double, because an
  ///   upstream that fails fast would otherwise attract requests.
  /// @param upstreams current number of upstreams of the service.
  void record(const std::string& key, call_outcome outcome, bool fast, std::size_t upstreams, time_point now);

  status status_of(const std::string& key, time_point now) const;

  /// Removes an upstream that no longer exists.
  void forget(const std::string& key) { upstreams_.erase(key); }

  /// @return how many upstreams are ejected.
  std::size_t ejected(time_point now) const;

 private:
  struct history {
    double failure_score = 0;     ///< consecutive failures, of which fast ones count double
    double failure_rate = 0;      ///< moving average, 0 to 1
    std::uint32_t calls = 0;      ///< since the last ejection
    std::uint32_t ejections = 0;  ///< determines the length of the next ejection; decreases over time without ejections
    std::uint32_t refusals = 0;   ///< consecutive failed connections and refusals
    time_point ejected_until{};
    time_point avoided_until{};
  };

  void eject(history& upstream, time_point now);
  static void avoid(history& upstream, time_point now);

  std::map<std::string, history> upstreams_;  ///< by key
};

template <>
struct enum_table<outlier_ejector::status> {
  static constexpr auto entries = std::to_array<enum_entry<outlier_ejector::status>>({
      {outlier_ejector::status::available, "in"},
      {outlier_ejector::status::avoided, "avoided"},
      {outlier_ejector::status::ejected, "ejected"},
  });
};

}  // namespace heatherdeck

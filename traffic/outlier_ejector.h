/// @file
/// Takes single failing upstreams of one service out of the choice, and puts them back after a growing time.
///
///     outlier_ejector ejector;
///     ejector.record("dar-1-03/certdesk-2", call_outcome::upstream_error, fast, upstream_count, now);
///     if (ejector.standing_of(key, now) == outlier_ejector::standing::ejected) continue;
///
/// At most 30% of the upstreams are out at a time: when all fail for a shared cause, ejection would only move the load
/// to fewer of them. A failed connection or a refusal as not run makes an upstream `avoided` for a short time, which
/// has no such limit, because an avoided upstream is still used when there is no other.
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
  enum class standing { in, avoided, ejected };

  static constexpr double highest_ejected_part = 0.3;
  static constexpr double failures_to_eject = 5;
  static constexpr std::chrono::seconds first_ejection{5};
  static constexpr std::chrono::seconds longest_ejection{320};

  /// Takes in the result of a call.
  /// @param fast the failure came faster than half of the usual latency; it counts double, because an upstream that
  ///   fails fast would otherwise attract requests.
  /// @param upstreams how many upstreams the service has at present.
  void record(const std::string& key, call_outcome outcome, bool fast, std::size_t upstreams, time_point now);

  standing standing_of(const std::string& key, time_point now) const;

  /// Forgets an upstream that has left.
  void forget(const std::string& key) { upstreams_.erase(key); }

  /// @return how many upstreams are ejected.
  std::size_t ejected(time_point now) const;

 private:
  struct history {
    double score = 0;         ///< weighted consecutive failures
    double failing_part = 0;  ///< moving average of failures over calls
    std::uint32_t calls = 0;
    std::uint32_t ejections = 0;  ///< decides the next ejection's length; lowered by time without one
    std::uint32_t refusals = 0;   ///< consecutive failed connections and refusals
    time_point ejected_until{};
    time_point avoided_until{};
  };

  void eject(history& upstream, time_point now);
  static void avoid(history& upstream, time_point now);

  std::map<std::string, history> upstreams_;
};

template <>
struct enum_table<outlier_ejector::standing> {
  static constexpr auto entries = std::to_array<enum_entry<outlier_ejector::standing>>({
      {outlier_ejector::standing::in, "in"},
      {outlier_ejector::standing::avoided, "avoided"},
      {outlier_ejector::standing::ejected, "ejected"},
  });
};

}  // namespace heatherdeck

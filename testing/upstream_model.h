/// @file
/// How a stand-in upstream behaves: slots, queue, cold start, faults and the load that it reports. Pure; time is an
/// argument.
///
///     upstream_model model(behaviour, start_time);
///     auto verdict = model.begin("/book", deadline, now);     // answer with verdict.status after verdict.delay
///     model.finish(verdict.ticket);
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kernel/timer_service.h"

namespace heatherdeck {

/// All behaviour that can be set from the command line.
struct upstream_behaviour {
  std::uint32_t slots = 20;
  std::uint32_t queue_limit = 100;            ///< requests that may wait; further ones are shed
  milliseconds work{2};                       ///< time per request when warm
  milliseconds cold_for{0};                   ///< length of the cold start
  double cold_factor = 1.0;                   ///< work takes this many times longer at the start, falling to 1
  std::optional<milliseconds> fault_from;     ///< time after start from which the fault applies
  double fail_ratio = 0.0;                    ///< part of the requests that fail with 500 under the fault
  milliseconds slow_by{0};                    ///< extra time under the fault
  std::string fault_path;                     ///< the fault applies to this path prefix only; empty: to all
  std::uint32_t fault_in_flight = 0;          ///< the fault applies only while more requests than this are in flight
  milliseconds report_lag{0};                 ///< the reported load is this old
  std::optional<std::uint32_t> report_fixed;  ///< reports this load whatever the truth
  std::uint64_t seed = 1;
};

class upstream_model {
 public:
  enum class decision { run, shed, late };

  struct verdict {
    decision what = decision::run;
    unsigned status = 200;
    duration delay{};
    std::uint64_t ticket = 0;
  };

  upstream_model(const upstream_behaviour& behaviour, time_point start);

  /// @param deadline time that the caller still waits, if it told.
  verdict begin(const std::string& path, std::optional<milliseconds> deadline, time_point now);

  /// Ends a request that ran or was cancelled.
  void finish(std::uint64_t ticket, time_point now);

  /// @return the in-flight count as the upstream reports it.
  std::uint32_t reported_load(time_point now);

  std::uint32_t in_flight() const { return static_cast<std::uint32_t>(running_.size()); }

 private:
  duration work_time(time_point now) const;
  bool fault_applies(const std::string& path, time_point now) const;
  void remember_load(time_point now);

  upstream_behaviour behaviour_;
  time_point start_;
  std::vector<time_point> slot_free_;                      ///< when each slot ends its present work
  std::map<std::uint64_t, time_point> running_;            ///< ticket to planned end
  std::deque<std::pair<time_point, std::uint32_t>> past_;  ///< loads not older than the lag
  std::uint64_t next_ticket_ = 1;
  std::mt19937_64 random_;
};

}  // namespace heatherdeck

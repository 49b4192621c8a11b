/// @file
/// Simulates the behaviour of a fake upstream: concurrency limit, queue, cold start, injected faults and reported load.
/// Does no I/O, and time is an argument. Used by upstream_service.
///
///     upstream_model model(behaviour, start_time);
///     auto planned = model.begin("/book", deadline, now);  // respond with planned.status after planned.delay
///     model.finish(planned.request_id, now + planned.delay);
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

/// Behaviour of a fake upstream, as set on the command line of heatherdeck_upstream.
struct upstream_behaviour {
  std::uint32_t slots = 20;                 ///< requests processed concurrently
  std::uint32_t queue_limit = 100;          ///< requests that may be queued; more are shed with 503
  milliseconds service_time{2};             ///< processing time of a request after the cold start
  milliseconds cold_start{0};               ///< duration of the cold start
  double cold_start_factor = 1.0;           ///< factor on the service time at the start; falls linearly to 1
  std::optional<milliseconds> fault_start;  ///< time after start from which the fault applies
  double fault_error_ratio = 0.0;           ///< fraction of the requests that fail with 500 under the fault
  milliseconds fault_delay{0};              ///< additional service time under the fault
  std::string fault_path_prefix;            ///< the fault applies only to paths with this prefix; empty: to all
  std::uint32_t fault_min_in_flight = 0;    ///< the fault applies only while at least this many requests are in flight
  milliseconds reported_load_lag{0};        ///< the reported load is the real one of this long ago
  std::optional<std::uint32_t> fixed_reported_load;  ///< constant load to report instead of the real one
  std::uint64_t seed = 1;                            ///< of the random failures
};

/// State of one fake upstream. Owned by the task of upstream_service.
class upstream_model {
 public:
  /// run: process the request; shed: refused because the queue is full; deadline_exceeded: refused because it would not
  /// finish within its deadline.
  enum class decision { run, shed, deadline_exceeded };

  /// How to answer a request. `delay` and `request_id` are set only for the decision `run`.
  struct planned_response {
    decision kind = decision::run;
    unsigned status = 200;         ///< HTTP status
    duration delay{};              ///< time until the response, in the queue and in a slot
    std::uint64_t request_id = 0;  ///< for finish()
  };

  upstream_model(const upstream_behaviour& behaviour, time_point start);

  /// Decides how to answer a request and, for the decision `run`, assigns it to a slot.
  /// @param deadline time that remains until the caller gives up, if known.
  /// @param work service time of this request instead of the one of the behaviour.
  planned_response begin(const std::string& path, std::optional<milliseconds> deadline, time_point now,
                         std::optional<milliseconds> work = {});

  /// Removes a request that has completed or was cancelled from the requests in flight.
  void finish(std::uint64_t request_id, time_point now);

  /// @return the number of requests in flight that the upstream announces, subject to the lag or the constant.
  std::uint32_t reported_load(time_point now);

  std::uint32_t in_flight() const { return static_cast<std::uint32_t>(active_requests_.size()); }

 private:
  duration current_service_time(time_point now) const;
  bool fault_applies(const std::string& path, time_point now) const;
  void record_load(time_point now);

  upstream_behaviour behaviour_;
  time_point start_;
  std::vector<time_point> slot_free_at_;                 ///< time at which each slot becomes free
  std::map<std::uint64_t, time_point> active_requests_;  ///< request id to planned end
  /// Time and load of each change within the lag, plus the last one before it.
  std::deque<std::pair<time_point, std::uint32_t>> load_history_;
  std::uint64_t next_request_id_ = 1;
  std::mt19937_64 random_;
};

}  // namespace heatherdeck

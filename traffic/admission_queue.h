/// @file
/// Admission control for the upstream on this host: decides which requests run, wait or are refused.
///
/// All requests to an upstream pass through the node on its host, so this queue knows exactly how many are running. It
/// sends the upstream no more requests than it has slots, because some upstreams never answer a request that they
/// cannot queue, and no more a second than the limit that the upstream has stated. The requests beyond that wait here,
/// ordered by priority and then by latency objective:
///
///     admission_queue queue;
///     queue.set_slots(9);
///     queue.set_rate_limit(57.8, now);                      // requests a second; nothing: unlimited
///     switch (queue.admit(now, request)) {                  // admission_request
///       case admission_decision::run: ...                   // counted as running until `release`
///       case admission_decision::wait: ...                  // a later `take_ready` or `take_expired` returns its id
///       case admission_decision::refuse: ...                // too late here, or queue full; try another upstream
///     }
///     queue.release("lookup", 42ms);                        // a running request has ended
///     for (std::uint64_t id : queue.take_ready(now))  ...   // to be run now; counted as running
///     for (std::uint64_t id : queue.take_expired(now)) ...  // can no longer meet their objective; removed
///
/// A request that can no longer meet its objective is refused instead of kept, because under overload it would only
/// wait until its caller gives up. The queue answers overload of the upstream on this host, lasting or in bursts: it
/// keeps waiting times well below the objectives. It does not answer an upstream that rejects what it is sent. Used by
/// traffic_core, which keeps one queue for each upstream on this host. Pure.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"
#include "traffic/rate_limiter.h"

namespace heatherdeck {

enum class admission_decision { run, wait, refuse };

template <>
struct enum_table<admission_decision> {
  static constexpr auto entries = std::to_array<enum_entry<admission_decision>>({
      {admission_decision::run, "run"},
      {admission_decision::wait, "wait"},
      {admission_decision::refuse, "refuse"},
  });
};

struct admission_request {
  std::uint64_t id = 0;
  std::string route;
  std::uint32_t priority = 0;  ///< 0 is the most urgent
  time_point objective{};      ///< latency objective: a response after this time is of less value
  /// When the caller gives up.
  time_point deadline = time_point::max();
  /// Assumed service time until the upstream has answered a request; zero: none is refused for lack of time until then.
  duration assumed_service_time{};
};

class admission_queue {
 public:
  /// Bound of the queue; a longer one could not be served within the objectives of any usual service.
  static constexpr std::size_t max_waiting_per_slot = 8;

  /// @param slots requests that the upstream processes concurrently; 0 counts as 1.
  void set_slots(std::uint32_t slots) { slots_ = slots == 0 ? 1 : slots; }

  /// @param per_second requests that the upstream accepts; nothing: as many as its slots can process.
  void set_rate_limit(std::optional<double> per_second, time_point now) { rate_.set_rate(per_second, now); }

  /// Counts the requests of the last second towards a rate limit that has just been set.
  void charge_recent_starts(time_point now) { rate_.charge_recent_starts(now); }

  /// @return the rate limit in force; nothing: none.
  const std::optional<double>& rate_limit() const { return rate_.rate(); }

  /// Decides on a new request; it is counted as running, or queued, or refused.
  admission_decision admit(time_point now, const admission_request& request);

  /// Ends a running request.
  /// @param service_time time that the upstream took for it; zero if unknown.
  void release(const std::string& route, duration service_time);

  /// Removes a waiting request, if it is in the queue.
  void cancel(std::uint64_t id);

  /// @return ids of the waiting requests to run now, in order; they are counted as running.
  std::vector<std::uint64_t> take_ready(time_point now);

  /// @return when the rate limit lets a waiting request start; nothing if none waits, or if it waits for a slot.
  std::optional<time_point> next_start(time_point now) const;

  /// @return ids of the waiting requests that can no longer meet their objective; they are removed.
  std::vector<std::uint64_t> take_expired(time_point now);

  /// Shortens the wait of the requests in the queue.
  /// @param end latest objective; a request that cannot meet it is returned by `take_expired`.
  void limit_waiting(time_point end);

  /// @return ids of all waiting requests; the queue is empty afterwards.
  std::vector<std::uint64_t> take_all();

  std::uint32_t running() const { return running_; }
  std::size_t waiting() const { return waiting_.size(); }

  /// @return how many requests the upstream can process at a time: its slots without those that the rate limit keeps
  ///   idle.
  std::uint32_t effective_slots() const;

  /// @return the running and waiting requests, scaled so that all slots seem busy when all effective ones are.
  load_report load() const;

  /// @return when a refused caller should retry: the estimated time until all that is running and waiting now has been
  ///   served and the rate limit allows one more start, from 50 ms to 1 s.
  milliseconds retry_after(time_point now) const;

 private:
  /// Service time of a route: exponential moving averages of its mean and of the absolute deviation from the mean.
  struct service_time {
    double mean_ms = 0;  ///< 0 when unknown
    double deviation_ms = 0;

    void add_sample(double ms);
  };

  /// @return the time that most runs of a route stay within.
  static duration run_time(const service_time& time);
  service_time service_time_of(const admission_request& request) const;
  duration expected_queue_time(time_point now, const admission_request& request) const;

  std::uint32_t slots_ = 1;
  std::uint32_t running_ = 0;
  rate_limiter rate_;
  service_time overall_;                        ///< over all routes
  std::map<std::string, service_time> routes_;  ///< by route name
  std::vector<admission_request> waiting_;      ///< in order of arrival
};

}  // namespace heatherdeck

/// @file
/// Admission control for the upstream on this host: decides which requests run, wait or are refused.
///
/// All requests to an upstream pass through the node on its host, so this queue knows exactly how many are running. It
/// sends the upstream no more requests than it has slots, because some upstreams never answer a request that they
/// cannot queue, and no more a second than the limit that the upstream has stated. The requests beyond that wait here,
/// in the order of what a delay costs their callers (rejection_cost.h) and with a guaranteed share for each account
/// (fair_share.h):
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
/// wait until its caller gives up. So is one that more urgent requests have overtaken, as soon as the requests ahead of
/// it make it late. A request that is late already, and would be answered before its deadline, runs only while slots
/// are free beyond those kept for others. The queue answers overload of the upstream on this host, lasting or in
/// bursts: it keeps waiting times well below the objectives. It does not answer an upstream that rejects what it is
/// sent. Used by traffic_core, which keeps one queue for each upstream on this host. Pure.
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
#include "traffic/fair_share.h"
#include "traffic/rate_limiter.h"
#include "traffic/rejection_cost.h"

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
  std::string account{};                          ///< client account; empty without one
  std::optional<std::uint32_t> route_priority{};  ///< if `priority` is the account's: that of the route
  bool nested = false;  ///< called on behalf of a running request, whose work is lost if the call is refused
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

  /// @param pace how much longer than usual the upstream takes at the moment; 2: twice as long. Scales what the queue
  ///   expects of service times, which it keeps for a pace of 1.
  void set_pace(double pace);

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

  /// @return ids of the waiting requests that can no longer meet their objective, and of those displaced by others
  ///   since the last call; they are removed.
  std::vector<std::uint64_t> take_expired(time_point now);

  /// Shortens the wait of the requests in the queue.
  /// @param end latest objective; a request that cannot meet it is returned by `take_expired`.
  void limit_waiting(time_point end);

  /// @return ids of all waiting requests; the queue is empty afterwards.
  std::vector<std::uint64_t> take_all();

  std::uint32_t running() const { return running_; }
  std::size_t waiting() const { return waiting_.size(); }

  /// @return client accounts whose shares the queue keeps.
  std::size_t accounts() const { return shares_.accounts(); }

  /// @return how many requests were displaced after they had been queued.
  std::uint64_t displaced() const { return displaced_count_; }

  /// @return how many requests the upstream can process at a time: its slots without those that the rate limit keeps
  ///   idle.
  std::uint32_t effective_slots() const;

  /// @return the running and waiting requests, scaled so that all slots seem busy when all effective ones are.
  load_report load() const;

  /// @param drawn random number from 0 to 1.
  /// @return when a refused caller should retry: the estimated time until all that is running and waiting now has been
  ///   served and the rate limit allows one more start, up to a quarter less or more, so that callers refused together
  ///   do not come back together; from 50 ms to 1 s.
  milliseconds retry_after(time_point now, double drawn = 0.5) const;

 private:
  /// Service time of a route: exponential moving averages of its mean and of the absolute deviation from the mean.
  struct service_time {
    double mean_ms = 0;  ///< 0 when unknown
    double deviation_ms = 0;

    void add_sample(double ms);
  };

  struct waiting_request {
    admission_request request;
    rejection_rank rank;
  };

  /// @return the time that most runs of a route stay within.
  static duration run_time(const service_time& time);
  /// @return latest time of a response for which the request may wait.
  static time_point useful_until(const admission_request& request);
  service_time service_time_of(const admission_request& request) const;
  /// @return mean service time of all routes, or of this request if none is known.
  double mean_service_ms(const admission_request& request) const;
  duration queue_time_after(time_point now, duration work, std::size_t requests_ahead) const;
  duration expected_queue_time(time_point now, const admission_request& request, const rejection_rank& rank) const;
  bool fits(time_point now, const admission_request& request, const rejection_rank& rank) const;
  bool has_slots_for_late() const;
  bool make_room(const rejection_rank& rank);
  void displace_late(time_point now, const rejection_rank& added);
  void start(time_point now, const admission_request& request);

  std::uint32_t slots_ = 1;
  std::uint32_t running_ = 0;
  rate_limiter rate_;
  service_time overall_;                        ///< over all routes
  std::map<std::string, service_time> routes_;  ///< by route name
  double pace_ = 1;
  double timely_part_ = 1;  ///< of the requests that come: those that could be in time if they ran at once
  fair_share shares_;
  std::vector<waiting_request> waiting_;  ///< in order of arrival
  std::vector<std::uint64_t> displaced_;  ///< removed from waiting_, and not yet returned by take_expired
  std::uint64_t displaced_count_ = 0;
};

}  // namespace heatherdeck

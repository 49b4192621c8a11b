/// @file
/// Admission at the upstream on this host: what runs there, what waits for it and what is refused.
///
/// All requests to an upstream pass the node of its host, so this gate knows exactly how many run there. It gives the
/// upstream no more than it has slots, because some upstreams leave a request that they cannot queue unanswered, and it
/// keeps the queue itself, in the order in which the requests are worth most:
///
///     upstream_gate gate;
///     gate.set_slots(9);
///     switch (gate.arrive(now, request)) {                 // gate_request
///       case gate_verdict::run: ...                        // counted as running until `leave`
///       case gate_verdict::wait: ...                       // a later `take_ready` or `take_expired` names its id
///       case gate_verdict::refuse: ...                     // it would be late; another upstream may do better
///     }
///     gate.leave(now, "lookup", 42ms);                     // a run has ended
///     for (std::uint64_t id : gate.take_ready())     ...    // may run now; counted as running
///     for (std::uint64_t id : gate.take_expired(now)) ...  // cannot meet their objective any more
///
/// Order: the more urgent rank, then the earlier objective. A request that cannot meet its objective any more is
/// refused rather than held, because under an overload it would only be held until its caller leaves. Pure.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"

namespace heatherdeck {

enum class gate_verdict { run, wait, refuse };

template <>
struct enum_table<gate_verdict> {
  static constexpr auto entries = std::to_array<enum_entry<gate_verdict>>({
      {gate_verdict::run, "run"},
      {gate_verdict::wait, "wait"},
      {gate_verdict::refuse, "refuse"},
  });
};

struct gate_request {
  std::uint64_t id = 0;
  std::string route;
  std::uint32_t rank = 0;  ///< 0 is the most urgent
  time_point objective{};  ///< by when an answer is of full use
  /// When its caller leaves.
  time_point deadline = time_point::max();
};

class upstream_gate {
 public:
  /// Waiting requests for each slot; a longer queue could not be answered in time by any usual service.
  static constexpr std::size_t waiting_per_slot = 8;

  void set_slots(std::uint32_t slots) { slots_ = slots == 0 ? 1 : slots; }

  gate_verdict arrive(time_point now, const gate_request& request);

  /// A run has ended.
  /// @param service_time of the upstream for it; zero when it tells nothing.
  void leave(const std::string& route, duration service_time);

  /// A waiting request is not wanted any more.
  void withdraw(std::uint64_t id);

  std::vector<std::uint64_t> take_ready();
  std::vector<std::uint64_t> take_expired(time_point now);

  /// Takes out everything that waits.
  std::vector<std::uint64_t> take_all();

  std::uint32_t running() const { return running_; }
  std::size_t waiting() const { return waiting_.size(); }

  /// @return how long a refused request should stay away: the time until the queue of today is served.
  milliseconds retry_after() const;

 private:
  /// Service time of a route: moving averages of the value and of its distance from the mean.
  struct service_time {
    double mean_ms = 0;  ///< 0: not known
    double deviation_ms = 0;

    void learn(double ms);
  };

  const service_time& time_of(const std::string& route) const;
  duration expected_wait(const gate_request& request) const;

  std::uint32_t slots_ = 1;
  std::uint32_t running_ = 0;
  service_time usual_;  ///< over all routes
  std::map<std::string, service_time> routes_;
  std::vector<gate_request> waiting_;
};

}  // namespace heatherdeck

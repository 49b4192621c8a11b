/// @file
/// Chooses one upstream of a version: the nearest class of locality with free capacity, and in it the better of two
/// random choices by score.
///
///     balancer choose(seed);
///     std::optional<std::size_t> index = choose.pick(candidates, now);
///
/// The caller owns the candidates and rebuilds them for each pick; the balancer keeps only its random state.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "kernel/timer_service.h"
#include "model/traffic_messages.h"
#include "traffic/random_source.h"

namespace heatherdeck {

/// What is known of a target's load: own requests, and the last report with its age.
struct load_estimate {
  std::uint32_t own_in_flight = 0;  ///< requests of this node at the target
  load_report reported;
  std::uint32_t own_at_report = 0;  ///< own requests in flight when the report arrived; part of the report
  time_point reported_at{};         ///< default value: there was no report

  /// Takes in a report.
  void report(const load_report& load, time_point now);

  /// @return requests at the target: the own ones, and those of other nodes by the report, halved each 500 ms of age.
  double requests(time_point now) const;
};

/// One upstream that may be chosen.
struct balance_candidate {
  choice_reason locality = choice_reason::remote;
  const load_estimate* load = nullptr;
  double latency_ms = 0;     ///< average, failures included with a penalty; 0 when unknown
  double weight = 1;         ///< below 1 during a slow start
  std::uint32_t slots = 20;  ///< requests that the target works on at a time
  std::uint32_t connections = 130;
  bool suspect = false;   ///< its node has been silent: chosen only when there is no other
  bool tried = false;     ///< this request has been there: the same
  bool refusing = false;  ///< has refused a request lately, or a connection failed: the same
};

/// How far a request may go to avoid a wait.
enum class balance_reach {
  free,  ///< to a farther class for a free slot
  near,  ///< not to another region while its own serves, even when all upstreams there are busy: its answer is large
};

template <>
struct enum_table<balance_reach> {
  static constexpr auto entries = std::to_array<enum_entry<balance_reach>>({
      {balance_reach::free, "free"},
      {balance_reach::near, "near"},
  });
};

class balancer {
 public:
  explicit balancer(std::uint64_t seed) : random_(seed) {}

  /// @return the index of the chosen candidate, or nothing when none can take another connection.
  std::optional<std::size_t> pick(std::span<const balance_candidate> candidates, time_point now,
                                  balance_reach reach = balance_reach::free);

 private:
  random_source random_;
};

/// @param lowest_latency_ms the lowest known average among the candidates, 0 when unknown.
/// @return the expected cost of one more request at the candidate; lower is better.
double balance_score(const balance_candidate& candidate, double lowest_latency_ms, time_point now);

}  // namespace heatherdeck

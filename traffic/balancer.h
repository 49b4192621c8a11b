/// @file
/// Load balancing over the upstreams of one version: takes the nearest locality class with free capacity, and in it the
/// better by score of two candidates drawn at random ("power of two choices").
///
///     balancer picker(seed);
///     std::optional<std::size_t> index = picker.pick(candidates, now);
///
/// Used by traffic_core, which owns the candidates and rebuilds them for each pick. The only state of a balancer is its
/// random number generator.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "kernel/timer_service.h"
#include "model/traffic_messages.h"
#include "traffic/random_source.h"

namespace heatherdeck {

/// What this node knows of a target's load: its own requests in flight, and the target's last load report.
struct load_estimate {
  std::uint32_t own_in_flight = 0;  ///< requests that this node has in flight at the target
  load_report last_report;
  std::uint32_t own_in_flight_at_report = 0;  ///< own_in_flight when last_report arrived; included in the report
  time_point reported_at{};                   ///< when last_report arrived; the default value means no report yet

  /// Replaces the last report.
  void apply_report(const load_report& load, time_point now);

  /// @return estimated number of requests at the target: this node's own requests, plus those of other nodes according
  ///   to the last report, whose weight halves every 500 ms.
  double estimated_requests(time_point now) const;

  /// @return whether the target reports its pace.
  bool reports_pace() const { return last_report.pace > 0; }

  /// @return estimate of the present pace: the reported one, which approaches 1 as the report ages.
  double estimated_pace(time_point now) const;
};

/// One upstream that the balancer may choose.
struct balance_candidate {
  locality_class locality = locality_class::remote;
  const load_estimate* load = nullptr;
  double latency_ms = 0;            ///< moving average; failures are included with a penalty; 0 when unknown
  double relative_time = 1;         ///< service time relative to the mean of the service, without the pace
  double weight = 1;                ///< below 1 during a slow start
  std::uint32_t slots = 20;         ///< requests that the target processes concurrently
  std::uint32_t connections = 130;  ///< connections that the target accepts; limits own_in_flight
  // Candidates with any of these flags are chosen only when there is no candidate without one.
  bool suspect = false;   ///< its node has been silent and is suspected to have failed
  bool tried = false;     ///< an earlier attempt of this request was sent to it
  bool refusing = false;  ///< it refused a request recently, or a connection to it failed
};

/// Whether a request may be sent to another region to avoid queueing.
enum class spillover_policy {
  any_region,           ///< may take a free slot in any farther locality class
  avoid_other_regions,  ///< stays in its region while any upstream there is not suspect, even if all are busy;
                        ///< for requests with large responses
};

template <>
struct enum_table<spillover_policy> {
  static constexpr auto entries = std::to_array<enum_entry<spillover_policy>>({
      {spillover_policy::any_region, "free"},
      {spillover_policy::avoid_other_regions, "near"},
  });
};

/// How the candidates of equal preference are compared.
enum class placement_policy {
  utilisation,    ///< the better of two by the part of the slots that is busy, with a penalty for latency
  response_time,  ///< at random, weighted by expected response time; for targets that report their pace
};

template <>
struct enum_table<placement_policy> {
  static constexpr auto entries = std::to_array<enum_entry<placement_policy>>({
      {placement_policy::utilisation, "utilisation"},
      {placement_policy::response_time, "response_time"},
  });
};

class balancer {
 public:
  explicit balancer(std::uint64_t seed) : random_(seed) {}

  /// @return the index of the chosen candidate, or nothing when no candidate that the policy permits can take another
  ///   connection.
  std::optional<std::size_t> pick(std::span<const balance_candidate> candidates, time_point now,
                                  spillover_policy spillover = spillover_policy::any_region,
                                  placement_policy placement = placement_policy::utilisation);

 private:
  struct placement_row;
  static const placement_row placements[];

  std::size_t choose_by_utilisation(std::span<const balance_candidate> candidates, std::span<std::size_t> eligible,
                                    time_point now);
  std::size_t choose_by_response_time(std::span<const balance_candidate> candidates, std::span<std::size_t> eligible,
                                      time_point now);

  random_source random_;
};

/// @return expected time to a response of one more request at the candidate, in mean service times of the service.
double expected_response_time(const balance_candidate& candidate, time_point now);

/// @param lowest_latency_ms lowest known average latency among the candidates; 0 when unknown.
/// @return estimated cost of one more request at the candidate, as a utilisation (1: all slots busy) plus a latency
///   penalty; lower is better.
double balance_score(const balance_candidate& candidate, double lowest_latency_ms, time_point now);

}  // namespace heatherdeck

/// @file
/// Simulates rollouts under a virtual clock, call by call, with the production version_judge, rollout_planner and
/// version_circuit_breaker.
///
///     const rollout_case c = make_case(fault_kind::later, seed);
///     const rollout_result r = simulate(c, policy_kind::planned);
///
/// Each zone has one node that accepts calls and cuts versions off locally; a call goes to an upstream of the drawn
/// version in the caller's zone or, if there is none, in another zone. A share takes effect 0.6 s after the decision. A
/// call is affected when it failed or was slow because of the fault of the new version. The same seed gives the same
/// rollout.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/enum_names.h"

namespace heatherdeck {

/// What happens during the rollout. The new version is good up to shared_overload and bad from at_once on.
enum class fault_kind { quiet, noisy_fleet, faulty_zone, shared_overload, at_once, later, under_load, one_route, slow };

template <>
struct enum_table<fault_kind> {
  static constexpr auto entries = std::to_array<enum_entry<fault_kind>>({
      {fault_kind::quiet, "quiet"},
      {fault_kind::noisy_fleet, "noisy_fleet"},
      {fault_kind::faulty_zone, "faulty_zone"},
      {fault_kind::shared_overload, "shared_overload"},
      {fault_kind::at_once, "at_once"},
      {fault_kind::later, "later"},
      {fault_kind::under_load, "under_load"},
      {fault_kind::one_route, "one_route"},
      {fault_kind::slow, "slow"},
  });
};

/// @return true when the new version has a fault of its own.
constexpr bool bad_version(fault_kind kind) { return kind >= fault_kind::at_once; }

/// Who decides the steps: the production planner, or a schedule with fixed steps and thresholds as the baseline.
enum class policy_kind { planned, fixed };

template <>
struct enum_table<policy_kind> {
  static constexpr auto entries = std::to_array<enum_entry<policy_kind>>({
      {policy_kind::planned, "planned"},
      {policy_kind::fixed, "fixed"},
  });
};

inline constexpr std::size_t simulated_zones = 6;
inline constexpr std::size_t simulated_routes = 4;

/// One rollout, drawn from a seed.
struct rollout_case {
  fault_kind kind = fault_kind::quiet;
  std::uint64_t seed = 0;
  std::chrono::seconds finish{600};
  std::chrono::seconds watch{300};
  double calls_per_s = 200;
  double base_failure = 0.002;  ///< failing fraction of the calls without a fault
  double median_ms = 8;
  std::array<bool, simulated_zones> old_in{};  ///< zones with upstreams of the old version
  std::array<bool, simulated_zones> new_in{};
  double warm_after_s = 10;      ///< when the new upstreams are warm
  double fault_failure = 0;      ///< additional failing fraction of the new version's calls
  double fault_slowdown = 1;     ///< factor on the new version's latency
  double fault_from_s = 0;       ///< start of the fault
  double fault_above_share = 0;  ///< the fault is active while the share is at least this, 0 to 1
  int fault_route = -1;          ///< the only route with the fault; -1: all
  double disturbed_from_s = 0;   ///< start of the faulty zone or the shared overload
  double disturbed_for_s = 0;
  double disturbed_failure = 0;
  std::size_t disturbed_zone = 0;
};

struct rollout_result {
  bool rolled_back = false;
  bool done_in_time = false;
  double calls = 0;  ///< expected calls in the finish time and the watch time
  std::uint64_t affected_calls = 0;
  double ended_s = 0;
  std::string reason;

  double affected_fraction() const { return calls > 0 ? static_cast<double>(affected_calls) / calls : 0; }
};

/// @return a case whose sizes and times are drawn from the seed.
rollout_case make_case(fault_kind kind, std::uint64_t seed);

/// Runs one rollout to its end.
rollout_result simulate(const rollout_case& c, policy_kind policy);

/// Sums over the rollouts of one kind.
struct rollout_summary {
  fault_kind kind = fault_kind::quiet;
  std::size_t rollouts = 0;
  std::size_t rolled_back = 0;
  std::size_t contained = 0;  ///< rolled back with under 1% of the calls affected
  std::size_t done_in_time = 0;
  double mean_affected = 0;
  double worst_affected = 0;
  std::vector<std::uint64_t> missed_seeds;  ///< bad and not contained, or good and not done in time
};

/// Runs `rollouts` cases of one kind with seeds first_seed, first_seed + 1, ...
rollout_summary run_rollouts(fault_kind kind, policy_kind policy, std::uint64_t first_seed, std::size_t rollouts);

}  // namespace heatherdeck

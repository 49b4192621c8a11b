/// @file
/// Simulates, in virtual time, nodes that send calls to the targets of one service. The nodes use the real traffic
/// decisions, or simpler ones for comparison; see call_policy. Used by overload_test and tools/overload_experiment.
///
///     call_simulation_options o{.policy = call_policy::traffic_core, .phases = {{10, 3.0}, {10, 0.5}}};
///     std::vector<phase_result> results = simulate_calls(o);
///
/// A target processes `slots` calls concurrently and queues the others in order of arrival. A call is good when its
/// response arrives within the timeout. A call that has timed out is dropped from the queue, but one that is being
/// processed is completed, as real upstreams do. The same seed gives the same calls for every policy.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "kernel/enum_names.h"

namespace heatherdeck {

/// How a node chooses a target, and whether it limits its calls.
enum class call_policy {
  traffic_core,  ///< the whole of traffic_core: two random choices, outlier ejection, concurrency limit
  two_choices,   ///< the balancer alone, without a limit
  round_robin,   ///< without a limit
};

template <>
struct enum_table<call_policy> {
  static constexpr auto entries = std::to_array<enum_entry<call_policy>>({
      {call_policy::traffic_core, "traffic_core"},
      {call_policy::two_choices, "two_choices"},
      {call_policy::round_robin, "round_robin"},
  });
};

/// A period with a constant mean rate of calls.
struct call_phase {
  double seconds = 10;
  double load = 0.5;  ///< calls offered, as a fraction of the capacity of all targets
};

struct call_simulation_options {
  call_policy policy = call_policy::traffic_core;
  std::uint64_t seed = 1;
  std::size_t targets = 6;
  std::uint32_t slots = 10;
  std::uint32_t connections = 110;
  std::size_t nodes = 6;
  double service_ms = 10;  ///< mean service time; half of it is fixed, the rest exponentially distributed
  double timeout_ms = 200;
  double reserved_fraction = 0.2;  ///< fraction of the calls that must not be repeated
  int slow_target = -1;            ///< index of a target that takes three times as long; -1: none
  int failing_target = -1;         ///< index of a target that fails every call at once; -1: none
  std::vector<call_phase> phases;
};

struct phase_result {
  std::uint64_t offered = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  std::uint64_t reserved_offered = 0;
  std::uint64_t reserved_refused = 0;
  double capacity = 0;                   ///< calls that all targets together can complete in this phase
  double p99_ms = 0;                     ///< 99th percentile of the latency of good calls
  std::vector<std::uint64_t> by_target;  ///< calls sent, by index of the target

  /// @return good calls as a fraction of the offered calls or of the capacity, whichever is less.
  double goodput() const;
};

/// @return one result for each phase; a call belongs to the phase in which it arrives.
std::vector<phase_result> simulate_calls(const call_simulation_options& options);

}  // namespace heatherdeck

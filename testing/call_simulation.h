/// @file
/// Simulates nodes that send calls to the targets of one service, under a virtual clock, on the real traffic decisions.
///
///     call_simulation_options o{.policy = call_policy::traffic_core, .phases = {{10, 3.0}, {10, 0.5}}};
///     std::vector<phase_result> results = simulate_calls(o);
///
/// A target works on `slots` calls at a time and queues the others in order. A call is good when its answer comes
/// within the time-out. A call that nobody waits for any more is dropped from the queue, but one that is being worked
/// on is finished, as upstreams do. The same seed gives the same calls for every policy.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "kernel/enum_names.h"

namespace heatherdeck {

/// How a node chooses a target, and whether it limits its calls.
enum class call_policy {
  traffic_core,  ///< everything: two choices, ejection, limit
  two_choices,   ///< the balancer alone, no limit
  round_robin,   ///< no limit
};

template <>
struct enum_table<call_policy> {
  static constexpr auto entries = std::to_array<enum_entry<call_policy>>({
      {call_policy::traffic_core, "traffic_core"},
      {call_policy::two_choices, "two_choices"},
      {call_policy::round_robin, "round_robin"},
  });
};

/// A time with a constant rate of calls.
struct call_phase {
  double seconds = 10;
  double load = 0.5;  ///< as a part of the capacity of all targets
};

struct call_simulation_options {
  call_policy policy = call_policy::traffic_core;
  std::uint64_t seed = 1;
  std::size_t targets = 6;
  std::uint32_t slots = 10;
  std::uint32_t connections = 110;
  std::size_t nodes = 6;
  double service_ms = 10;  ///< mean time of work, exponentially distributed around half of it
  double timeout_ms = 200;
  double reserved_part = 0.2;  ///< part of the calls that must not be repeated
  int slow_target = -1;        ///< works three times as long
  int failing_target = -1;     ///< fails at once
  std::vector<call_phase> phases;
};

struct phase_result {
  std::uint64_t offered = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  std::uint64_t reserved_offered = 0;
  std::uint64_t reserved_refused = 0;
  double capacity = 0;  ///< calls that all targets can finish in this phase
  double p99_ms = 0;    ///< of the good calls
  std::vector<std::uint64_t> by_target;

  /// @return good calls as a part of what was offered or of the capacity, whichever is less.
  double goodput() const;
};

/// @return one result for each phase, by the time of arrival.
std::vector<phase_result> simulate_calls(const call_simulation_options& options);

}  // namespace heatherdeck

// Prints, from a simulation, the goodput under overload and the distribution of calls over targets, for each policy of
// choosing a target (call_policy in testing/call_simulation.h).
//
//     overload_experiment --seed=1
#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gflags/gflags.h>

#include "testing/call_simulation.h"

DEFINE_uint64(seed, 1, "seed of the simulated calls");

namespace heatherdeck {
namespace {

void print_overload() {
  fmt::print("goodput: good calls / min(offered calls, capacity); recovery: goodput at half load after the overload\n");
  fmt::print("{:14} {:>6} {:>8} {:>8} {:>9} {:>16} {:>9}\n", "policy", "load", "goodput", "refused", "p99 ms",
             "reserved refused", "recovery");
  for (const auto& policy : enum_table<call_policy>::entries) {
    for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
      const auto results = simulate_calls(
          {.policy = policy.value, .seed = FLAGS_seed, .phases = {{5, 0.5}, {10, load}, {3, 0.5}, {10, 0.5}}});
      const phase_result& r = results[1];
      fmt::print("{:14} {:6.1f} {:7.1f}% {:7.1f}% {:9.1f} {:15.1f}% {:8.1f}%\n", policy.name, load, 100 * r.goodput(),
                 100.0 * static_cast<double>(r.refused) / static_cast<double>(r.offered), r.p99_ms,
                 100.0 * static_cast<double>(r.reserved_refused) / static_cast<double>(r.reserved_offered),
                 100 * results[3].goodput());
    }
  }
}

void print_distribution(const char* title, call_simulation_options options) {
  fmt::print("{}\n", title);
  options.seed = FLAGS_seed;
  options.phases = {{2, 0.6}, {10, 0.6}};
  for (const auto& policy : enum_table<call_policy>::entries) {
    options.policy = policy.value;
    const phase_result r = simulate_calls(options)[1];
    fmt::print("{:14} goodput {:6.2f}%  p99 {:6.1f} ms  calls by target {}\n", policy.name, 100 * r.goodput(), r.p99_ms,
               fmt::join(r.by_target, " "));
  }
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  heatherdeck::print_overload();
  heatherdeck::print_distribution("equal targets at 60% load", {});
  heatherdeck::print_distribution("target 0 takes three times as long", {.slow_target = 0});
  heatherdeck::print_distribution("target 0 fails every call at once", {.failing_target = 0});
  return 0;
}

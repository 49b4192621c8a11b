// Runs seeded rollouts of bad and good versions with the production planner, and the same rollouts with a fixed
// schedule and fixed thresholds for comparison. Each kind of fault runs in a thread of its own; a case depends only on
// its seed, so the result does not depend on the threads. "affected" in the report: the fraction of the calls that
// failed or were slow because of the fault of the new version.
//
//     rollout_experiment --rollouts=150 --seed=1 [--kind=later --explain]
#include <future>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "testing/rollout_simulation.h"

DEFINE_uint64(rollouts, 150, "rollouts of each kind");
DEFINE_uint64(seed, 1, "seed of the first rollout of each kind");
DEFINE_string(kind, "", "runs only this kind");
DEFINE_bool(explain, false,
            "prints each rollout that missed its goal: a bad version not contained, a good one not done in time");

namespace heatherdeck {
namespace {

void explain(const rollout_summary& sum, policy_kind policy) {
  for (const std::uint64_t seed : sum.missed_seeds) {
    const rollout_case c = make_case(sum.kind, seed);
    const rollout_result r = simulate(c, policy);
    fmt::print(
        "  seed {}: rolled back {}, in time {}, affected {:.2f}%, ended {:.0f} of {}+{} s, {:.0f} calls/s, base "
        "{:.4f}, "
        "median {:.1f} ms, fault {:.2f} x{:.1f} from {:.0f} s above {:.2f} route {}; {}\n",
        seed, r.rolled_back, r.done_in_time, 100 * r.affected_fraction(), r.ended_s, c.finish.count(), c.watch.count(),
        c.calls_per_s, c.base_failure, c.median_ms, c.fault_failure, c.fault_slowdown, c.fault_from_s,
        c.fault_above_share, c.fault_route, r.reason);
  }
}

int run() {
  struct job {
    policy_kind policy;
    std::future<rollout_summary> sum;
  };
  std::vector<job> jobs;
  for (const auto& policy : enum_table<policy_kind>::entries) {
    for (const auto& kind : enum_table<fault_kind>::entries) {
      if (!FLAGS_kind.empty() && FLAGS_kind != kind.name) continue;
      jobs.push_back({policy.value, std::async(std::launch::async, run_rollouts, kind.value, policy.value, FLAGS_seed,
                                               static_cast<std::size_t>(FLAGS_rollouts))});
    }
  }
  fmt::print("{:8} {:16} {:>8} {:>11} {:>17} {:>12} {:>13} {:>14}\n", "policy", "kind", "rollouts", "rolled back",
             "affected under 1%", "done in time", "mean affected", "worst affected");
  for (job& j : jobs) {
    const rollout_summary sum = j.sum.get();
    const double whole = static_cast<double>(sum.rollouts) / 100;
    fmt::print("{:8} {:16} {:8} {:10.1f}% {:16.1f}% {:11.1f}% {:12.3f}% {:13.2f}%\n", to_name(j.policy),
               to_name(sum.kind), sum.rollouts, static_cast<double>(sum.rolled_back) / whole,
               static_cast<double>(sum.contained) / whole, static_cast<double>(sum.done_in_time) / whole,
               100 * sum.mean_affected, 100 * sum.worst_affected);
    if (FLAGS_explain && j.policy == policy_kind::planned) explain(sum, j.policy);
  }
  return 0;
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return heatherdeck::run();
}

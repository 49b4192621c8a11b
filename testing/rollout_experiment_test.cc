// Tests the project's goals for rollouts on 1,080 seeded cases: bad versions are rolled back with under 1% of the calls
// affected, good ones are done in time. The bounds are the goals of docs/design.md, section 1.4.
#include <future>

#include <gtest/gtest.h>

#include "control/rollout_planner.h"
#include "testing/rollout_simulation.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t first_seed = 1;
constexpr std::size_t rollouts_of_each_kind = 120;

std::string seeds_of(const rollout_summary& sum) {
  std::string text = std::string(to_name(sum.kind)) + " missed:";
  for (const std::uint64_t seed : sum.missed_seeds) text += " " + std::to_string(seed);
  return text;
}

TEST(rollout_experiment, goals_hold_for_bad_and_good_versions) {
  std::vector<std::future<rollout_summary>> runs;
  runs.reserve(enum_table<fault_kind>::entries.size());
  for (const auto& kind : enum_table<fault_kind>::entries) {
    runs.push_back(std::async(std::launch::async, run_rollouts, kind.value, policy_kind::planned, first_seed,
                              rollouts_of_each_kind));
  }
  double bad = 0, contained = 0, good = 0, in_time = 0, false_rollbacks = 0;
  std::string missed;
  for (auto& run : runs) {
    const rollout_summary sum = run.get();
    const auto all = static_cast<double>(sum.rollouts);
    if (!sum.missed_seeds.empty()) missed += seeds_of(sum) + "; ";
    if (bad_version(sum.kind)) {
      bad += all;
      contained += static_cast<double>(sum.contained);
    } else {
      good += all;
      in_time += static_cast<double>(sum.done_in_time);
      false_rollbacks += static_cast<double>(sum.rolled_back);
    }
  }
  EXPECT_GT(contained / bad, 0.99) << missed;
  EXPECT_GT(in_time / good, 0.99) << missed;
  EXPECT_LT(false_rollbacks / good, 0.01) << missed;
}

planner_input input(basis_points share) {
  const time_point start = time_point{} + 1h;
  return {.now = start + 100s,
          .spec = {.finish_within = 200s, .watch_period = 60s},
          .share = share,
          .started = start,
          .last_step = start + 50s,
          .warm_new = 3,
          .warm_old = 3,
          .new_calls = 1000,
          .old_calls = 1000};
}

TEST(rollout_planner, steps_are_bounded_by_growth_and_by_warm_upstreams) {
  const rollout_planner planner(0.5);
  EXPECT_EQ(planner.next(input(100)).share, 300U);
  planner_input few = input(1000);
  few.warm_new = 1;
  few.warm_old = 20;
  EXPECT_EQ(planner.next(few).action, plan_action::wait);
  few.warm_new = 0;
  EXPECT_EQ(planner.next(few).action, plan_action::wait);
}

TEST(rollout_planner, waits_for_calls_since_the_last_step_and_while_the_e_value_is_high) {
  const rollout_planner planner(0.5);
  planner_input f = input(100);
  f.new_calls = 1;
  EXPECT_EQ(planner.next(f).action, plan_action::wait);
  f = input(100);
  f.e_value = 20;
  EXPECT_EQ(planner.next(f).action, plan_action::wait);
  f.e_value = 200;
  EXPECT_EQ(planner.next(f).action, plan_action::withdraw);
  f.warm_old = 0;
  EXPECT_EQ(planner.next(f).action, plan_action::wait) << "a withdrawal would leave the service without upstreams";
}

TEST(rollout_planner, convergence_weight_moves_the_planned_end) {
  EXPECT_LT(rollout_planner(1).ramp_fraction(), rollout_planner(0).ramp_fraction());
  EXPECT_LT(rollout_planner(0).ramp_fraction(), 1);
}

}  // namespace
}  // namespace heatherdeck

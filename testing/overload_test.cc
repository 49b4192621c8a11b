// Tests of goodput under overload and of the distribution of calls over targets, in a seeded simulation of nodes and
// targets. Guards against queues at the targets that grow until every answer comes after its timeout, and against load
// balancing that prefers a target because it fails fast, or sends a slow one as many calls as the others.
#include <gtest/gtest.h>

#include "testing/call_simulation.h"
#include "traffic/concurrency_limiter.h"

namespace heatherdeck {
namespace {

constexpr std::uint64_t seed = 1;

// Without a limit, all calls are answered too late from a load of about 1.5 times the capacity.
TEST(concurrency_limit, goodput_stays_near_the_capacity_at_every_load) {
  for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
    const call_simulation_options options{.seed = seed, .phases = {{5, 0.5}, {10, load}}};
    EXPECT_GT(simulate_calls(options)[1].goodput(), 0.95) << "load " << load;
  }
  const call_simulation_options unlimited{
      .policy = call_policy::two_choices, .seed = seed, .phases = {{5, 0.5}, {10, 2.0}}};
  EXPECT_LT(simulate_calls(unlimited)[1].goodput(), 0.5);
}

// Refusing a call that must not be repeated costs its caller more than refusing a lookup.
TEST(concurrency_limit, reserved_fraction_admits_most_non_idempotent_calls_under_overload) {
  const phase_result r = simulate_calls({.seed = seed, .phases = {{5, 0.5}, {10, 2.0}}})[1];
  EXPECT_GT(r.refused, r.offered * 4 / 10);
  EXPECT_LT(r.reserved_refused, r.reserved_offered / 5);
}

TEST(concurrency_limit, recovers_within_three_seconds_after_an_overload) {
  const auto r = simulate_calls({.seed = seed, .phases = {{5, 0.5}, {20, 3.0}, {3, 0.5}, {10, 0.5}}});
  EXPECT_GT(r[3].goodput(), 0.999);
  EXPECT_EQ(r[3].refused, 0U);
}

// A limiter that adopts the latency of the overload as its baseline lets queues grow to the timeout within minutes.
TEST(concurrency_limit, long_overload_does_not_raise_the_baseline) {
  const auto r =
      simulate_calls({.seed = seed, .targets = 3, .slots = 5, .nodes = 3, .phases = {{5, 0.5}, {240, 2.0}, {30, 2.0}}});
  EXPECT_GT(r[2].goodput(), 0.97);
}

TEST(concurrency_limit, ceiling_from_the_document_is_enforced) {
  concurrency_limiter limiter;
  limiter.set_ceiling(10);
  int admitted = 0;
  while (admitted < 50 && limiter.admit(request_class::ordinary)) ++admitted;
  EXPECT_EQ(admitted, 9);
  EXPECT_TRUE(limiter.admit(request_class::reserved));
  EXPECT_FALSE(limiter.admit(request_class::reserved));
}

// Without a penalty for failures, the target that fails fastest looks best: it has the fewest requests in flight and
// the lowest latency.
TEST(target_choice, fast_failing_target_does_not_attract_traffic) {
  const call_simulation_options options{.seed = seed, .failing_target = 0, .phases = {{1, 0.6}, {10, 0.6}}};
  const phase_result r = simulate_calls(options)[1];
  EXPECT_LT(r.by_target[0], r.offered / 100);
  EXPECT_GT(r.goodput(), 0.99);
}

TEST(target_choice, slow_target_gets_fewer_calls_and_goodput_stays_where_round_robin_loses_calls) {
  call_simulation_options options{.seed = seed, .slow_target = 0, .phases = {{1, 0.6}, {10, 0.6}}};
  EXPECT_GT(simulate_calls(options)[1].goodput(), 0.995);
  options.policy = call_policy::round_robin;
  EXPECT_LT(simulate_calls(options)[1].goodput(), 0.9);
}

TEST(target_choice, equal_targets_get_equal_numbers_of_calls) {
  const phase_result r = simulate_calls({.seed = seed, .phases = {{1, 0.6}, {10, 0.6}}})[1];
  for (const std::uint64_t calls : r.by_target) {
    EXPECT_NEAR(static_cast<double>(calls), static_cast<double>(r.offered) / 6, static_cast<double>(r.offered) / 60);
  }
}

}  // namespace
}  // namespace heatherdeck

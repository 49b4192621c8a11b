// Plays overloads of one service with several nodes and callers that come back, and checks what the callers get: worth
// earned as a fraction of what a scheduler could earn that knows every arrival and service time in advance. Guards
// against queues that are as long as the objectives allow (every answer comes close to its objective, many after it),
// against late retries that take slots from requests in time, and against requests that leave their region although it
// can serve them.
#include <gtest/gtest.h>

#include "testing/caller_simulation.h"

namespace heatherdeck {
namespace {

constexpr std::uint64_t seeds = 3;

struct overload_outcome {
  double of_bound = 0;
  double late = 0;    ///< of the requests of the less urgent route
  double remote = 0;  ///< of the runs
  double urgent_in_time = 0;
};

overload_outcome play(caller_simulation_options o) {
  overload_outcome mean;
  for (o.seed = 1; o.seed <= seeds; ++o.seed) {
    const caller_result r = simulate_callers(o);
    const route_result& preview = r.route("preview");
    const route_result& purchase = r.route("purchase");
    mean.of_bound += r.earned / r.bound / seeds;
    mean.late += static_cast<double>(preview.late) / static_cast<double>(preview.asked) / seeds;
    mean.urgent_in_time += static_cast<double>(purchase.in_time) / static_cast<double>(purchase.asked) / seeds;
    mean.remote += r.remote_share / seeds;
  }
  return mean;
}

// The goal of each load is nine tenths of the bound.
constexpr double goal = 0.9;

TEST(caller_overload, calm_load_is_served_in_the_region_of_its_callers) {
  const overload_outcome r = play({.load = 0.7});
  EXPECT_GT(r.of_bound, 0.98);
  EXPECT_LT(r.remote, 0.05) << "0.143 when a request left the region for a slot that seemed free";
}

TEST(caller_overload, full_load_and_an_overload_of_a_fifth_reach_the_goal) {
  const overload_outcome full = play({.load = 1.0});
  EXPECT_GT(full.of_bound, goal);
  const overload_outcome over = play({.load = 1.2});
  EXPECT_GT(over.of_bound, goal);
  EXPECT_LT(over.late, 0.05) << "0.100 when a request could spend all of its slack in the queue";
  EXPECT_GT(over.urgent_in_time, 0.9);
}

TEST(caller_overload, urgent_requests_come_first_in_heavy_overload) {
  const overload_outcome heavy = play({.load = 1.6});
  EXPECT_LT(heavy.late, 0.05);
  EXPECT_GT(heavy.urgent_in_time, 0.8);
}

}  // namespace
}  // namespace heatherdeck

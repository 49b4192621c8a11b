// Plays services some of whose upstreams state how many requests a second they accept. Guards against nodes that send
// such an upstream what its slots admit, and against a limit that costs the callers what other upstreams could serve.
#include <gtest/gtest.h>

#include "testing/caller_simulation.h"

namespace heatherdeck {
namespace {

constexpr std::uint64_t seeds = 3;

// Two of three upstreams accept less than half of what their slots could serve.
caller_simulation_options limited_service(double load) {
  return {.load = load,
          .upstreams = 6,
          .slots = 9,
          .speeds = {1.0},
          .rate_limits = {30, 26, 0, 22, 28, 0},
          .limited_from_s = 4};
}

TEST(upstream_rate_limit, upstream_gets_no_more_than_the_limit_that_it_states) {
  for (const double load : {0.55, 1.0, 1.6}) {
    caller_simulation_options o = limited_service(load);
    for (o.seed = 1; o.seed <= seeds; ++o.seed) {
      const caller_result r = simulate_callers(o);
      EXPECT_GT(r.worst_limited_window, 0) << "no window was measured";
      EXPECT_LE(r.worst_limited_window, 1) << "load " << load << ", seed " << o.seed;
    }
  }
}

// Together the upstreams accept 240 requests a second, and 225 come.
TEST(upstream_rate_limit, other_upstreams_serve_what_exceeds_a_limit) {
  caller_simulation_options o = limited_service(0.55);
  for (o.seed = 1; o.seed <= seeds; ++o.seed) {
    const caller_result r = simulate_callers(o);
    EXPECT_GT(r.earned / r.owed, 0.9) << "seed " << o.seed;
  }
}

}  // namespace
}  // namespace heatherdeck

// Further seeds of crashing_request_test, with its load and its bound. Guards against more crashes before the verdict
// than the requests beside the crashing one can bear.
#include <gtest/gtest.h>

#include "testing/caller_simulation.h"

namespace heatherdeck {
namespace {

constexpr std::uint64_t first_seed = 21;
constexpr std::uint64_t last_seed = 60;

TEST(crashing_request_more_seeds, does_not_stop_the_requests_beside_it) {
  for (const bool idempotent : {true, false}) {
    caller_simulation_options o{.load = 0.5, .upstreams = 6, .slots = 9, .crashing_per_s = 9};
    o.routes[0].idempotent = idempotent;
    for (o.seed = first_seed; o.seed <= last_seed; ++o.seed) {
      const caller_result r = simulate_callers(o);
      EXPECT_LE(r.late_crashing_runs, 3U) << "seed " << o.seed;
      EXPECT_GT(r.earned / r.owed, 0.9) << "seed " << o.seed << ", " << r.crashes << " crashes";
    }
  }
}

}  // namespace
}  // namespace heatherdeck

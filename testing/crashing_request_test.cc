// Plays callers who send one request again and again, at any host, that crashes each upstream that runs it. Guards
// against a mesh that lets it crash upstream after upstream, and against one that stops its neighbours with it.
#include <gtest/gtest.h>

#include "testing/caller_simulation.h"

namespace heatherdeck {
namespace {

constexpr std::uint64_t seeds = 20;

caller_simulation_options crashing_service(bool idempotent) {
  caller_simulation_options o{.load = 0.5, .upstreams = 6, .slots = 9, .crashing_per_s = 9};
  o.routes[0].idempotent = idempotent;
  return o;
}

class crashing_request : public testing::TestWithParam<bool> {};

TEST_P(crashing_request, is_not_sent_on_after_three_crashes) {
  caller_simulation_options o = crashing_service(GetParam());
  for (o.seed = 1; o.seed <= seeds; ++o.seed) {
    const caller_result r = simulate_callers(o);
    EXPECT_GE(r.crashes, 1U) << "seed " << o.seed << ": the request never ran";
    EXPECT_LE(r.late_crashing_runs, 3U) << "seed " << o.seed << ", " << r.crashes << " crashes";
  }
}

TEST_P(crashing_request, does_not_stop_the_requests_beside_it) {
  caller_simulation_options o = crashing_service(GetParam());
  for (o.seed = 1; o.seed <= seeds; ++o.seed) {
    const caller_result r = simulate_callers(o);
    EXPECT_GT(r.earned / r.owed, 0.9) << "seed " << o.seed << ", " << r.crashes << " crashes";
  }
}

INSTANTIATE_TEST_SUITE_P(idempotent, crashing_request, testing::Values(true));
INSTANTIATE_TEST_SUITE_P(not_idempotent, crashing_request, testing::Values(false));

}  // namespace
}  // namespace heatherdeck

// Tests of the placement by expected response time: upstreams of one service that differ in speed, and whose pace
// changes within a second. The load that it answers: demand near the capacity of the fast upstreams while slow ones are
// idle.
#include <gtest/gtest.h>

#include "traffic/balancer.h"
#include "traffic/service_time_scale.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 11;
const time_point start_time = time_point{} + 1h;

struct fixture {
  explicit fixture(std::size_t count) : loads(count), candidates(count) {
    for (std::size_t i = 0; i < count; ++i) {
      loads[i].apply_report({0, 0, 1.0}, start_time);
      candidates[i] = {.locality = locality_class::zone, .load = &loads[i], .slots = 9};
    }
  }

  std::vector<int> draw(int requests, time_point now) {
    balancer picker(seed);
    std::vector<int> chosen(candidates.size());
    for (int i = 0; i < requests; ++i) {
      ++chosen[*picker.pick(candidates, now, spillover_policy::any_region, placement_policy::response_time)];
    }
    return chosen;
  }

  std::vector<load_estimate> loads;
  std::vector<balance_candidate> candidates;
};

// Slow upstreams got as many requests as fast ones with the same number of busy slots, and answered a quarter late.
TEST(placement, fast_upstreams_get_most_requests_while_they_have_free_slots) {
  fixture f(9);
  for (std::size_t i = 0; i < 9; ++i) f.candidates[i].relative_time = i < 3 ? 0.6 : 1.4;
  const auto chosen = f.draw(3000, start_time);
  EXPECT_GT(chosen[0] + chosen[1] + chosen[2], 2700);
}

// A fast upstream whose slots are all busy makes requests wait longer than a slow one with free slots takes.
TEST(placement, full_fast_upstream_loses_to_a_slow_one_with_free_slots) {
  fixture f(2);
  f.candidates[0].relative_time = 0.6;
  f.candidates[1].relative_time = 1.4;
  f.loads[0].apply_report({9, 14, 1.0}, start_time);
  EXPECT_GT(f.draw(1000, start_time)[1], 750);
}

// An upstream that was slow for a moment must not be avoided for longer than the report is of use.
TEST(placement, reported_pace_counts_while_it_is_new) {
  fixture f(2);
  f.loads[0].apply_report({0, 0, 2.5}, start_time);
  EXPECT_LT(f.draw(1000, start_time + 100ms)[0], 50);
  EXPECT_LT(f.candidates[0].load->estimated_pace(start_time + 2s), 1.02);
}

// If all nodes took the upstream with the best report, it would be overloaded before the next report.
TEST(placement, one_idle_upstream_among_many_does_not_get_all_requests) {
  fixture f(20);
  for (std::size_t i = 1; i < 20; ++i) f.loads[i].apply_report({5, 0, 1.0}, start_time);
  const auto chosen = f.draw(4000, start_time + 200ms);
  EXPECT_LT(chosen[0], 4000 * 0.3);
  for (const int n : chosen) EXPECT_GT(n, 0);
}

// Waves of demand in two zones: nodes see reports that are 100 ms old. Without damping the requests of a whole zone
// would move to the other one and back at each report.
TEST(placement, load_of_two_zones_does_not_oscillate) {
  fixture f(8);
  balancer picker(seed);
  for (std::size_t i = 4; i < 8; ++i) f.candidates[i].locality = locality_class::region;
  std::vector<int> running(8);
  int largest_share = 0;
  int crossings = 0;
  double previous = 0;
  for (int round = 0; round < 200; ++round) {
    const time_point now = start_time + round * 100ms;
    for (std::size_t i = 0; i < 8; ++i) {
      f.loads[i].own_in_flight = 0;
      f.loads[i].apply_report({static_cast<std::uint32_t>(running[i]), 0, 1.0}, now);
    }
    std::vector<int> sent(8);
    for (int i = 0; i < 24; ++i) {
      ++sent[*picker.pick(f.candidates, now + 50ms, spillover_policy::any_region, placement_policy::response_time)];
    }
    int other_zone = 0;
    for (std::size_t i = 0; i < 8; ++i) {
      running[i] = running[i] / 2 + sent[i];
      if (i >= 4) other_zone += sent[i];
    }
    if (round < 20) continue;
    largest_share = std::max(largest_share, other_zone);
    const double share = other_zone / 24.0;
    if ((share > 0.75 && previous < 0.25) || (share < 0.25 && previous > 0.75)) ++crossings;
    previous = share;
  }
  EXPECT_EQ(crossings, 0);
  EXPECT_LT(largest_share, 22);
}

// Bytes between zones are paid, so an equal upstream of the own zone is preferred, and a full one is not.
TEST(placement, other_zone_when_the_gain_is_more_than_the_way) {
  fixture f(2);
  f.candidates[1].locality = locality_class::region;
  EXPECT_LT(f.draw(1000, start_time)[1], 250);
  f.loads[0].apply_report({14, 4, 1.0}, start_time);
  EXPECT_GT(f.draw(1000, start_time)[1], 750);
}

// Latencies of routes that take different times were averaged, so an upstream that had served the slow route by chance
// seemed slow.
TEST(service_time_scale, compares_upstreams_that_served_different_routes) {
  service_time_scale scale;
  for (int i = 0; i < 400; ++i) {
    scale.record("short", 20, 1);
    scale.record("long", 400, 1);
  }
  EXPECT_NEAR(scale.record("short", 30, 1), 1.5, 0.05);
  EXPECT_NEAR(scale.record("long", 400, 2), 0.5, 0.05) << "half of the time was due to the host";
  EXPECT_NEAR(scale.record("short", 20, 0), 1, 0.05) << "an upstream that reports no pace";
}

}  // namespace
}  // namespace heatherdeck

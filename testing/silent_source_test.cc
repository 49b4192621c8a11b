// Tests how nodes find a control host while others are frozen or off: 91 nodes and six control hosts under a virtual
// clock. Every acknowledged change must be in force at every node within 2 s, from 3 s after the fault on, also when
// streams are reset meanwhile; and the search for a host has one bound, however many hosts are silent.
#include <gtest/gtest.h>

#include "testing/subscription_simulation.h"

namespace heatherdeck {
namespace {

constexpr std::uint64_t seeds = 40;
constexpr std::size_t node_count = 91;
// A first delay of at most 0.1 s, three steps of 0.3 s until all six hosts are tried, and a response.
constexpr auto search_bound = 1500ms;

struct silent_case {
  std::size_t frozen = 0;
  std::size_t off = 0;
};

struct silent_result {
  std::uint64_t failed_seeds = 0;
  std::string first_failure;
  duration longest_search{0};
  std::size_t most_attempts = 0;
};

silent_result play(const silent_case& c, bool restarts, bool parallel = true) {
  silent_result result;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    cut_plan plan{.at = time_point{} + 8s, .powered_off = true, .nodes = node_count, .host_delay = 150ms};
    plan.parallel = parallel;
    while (plan.frozen.size() < c.frozen) plan.frozen.insert(random() % zone_count);
    while (plan.hosts.size() < c.off) {
      const std::size_t zone = random() % zone_count;
      if (!plan.frozen.contains(zone)) plan.hosts.insert(zone);
    }
    plan.resets = {plan.at + 3s, plan.at + 6500ms};
    subscription_simulation simulation(seed, plan);
    const std::vector<std::string> late = simulation.run(plan.at + 10s, restarts);
    result.longest_search = std::max(result.longest_search, simulation.longest_search());
    result.most_attempts = std::max(result.most_attempts, simulation.most_attempts());
    if (late.empty()) continue;
    ++result.failed_seeds;
    if (result.first_failure.empty()) result.first_failure = "seed " + std::to_string(seed) + ": " + late.front();
  }
  return result;
}

void check(const silent_case& c, bool restarts) {
  const silent_result result = play(c, restarts);
  const auto longest = std::chrono::duration_cast<milliseconds>(result.longest_search).count();
  printf("%zu frozen, %zu off%s: longest search %lld ms, at most %zu attempts at a time\n", c.frozen, c.off,
         restarts ? ", restarts" : "", static_cast<long long>(longest), result.most_attempts);
  EXPECT_EQ(result.failed_seeds, 0U) << "of " << seeds << " seeds; the first: " << result.first_failure;
  EXPECT_LE(result.longest_search, search_bound);
}

// Guards against a wait for each frozen host, one after the other, while changes are acknowledged.
TEST(silent_source, acknowledged_changes_are_in_force_although_hosts_are_silent) {
  for (const silent_case c : {silent_case{1, 0}, {2, 0}, {0, 2}, {1, 1}, {3, 2}, {5, 0}}) check(c, false);
}

// Guards against restarted nodes that serve nothing while they wait for frozen hosts.
TEST(silent_source, restarted_nodes_have_a_document_in_time) {
  for (const silent_case c : {silent_case{2, 0}, {1, 1}, {5, 0}}) check(c, true);
}

/// Plays silent connections and the loss of the quorum at the same moment. @return the seeds with a late version.
std::uint64_t play_silent_connections(unsigned percent, milliseconds election, bool replaces_silent) {
  std::uint64_t failed = 0;
  std::string first;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    cut_plan plan{.at = time_point{} + 8s, .election = election, .host_delay = 150ms};
    plan.silent_percent = percent;
    plan.replaces_silent = replaces_silent;
    subscription_simulation simulation(seed, plan);
    const std::vector<std::string> late = simulation.run(plan.at + election + 10s);
    if (late.empty() || ++failed > 1) continue;
    first = "seed " + std::to_string(seed) + ": " + late.front();
  }
  printf("%u%% silent, election %lld ms, %s: %llu of %llu seeds; %s\n", percent,
         static_cast<long long>(election.count()), replaces_silent ? "replaced" : "used again",
         static_cast<unsigned long long>(failed), static_cast<unsigned long long>(seeds), first.c_str());
  return failed;
}

// Guards against nodes without a subscription while their connections to control hosts are silent, also when no host
// has had a quorum meanwhile.
TEST(silent_source, acknowledged_changes_are_in_force_although_connections_are_silent) {
  for (const unsigned percent : {20U, 50U, 80U}) {
    for (const milliseconds election : {0ms, 1200ms, 2500ms})
      EXPECT_EQ(play_silent_connections(percent, election, true), 0U);
  }
}

// The simulation has to show the fault that new connections prevent.
TEST(silent_source, silent_connections_that_are_used_again_break_the_bound) {
  EXPECT_GT(play_silent_connections(80, 2500ms, false), 0U);
}

// The rig has to show the fault that the steps prevent.
TEST(silent_source, one_attempt_at_a_time_breaks_the_bound) {
  const silent_result result = play({2, 0}, false, false);
  printf("one attempt at a time: %llu of %llu seeds fail, longest search %lld ms\n",
         static_cast<unsigned long long>(result.failed_seeds), static_cast<unsigned long long>(seeds),
         static_cast<long long>(std::chrono::duration_cast<milliseconds>(result.longest_search).count()));
  EXPECT_GT(result.failed_seeds, 0U);
  EXPECT_GT(result.longest_search, search_bound);
}

}  // namespace
}  // namespace heatherdeck

// Tests how nodes leave control hosts that are cut off from the quorum: every change that is acknowledged by the other
// hosts must be in force at every node within 2 s, from 3 s after the cut on.
#include <gtest/gtest.h>

#include "testing/subscription_simulation.h"

namespace heatherdeck {
namespace {

constexpr std::uint64_t seeds = 200;

enum class node_check { acknowledged_changes, restarts };

// Something happens to two of the six control hosts 8 s after the start, for 8 s.
void play_seeds(cut_plan plan, node_check check) {
  std::uint64_t failed_seeds = 0;
  std::string first;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    plan.at = time_point{} + 8s;
    plan.hosts.clear();
    while (plan.hosts.size() < 2) plan.hosts.insert(random() % zone_count);
    const std::vector<std::string> late =
        subscription_simulation(seed, plan).run(plan.at + 8s, check == node_check::restarts);
    if (late.empty()) continue;
    ++failed_seeds;
    if (first.empty()) first = "seed " + std::to_string(seed) + ": " + late.front();
  }
  EXPECT_EQ(failed_seeds, 0U) << "of " << seeds << " seeds; the first: " << first;
}

// Guards against nodes that stay with, or move among, control hosts without a quorum while others accept changes.
TEST(minority_cut, acknowledged_changes_are_in_force_at_nodes_of_cut_off_hosts) {
  play_seeds({}, node_check::acknowledged_changes);
}

// Guards against restarted nodes that wait at one cut-off host after the other.
TEST(minority_cut, restarted_nodes_have_a_document_in_time) { play_seeds({}, node_check::restarts); }

// Guards against nodes that skip every host which had no quorum during an election, and try the lost hosts for ever.
TEST(minority_cut, nodes_return_to_hosts_that_have_regained_their_quorum) {
  for (const duration election : {1500ms, 2500ms}) {
    play_seeds({.powered_off = true, .election = election}, node_check::acknowledged_changes);
  }
}

}  // namespace
}  // namespace heatherdeck

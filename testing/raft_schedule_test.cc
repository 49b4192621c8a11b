// Tests Raft's safety and recovery under seeded random fault schedules. The checks detect two leaders in one term,
// committed entries that are lost, reordered or changed, a replaced store that votes, a stale confirmed read, a command
// that is committed after it was reported as not appended, and a group that does not recover when the faults end.
#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>

#include "testing/raft_simulation.h"

namespace heatherdeck {
namespace {

// Kinds of faults, and the number of seeds to run with them.
struct schedule {
  const char* name;
  std::vector<fault> faults;
  std::uint64_t seeds;
  std::size_t hosts = 3;
  std::size_t founders = 0;
  std::size_t tolerated_losses = 0;
};

const schedule schedules[] = {
    {"kill", {fault::kill}, 1500},
    {"lost_disk", {fault::lost_disk}, 1500},
    {"one_way_cut", {fault::one_way_cut}, 1200},
    {"two_way_cut", {fault::two_way_cut}, 1200},
    {"freeze", {fault::freeze}, 1200},
    {"reorder", {fault::reorder}, 800},
    {"duplicate", {fault::duplicate}, 800},
    {"kill_and_lost_disk", {fault::kill, fault::lost_disk}, 800},
    {"all",
     {fault::kill, fault::lost_disk, fault::one_way_cut, fault::two_way_cut, fault::freeze, fault::reorder,
      fault::duplicate},
     1500},
    {"all_of_five",
     {fault::kill, fault::lost_disk, fault::one_way_cut, fault::two_way_cut, fault::freeze, fault::reorder,
      fault::duplicate},
     500,
     5},
    // Three of the six hosts are founders; the leader adds the others, and hosts with replaced disks, of which two are
    // lost at the same time.
    {"admission", {fault::kill}, 300, 6, 3, 2},
    {"admission_and_lost_disks", {fault::lost_disk}, 600, 6, 3, 2},
    {"admission_and_all",
     {fault::kill, fault::lost_disk, fault::one_way_cut, fault::two_way_cut, fault::freeze, fault::reorder,
      fault::duplicate},
     400,
     6,
     3,
     2},
    // Hosts that never return: without removals they raise the quorum size until the group cannot tolerate another
    // loss.
    {"admission_and_replaced_hosts", {fault::replaced_host}, 300, 6, 3, 2},
    {"replaced_hosts_and_all",
     {fault::replaced_host, fault::kill, fault::lost_disk, fault::one_way_cut, fault::two_way_cut, fault::freeze,
      fault::reorder, fault::duplicate},
     400,
     6,
     3,
     2},
};

class raft_schedule : public testing::TestWithParam<schedule> {};

// HD_SEED=n runs only that seed, to debug a failure.
TEST_P(raft_schedule, preserves_safety_and_recovers) {
  const schedule& s = GetParam();
  const char* only_seed = std::getenv("HD_SEED");
  raft_simulation::statistics totals;
  std::uint64_t failures = 0;
  for (std::uint64_t seed = 1; seed <= s.seeds; ++seed) {
    if (only_seed != nullptr && std::to_string(seed) != only_seed) continue;
    const std::string failure = raft_simulation::run({.seed = seed,
                                                      .faults = s.faults,
                                                      .hosts = s.hosts,
                                                      .founders = s.founders,
                                                      .tolerated_losses = s.tolerated_losses},
                                                     &totals);
    if (failure.empty()) continue;
    if (++failures <= 5) ADD_FAILURE() << s.name << ": " << failure;
  }
  std::cout << s.name << ": seeds " << s.seeds << ", failed " << failures << ", steps " << totals.steps
            << ", committed " << totals.committed << ", elections " << totals.elections << ", reads " << totals.reads
            << ", restores " << totals.restores << ", unknown outcomes " << totals.unknown_outcomes << ", lost disks "
            << totals.lost_disks << ", promotions requested " << totals.promoted << ", replaced hosts "
            << totals.replaced << "\n";
  EXPECT_EQ(failures, 0U);
  EXPECT_GT(totals.committed, 0U);
}

// After a power failure all hosts start at the same time and may split their votes; each failed election costs up to
// two election timeouts, during which no change is accepted.
TEST(raft_restart, leader_soon_after_a_power_failure) {
  constexpr std::uint64_t seeds = 300;
  std::vector<milliseconds> times;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    times.push_back(raft_simulation::leaderless_time_after_power_loss(
        {.seed = seed, .hosts = 6, .latency = std::chrono::milliseconds(12)}));
  }
  std::sort(times.begin(), times.end());
  const milliseconds median = times[seeds / 2];
  const milliseconds percentile_95 = times[seeds * 95 / 100];
  std::cout << "leaderless: median " << median.count() << " ms, 95th percentile " << percentile_95.count()
            << " ms, longest " << times.back().count() << " ms\n";
  // Three early elections, each with a timeout of at most 0.4 s.
  EXPECT_LE(times.back(), milliseconds(1200));
}

INSTANTIATE_TEST_SUITE_P(faults, raft_schedule, testing::ValuesIn(schedules),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace heatherdeck

// Tests Raft's safety and recovery under seeded random fault schedules. The checks detect two leaders in one term,
// committed entries that are lost, reordered or changed, a replaced store that votes, a stale confirmed read, a command
// that is committed after it was reported as not appended, an acknowledged command that is gone after the last fault, a
// resent one with another answer, and a group that does not recover when the faults end.
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
    {"lost_direction", {fault::lost_direction}, 300, 6},
    {"lost_direction_and_kill", {fault::lost_direction, fault::kill}, 300, 6, 3, 2},
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

// Runs that end with a final fault right after an acknowledgement. Three hosts are founders.
struct final_schedule {
  const char* name;
  std::vector<fault> faults;
  std::uint64_t seeds;
  milliseconds fault_duration;  ///< the final fault follows the next acknowledgements
  std::size_t acknowledged = 3;
  milliseconds start_spread{0};
  milliseconds max_request_interval{60};
  std::size_t hosts = 18;
};

const final_schedule final_schedules[] = {
    // The group has just reached the five voters from which on commands are accepted, or is still growing.
    {"growing", {}, 60, milliseconds(0), 20, milliseconds(4000)},
    {"growing_with_faults",
     {fault::kill, fault::blank_host, fault::frozen_leader, fault::one_way_cut, fault::two_way_cut, fault::split},
     50,
     milliseconds(0),
     20,
     milliseconds(4000)},
    {"eighteen_voters",
     {fault::kill, fault::blank_host, fault::frozen_leader, fault::one_way_cut, fault::two_way_cut, fault::split},
     25,
     milliseconds(4000)},
    // Processes start again while the leader waits for the entry that they were writing.
    {"killed_writers", {fault::killed_writers}, 40, milliseconds(0), 20, milliseconds(4000), milliseconds(400)},
    // With five hosts one unsynced copy more decides, with 18 at least two.
    {"killed_writers_of_five",
     {fault::killed_writers},
     300,
     milliseconds(0),
     20,
     milliseconds(500),
     milliseconds(400),
     5},
    // Members are removed after 3 s of silence, so that the group is small when the disks are lost.
    {"shrunk", {fault::outage}, 20, milliseconds(12000)},
    {"shrunk_with_faults",
     {fault::outage, fault::outage, fault::outage, fault::outage, fault::outage, fault::blank_host,
      fault::frozen_leader, fault::one_way_cut},
     20,
     milliseconds(12000)},
};

raft_simulation::plan final_plan(const final_schedule& s, std::uint64_t seed) {
  return {.seed = seed,
          .faults = s.faults,
          .hosts = s.hosts,
          .founders = 3,
          .tolerated_losses = 2,
          .start_spread = s.start_spread,
          .fault_duration = s.fault_duration,
          .max_request_interval = s.max_request_interval,
          .slow_writes_percent = 30,
          .removal_timeout = milliseconds(3000),
          .ends_with_final_fault = true,
          .acknowledged_before_final_fault = s.acknowledged,
          .min_voters = std::nullopt};
}

class raft_final_fault : public testing::TestWithParam<final_schedule> {};

// Guards against acknowledged commands that are gone after the last fault, and against a group that stays without a
// leader. HD_SEED=n runs only that seed, HD_SEEDS=a-b those from a to b.
TEST_P(raft_final_fault, loses_nothing_acknowledged) {
  const final_schedule& s = GetParam();
  std::uint64_t first = 1;
  std::uint64_t last = s.seeds;
  if (const char* one = std::getenv("HD_SEED"); one != nullptr) first = last = std::stoull(one);
  if (const char* range = std::getenv("HD_SEEDS"); range != nullptr) {
    const std::string text = range;
    first = std::stoull(text);
    last = std::stoull(text.substr(text.find('-') + 1));
  }
  raft_simulation::statistics totals;
  std::uint64_t failures = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string failure = raft_simulation::run(final_plan(s, seed), &totals);
    if (!failure.empty() && ++failures <= 5) ADD_FAILURE() << s.name << ": " << failure;
  }
  const std::uint64_t runs = last - first + 1;
  std::cout << s.name << ": seeds " << first << " to " << last << ", failed " << failures << ", final faults "
            << totals.final_faults << ", disks lost in them " << totals.final_disks << " and before "
            << totals.lost_disks - totals.final_disks << ", voters then at least " << totals.smallest_group << ", mean "
            << static_cast<double>(totals.final_voters) / static_cast<double>(totals.final_faults) << ", removals "
            << totals.removals << ", committed " << totals.committed << ", resent " << totals.resent << ", elections "
            << totals.elections << ", restores " << totals.restores << ", steps " << totals.steps << "\n";
  EXPECT_EQ(failures, 0U);
  EXPECT_GT(totals.final_faults, runs / 2);
}

// Each of these mechanisms prevents a loss; without it the same schedules must fail, or they could not show it.
struct removed_mechanism {
  const char* name;
  std::size_t schedule;  ///< in final_schedules
  void (*remove)(raft_simulation::plan&);
};

const removed_mechanism removed_mechanisms[] = {
    {"minimum_of_voters", 0, [](raft_simulation::plan& p) { p.min_voters = 0; }},
    {"acknowledgement_after_sync", 0, [](raft_simulation::plan& p) { p.acknowledges_before_sync = true; }},
    {"sync_on_start", 4, [](raft_simulation::plan& p) { p.syncs_on_start = false; }},
};

class raft_final_fault_without : public testing::TestWithParam<removed_mechanism> {};

// Stops at the first failed seed; HD_SEEDS=n runs n seeds and counts the failures.
TEST_P(raft_final_fault_without, loss_is_detected) {
  const char* all = std::getenv("HD_SEEDS");
  const std::uint64_t seeds = all == nullptr ? 400 : std::stoull(all);
  std::uint64_t failures = 0;
  std::uint64_t seed = 0;
  std::string first;
  while (seed < seeds && (all != nullptr || failures == 0)) {
    raft_simulation::plan p = final_plan(final_schedules[GetParam().schedule], ++seed);
    GetParam().remove(p);
    const std::string failure = raft_simulation::run(p);
    if (!failure.empty() && failures++ == 0) first = failure;
    if (!failure.empty() && all != nullptr) std::cout << failure.substr(0, 160) << "\n";
  }
  std::cout << "without " << GetParam().name << ": seeds 1 to " << seed << ", failed " << failures
            << ", the first: " << first.substr(0, 160) << "\n";
  EXPECT_GT(failures, 0U);
}

// Guards against a host that serves an old document as current, because it hears its leader and its answers are lost;
// the schedules have to show it.
TEST(raft_staleness, host_that_lags_is_detected_without_the_lag_check) {
  std::uint64_t failures = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    raft_simulation::plan p{.seed = seed, .faults = {fault::lost_direction}, .hosts = 6};
    p.ignores_lag = true;
    if (raft_simulation::run(p).find("states that it is current") != std::string::npos) ++failures;
  }
  std::cout << "without the lag check: " << failures << " of 100 seeds\n";
  EXPECT_GT(failures, 0U);
}

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

INSTANTIATE_TEST_SUITE_P(faults, raft_final_fault, testing::ValuesIn(final_schedules),
                         [](const auto& info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(removed, raft_final_fault_without, testing::ValuesIn(removed_mechanisms),
                         [](const auto& info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(faults, raft_schedule, testing::ValuesIn(schedules),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace heatherdeck

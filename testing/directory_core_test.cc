// Tests the gossip of directory_core on a simulated network with a virtual clock: convergence under loss, partitions
// and restarts, record versions that never decrease, and the cost in bytes.
#include "node/directory_core.h"

#include <cstdio>

#include <gtest/gtest.h>

#include "testing/directory_network.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t first_seed = 100;
constexpr std::uint64_t schedule_count = 12;
// IPv4 (20 bytes) and UDP (8 bytes) headers of one datagram.
constexpr std::uint64_t ip_udp_header_bytes = 28;

/// Starts `count` members in eleven zones of three regions; the first three members are the seeds.
void add_members(directory_network& net, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t zone = i % 11;
    const std::string region = zone < 4 ? "dar" : zone < 8 ? "mwanza" : "kigoma";
    const auto record =
        directory_network::make_record("n" + std::to_string(1000 + i), "zone-" + std::to_string(zone), region);
    if (i < 3) net.seeds.push_back(record.mesh_address);
  }
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t zone = i % 11;
    const std::string region = zone < 4 ? "dar" : zone < 8 ? "mwanza" : "kigoma";
    net.start(directory_network::make_record("n" + std::to_string(1000 + i), "zone-" + std::to_string(zone), region));
  }
}

std::size_t count_tables(directory_network& net, const std::function<bool(const directory_table&)>& holds) {
  std::size_t count = 0;
  for (const auto& [address, p] : net.processes()) count += p.core && holds(p.core->table()) ? 1 : 0;
  return count;
}

std::size_t count_running(directory_network& net) {
  return count_tables(net, [](const directory_table&) { return true; });
}

bool converged(directory_network& net) {
  const std::size_t alive = count_running(net);
  return net.all_tables_equal() &&
         count_tables(net, [&](const directory_table& t) { return t.members().size() == alive; }) == alive;
}

// A starting member must learn of all others from the seeds within seconds.
TEST(directory_core, members_that_start_together_discover_each_other) {
  for (const std::size_t count : {2UL, 10UL, 160UL}) {
    directory_network net(first_seed);
    add_members(net, count);
    const duration elapsed = net.time_until([&] { return converged(net); }, 30s);
    EXPECT_TRUE(converged(net)) << count;
    EXPECT_LT(elapsed, 15s) << count;
    EXPECT_EQ(net.oversized_datagrams, 0U);
  }
}

TEST(directory_core, silent_member_is_suspected_then_removed_everywhere) {
  directory_network net(first_seed);
  add_members(net, 44);
  net.fill_tables();
  net.run_for(10s);
  net.stop("10.n1020");
  const auto suspects = [&](const directory_table& t) {
    const auto record = t.find("n1020");
    return !record || record->state == member_state::suspect;
  };
  const duration suspected = net.time_until([&] { return count_tables(net, suspects) == 43; }, 20s);
  const duration removed = net.time_until([&] { return converged(net); }, 20s);
  EXPECT_LT(suspected, 6s);
  EXPECT_LT(suspected + removed, 12s);
  EXPECT_GE(suspected + removed, 4s);
  EXPECT_TRUE(converged(net));
}

TEST(directory_core, leaving_member_is_removed_within_two_seconds) {
  directory_network net(first_seed);
  add_members(net, 44);
  net.fill_tables();
  net.run_for(5s);
  net.apply("10.n1020", [&](directory_core& c) { return c.leave(net.now); });
  net.stop("10.n1020");
  const duration elapsed = net.time_until([&] { return converged(net); }, 20s);
  EXPECT_LT(elapsed, 2s);
}

// Datagram loss must not remove healthy upstreams from the balancing.
TEST(directory_core, loss_of_a_fifth_of_datagrams_removes_no_running_member) {
  directory_network net(first_seed + 1);
  add_members(net, 44);
  net.fill_tables();
  net.loss_ratio = 0.2;
  for (int second = 0; second < 120; ++second) {
    net.run_for(1s);
    EXPECT_EQ(count_tables(net, [](const directory_table& t) { return t.members().size() == 44; }), 44U);
  }
  net.loss_ratio = 0;
  EXPECT_LT(net.time_until([&] { return converged(net); }, 20s), 20s);
}

// A restarted process must replace the record of its earlier run, even if old records are still in transit or its clock
// has been set back.
TEST(directory_core, restart_replaces_the_record_even_after_a_clock_step_backwards) {
  directory_network net(first_seed);
  add_members(net, 22);
  net.fill_tables();
  net.run_for(5s);
  for (const std::int64_t step : {5'000, -900'000}) {
    member_record self = net.processes()["10.n1010"].self;
    self.incarnation += static_cast<std::uint64_t>(step);
    self.endpoints[0].upstream_version = step > 0 ? "v2" : "v3";
    net.stop(self.mesh_address);
    net.run_for(500ms);
    net.start(self);
    net.run_for(10s);
    const auto has = [&](const directory_table& t) {
      const auto record = t.find("n1010");
      return record && record->state == member_state::alive && record->endpoints[0] == self.endpoints[0];
    };
    EXPECT_EQ(count_tables(net, has), 22U);
    EXPECT_TRUE(converged(net));
  }
  EXPECT_EQ(net.version_regressions, 0U);
}

// Seeded schedules of loss, partitions, crashes, restarts and changes; afterwards all tables must become equal.
TEST(directory_core, members_converge_after_random_faults_and_no_version_decreases) {
  for (std::uint64_t seed = first_seed; seed < first_seed + schedule_count; ++seed) {
    directory_network net(seed);
    std::mt19937_64 random(seed);
    add_members(net, 33);
    for (int step = 0; step < 30; ++step) {
      net.run_for(milliseconds(random() % 3000));
      const std::string address = "10.n" + std::to_string(1000 + random() % 33);
      auto& p = net.processes()[address];
      switch (random() % 5) {
        case 0:
          net.loss_ratio = static_cast<double>(random() % 30) / 100;
          break;
        case 1: {
          const std::string region = random() % 2 == 0 ? "dar" : "kigoma";
          net.partitioned = [region](const member_record& a, const member_record& b) {
            return (a.region == region) != (b.region == region);
          };
          break;
        }
        case 2:
          net.partitioned = nullptr;
          break;
        case 3:
          if (p.core) {
            net.stop(address);
          } else {
            member_record self = p.self;
            self.incarnation += 1000 * static_cast<std::uint64_t>(step + 1);
            net.start(self);
          }
          break;
        default:
          if (p.core) {
            net.apply(address, [&](directory_core& c) {
              return c.set_endpoint(net.now, {"certdesk", "v" + std::to_string(step), "up", "127.0.0.1:1",
                                              upstream_state::ready, 20, 130});
            });
          }
      }
    }
    net.loss_ratio = 0;
    net.partitioned = nullptr;
    const duration elapsed = net.time_until([&] { return converged(net); }, 90s);
    EXPECT_TRUE(converged(net)) << "seed " << seed;
    EXPECT_LT(elapsed, 60s) << "seed " << seed;
    EXPECT_EQ(net.version_regressions, 0U) << "seed " << seed;
    EXPECT_EQ(net.oversized_datagrams, 0U) << "seed " << seed;
  }
}

// After a partition both sides must rejoin without removing their own healthy members.
TEST(directory_core, healing_a_partition_removes_no_member_of_either_side) {
  directory_network net(first_seed);
  add_members(net, 44);
  net.fill_tables();
  net.run_for(5s);
  net.partitioned = [](const member_record& a, const member_record& b) {
    return (a.region == "dar") != (b.region == "dar");
  };
  net.run_for(60s);
  const auto own_side = [](const directory_table& t) { return t.members().size(); };
  EXPECT_EQ(count_tables(net, [&](const directory_table& t) { return own_side(t) == 16; }), 16U);
  EXPECT_EQ(count_tables(net, [&](const directory_table& t) { return own_side(t) == 28; }), 28U);
  net.partitioned = nullptr;
  for (int i = 0; i < 400 && !converged(net); ++i) {
    net.run_for(100ms);
    EXPECT_EQ(count_tables(net, [&](const directory_table& t) { return own_side(t) >= 16; }), 44U);
  }
  EXPECT_TRUE(converged(net));
}

// Measures a target of the product: bytes per node and second when nothing changes, and how fast a drain reaches all
// members.
TEST(directory_core, idle_traffic_and_propagation_time_of_a_drain) {
  for (const std::size_t count : {10UL, 40UL, 160UL, 1100UL}) {
    directory_network net(first_seed);
    add_members(net, count);
    net.fill_tables();
    net.run_for(10s);
    ASSERT_TRUE(converged(net)) << count;
    net.datagrams = 0;
    net.payload_bytes = 0;
    net.run_for(20s);
    const double seconds = 20.0 * static_cast<double>(count);
    const double payload_rate = static_cast<double>(net.payload_bytes) / seconds;
    const double total_rate = static_cast<double>(net.payload_bytes + ip_udp_header_bytes * net.datagrams) / seconds;
    net.datagrams = 0;
    net.payload_bytes = 0;
    net.apply("10.n1005", [&](directory_core& c) { return c.set_draining(net.now); });
    const auto drained = [](const directory_table& t) { return t.find("n1005")->draining; };
    const duration elapsed = net.time_until([&] { return count_tables(net, drained) == count; }, 20s);
    net.run_for(10s);
    const auto cost =
        static_cast<double>(net.payload_bytes + ip_udp_header_bytes * net.datagrams) / static_cast<double>(count);
    const double drain_cost = cost - total_rate * (10.0 + std::chrono::duration<double>(elapsed).count());
    std::printf(
        "members %5zu: idle %.1f B/s sent per node (%.1f with IP and UDP headers), drain known to all in %.2f s, "
        "which took %.0f B per node\n",
        count, payload_rate, total_rate, std::chrono::duration<double>(elapsed).count(), drain_cost);
    EXPECT_LT(total_rate, 150);
    EXPECT_LT(elapsed, 2500ms);
    EXPECT_EQ(net.oversized_datagrams, 0U);
  }
}

}  // namespace
}  // namespace heatherdeck

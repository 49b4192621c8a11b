// Guards the directory's gossip under a virtual clock: convergence under loss, partitions and restarts, versions that
// never fall, and its cost in bytes.
#include "node/directory_core.h"

#include <cstdio>

#include <gtest/gtest.h>

#include "testing/directory_network.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t first_seed = 100;
constexpr std::uint64_t schedules = 12;
// IPv4 and UDP headers of one datagram.
constexpr std::uint64_t header_bytes = 28;

/// Eleven zones in three regions; the first three members are the seeds.
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

std::size_t holders(directory_network& net, const std::function<bool(const directory_table&)>& holds) {
  std::size_t count = 0;
  for (const auto& [address, p] : net.processes()) count += p.core && holds(p.core->table()) ? 1 : 0;
  return count;
}

std::size_t living(directory_network& net) {
  return holders(net, [](const directory_table&) { return true; });
}

bool complete(directory_network& net) {
  const std::size_t alive = living(net);
  return net.all_equal() &&
         holders(net, [&](const directory_table& t) { return t.members().size() == alive; }) == alive;
}

// A member that starts must learn of all others from one seed within seconds.
TEST(directory_core, members_that_start_together_find_each_other) {
  for (const std::size_t count : {2UL, 10UL, 160UL}) {
    directory_network net(first_seed);
    add_members(net, count);
    const duration taken = net.time_until([&] { return complete(net); }, 30s);
    EXPECT_TRUE(complete(net)) << count;
    EXPECT_LT(taken, 15s) << count;
    EXPECT_EQ(net.oversized, 0U);
  }
}

TEST(directory_core, silent_member_is_suspected_then_removed_everywhere) {
  directory_network net(first_seed);
  add_members(net, 44);
  net.fill_tables();
  net.run_for(10s);
  net.end("10.n1020");
  const auto suspects = [&](const directory_table& t) {
    const auto record = t.find("n1020");
    return !record || record->state == member_state::suspect;
  };
  const duration suspected = net.time_until([&] { return holders(net, suspects) == 43; }, 20s);
  const duration removed = net.time_until([&] { return complete(net); }, 20s);
  EXPECT_LT(suspected, 6s);
  EXPECT_LT(suspected + removed, 12s);
  EXPECT_GE(suspected + removed, 4s);
  EXPECT_TRUE(complete(net));
}

TEST(directory_core, leaving_member_is_gone_at_once) {
  directory_network net(first_seed);
  add_members(net, 44);
  net.fill_tables();
  net.run_for(5s);
  net.act("10.n1020", [&](directory_core& c) { return c.leave(net.now); });
  net.end("10.n1020");
  const duration taken = net.time_until([&] { return complete(net); }, 20s);
  EXPECT_LT(taken, 2s);
}

// Traffic must not lose healthy upstreams because some datagrams are lost.
TEST(directory_core, loss_of_a_fifth_removes_no_living_member) {
  directory_network net(first_seed + 1);
  add_members(net, 44);
  net.fill_tables();
  net.loss = 0.2;
  for (int second = 0; second < 120; ++second) {
    net.run_for(1s);
    EXPECT_EQ(holders(net, [](const directory_table& t) { return t.members().size() == 44; }), 44U);
  }
  net.loss = 0;
  EXPECT_LT(net.time_until([&] { return complete(net); }, 20s), 20s);
}

// A restart must replace what the earlier start had said, even when the earlier records still travel.
TEST(directory_core, new_incarnation_wins_and_a_clock_that_went_back_recovers) {
  directory_network net(first_seed);
  add_members(net, 22);
  net.fill_tables();
  net.run_for(5s);
  for (const std::int64_t step : {5'000, -900'000}) {
    member_record self = net.processes()["10.n1010"].self;
    self.incarnation += static_cast<std::uint64_t>(step);
    self.endpoints[0].upstream_version = step > 0 ? "v2" : "v3";
    net.end(self.mesh_address);
    net.run_for(500ms);
    net.start(self);
    net.run_for(10s);
    const auto has = [&](const directory_table& t) {
      const auto record = t.find("n1010");
      return record && record->state == member_state::alive && record->endpoints[0] == self.endpoints[0];
    };
    EXPECT_EQ(holders(net, has), 22U);
    EXPECT_TRUE(complete(net));
  }
  EXPECT_EQ(net.fallen_versions, 0U);
}

// Seeded schedules of loss, partitions, ends, restarts and changes; afterwards everything must agree again.
TEST(directory_core, schedules_of_faults_converge_and_no_version_falls) {
  for (std::uint64_t seed = first_seed; seed < first_seed + schedules; ++seed) {
    directory_network net(seed);
    std::mt19937_64 random(seed);
    add_members(net, 33);
    for (int step = 0; step < 30; ++step) {
      net.run_for(milliseconds(random() % 3000));
      const std::string address = "10.n" + std::to_string(1000 + random() % 33);
      auto& p = net.processes()[address];
      switch (random() % 5) {
        case 0:
          net.loss = static_cast<double>(random() % 30) / 100;
          break;
        case 1: {
          const std::string region = random() % 2 == 0 ? "dar" : "kigoma";
          net.cut = [region](const member_record& a, const member_record& b) {
            return (a.region == region) != (b.region == region);
          };
          break;
        }
        case 2:
          net.cut = nullptr;
          break;
        case 3:
          if (p.core) {
            net.end(address);
          } else {
            member_record self = p.self;
            self.incarnation += 1000 * static_cast<std::uint64_t>(step + 1);
            net.start(self);
          }
          break;
        default:
          if (p.core) {
            net.act(address, [&](directory_core& c) {
              return c.set_endpoint(net.now, {"certdesk", "v" + std::to_string(step), "up", "127.0.0.1:1",
                                              upstream_state::ready, 20, 130});
            });
          }
      }
    }
    net.loss = 0;
    net.cut = nullptr;
    const duration taken = net.time_until([&] { return complete(net); }, 90s);
    EXPECT_TRUE(complete(net)) << "seed " << seed;
    EXPECT_LT(taken, 60s) << "seed " << seed;
    EXPECT_EQ(net.fallen_versions, 0U) << "seed " << seed;
    EXPECT_EQ(net.oversized, 0U) << "seed " << seed;
  }
}

// After a partition both sides must meet again without dropping their own healthy members.
TEST(directory_core, healed_partition_does_not_disturb_either_side) {
  directory_network net(first_seed);
  add_members(net, 44);
  net.fill_tables();
  net.run_for(5s);
  net.cut = [](const member_record& a, const member_record& b) { return (a.region == "dar") != (b.region == "dar"); };
  net.run_for(60s);
  const auto own_side = [](const directory_table& t) { return t.members().size(); };
  EXPECT_EQ(holders(net, [&](const directory_table& t) { return own_side(t) == 16; }), 16U);
  EXPECT_EQ(holders(net, [&](const directory_table& t) { return own_side(t) == 28; }), 28U);
  net.cut = nullptr;
  for (int i = 0; i < 400 && !complete(net); ++i) {
    net.run_for(100ms);
    EXPECT_EQ(holders(net, [&](const directory_table& t) { return own_side(t) >= 16; }), 44U);
  }
  EXPECT_TRUE(complete(net));
}

// One of the product's measures: bytes per node and second when nothing changes, and how fast a drain is known.
TEST(directory_core, idle_cost_and_time_of_a_drain_record) {
  for (const std::size_t count : {10UL, 40UL, 160UL, 1100UL}) {
    directory_network net(first_seed);
    add_members(net, count);
    net.fill_tables();
    net.run_for(10s);
    ASSERT_TRUE(complete(net)) << count;
    net.datagrams = 0;
    net.payload_bytes = 0;
    net.run_for(20s);
    const double seconds = 20.0 * static_cast<double>(count);
    const double payload = static_cast<double>(net.payload_bytes) / seconds;
    const double whole = static_cast<double>(net.payload_bytes + header_bytes * net.datagrams) / seconds;
    net.datagrams = 0;
    net.payload_bytes = 0;
    net.act("10.n1005", [&](directory_core& c) { return c.set_draining(net.now); });
    const auto drained = [](const directory_table& t) { return t.find("n1005")->draining; };
    const duration taken = net.time_until([&] { return holders(net, drained) == count; }, 20s);
    net.run_for(10s);
    const auto cost =
        static_cast<double>(net.payload_bytes + header_bytes * net.datagrams) / static_cast<double>(count);
    const double extra = cost - whole * (10.0 + std::chrono::duration<double>(taken).count());
    std::printf(
        "members %5zu: idle %.1f B/s a node sent (%.1f with IP and UDP headers), drain known to all in %.2f s, "
        "%.0f B a node for it\n",
        count, payload, whole, std::chrono::duration<double>(taken).count(), extra);
    EXPECT_LT(whole, 150);
    EXPECT_LT(taken, 2500ms);
    EXPECT_EQ(net.oversized, 0U);
  }
}

}  // namespace
}  // namespace heatherdeck

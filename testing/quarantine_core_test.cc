// Guards against verdicts on requests that merely run beside a crashing one, against verdicts that depend on the order
// of reports or are lost by restarts, and against updates that do not fit into a datagram.
#include "node/quarantine_core.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "model/gossip_messages.h"
#include "wire/codec.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr request_fingerprint crashing{77, 0};
constexpr request_fingerprint neighbour{1, 0};
const std::string service = "orders";

time_point at(duration since_start) { return time_point{} + 1h + since_start; }

quarantine_core make_core(std::uint64_t seed = 1) {
  return quarantine_core({.mesh_address = "n" + std::to_string(seed), .random_seed = seed});
}

std::vector<member_record> members(std::size_t count, std::uint64_t incarnation = 1) {
  std::vector<member_record> rows;
  for (std::size_t i = 1; i <= count; ++i) {
    rows.push_back({.node_id = std::to_string(i), .mesh_address = "n" + std::to_string(i), .incarnation = incarnation});
  }
  return rows;
}

quarantine_update crash(std::uint64_t id, std::vector<request_fingerprint> running, milliseconds age = 0ms) {
  return {.crashes = {{id, service, std::move(running), age}}};
}

request_standing standing(const quarantine_core& core, const request_fingerprint& request) {
  return core.list()->standing_of(service, request);
}

TEST(quarantine_core, lost_calls_are_no_crash_while_the_upstream_accepts_connections) {
  quarantine_core core = make_core();
  const auto out = core.on_call_lost(at(0ms), {service, "u1", "127.0.0.1:1", crashing});
  ASSERT_EQ(out.checks.size(), 1U);
  (void)core.on_checked(at(1ms), {"u1", false});
  EXPECT_EQ(standing(core, crashing), request_standing::clear);
  EXPECT_EQ(core.crash_count(), 0U);
}

TEST(quarantine_core, calls_lost_together_belong_to_one_crash) {
  quarantine_core core = make_core();
  (void)core.set_members(at(0ms), members(3));
  EXPECT_EQ(core.on_call_lost(at(0ms), {service, "u1", "127.0.0.1:1", crashing}).checks.size(), 1U);
  EXPECT_TRUE(core.on_call_lost(at(0ms), {service, "u1", "127.0.0.1:1", {2, 0}}).checks.empty());
  const auto out = core.on_checked(at(1ms), {"u1", true});
  ASSERT_EQ(out.updates.size(), 2U);
  EXPECT_EQ(out.updates[0].update.crashes.at(0).running.size(), 2U);
  const auto late = core.on_call_lost(at(5ms), {service, "u1", "127.0.0.1:1", {3, 0}});
  EXPECT_EQ(late.updates.size(), 2U);
  EXPECT_EQ(core.crash_count(), 1U);
  EXPECT_EQ(standing(core, {3, 0}), request_standing::suspected);
}

TEST(quarantine_core, second_crash_convicts_the_only_request_of_both) {
  quarantine_core core = make_core();
  (void)core.receive(at(0ms), crash(1, {neighbour, crashing, {2, 0}}));
  (void)core.receive(at(100ms), crash(2, {crashing, {3, 0}}));
  EXPECT_EQ(standing(core, crashing), request_standing::quarantined);
  EXPECT_EQ(standing(core, neighbour), request_standing::suspected);
}

TEST(quarantine_core, neighbour_that_is_lost_twice_is_not_convicted) {
  quarantine_core core = make_core();
  (void)core.receive(at(0ms), crash(1, {neighbour, crashing}));
  (void)core.receive(at(100ms), crash(2, {neighbour, crashing}));
  EXPECT_EQ(standing(core, crashing), request_standing::suspected);
  (void)core.receive(at(200ms), crash(3, {crashing, {3, 0}}));
  EXPECT_EQ(standing(core, crashing), request_standing::quarantined);
  EXPECT_EQ(standing(core, neighbour), request_standing::suspected);
}

TEST(quarantine_core, response_acquits_of_earlier_crashes_only) {
  quarantine_core core = make_core();
  (void)core.receive(at(0ms), crash(1, {neighbour, crashing}));
  (void)core.on_answered(at(100ms), {service, neighbour});
  EXPECT_EQ(standing(core, neighbour), request_standing::clear);
  (void)core.receive(at(200ms), crash(2, {neighbour, {5, 0}}));
  EXPECT_EQ(standing(core, neighbour), request_standing::suspected);
  (void)core.receive(at(300ms), {.acquittals = {{service, neighbour, 10ms}}});
  EXPECT_EQ(standing(core, neighbour), request_standing::clear);
}

// A frequent request runs at several upstreams that lose power together; it is answered by those that are left.
TEST(quarantine_core, response_ends_a_wrong_quarantine) {
  quarantine_core core = make_core();
  (void)core.receive(at(0ms), crash(1, {neighbour}));
  (void)core.receive(at(0ms), crash(2, {neighbour}));
  ASSERT_EQ(standing(core, neighbour), request_standing::quarantined);
  const auto out = core.on_answered(at(50ms), {service, neighbour});
  EXPECT_TRUE(out.list_changed);
  EXPECT_EQ(standing(core, neighbour), request_standing::clear);
}

TEST(quarantine_core, other_services_are_not_concerned) {
  quarantine_core core = make_core();
  (void)core.receive(at(0ms), crash(1, {crashing}));
  (void)core.receive(at(0ms), crash(2, {crashing}));
  EXPECT_EQ(core.list()->standing_of("catalogue", crashing), request_standing::clear);
  EXPECT_TRUE(core.list()->lists_head(service, crashing.head));
  EXPECT_FALSE(core.list()->lists_head(service, crashing.head + 1));
}

TEST(quarantine_core, verdict_does_not_depend_on_the_order_of_the_reports) {
  std::vector<quarantine_update> updates{crash(1, {neighbour, crashing, {2, 0}}, 300ms),
                                         crash(2, {neighbour, crashing}, 200ms),
                                         crash(3, {crashing, {4, 0}}, 100ms),
                                         {.acquittals = {{service, {2, 0}, 150ms}}},
                                         crash(3, {{5, 0}}, 100ms)};
  std::vector<std::size_t> order{0, 1, 2, 3, 4};
  quarantine_list_ptr first;
  do {
    quarantine_core core = make_core();
    for (const std::size_t i : order) (void)core.receive(at(0ms), updates[i]);
    if (!first) first = core.list();
    ASSERT_EQ(core.list()->services, first->services);
  } while (std::next_permutation(order.begin(), order.end()));
  EXPECT_EQ(first->standing_of(service, crashing), request_standing::quarantined);
  EXPECT_EQ(first->standing_of(service, {2, 0}), request_standing::clear);
}

TEST(quarantine_core, suspicion_ends_and_quarantine_lasts) {
  quarantine_core core = make_core();
  (void)core.receive(at(0s), crash(1, {crashing, neighbour}));
  (void)core.receive(at(1s), crash(2, {crashing, {2, 0}}));
  (void)core.tick(at(62s));
  EXPECT_EQ(standing(core, neighbour), request_standing::clear);
  EXPECT_EQ(standing(core, crashing), request_standing::quarantined);
  (void)core.tick(at(1s + quarantine_period + 1s));
  EXPECT_EQ(standing(core, crashing), request_standing::clear);
}

TEST(quarantine_core, one_crash_renews_a_quarantine) {
  quarantine_core core = make_core();
  (void)core.receive(at(0s), crash(1, {crashing}));
  (void)core.receive(at(1s), crash(2, {crashing}));
  for (duration t = 2s; t < quarantine_period + 60s; t += 1s) (void)core.tick(at(t));
  ASSERT_EQ(standing(core, crashing), request_standing::clear);
  (void)core.receive(at(quarantine_period + 60s), crash(3, {crashing, neighbour}));
  EXPECT_EQ(standing(core, crashing), request_standing::quarantined);
}

// Crashes of long ago do not add up to a verdict on a request that was lost with them by chance.
TEST(quarantine_core, crashes_far_apart_do_not_add_up) {
  quarantine_core core = make_core();
  (void)core.receive(at(0s), crash(1, {crashing, neighbour}));
  (void)core.receive(at(1s), crash(2, {crashing, {2, 0}}));
  (void)core.tick(at(90s));
  (void)core.receive(at(91s), crash(3, {neighbour, {3, 0}}));
  EXPECT_EQ(standing(core, neighbour), request_standing::suspected);
}

TEST(quarantine_core, restarted_member_gets_everything) {
  quarantine_core core = make_core(1);
  (void)core.set_members(at(0s), members(3));
  (void)core.receive(at(1s), crash(1, {crashing}));
  (void)core.receive(at(1s), crash(2, {crashing}));
  EXPECT_TRUE(core.set_members(at(2s), members(3)).updates.empty());
  auto changed = members(3);
  changed[1].incarnation = 2;
  const auto out = core.set_members(at(3s), changed);
  quarantine_core restarted = make_core(2);
  for (const auto& sent : out.updates) {
    EXPECT_EQ(sent.to, "n2");
    (void)restarted.receive(at(3s), sent.update);
  }
  EXPECT_EQ(standing(restarted, crashing), request_standing::quarantined);
}

TEST(quarantine_core, lost_updates_come_again) {
  quarantine_core core = make_core(1);
  quarantine_core other = make_core(2);
  (void)core.set_members(at(0s), members(2));
  (void)core.receive(at(1s), crash(1, {crashing}));
  (void)core.receive(at(1s), crash(2, {crashing}));
  for (const auto& sent : core.tick(at(2s)).updates) (void)other.receive(at(2s), sent.update);
  EXPECT_EQ(standing(other, crashing), request_standing::quarantined);
}

TEST(quarantine_core, news_are_passed_on_in_a_large_mesh_and_only_once) {
  quarantine_core core = make_core(1);
  (void)core.set_members(at(0s), members(100));
  const auto first = core.receive(at(1s), crash(1, {crashing}));
  EXPECT_FALSE(first.updates.empty());
  EXPECT_LE(first.updates.size(), 4U);
  EXPECT_TRUE(core.receive(at(1s), crash(1, {crashing})).updates.empty());
}

TEST(quarantine_core, every_update_fits_into_a_datagram) {
  quarantine_core core = make_core(1);
  (void)core.set_members(at(0s), members(2));
  const std::string long_service(100, 's');
  for (std::uint64_t id = 1; id <= 128; ++id) {
    crash_report report{id, long_service, {}, 10ms};
    for (std::uint64_t i = 0; i < 64; ++i) report.running.push_back({~(id * 1000 + i), ~i});
    (void)core.receive(at(1s), {.crashes = {report}});
  }
  const auto out = core.tick(at(2s));
  EXPECT_FALSE(out.updates.empty());
  for (const auto& sent : out.updates) {
    gossip_message message;
    message.kind = gossip_kind::quarantine;
    message.from = std::string(64, 'n');
    message.quarantine = sent.update;
    EXPECT_LE(encode(message).size() + datagram_mac_bytes, max_datagram_bytes);
  }
}

}  // namespace
}  // namespace heatherdeck

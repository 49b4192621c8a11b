// Tests announcements of upstreams: strict parsing, expiry of leases, and delivery of changes to the directory.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "model/service_names.h"
#include "node/announcement_core.h"
#include "node/announcement_service.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const std::string valid_text =
    R"({"service":"certdesk","version":"v2","target":"certdesk-3","address":"127.0.0.1:8080","slots":20,)"
    R"("connections":130,"state":"ready","load":{"in_flight":3,"queued":1}})";

std::string valid_text_with(std::string_view from, std::string_view to) {
  std::string text = valid_text;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(announcement, parses_all_members) {
  const auto announced = capture([] { return parse_announcement(valid_text); });
  ASSERT_TRUE(announced) << announced.failure().message();
  EXPECT_EQ(announced->endpoint.target, "certdesk-3");
  EXPECT_EQ(announced->endpoint.upstream_version, "v2");
  EXPECT_EQ(announced->endpoint.state, upstream_state::ready);
  EXPECT_EQ(announced->load.in_flight, 3U);
}

const std::string text_with_order =
    R"({"service":"orders","version":"v1","address":"10.1.0.38:8145","zone":"alex-a","slots":9,"state":"ready",)"
    R"("warmup_left_ms":0,"sequence":4,"born":1700000000000})";

announcement make_announcement(const std::string& target, const std::string& state, std::uint64_t born,
                               std::uint64_t sequence) {
  std::string text = text_with_order;
  text.replace(text.find("ready"), 5, state);
  text.replace(text.find("1700000000000"), 13, std::to_string(born));
  text.replace(text.find("\"sequence\":4"), 12, "\"sequence\":" + std::to_string(sequence));
  const auto announced = capture([&] { return parse_announcement(text, target); });
  EXPECT_TRUE(announced) << announced.failure().message();
  return announced ? *announced : announcement{};
}

TEST(announcement, target_may_be_named_by_the_request_path) {
  const announcement announced = make_announcement("i-7f3a", "ready", 5, 4);
  EXPECT_EQ(announced.endpoint.target, "i-7f3a");
  EXPECT_EQ(announced.order, (announcement_order{5, 4}));
  EXPECT_GT(announced.endpoint.connections, 0U);
}

// An announcement that a partition has delayed must not make a draining or removed target available again.
TEST(announcement, out_of_order_announcements_are_ignored) {
  announcement_core core;
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 4)));
  auto changes = core.put(now, make_announcement("i-1", "draining", 100, 5));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U);
  changes = core.put(now, make_announcement("i-1", "ready", 100, 3));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->endpoints.empty());
  ASSERT_TRUE(core.remove(now, "i-1"));
  changes = core.put(now, make_announcement("i-1", "ready", 100, 4));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->endpoints.empty());
  // The same target is accepted again after a new start.
  changes = core.put(now, make_announcement("i-1", "ready", 200, 1));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U);
}

// A target that had deregistered was used again for a whole lease, because an announcement from before its
// deregistration arrived after it and its sequence was the highest so far.
TEST(announcement, announcement_sent_before_a_deregistration_does_not_bring_the_target_back) {
  announcement_core core(1500ms);
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 4)));
  ASSERT_TRUE(core.remove(now, "i-1"));
  for (const std::uint64_t sequence : {5, 6, 1000}) {
    const auto changes = core.put(now + 2500ms, make_announcement("i-1", "ready", 100, sequence));
    ASSERT_TRUE(changes);
    EXPECT_TRUE(changes->endpoints.empty()) << sequence;
  }
  const auto changes = core.put(now + 3s, make_announcement("i-1", "ready", 200, 1));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U) << "a new start under the same name";
}

// The same for a target that does not state its start time: a late announcement cannot be told from one of a new start,
// so the target stays away for a lease and can be announced again afterwards.
TEST(announcement, target_without_a_start_time_stays_away_for_a_lease_after_its_deregistration) {
  announcement_core core(1500ms);
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, make_announcement("i-1", "ready", 0, 4)));
  ASSERT_TRUE(core.remove(now, "i-1"));
  auto changes = core.put(now + 2500ms, make_announcement("i-1", "ready", 0, 5));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->endpoints.empty()) << "it may have been sent before the deregistration";
  changes = core.put(now + 6s, make_announcement("i-1", "ready", 0, 1));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U) << "it has started again";
}

// The process of this host was restarted, so it did not know the target that left. Its refusal left the target without
// an acknowledgement, and an announcement that was still on its way brought the target back.
TEST(announcement, target_that_leaves_after_a_restart_of_this_process_stays_away) {
  announcement_core restarted;
  const time_point now{1h};
  const auto removed = restarted.remove(now, "i-1", 500);
  ASSERT_TRUE(removed);
  EXPECT_TRUE(removed->endpoints.empty());
  auto changes = restarted.put(now, make_announcement("i-1", "ready", 100, 4));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->endpoints.empty()) << "sent before it left";
  changes = restarted.put(now, make_announcement("i-1", "ready", 600, 1));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U) << "a new start under the same name";
}

// An announcement that a partition had held up brought a crashed target back, after its lease or beside its successor.
TEST(announcement, late_announcement_of_a_crashed_target_is_ignored) {
  announcement_core core(1500ms);
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 4)));
  EXPECT_EQ(core.tick(now + 6s).endpoints.size(), 1U);
  auto changes = core.put(now + 7s, make_announcement("i-1", "ready", 100, 4));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->endpoints.empty());
  ASSERT_TRUE(core.put(now + 8s, make_announcement("i-2", "ready", 300, 1)));
  changes = core.put(now + 8s, make_announcement("i-1", "ready", 100, 6));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->endpoints.empty()) << "i-2 has started later at the same address";
  changes = core.put(now + 9s, make_announcement("i-2", "ready", 300, 2));
  ASSERT_TRUE(changes);
  EXPECT_EQ(core.tick(now + 12s).endpoints.size(), 0U);
}

// What other hosts are told must cover every announcement that was sent before the target began to drain or left, and
// must not change with each announcement while it drains.
TEST(announcement, departures_name_the_last_outdated_announcement) {
  announcement_core core(1500ms);
  const time_point now{1h};
  EXPECT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 4))->departures.empty());
  const std::vector<target_departure> draining{{"i-1", {100, 6}}};
  EXPECT_EQ(core.put(now, make_announcement("i-1", "draining", 100, 6))->departures, draining);
  EXPECT_EQ(core.put(now, make_announcement("i-1", "draining", 100, 7))->departures, draining);
  EXPECT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 8))->departures.empty());
  const std::vector<target_departure> draining_again{{"i-1", {100, 9}}};
  EXPECT_EQ(core.put(now, make_announcement("i-1", "draining", 100, 9))->departures, draining_again);
  const auto removed = core.remove(now, "i-1");
  ASSERT_EQ(removed->departures.size(), 1U);
  EXPECT_GT(removed->departures[0].last, (announcement_order{100, 1'000'000}));
  EXPECT_LT(removed->departures[0].last, (announcement_order{101, 0}));
}

// A process that was started again must refuse what its predecessor would have refused, and nothing else.
TEST(announcement, adopted_departures_hold_for_outdated_announcements_only) {
  announcement_core core(1500ms);
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 5)));
  announcement other = make_announcement("i-2", "ready", 200, 5);
  other.endpoint.address = "10.1.0.38:8146";
  ASSERT_TRUE(core.put(now, other));
  const auto adopted = core.adopt(now, {{"i-1", {100, 6}}, {"i-2", {200, 4}}, {"i-3", {300, 9}}});
  ASSERT_EQ(adopted.endpoints.size(), 1U);
  EXPECT_EQ(adopted.endpoints[0].target, "i-1");
  EXPECT_EQ(adopted.endpoints[0].state, upstream_state::gone);
  EXPECT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 6))->outdated);
  EXPECT_FALSE(core.put(now, make_announcement("i-1", "ready", 100, 7))->outdated) << "it drains no more";
  EXPECT_FALSE(core.put(now, other)->outdated);
  EXPECT_TRUE(core.put(now, make_announcement("i-3", "ready", 300, 9))->outdated);
  EXPECT_FALSE(core.put(now, make_announcement("i-3", "ready", 301, 1))->outdated);
}

// A target that was only silent announces itself again with a higher sequence and is used again at once.
// After all processes have ended, a late announcement may be the first thing that a new process hears of a target.
TEST(announcement, targets_are_not_reported_before_the_recorded_departures_are_known) {
  announcement_core core(1500ms);
  const time_point now{1h};
  core.hold();
  for (const std::string target : {"i-1", "i-2"}) {
    const auto changes = core.put(now, make_announcement(target, "ready", 100, 4));
    ASSERT_TRUE(changes);
    EXPECT_TRUE(changes->endpoints.empty());
    EXPECT_TRUE(changes->loads.empty());
  }
  EXPECT_TRUE(core.mark_leaving("i-2").endpoints.empty());
  auto changes = core.release(now + 1s, {{"i-1", {100, 6}}});
  ASSERT_EQ(changes.endpoints.size(), 1U);
  EXPECT_EQ(changes.endpoints[0].target, "i-2");
  EXPECT_EQ(changes.endpoints[0].state, upstream_state::draining);
  EXPECT_EQ(changes.loads.size(), 1U);
  EXPECT_FALSE(core.is_held());
  const auto later = core.put(now + 1s, make_announcement("i-1", "ready", 200, 1));
  ASSERT_TRUE(later);
  EXPECT_EQ(later->endpoints.size(), 1U) << "a later start is used at once";
}

// Others have never heard of these targets, so they must not hear that they are gone either.
TEST(announcement, target_that_leaves_before_it_was_reported_is_kept_as_a_departure_only) {
  announcement_core core(1500ms);
  const time_point now{1h};
  core.hold();
  for (const std::string target : {"i-1", "i-2"})
    ASSERT_TRUE(core.put(now, make_announcement(target, "ready", 100, 4)));
  const auto removed = core.remove(now, "i-1");
  ASSERT_TRUE(removed);
  EXPECT_TRUE(removed->endpoints.empty());
  EXPECT_EQ(removed->departures.size(), 1U);
  EXPECT_TRUE(core.tick(now + 6s).endpoints.empty());
  EXPECT_TRUE(core.release(now + 7s, {}).endpoints.empty());
}

TEST(announcement, silent_target_comes_back) {
  announcement_core core(1500ms);
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 4)));
  EXPECT_EQ(core.tick(now + 6s).endpoints.size(), 1U);
  const auto changes = core.put(now + 7s, make_announcement("i-1", "ready", 100, 5));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U);
}

// The same for one that gives its start and no sequence, whose announcements cannot be told apart.
TEST(announcement, silent_target_without_a_sequence_comes_back) {
  announcement_core core(1500ms);
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 0)));
  EXPECT_EQ(core.tick(now + 6s).endpoints.size(), 1U);
  const auto changes = core.put(now + 7s, make_announcement("i-1", "ready", 100, 0));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U);
}

TEST(announcement, service_other_than_the_configured_one_is_rejected) {
  announcement_core core(500ms, "stock");
  EXPECT_FALSE(core.put(time_point{1h}, make_announcement("i-1", "ready", 100, 4)));
}

// A lease shorter than the announcement period would make healthy targets appear and disappear.
TEST(announcement, lease_is_four_announcement_periods) {
  announcement_core core(1500ms);
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, make_announcement("i-1", "ready", 100, 4)));
  EXPECT_TRUE(core.tick(now + 5900ms).endpoints.empty());
  EXPECT_EQ(core.tick(now + 6000ms).endpoints.size(), 1U);
}

// If a malformed announcement were accepted in part, requests would be routed to an upstream that does not exist.
TEST(announcement, malformed_announcements_are_rejected) {
  const std::string malformed[] = {
      "",
      "{",
      "[]",
      "null",
      valid_text + "x",
      valid_text_with("\"service\":\"certdesk\",", ""),
      valid_text_with("certdesk-3", "a b"),
      valid_text_with("certdesk-3", ""),
      valid_text_with("127.0.0.1:8080", "localhost:8080"),
      valid_text_with("127.0.0.1:8080", "127.0.0.1:0"),
      valid_text_with("127.0.0.1:8080", "127.0.0.1:65536"),
      valid_text_with("\"slots\":20", "\"slots\":0"),
      valid_text_with("\"slots\":20", "\"slots\":-1"),
      valid_text_with("\"slots\":20", "\"slots\":2.5"),
      valid_text_with("\"slots\":20", "\"slots\":\"20\""),
      valid_text_with("\"slots\":20", "\"slots\":99999999999999999999"),
      valid_text_with("\"slots\":20", "\"slot\":20"),
      valid_text_with("\"slots\":20", "\"slots\":20,\"slots\":21"),
      valid_text_with("ready", "gone"),
      valid_text_with("ready", "idle"),
      valid_text_with("\"queued\":1", "\"queue\":1"),
      valid_text_with("{\"in_flight\":3,\"queued\":1}", "{\"a\":{\"b\":{\"c\":{\"d\":1}}}}"),
      valid_text_with("certdesk-3", std::string(5000, 'a'))};
  for (const std::string& text : malformed) {
    const auto announced = capture([&text] { return parse_announcement(text); });
    ASSERT_FALSE(announced) << text;
    EXPECT_EQ(announced.failure().kind, error_kind::bad_message) << text;
    EXPECT_FALSE(announced.failure().remedy.empty()) << text;
  }
}

// An upstream that crashes must be removed two seconds after its last announcement, not sooner.
TEST(announcement, lease_expires_after_two_seconds_and_is_renewed_by_each_announcement) {
  announcement_core core;
  const time_point start{};
  announcement announced = *capture([] { return parse_announcement(valid_text); });
  EXPECT_EQ(capture([&] { return core.put(start, announced); })->endpoints.size(), 1U);
  const auto again = capture([&] { return core.put(start + 500ms, announced); });
  EXPECT_TRUE(again->endpoints.empty()) << "an unchanged endpoint must not be reported again";
  EXPECT_EQ(again->loads.size(), 1U);
  EXPECT_TRUE(core.tick(start + 2499ms).endpoints.empty());
  const auto ended = core.tick(start + 2500ms);
  ASSERT_EQ(ended.endpoints.size(), 1U);
  EXPECT_EQ(ended.endpoints[0].state, upstream_state::gone);
  EXPECT_TRUE(core.tick(start + 9s).endpoints.empty());
  announced.endpoint.state = upstream_state::draining;
  EXPECT_EQ(capture([&] { return core.put(start + 10s, announced); })->endpoints[0].state, upstream_state::draining);
}

TEST(announcement, remove_needs_a_target_only_if_several_are_announced) {
  announcement_core core;
  announcement announced = *capture([] { return parse_announcement(valid_text); });
  EXPECT_EQ(capture([&] { return core.remove(time_point{}, ""); }).failure().kind, error_kind::not_found);
  (void)capture([&] { return core.put(time_point{}, announced); });
  announced.endpoint.target = "certdesk-4";
  (void)capture([&] { return core.put(time_point{}, announced); });
  EXPECT_FALSE(capture([&] { return core.remove(time_point{}, ""); }));
  EXPECT_EQ(capture([&] { return core.remove(time_point{}, "certdesk-4"); })->endpoints[0].state, upstream_state::gone);
  EXPECT_TRUE(capture([&] { return core.remove(time_point{}, ""); }));
}

/// Replaces the service "directory"; its mailbox has room for one message only.
class fake_directory : public service {
 public:
  std::string_view name() const override { return to_name(service_name::directory); }
  void publish(kernel& k) override {
    inbox = std::make_unique<mailbox<directory_message>>(k.executor(), 1);
    k.publish(name(), inbox->address());
  }
  result<void> start(kernel&) override { return {}; }
  void stop() override { inbox->close(); }
  boost::json::value dump() const override { return nullptr; }
  std::unique_ptr<mailbox<directory_message>> inbox;
};

// A change that is posted while the mailbox is full must arrive later; otherwise a removed upstream stays in the
// directory.
TEST(announcement_service, forwards_changes_and_retries_after_a_full_mailbox) {
  kernel k;
  auto added = std::make_unique<fake_directory>();
  fake_directory* directory = added.get();
  ASSERT_TRUE(k.add(std::move(added)));
  settings s;
  s.upstream_listen = "127.0.0.1:0";
  auto made = std::move(*announcement_service::make(s));
  auto* announcements = static_cast<announcement_service*>(made.get());
  ASSERT_TRUE(k.add(std::move(made)));
  ASSERT_TRUE(k.start());
  std::vector<endpoint_record> got;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        const std::string address = "127.0.0.1:" + std::to_string(announcements->port());
        http_request put{.method = "PUT", .path = "/v1/announcement", .body = valid_text};
        http_request wrong = put;
        wrong.body = "{}";
        http_request gone{.method = "DELETE", .path = "/v1/announcement"};
        auto first = co_await http_call(k.timers(), k.executor(), address, put, 5s);
        EXPECT_EQ(first ? first->status : 0U, 200U);
        auto refused = co_await http_call(k.timers(), k.executor(), address, wrong, 5s);
        EXPECT_EQ(refused ? refused->status : 0U, 400U);
        auto second = co_await http_call(k.timers(), k.executor(), address, gone, 5s);
        EXPECT_EQ(second ? second->status : 0U, 200U);
        for (int i = 0; i < 2; ++i) {
          auto message = co_await directory->inbox->receive();
          got.push_back(std::get<local_endpoint_changed>(*message).endpoint);
        }
        k.io().stop();
      },
      boost::asio::detached);
  k.io().run_for(20s);
  ASSERT_EQ(got.size(), 2U);
  EXPECT_EQ(got[0].state, upstream_state::ready);
  EXPECT_EQ(got[1].state, upstream_state::gone);
}

}  // namespace
}  // namespace heatherdeck

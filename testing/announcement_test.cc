// Guards announcements: strict reading, leases that end by themselves, and changes that reach the directory.
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

const std::string good =
    R"({"service":"certdesk","version":"v2","target":"certdesk-3","address":"127.0.0.1:8080","slots":20,)"
    R"("connections":130,"state":"ready","load":{"in_flight":3,"queued":1}})";

std::string with(std::string_view from, std::string_view to) {
  std::string text = good;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(announcement, is_read_whole) {
  const auto said = capture([] { return parse_announcement(good); });
  ASSERT_TRUE(said) << said.failure().message();
  EXPECT_EQ(said->endpoint.target, "certdesk-3");
  EXPECT_EQ(said->endpoint.upstream_version, "v2");
  EXPECT_EQ(said->endpoint.state, upstream_state::ready);
  EXPECT_EQ(said->load.in_flight, 3U);
}

const std::string ordered =
    R"({"service":"orders","version":"v1","address":"10.1.0.38:8145","zone":"alex-a","slots":9,"state":"ready",)"
    R"("warmup_left_ms":0,"sequence":4,"born":1700000000000})";

announcement said_by(const std::string& target, const std::string& state, std::uint64_t born, std::uint64_t sequence) {
  std::string text = ordered;
  text.replace(text.find("ready"), 5, state);
  text.replace(text.find("1700000000000"), 13, std::to_string(born));
  text.replace(text.find("\"sequence\":4"), 12, "\"sequence\":" + std::to_string(sequence));
  const auto said = capture([&] { return parse_announcement(text, target); });
  EXPECT_TRUE(said) << said.failure().message();
  return said ? *said : announcement{};
}

TEST(announcement, target_may_stand_in_the_call) {
  const announcement said = said_by("i-7f3a", "ready", 5, 4);
  EXPECT_EQ(said.endpoint.target, "i-7f3a");
  EXPECT_EQ(said.order, (announcement_order{5, 4}));
  EXPECT_GT(said.endpoint.connections, 0U);
}

// An announcement that a partition held up would bring a draining or ended target back.
TEST(announcement, late_ones_change_nothing) {
  announcement_core core;
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, said_by("i-1", "ready", 100, 4)));
  auto changes = core.put(now, said_by("i-1", "draining", 100, 5));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U);
  changes = core.put(now, said_by("i-1", "ready", 100, 3));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->endpoints.empty());
  ASSERT_TRUE(core.remove("i-1"));
  changes = core.put(now, said_by("i-1", "ready", 100, 4));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->endpoints.empty());
  // The same name after a new start counts again.
  changes = core.put(now, said_by("i-1", "ready", 200, 1));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->endpoints.size(), 1U);
}

TEST(announcement, another_service_is_refused_on_a_host_that_has_one) {
  announcement_core core(500ms, "stock");
  EXPECT_FALSE(core.put(time_point{1h}, said_by("i-1", "ready", 100, 4)));
}

// A lease shorter than the pauses of a slow announcer would make healthy targets come and go.
TEST(announcement, lease_follows_the_period) {
  announcement_core core(1500ms);
  const time_point now{1h};
  ASSERT_TRUE(core.put(now, said_by("i-1", "ready", 100, 4)));
  EXPECT_TRUE(core.tick(now + 5900ms).endpoints.empty());
  EXPECT_EQ(core.tick(now + 6000ms).endpoints.size(), 1U);
}

// A wrong announcement that is accepted in part offers traffic to an upstream that does not exist.
TEST(announcement, refuses_what_is_not_exactly_an_announcement) {
  const std::string bad[] = {"",
                             "{",
                             "[]",
                             "null",
                             good + "x",
                             with("\"service\":\"certdesk\",", ""),
                             with("certdesk-3", "a b"),
                             with("certdesk-3", ""),
                             with("127.0.0.1:8080", "localhost:8080"),
                             with("127.0.0.1:8080", "127.0.0.1:0"),
                             with("127.0.0.1:8080", "127.0.0.1:65536"),
                             with("\"slots\":20", "\"slots\":0"),
                             with("\"slots\":20", "\"slots\":-1"),
                             with("\"slots\":20", "\"slots\":2.5"),
                             with("\"slots\":20", "\"slots\":\"20\""),
                             with("\"slots\":20", "\"slots\":99999999999999999999"),
                             with("\"slots\":20", "\"slot\":20"),
                             with("\"slots\":20", "\"slots\":20,\"slots\":21"),
                             with("ready", "gone"),
                             with("ready", "idle"),
                             with("\"queued\":1", "\"queue\":1"),
                             with("{\"in_flight\":3,\"queued\":1}", "{\"a\":{\"b\":{\"c\":{\"d\":1}}}}"),
                             with("certdesk-3", std::string(5000, 'a'))};
  for (const std::string& text : bad) {
    const auto said = capture([&text] { return parse_announcement(text); });
    ASSERT_FALSE(said) << text;
    EXPECT_EQ(said.failure().kind, error_kind::bad_message) << text;
    EXPECT_FALSE(said.failure().remedy.empty()) << text;
  }
}

// An upstream that dies without a word must be gone two seconds later, not sooner.
TEST(announcement, lease_ends_after_two_seconds_and_is_extended_by_each_announcement) {
  announcement_core core;
  const time_point start{};
  announcement said = *capture([] { return parse_announcement(good); });
  EXPECT_EQ(capture([&] { return core.put(start, said); })->endpoints.size(), 1U);
  const auto again = capture([&] { return core.put(start + 500ms, said); });
  EXPECT_TRUE(again->endpoints.empty()) << "an unchanged endpoint is not spread again";
  EXPECT_EQ(again->loads.size(), 1U);
  EXPECT_TRUE(core.tick(start + 2499ms).endpoints.empty());
  const auto ended = core.tick(start + 2500ms);
  ASSERT_EQ(ended.endpoints.size(), 1U);
  EXPECT_EQ(ended.endpoints[0].state, upstream_state::gone);
  EXPECT_TRUE(core.tick(start + 9s).endpoints.empty());
  said.endpoint.state = upstream_state::draining;
  EXPECT_EQ(capture([&] { return core.put(start + 10s, said); })->endpoints[0].state, upstream_state::draining);
}

TEST(announcement, delete_needs_a_name_only_when_there_are_several) {
  announcement_core core;
  announcement said = *capture([] { return parse_announcement(good); });
  EXPECT_EQ(capture([&] { return core.remove(""); }).failure().kind, error_kind::not_found);
  (void)capture([&] { return core.put(time_point{}, said); });
  said.endpoint.target = "certdesk-4";
  (void)capture([&] { return core.put(time_point{}, said); });
  EXPECT_FALSE(capture([&] { return core.remove(""); }));
  EXPECT_EQ(capture([&] { return core.remove("certdesk-4"); })->endpoints[0].state, upstream_state::gone);
  EXPECT_TRUE(capture([&] { return core.remove(""); }));
}

/// Records what the directory would get; its mailbox has room for one message only.
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

// A change that meets a full mailbox must arrive later, or a dead upstream stays in the directory.
TEST(announcement_service, passes_changes_on_and_repeats_those_that_were_refused) {
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
        http_request put{.method = "PUT", .path = "/v1/announcement", .body = good};
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

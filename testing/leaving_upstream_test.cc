// Runs the services "traffic" and "announcements" with a directory that returns each endpoint to traffic. Guards
// against requests to an upstream that has stated in a response that it is leaving, while it still announces itself as
// ready, and against a cold upstream's announcement that has no effect on how many requests it gets.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "model/service_names.h"
#include "node/announcement_service.h"
#include "testing/single_member_directory.h"
#include "traffic/traffic_service.h"
#include "wire/http_client.h"
#include "wire/http_listener.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

class leaving_upstream : public testing::Test {
 protected:
  void SetUp() override {
    settings s;
    s.id = "n1";
    s.availability_zone = "dar-1";
    s.region = "dar";
    s.seed = 1;
    s.upstream_listen = "127.0.0.1:0";
    ASSERT_TRUE(k.add(std::make_unique<single_member_directory>()));
    ASSERT_TRUE(k.add(std::move(*traffic_service::make(s))));
    auto made = std::move(*announcement_service::make(s));
    announcements = static_cast<announcement_service*>(made.get());
    ASSERT_TRUE(k.add(std::move(made)));
    ASSERT_TRUE(k.start());
    traffic = *k.find<traffic_message>(to_name(service_name::traffic));
    set_document(0);
  }

  void set_document(double warmup_per_s) {
    auto document = std::make_shared<compiled_document>();
    document->routes.push_back({.name = "all", .path_prefix = "/", .service = "certdesk"});
    document->services["certdesk"] = {
        .name = "certdesk", .versions = {"v1"}, .shares = {{"v1", full_share}}, .warmup_per_s = warmup_per_s};
    traffic.post(update_document{document});
  }

  awaitable<void> announce(const std::string& state, std::uint64_t born, std::uint64_t sequence,
                           std::uint64_t warmup_left_ms = 0) {
    http_request put{.method = "PUT", .path = "/v1/announcement"};
    put.body = R"({"service":"certdesk","version":"v1","target":"t1","address":"127.0.0.1:9","slots":4,"state":")" +
               state + R"(","born":)" + std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) +
               R"(,"warmup_left_ms":)" + std::to_string(warmup_left_ms) + "}";
    const std::string address = "127.0.0.1:" + std::to_string(announcements->port());
    const auto response = co_await http_call(k.timers(), k.executor(), address, put, 5s);
    EXPECT_EQ(response ? response->status : 0U, 200U);
  }

  // The response to the announcement may arrive before the change has passed the directory, so a few picks are tried.
  awaitable<bool> can_pick(bool expected) {
    bool chosen = !expected;
    for (int i = 0; i < 50 && chosen != expected; ++i) {
      request_attributes attributes{.path = "/a", .method = "GET", .from_peer = true, .service = "certdesk"};
      auto make = [&](reply<pick_result> answer) { return pick_upstream{attributes, std::move(answer)}; };
      const auto picked = co_await ask<pick_result>(k.timers(), k.executor(), traffic, 5s, std::move(make));
      const auto* choice = picked ? std::get_if<upstream_choice>(&*picked) : nullptr;
      chosen = choice != nullptr;
      if (chosen) traffic.post(finish_call{choice->pick_id, call_outcome::ok, 1ms, {}});
      if (chosen != expected) co_await sleep(20ms);
    }
    co_return chosen;
  }

  awaitable<void> sleep(duration delay) {
    boost::asio::steady_timer timer(k.executor(), delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  void run(std::function<awaitable<void>()> steps) {
    bool done = false;
    boost::asio::co_spawn(
        k.io(),
        [&]() -> awaitable<void> {
          co_await steps();
          done = true;
          k.io().stop();
        },
        boost::asio::detached);
    k.io().run_for(30s);
    EXPECT_TRUE(done) << "the steps did not end in time";
  }

  kernel k;
  announcement_service* announcements = nullptr;
  address<traffic_message> traffic;
};

TEST_F(leaving_upstream, gets_no_request_until_it_has_started_again) {
  run([this]() -> awaitable<void> {
    co_await announce("ready", 1000, 1);
    EXPECT_TRUE(co_await can_pick(true));
    traffic.post(upstream_stated{"t1", {.leaving = true}});
    EXPECT_FALSE(co_await can_pick(false)) << "it has stated that it is leaving";
    co_await announce("ready", 1000, 2);
    co_await sleep(100ms);
    EXPECT_FALSE(co_await can_pick(false)) << "an announcement of the same start does not bring it back";
    co_await announce("ready", 2000, 1);
    EXPECT_TRUE(co_await can_pick(true)) << "it has started again";
  });
}

TEST_F(leaving_upstream, gets_requests_at_its_limit_only_while_it_announces_that_it_is_cold) {
  run([this]() -> awaitable<void> {
    set_document(0.5);
    co_await announce("ready", 1000, 1, 60'000);
    EXPECT_TRUE(co_await can_pick(true)) << "the first request";
    EXPECT_FALSE(co_await can_pick(false)) << "the next one may start after 2 s";
    co_await announce("ready", 1000, 2);
    for (int i = 0; i < 5; ++i) EXPECT_TRUE(co_await can_pick(true)) << "it is warm";
  });
}

}  // namespace
}  // namespace heatherdeck

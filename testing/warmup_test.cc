// Tests of cold upstreams: when an upstream counts as cold, and how many requests reach it then. Guards against bursts
// that crash a cold upstream: when it starts, when its node is restarted, and when it becomes cold in the middle.
#include <algorithm>

#include <gtest/gtest.h>

#include "traffic/traffic_core.h"
#include "traffic/warmup_tracker.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const time_point start_time = time_point{} + 1h;
constexpr double warmup_per_s = 20;
constexpr std::size_t bound = 38;  // in any second: warmup_per_s x 1.5 + 8

TEST(warmup_tracker, upstream_is_cold_after_a_start_whatever_it_reports) {
  warmup_tracker warmups;
  EXPECT_TRUE(warmups.cold("t", 3s, start_time)) << "nothing is known of it";
  warmups.report("t", {0ms, 100}, false, start_time);
  EXPECT_TRUE(warmups.cold("t", 3s, start_time + 2999ms));
  warmups.report("t", {0ms, 100}, false, start_time + 3s);
  EXPECT_FALSE(warmups.cold("t", 3s, start_time + 3s));
  warmups.report("t", {0ms, 200}, false, start_time + 5s);
  EXPECT_TRUE(warmups.cold("t", 3s, start_time + 7s)) << "it has started again";
}

// A restarted node must not take an upstream that it finds for a new one, nor a cold one for warm.
TEST(warmup_tracker, upstream_that_was_there_before_is_cold_as_it_reports) {
  warmup_tracker warmups;
  warmups.report("t", {0ms, 100}, true, start_time);
  EXPECT_FALSE(warmups.cold("t", 3s, start_time));
  warmups.report("t", {700ms, 100}, true, start_time + 9s);
  EXPECT_TRUE(warmups.cold("t", 3s, start_time + 9699ms));
  EXPECT_FALSE(warmups.cold("t", 3s, start_time + 9700ms));
  warmups.report("silent", {}, true, start_time);
  EXPECT_TRUE(warmups.cold("silent", 3s, start_time + 2s)) << "it does not say how long it has been running";
}

// One node and its upstream under far more requests than it can serve. Each takes 5 ms.
struct cold_upstream : testing::Test {
  std::unique_ptr<traffic_core> core;
  time_point now = start_time;
  std::vector<time_point> arrivals;
  std::vector<std::pair<time_point, std::uint64_t>> running;
  std::uint64_t next_id = 1;

  void start_node() {
    core = std::make_unique<traffic_core>(traffic_identity{.node_id = "n1", .availability_zone = "dar-1", .seed = 3});
    auto d = std::make_shared<compiled_document>();
    d->routes = {{.name = "lookup", .path_prefix = "/", .service = "certdesk", .objective = 400ms}};
    d->services["certdesk"] = {.name = "certdesk",
                               .versions = {"v1"},
                               .shares = {{"v1", full_share}},
                               .warmup = 3s,
                               .warmup_per_s = warmup_per_s};
    core->set_document(d);
    running.clear();
  }
  void announce(milliseconds left) {
    core->report_warmup("t1", {left, 100}, now);
    member_record own{.node_id = "n1", .availability_zone = "dar-1"};
    own.endpoints = {{.service = "certdesk",
                      .upstream_version = "v1",
                      .target = "t1",
                      .address = "127.0.0.1:9000",
                      .state = upstream_state::ready,
                      .slots = 9,
                      .connections = 130}};
    core->set_members({own}, now);
  }
  void take(const pick_result& answer) {
    const auto* choice = std::get_if<upstream_choice>(&answer);
    if (choice == nullptr) return;
    arrivals.push_back(now);
    running.emplace_back(now + 5ms, choice->pick_id);
  }
  // A request comes each millisecond, every other one from another node.
  void run_for(duration time) {
    for (const time_point end = now + time; now < end; now += 1ms) {
      std::erase_if(running, [&](const auto& call) {
        if (call.first > now) return false;
        core->finish(now, {call.second, call_outcome::ok, 5ms, {}});
        return true;
      });
      request_attributes a{.path = "/x", .method = "GET"};
      a.deadline = 800ms;
      a.from_peer = next_id % 2 == 0;
      if (a.from_peer) a.service = "certdesk";
      if (const auto answer = core->pick(now, a, next_id++)) take(*answer);
      for (const auto& [id, answer] : core->take_answers(now)) take(answer);
    }
  }
  std::size_t most_in_a_second(time_point from) const {
    std::size_t most = 0;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from); first != arrivals.end(); ++first) {
      const auto last = std::lower_bound(first, arrivals.end(), *first + 1s);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }
};

TEST_F(cold_upstream, gets_no_more_than_its_limit_under_a_burst) {
  start_node();
  announce(3000ms);
  run_for(2990ms);
  EXPECT_LE(most_in_a_second(start_time), bound);
  EXPECT_GE(arrivals.size(), 2 * warmup_per_s) << "it must be used as far as it can serve";
  run_for(1s);
  EXPECT_GT(arrivals.size(), 300U) << "the limit must end with the cold time";
}

// A new process knows of no request that the old one has sent in the same second.
TEST_F(cold_upstream, gets_no_more_when_its_node_is_restarted) {
  start_node();
  announce(3000ms);
  run_for(700ms);
  for (int restart = 0; restart < 3; ++restart) {
    start_node();
    announce(2000ms);
    run_for(300ms);
  }
  EXPECT_LE(most_in_a_second(start_time), bound);
}

// Until the next announcement it is loaded as before; after that the second as a whole must stay within the limit.
TEST_F(cold_upstream, gets_no_more_when_it_becomes_cold_in_the_middle) {
  start_node();
  announce(0ms);
  run_for(5s);
  arrivals.clear();
  const time_point cold_since = now;
  announce(2000ms);
  run_for(1990ms);
  EXPECT_LE(most_in_a_second(cold_since), bound);
  EXPECT_GE(arrivals.size(), 10U);
}

// Peers must see a cold upstream as full when it has all that its limit admits, and send to others.
TEST_F(cold_upstream, reports_its_limit_as_load) {
  start_node();
  announce(0ms);
  for (int i = 0; i < 50; ++i) {
    const pick_result answer = core->pick(now, request_attributes{.path = "/x", .method = "GET"});
    core->finish(now, {std::get<upstream_choice>(answer).pick_id, call_outcome::ok, 50ms, {}});
    now += 100ms;
  }
  announce(2000ms);
  now += 1s;
  const pick_result answer = core->pick(now, request_attributes{.path = "/x", .method = "GET"});
  const auto* choice = std::get_if<upstream_choice>(&answer);
  ASSERT_NE(choice, nullptr);
  EXPECT_EQ(choice->target_load->in_flight, 9U) << "20 a second of 50 ms each keep one of nine slots busy";
}

}  // namespace
}  // namespace heatherdeck

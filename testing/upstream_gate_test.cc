// Guards admission at the upstream's own node: more requests than slots at the upstream, an urgent request behind
// others, a request held although it must come too late, and slots that stay reserved.
#include "traffic/upstream_gate.h"

#include <random>

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};

gate_request request(std::uint64_t id, std::uint32_t rank = 2, milliseconds objective = 1000ms) {
  return {id, "lookup", rank, start + objective};
}

// Fills both slots of a gate whose upstream takes 100 ms for a request.
upstream_gate busy_gate() {
  upstream_gate gate;
  gate.set_slots(2);
  EXPECT_EQ(gate.arrive(start, request(900)), gate_verdict::run);
  gate.leave("lookup", 100ms);
  EXPECT_EQ(gate.arrive(start, request(901)), gate_verdict::run);
  EXPECT_EQ(gate.arrive(start, request(902)), gate_verdict::run);
  return gate;
}

TEST(upstream_gate, gives_the_upstream_no_more_than_its_slots) {
  upstream_gate gate = busy_gate();
  EXPECT_EQ(gate.arrive(start, request(1)), gate_verdict::wait);
  EXPECT_TRUE(gate.take_ready().empty());
  gate.leave("lookup", 100ms);
  EXPECT_EQ(gate.take_ready(), std::vector<std::uint64_t>{1});
  EXPECT_EQ(gate.running(), 2U);
}

TEST(upstream_gate, urgent_requests_and_earlier_objectives_go_first) {
  upstream_gate gate = busy_gate();
  EXPECT_EQ(gate.arrive(start, request(1, 2, 900ms)), gate_verdict::wait);
  EXPECT_EQ(gate.arrive(start, request(2, 2, 800ms)), gate_verdict::wait);
  EXPECT_EQ(gate.arrive(start, request(3, 1, 950ms)), gate_verdict::wait);
  gate.leave("lookup", 100ms);
  gate.leave("lookup", 100ms);
  EXPECT_EQ(gate.take_ready(), (std::vector<std::uint64_t>{3, 2}));
}

// One of two slots is free after 50 ms on average, and the run takes 100 ms.
TEST(upstream_gate, refuses_at_once_what_would_come_too_late) {
  upstream_gate gate = busy_gate();
  EXPECT_EQ(gate.arrive(start, request(1, 2, 140ms)), gate_verdict::refuse);
  EXPECT_EQ(gate.arrive(start, request(2, 2, 160ms)), gate_verdict::wait);
  EXPECT_GE(gate.retry_after(), 50ms);
}

// Under an overload the queue stands at the edge of what is admitted; a bare mean lets half of those come too late.
TEST(upstream_gate, admits_with_a_margin_for_the_spread_of_service_times) {
  upstream_gate gate;
  gate.set_slots(1);
  for (int i = 0; i < 200; ++i) {
    EXPECT_EQ(gate.arrive(start, request(900)), gate_verdict::run);
    gate.leave("lookup", i % 2 == 0 ? 60ms : 140ms);
  }
  EXPECT_EQ(gate.arrive(start, request(900)), gate_verdict::run);
  // 100 ms until the slot is free, a run of 100 ms on average and of 140 ms at times.
  EXPECT_EQ(gate.arrive(start, request(1, 2, 225ms)), gate_verdict::refuse);
  EXPECT_EQ(gate.arrive(start, request(2, 2, 290ms)), gate_verdict::wait);
}

TEST(upstream_gate, refuses_what_its_caller_cannot_wait_for) {
  upstream_gate gate = busy_gate();
  gate.leave("lookup", 100ms);
  gate_request hopeless = request(1);
  hopeless.deadline = start + 60ms;
  EXPECT_EQ(gate.arrive(start, hopeless), gate_verdict::refuse) << "a slot is free, but a run takes 100 ms";
  hopeless.deadline = start + 110ms;
  EXPECT_EQ(gate.arrive(start, hopeless), gate_verdict::run);
}

TEST(upstream_gate, gives_up_a_waiting_request_that_was_overtaken_too_long) {
  upstream_gate gate = busy_gate();
  EXPECT_EQ(gate.arrive(start, request(1, 2, 300ms)), gate_verdict::wait);
  EXPECT_TRUE(gate.take_expired(start + 150ms).empty());
  EXPECT_EQ(gate.take_expired(start + 210ms), std::vector<std::uint64_t>{1});
  EXPECT_EQ(gate.waiting(), 0U);
}

TEST(upstream_gate, queue_is_bounded) {
  upstream_gate gate = busy_gate();
  std::size_t waiting = 0;
  for (std::uint64_t id = 1; id < 100; ++id) {
    waiting += gate.arrive(start, request(id, 2, 3'600'000ms)) == gate_verdict::wait ? 1 : 0;
  }
  EXPECT_EQ(waiting, 2 * upstream_gate::waiting_per_slot);
}

TEST(upstream_gate, withdrawn_requests_never_become_ready) {
  upstream_gate gate = busy_gate();
  EXPECT_EQ(gate.arrive(start, request(1)), gate_verdict::wait);
  gate.withdraw(1);
  gate.leave("lookup", 100ms);
  EXPECT_TRUE(gate.take_ready().empty());
  EXPECT_EQ(gate.running(), 1U);
}

// Random arrivals, ends and withdrawals: the slots are never exceeded, and each request is named at most once.
TEST(upstream_gate, keeps_its_count_under_random_events) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    upstream_gate gate;
    gate.set_slots(4);
    time_point now = start;
    std::uint32_t running = 0;
    std::size_t waiting = 0;
    for (std::uint64_t id = 1; id <= 2000; ++id) {
      now += milliseconds(random() % 20);
      const gate_request next{id, random() % 2 == 0 ? "a" : "b", static_cast<std::uint32_t>(random() % 3),
                              now + milliseconds(random() % 400)};
      const gate_verdict verdict = gate.arrive(now, next);
      if (verdict == gate_verdict::run) ++running;
      if (verdict == gate_verdict::wait) ++waiting;
      if (running > 0 && random() % 3 != 0) {
        gate.leave("a", milliseconds(1 + random() % 80));
        --running;
      }
      waiting -= gate.take_expired(now).size();
      const std::size_t ready = gate.take_ready().size();
      waiting -= ready;
      running += static_cast<std::uint32_t>(ready);
      ASSERT_EQ(gate.running(), running) << "seed " << seed;
      ASSERT_EQ(gate.waiting(), waiting) << "seed " << seed;
      ASSERT_LE(running, 4U) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace heatherdeck

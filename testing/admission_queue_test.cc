// Tests of admission at the node on the upstream's host. Guards against: more requests at the upstream than it has
// slots, an urgent request queued behind others, a request kept although it can no longer be in time, and leaked slots.
#include "traffic/admission_queue.h"

#include <random>

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};

admission_request request(std::uint64_t id, std::uint32_t priority = 2, milliseconds objective = 1000ms) {
  return {id, "lookup", priority, start + objective};
}

// Returns a queue whose two slots are taken and whose upstream takes 100 ms for a request.
admission_queue busy_queue() {
  admission_queue queue;
  queue.set_slots(2);
  EXPECT_EQ(queue.admit(start, request(900)), admission_decision::run);
  queue.release("lookup", 100ms);
  EXPECT_EQ(queue.admit(start, request(901)), admission_decision::run);
  EXPECT_EQ(queue.admit(start, request(902)), admission_decision::run);
  return queue;
}

TEST(admission_queue, gives_the_upstream_no_more_than_its_slots) {
  admission_queue queue = busy_queue();
  EXPECT_EQ(queue.admit(start, request(1)), admission_decision::wait);
  EXPECT_TRUE(queue.take_ready(start).empty());
  queue.release("lookup", 100ms);
  EXPECT_EQ(queue.take_ready(start), std::vector<std::uint64_t>{1});
  EXPECT_EQ(queue.running(), 2U);
}

TEST(admission_queue, urgent_requests_and_earlier_objectives_go_first) {
  admission_queue queue = busy_queue();
  EXPECT_EQ(queue.admit(start, request(1, 2, 900ms)), admission_decision::wait);
  EXPECT_EQ(queue.admit(start, request(2, 2, 800ms)), admission_decision::wait);
  EXPECT_EQ(queue.admit(start, request(3, 1, 950ms)), admission_decision::wait);
  queue.release("lookup", 100ms);
  queue.release("lookup", 100ms);
  EXPECT_EQ(queue.take_ready(start), (std::vector<std::uint64_t>{3, 2}));
}

// One of the two slots becomes free after 50 ms on average, and the run takes 100 ms.
TEST(admission_queue, refuses_at_once_a_request_that_would_miss_its_objective) {
  admission_queue queue = busy_queue();
  EXPECT_EQ(queue.admit(start, request(1, 2, 140ms)), admission_decision::refuse);
  EXPECT_EQ(queue.admit(start, request(2, 2, 270ms)), admission_decision::wait);
  EXPECT_GE(queue.retry_after(start), 50ms);
}

// Under lasting overload the queue was as long as the objectives allowed: every answer came just before its objective,
// a fifth of them after it, and a refusal came too late for another upstream to answer in time.
TEST(admission_queue, a_request_may_spend_only_a_part_of_its_slack_in_the_queue) {
  admission_queue queue = busy_queue();
  // The slack is what is left of the objective after a run of 100 ms; 50 ms in the queue are 0.3 of 167 ms.
  EXPECT_EQ(queue.admit(start, request(1, 2, 260ms)), admission_decision::refuse);
  EXPECT_EQ(queue.admit(start, request(2, 2, 270ms)), admission_decision::wait);
  EXPECT_EQ(queue.admit(start, request(3, 2, 270ms)), admission_decision::refuse) << "one more is ahead of it";
}

// Under overload the queue is as long as admission allows. If admission used the mean service time without a margin,
// half of the requests would miss their objective.
TEST(admission_queue, admits_with_a_margin_for_the_spread_of_service_times) {
  admission_queue queue;
  queue.set_slots(1);
  for (int i = 0; i < 200; ++i) {
    EXPECT_EQ(queue.admit(start, request(900)), admission_decision::run);
    queue.release("lookup", i % 2 == 0 ? 60ms : 140ms);
  }
  EXPECT_EQ(queue.admit(start, request(900)), admission_decision::run);
  // 100 ms until the slot is free, then a run of 100 ms on average and up to 140 ms.
  EXPECT_EQ(queue.admit(start, request(1, 2, 225ms)), admission_decision::refuse);
  EXPECT_EQ(queue.admit(start, request(2, 2, 460ms)), admission_decision::wait);
  EXPECT_TRUE(queue.take_expired(start + 300ms).empty()) << "a run of 140 ms would still be in time";
  EXPECT_EQ(queue.take_expired(start + 330ms), std::vector<std::uint64_t>{2});
}

// After a power failure all callers came at once to upstreams that had not answered anything yet. Without an estimate
// the queue took eight requests for each slot, and nearly all of them were answered late or refused after their
// objective.
TEST(admission_queue, bounds_the_queue_before_the_first_answer) {
  admission_queue queue;
  queue.set_slots(2);
  int waiting = 0;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    admission_request next = request(id, 2, 300ms);
    next.assumed_service_time = 100ms;
    waiting += queue.admit(start, next) == admission_decision::wait ? 1 : 0;
  }
  // 50 ms until a slot is free fit into 0.3 of the slack of 200 ms, 100 ms for the next one do not.
  EXPECT_EQ(waiting, 1);
  queue.release("lookup", 10ms);
  queue.release("lookup", 10ms);
  EXPECT_EQ(queue.take_ready(start).size(), 1U);
  EXPECT_EQ(queue.admit(start, request(60, 2, 300ms)), admission_decision::run);
  EXPECT_EQ(queue.admit(start, request(61, 2, 300ms)), admission_decision::wait) << "the measured time counts now";
}

TEST(admission_queue, refuses_a_request_whose_caller_would_give_up_before_the_response) {
  admission_queue queue = busy_queue();
  queue.release("lookup", 100ms);
  admission_request short_deadline = request(1);
  short_deadline.deadline = start + 60ms;
  EXPECT_EQ(queue.admit(start, short_deadline), admission_decision::refuse) << "a slot is free, but a run takes 100 ms";
  short_deadline.deadline = start + 110ms;
  EXPECT_EQ(queue.admit(start, short_deadline), admission_decision::run);
}

TEST(admission_queue, expires_a_waiting_request_that_can_no_longer_meet_its_objective) {
  admission_queue queue = busy_queue();
  EXPECT_EQ(queue.admit(start, request(1, 2, 300ms)), admission_decision::wait);
  EXPECT_TRUE(queue.take_expired(start + 150ms).empty());
  EXPECT_EQ(queue.take_expired(start + 210ms), std::vector<std::uint64_t>{1});
  EXPECT_EQ(queue.waiting(), 0U);
}

TEST(admission_queue, queue_is_bounded) {
  admission_queue queue = busy_queue();
  std::size_t waiting = 0;
  for (std::uint64_t id = 1; id < 100; ++id) {
    waiting += queue.admit(start, request(id, 2, 3'600'000ms)) == admission_decision::wait ? 1 : 0;
  }
  EXPECT_EQ(waiting, 2 * admission_queue::max_waiting_per_slot);
}

TEST(admission_queue, cancelled_requests_never_become_ready) {
  admission_queue queue = busy_queue();
  EXPECT_EQ(queue.admit(start, request(1)), admission_decision::wait);
  queue.cancel(1);
  queue.release("lookup", 100ms);
  EXPECT_TRUE(queue.take_ready(start).empty());
  EXPECT_EQ(queue.running(), 1U);
}

// Random arrivals, releases and expiries: the slots are never exceeded, and the counts match those of the requests
// returned.
TEST(admission_queue, keeps_its_counts_under_random_events) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    admission_queue queue;
    queue.set_slots(4);
    time_point now = start;
    std::uint32_t running = 0;
    std::size_t waiting = 0;
    for (std::uint64_t id = 1; id <= 2000; ++id) {
      now += milliseconds(random() % 20);
      const admission_request next{id, random() % 2 == 0 ? "a" : "b", static_cast<std::uint32_t>(random() % 3),
                                   now + milliseconds(random() % 400)};
      const admission_decision decision = queue.admit(now, next);
      if (decision == admission_decision::run) ++running;
      if (decision == admission_decision::wait) ++waiting;
      if (running > 0 && random() % 3 != 0) {
        queue.release("a", milliseconds(1 + random() % 80));
        --running;
      }
      waiting -= queue.take_expired(now).size();
      const std::size_t ready = queue.take_ready(now).size();
      waiting -= ready;
      running += static_cast<std::uint32_t>(ready);
      ASSERT_EQ(queue.running(), running) << "seed " << seed;
      ASSERT_EQ(queue.waiting(), waiting) << "seed " << seed;
      ASSERT_LE(running, 4U) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace heatherdeck

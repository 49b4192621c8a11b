// Guards against a rate limit that lets more requests start than stated after idle periods or changes, that keeps
// requests waiting although they may start, or that can never be found to be lifted.
#include "traffic/rate_limiter.h"

#include <random>

#include <gtest/gtest.h>

#include "traffic/admission_queue.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr time_point start = time_point{} + 1h;

TEST(rate_limiter, starts_no_more_than_the_rate_and_one_burst_in_any_period) {
  constexpr double rate = 57.8;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    rate_limiter limiter;
    limiter.set_rate(rate, start);
    std::vector<time_point> starts;
    time_point now = start;
    for (int i = 0; i < 20'000; ++i) {
      // Callers come in bursts with pauses, and the upstream repeats its statement.
      now += random() % 100 == 0 ? 2s : std::chrono::microseconds(random() % 9'000);
      if (random() % 50 == 0) limiter.set_rate(rate, now);
      if (limiter.try_start(now)) starts.push_back(now);
    }
    for (std::size_t first = 0, last = 0; last < starts.size(); ++last) {
      while (starts[last] - starts[first] >= 1s) ++first;
      ASSERT_LE(static_cast<double>(last - first + 1), rate * 1.25 + 1) << "seed " << seed;
    }
    EXPECT_GT(starts.size(), 1000U);
  }
}

// A limit that is set in the middle of traffic comes after as many requests as there was traffic for.
TEST(rate_limiter, second_in_which_a_limit_is_set_stays_within_its_bound) {
  constexpr double rate = 20;
  for (int before = 0; before <= 60; before += 5) {
    rate_limiter limiter;
    time_point now = start;
    std::vector<time_point> starts;
    for (int i = 0; i < before; ++i, now += 10ms) {
      if (limiter.try_start(now)) starts.push_back(now);
    }
    limiter.set_rate(rate, now);
    limiter.charge_recent_starts(now);
    const time_point limited_at = now;
    for (; now < limited_at + 3s; now += 1ms) {
      if (limiter.try_start(now)) starts.push_back(now);
    }
    for (std::size_t first = 0, last = 0; last < starts.size(); ++last) {
      while (starts[last] - starts[first] >= 1s) ++first;
      if (starts[last] < limited_at) continue;
      ASSERT_LE(last - first + 1, std::max(before, 32)) << before << " requests before";
    }
    EXPECT_GE(starts.size(), static_cast<std::size_t>(before) + 40) << "the pause is a second at most";
  }
}

TEST(rate_limiter, request_may_start_once_the_stated_time_has_passed) {
  for (const double rate : {0.5, 3.0, 27.8, 999.9}) {
    rate_limiter limiter;
    limiter.set_rate(rate, start);
    time_point now = start;
    for (int i = 0; i < 1000; ++i) {
      const duration wait = limiter.time_until(now, 1);
      if (wait > 1us) {
        EXPECT_FALSE(limiter.try_start(now + wait / 2)) << rate;
      }
      now += wait;
      ASSERT_TRUE(limiter.try_start(now)) << rate;
    }
    const double seconds = std::chrono::duration<double>(now - start).count();
    EXPECT_NEAR(999 / seconds, rate, rate / 100) << "requests that are always there get the whole rate";
  }
}

// A node learns that a limit is lifted from a response only, so a limit of zero must let some request through.
TEST(rate_limiter, limit_of_zero_lets_a_request_through_now_and_then) {
  rate_limiter limiter;
  limiter.set_rate(0.0, start);
  EXPECT_TRUE(limiter.try_start(start));
  EXPECT_FALSE(limiter.try_start(start + 1s));
  EXPECT_TRUE(limiter.try_start(start + 2s));
  limiter.set_rate(std::nullopt, start + 2s);
  EXPECT_TRUE(limiter.try_start(start + 2s));
  EXPECT_EQ(limiter.time_until(start + 2s, 100), duration::zero());
}

// Without a time of the next start a request would wait for the next message of any other request.
TEST(admission_queue, request_that_waits_for_the_rate_limit_has_a_start_time) {
  admission_queue queue;
  queue.set_slots(4);
  queue.set_rate_limit(10, start);
  const admission_request request{1, "lookup", 1, start + 2s};
  EXPECT_EQ(queue.admit(start, request), admission_decision::run);
  EXPECT_EQ(queue.admit(start, {2, "lookup", 1, start + 2s}), admission_decision::wait);
  EXPECT_EQ(queue.next_start(start), start + 100ms);
  EXPECT_TRUE(queue.take_ready(start + 99ms).empty());
  EXPECT_EQ(queue.take_ready(start + 100ms), std::vector<std::uint64_t>{2});
  EXPECT_EQ(queue.next_start(start + 100ms), std::nullopt);
}

// It is known that the tenth request in the queue cannot start before its caller's objective has passed.
TEST(admission_queue, request_that_the_rate_limit_makes_late_is_refused_at_once) {
  admission_queue queue;
  queue.set_slots(4);
  queue.set_rate_limit(10, start);
  EXPECT_EQ(queue.admit(start, {1, "lookup", 1, start + 2s}), admission_decision::run);
  std::uint64_t waiting = 0;
  for (std::uint64_t id = 2; id <= 20; ++id) {
    if (queue.admit(start, {id, "lookup", 1, start + 900ms}) == admission_decision::wait) ++waiting;
  }
  EXPECT_GT(waiting, 0U);
  EXPECT_LT(waiting, 9U);
  EXPECT_GE(queue.retry_after(start), 100ms * waiting);
}

}  // namespace
}  // namespace heatherdeck

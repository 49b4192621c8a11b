// Tests the order, the concurrency and the bounds of pipelined requests without a network.
#include "node/pipeline_core.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

#include "node/arrival_times.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr pipeline_core::request_kind repeatable{.repeatable = true};

TEST(pipeline_core, runs_at_most_eight_requests) {
  pipeline_core core;
  for (std::size_t i = 0; i < max_pipelined; ++i) {
    ASSERT_TRUE(core.may_begin());
    core.begin(repeatable);
  }
  EXPECT_FALSE(core.may_begin());
  core.open(core.front());
  core.end(core.front(), true);
  EXPECT_TRUE(core.pop());
  EXPECT_TRUE(core.may_begin());
}

// A request that may not be repeated would run although a response ahead of it closes the connection.
TEST(pipeline_core, request_that_is_not_repeatable_runs_alone) {
  pipeline_core core;
  core.begin(repeatable);
  core.block();
  EXPECT_FALSE(core.may_begin());
  core.open(0);
  core.end(0, true);
  EXPECT_TRUE(core.pop());
  EXPECT_FALSE(core.may_begin()) << "it is still the next one";
  core.begin({});
  EXPECT_FALSE(core.may_begin()) << "nothing begins behind it";
}

TEST(pipeline_core, nothing_begins_behind_the_last_request_or_a_closing_response) {
  pipeline_core last;
  last.begin({.repeatable = true, .last = true});
  EXPECT_FALSE(last.may_begin());
  last.open(0);
  last.end(0, true);
  EXPECT_FALSE(last.pop());
  pipeline_core closing;
  closing.begin(repeatable);
  closing.begin(repeatable);
  closing.open(0);
  closing.end(1, true);
  closing.end(0, false);
  EXPECT_FALSE(closing.pop());
  EXPECT_FALSE(closing.may_begin());
  EXPECT_EQ(closing.size(), 1U) << "the session cancels what remains";
}

TEST(pipeline_core, held_responses_are_bounded) {
  pipeline_core core;
  for (int i = 0; i < 6; ++i) core.begin(repeatable);
  EXPECT_FALSE(core.may_hold(1, max_held_response + 1));
  for (std::uint64_t id = 1; id < 5; ++id) {
    EXPECT_TRUE(core.may_hold(id, max_held_response));
    core.hold(id, max_held_response);
    EXPECT_FALSE(core.may_hold(id, 1));
  }
  EXPECT_EQ(core.held_bytes(), max_held_total);
  EXPECT_FALSE(core.may_hold(5, 1));
  EXPECT_FALSE(core.may_begin()) << "no further request is read";
  core.open(0);
  EXPECT_FALSE(core.may_hold(0, 1)) << "the response at the front is written, not held";
  core.release(3);
  EXPECT_TRUE(core.may_hold(5, max_held_response));
  EXPECT_TRUE(core.may_begin());
}

/// Random requests, ends and sizes; checks what a caller and an upstream would see.
void play(unsigned seed) {
  std::mt19937 random(seed);
  pipeline_core core;
  std::map<std::uint64_t, pipeline_core::request_kind> kinds;
  std::map<std::uint64_t, std::size_t> held;
  std::uint64_t delivered = 0;
  bool closed = false;
  for (int step = 0; step < 400 && !closed; ++step) {
    const std::uint64_t newest = core.front() + core.size();
    const pipeline_core::request_kind kind{.repeatable = random() % 8 != 0, .last = random() % 64 == 0};
    switch (random() % 4) {
      case 0:
        if (!kind.repeatable && !core.empty() && core.may_begin()) core.block();
        if (core.empty() || (kind.repeatable && core.may_begin())) {
          for (std::uint64_t id = core.front(); id != newest; ++id) {
            ASSERT_TRUE(kinds[id].repeatable && kind.repeatable);
            ASSERT_FALSE(kinds[id].last);
          }
          ASSERT_EQ(core.begin(kind), newest);
          kinds[newest] = kind;
        }
        break;
      case 1: {
        if (core.empty()) break;
        const std::uint64_t id = core.front() + random() % core.size();
        const std::size_t bytes = random() % (max_held_response / 2);
        if (core.ended(id) || !core.may_hold(id, bytes)) break;
        ASSERT_FALSE(core.is_open(id));
        core.hold(id, bytes);
        held[id] += bytes;
        ASSERT_LE(held[id], max_held_response);
        break;
      }
      case 2:
        if (!core.empty()) core.end(core.front() + random() % core.size(), random() % 128 != 0);
        break;
      default:
        if (core.empty()) break;
        if (!core.is_open(core.front())) {
          core.open(core.front());
          held.erase(core.front());
        } else if (core.ended(core.front())) {
          ASSERT_EQ(core.front(), delivered++);
          closed = !core.pop();
        }
    }
    std::size_t total = 0;
    for (const auto& [id, bytes] : held) total += bytes;
    ASSERT_EQ(core.held_bytes(), total);
    ASSERT_LE(total, max_held_total);
    ASSERT_LE(core.size(), max_pipelined);
    for (std::uint64_t id = core.front() + 1; id < core.front() + core.size(); ++id) ASSERT_FALSE(core.is_open(id));
  }
  EXPECT_TRUE(!closed || !core.may_begin());
}

TEST(pipeline_core, keeps_order_and_bounds_at_random) {
  for (unsigned seed = 0; seed < 2000; ++seed) {
    SCOPED_TRACE(seed);
    play(seed);
    if (HasFatalFailure()) return;
  }
}

// The deadline of a request would count anew from the time at which it is taken from the buffer.
TEST(arrival_times, tells_when_each_byte_arrived) {
  const time_point start{};
  arrival_times arrivals;
  arrivals.resize(100, start);
  arrivals.resize(150, start + 1s);
  EXPECT_EQ(arrivals.of(99), start);
  EXPECT_EQ(arrivals.of(100), start + 1s);
  arrivals.resize(40, start + 2s);
  EXPECT_EQ(arrivals.of(0), start + 1s);
  arrivals.resize(0, start + 2s);
  arrivals.resize(10, start + 3s);
  EXPECT_EQ(arrivals.of(9), start + 3s);
}

}  // namespace
}  // namespace heatherdeck

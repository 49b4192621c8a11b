// Guards "at most once" and "not run": two cores in a row (the caller's node and the upstream's node) meet every
// failure at every step, and a counting upstream says what really ran, also late and also when its answer was lost.
#include "node/exchange_core.h"

#include <random>
#include <set>
#include <tuple>

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

enum class step { connect, send_head, send_body, await_answer, stream_answer };
constexpr auto steps =
    std::to_array({step::connect, step::send_head, step::send_body, step::await_answer, step::stream_answer});
constexpr auto connection_failures =
    std::to_array({exchange_failure::refused, exchange_failure::reset, exchange_failure::closed,
                   exchange_failure::timeout, exchange_failure::cancelled, exchange_failure::bad_answer});
constexpr auto stream_failures =
    std::to_array({exchange_failure::refused, exchange_failure::reset, exchange_failure::closed,
                   exchange_failure::timeout, exchange_failure::cancelled, exchange_failure::bad_answer,
                   exchange_failure::refused_stream, exchange_failure::going_away});

// What the caller of a node gets: an answer with a claim, or nothing whole.
struct node_answer {
  bool whole = true;
  unsigned status = 200;
  run_claim claim = run_claim::none;
};

class two_hop_call {
 public:
  two_hop_call(std::uint32_t seed, bool idempotent) : random_(seed), idempotent_(idempotent) {}

  node_answer run(exchange_limits limits) {
    exchange_core core(limits, now_);
    if (const auto reason = core.admit(now_)) return from(core.refuse(*reason));
    while (true) {
      if (core.attempts() > 0 && chance(5)) return from(core.refuse(refusal_reason::retry_budget));
      if (core.attempts() == 0 && chance(30)) return from(core.refuse(refusal_reason::overloaded));
      core.begin_attempt(idempotent_, 1000ms, now_);
      ++attempts_[limits.from_peer];
      const exchange_decision decision = limits.from_peer || chance(3) ? try_upstream(core) : try_peer(core);
      if (decision.action != next_action::retry) return from(decision);
    }
  }

  int runs() const { return runs_; }
  std::set<std::tuple<bool, step, exchange_failure>> met;

 private:
  bool chance(int one_in) { return random_() % static_cast<unsigned>(one_in) == 0; }
  template <class Table>
  auto any(const Table& table) {
    return table[random_() % table.size()];
  }
  static node_answer from(const exchange_decision& decision) {
    return {decision.action != next_action::cut, decision.status, decision.claim};
  }
  exchange_decision failed(exchange_core& core, exchange_failure failure) {
    if (failure == exchange_failure::timeout) now_ += 1001ms;
    return core.fail(failure, now_, !chance(4));
  }

  // The upstream on the node's own host. An upstream may run a request of which it has only the head, and may run it
  // after the node has given up.
  exchange_decision try_upstream(exchange_core& core) {
    const bool fails = chance(2);
    const step at = any(steps);
    const exchange_failure failure = any(connection_failures);
    if (fails) met.emplace(false, at, failure);
    if (fails && at == step::connect) return failed(core, failure);
    if (!core.may_send(now_)) return failed(core, exchange_failure::timeout);
    core.mark_sent();
    // "refused" after the connection was made: the first write failed before the kernel took a byte.
    if (fails && failure == exchange_failure::refused) return failed(core, failure);
    if (fails && at != step::stream_answer) {
      runs_ += chance(2) ? 1 : 0;
      return failed(core, failure);
    }
    ++runs_;
    const unsigned status = any(std::to_array({200U, 200U, 404U, 500U, 503U, 504U}));
    exchange_decision decision = core.judge_answer(status, run_claim::none, now_, !chance(4));
    if (decision.action == next_action::relay) core.mark_answered();
    return fails && decision.action == next_action::relay ? failed(core, failure) : decision;
  }

  // Another node, which decides by a core of its own.
  exchange_decision try_peer(exchange_core& core) {
    const bool fails = chance(2);
    const step at = any(steps);
    const exchange_failure failure = any(stream_failures);
    if (fails) met.emplace(true, at, failure);
    if (fails && at == step::connect && failure == exchange_failure::refused) return failed(core, failure);
    core.mark_sent();
    const bool unprocessed = failure == exchange_failure::refused_stream || failure == exchange_failure::going_away ||
                             failure == exchange_failure::refused;
    if (fails && unprocessed && at != step::stream_answer) return failed(core, failure);
    exchange_limits onward = core.forwarded(now_);
    onward.from_peer = true;
    if (fails && at != step::stream_answer) {
      const time_point before = now_;
      if (chance(2)) (void)run(onward);  // the next node works on it although its answer is lost
      now_ = before;
      return failed(core, failure);
    }
    const node_answer answer = run(onward);
    if (!answer.whole) {
      if (!chance(2)) return failed(core, exchange_failure::reset);
      core.mark_answered();
      return failed(core, exchange_failure::closed);
    }
    exchange_decision decision = core.judge_answer(answer.status, answer.claim, now_, !chance(4));
    if (decision.action != next_action::relay) return decision;
    core.mark_answered();
    return fails ? failed(core, failure) : decision;
  }

  std::mt19937 random_;
  bool idempotent_;
  time_point now_{};
  int runs_ = 0;
  int attempts_[2] = {0, 0};
};

// A booking that runs twice bills twice; a "not run" that is false makes the caller book again.
TEST(exchange_core, two_hops_never_run_twice_and_never_claim_a_false_not_run) {
  constexpr std::uint32_t first_seed = 20'260'131;
  constexpr std::uint32_t cases = 60'000;
  int claims_of_not_run = 0;
  int retried = 0;
  std::set<std::tuple<bool, step, exchange_failure>> met;
  for (std::uint32_t seed = first_seed; seed < first_seed + cases; ++seed) {
    const bool idempotent = seed % 3 == 0;
    two_hop_call call(seed, idempotent);
    const node_answer answer = call.run({.deadline = 3000ms});
    met.merge(call.met);
    if (idempotent) {
      ASSERT_LE(call.runs(), 2) << "seed " << seed << ": more runs than one retry allows";
    } else {
      ASSERT_LE(call.runs(), 1) << "seed " << seed;
    }
    if (answer.claim == run_claim::not_run) {
      ASSERT_EQ(call.runs(), 0) << "seed " << seed;
    }
    claims_of_not_run += answer.claim == run_claim::not_run ? 1 : 0;
    retried += call.runs() == 2 ? 1 : 0;
  }
  // Every pair of step and failure was met at both hops, and both kinds of ending occurred often.
  EXPECT_EQ(met.size(), steps.size() * (connection_failures.size() + stream_failures.size()));
  EXPECT_GT(claims_of_not_run, 1'000);
  EXPECT_GT(retried, 500);
}

// The exact table for a single attempt: what is claimed and whether it may be sent again.
TEST(exchange_core, every_failure_in_every_state_follows_the_rules) {
  for (const auto& entry : enum_table<exchange_failure>::entries) {
    for (const auto& state : enum_table<run_state>::entries) {
      for (const bool idempotent : {false, true}) {
        for (const bool replayable : {false, true}) {
          exchange_core core({}, time_point{});
          core.begin_attempt(idempotent, 1000ms, time_point{});
          if (state.value != run_state::not_sent) core.mark_sent();
          if (state.value == run_state::answered) core.mark_answered();
          const exchange_decision got = core.fail(entry.value, time_point{} + 1ms, replayable);
          const bool proof =
              entry.value == exchange_failure::refused || entry.value == exchange_failure::not_run_answer ||
              entry.value == exchange_failure::refused_stream || entry.value == exchange_failure::going_away;
          if (state.value == run_state::answered) {
            EXPECT_EQ(got.action, next_action::cut) << entry.name;
            continue;
          }
          const bool not_run = proof || state.value == run_state::not_sent;
          EXPECT_EQ(got.claim, not_run ? run_claim::not_run : run_claim::unknown) << entry.name << " " << state.name;
          const bool again = replayable && (not_run || idempotent) && entry.value != exchange_failure::cancelled;
          EXPECT_EQ(got.action == next_action::retry, again) << entry.name << " " << state.name;
        }
      }
    }
  }
}

// A retry budget that each hop renews multiplies load over nine hops.
TEST(exchange_core, retries_and_hops_are_spent_along_the_path) {
  exchange_core core({.hops_left = 2, .retries_left = 1}, time_point{});
  core.begin_attempt(true, 1000ms, time_point{});
  core.mark_sent();
  EXPECT_EQ(core.forwarded(time_point{}).retries_left, 1U);
  EXPECT_EQ(core.forwarded(time_point{}).hops_left, 1U);
  EXPECT_EQ(core.fail(exchange_failure::reset, time_point{}, true).action, next_action::retry);
  core.begin_attempt(true, 1000ms, time_point{});
  core.mark_sent();
  EXPECT_EQ(core.forwarded(time_point{}).retries_left, 0U);
  EXPECT_EQ(core.fail(exchange_failure::reset, time_point{}, true).action, next_action::answer);
  EXPECT_EQ(exchange_core({.hops_left = 0}, time_point{}).admit(time_point{}), refusal_reason::hops);
}

// An earlier attempt that may have run must not be forgotten when the retry is refused.
TEST(exchange_core, refused_retry_keeps_the_unknown_outcome) {
  exchange_core core({}, time_point{});
  core.begin_attempt(true, 1000ms, time_point{});
  core.mark_sent();
  EXPECT_EQ(core.fail(exchange_failure::reset, time_point{}, true).action, next_action::retry);
  const exchange_decision refused = core.refuse(refusal_reason::retry_budget);
  EXPECT_EQ(refused.claim, run_claim::unknown);
  EXPECT_EQ(refused.status, 502U);
}

// A process that was frozen past the deadline must not start the work when it continues.
TEST(exchange_core, deadline_stops_the_start_and_shrinks_at_each_hop) {
  exchange_core core({.deadline = 800ms}, time_point{});
  EXPECT_FALSE(core.admit(time_point{} + 799ms));
  EXPECT_EQ(core.admit(time_point{} + 800ms), refusal_reason::deadline);
  core.begin_attempt(false, 5000ms, time_point{} + 100ms);
  EXPECT_EQ(core.forwarded(time_point{} + 300ms).deadline, 500ms);
  EXPECT_FALSE(core.may_send(time_point{} + 801ms));
  const exchange_decision late = core.fail(exchange_failure::timeout, time_point{} + 801ms, true);
  EXPECT_EQ(late.action, next_action::answer);
  EXPECT_EQ(late.claim, run_claim::not_run);
  EXPECT_EQ(late.status, 504U);
}

}  // namespace
}  // namespace heatherdeck

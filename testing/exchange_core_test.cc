// Tests at-most-once execution and the "not-run" statement: two cores in sequence (the caller's node and the upstream's
// node) face every failure at every step. A simulated upstream counts real executions, including late ones and ones
// whose response was lost.
#include "node/exchange_core.h"

#include <random>
#include <set>
#include <tuple>

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

enum class step { connect, send_head, send_body, await_response, stream_response };
constexpr auto steps =
    std::to_array({step::connect, step::send_head, step::send_body, step::await_response, step::stream_response});
constexpr auto connection_failures =
    std::to_array({attempt_failure::connect_failed, attempt_failure::reset, attempt_failure::closed,
                   attempt_failure::timeout, attempt_failure::cancelled, attempt_failure::invalid_response});
constexpr auto stream_failures =
    std::to_array({attempt_failure::connect_failed, attempt_failure::reset, attempt_failure::closed,
                   attempt_failure::timeout, attempt_failure::cancelled, attempt_failure::invalid_response,
                   attempt_failure::refused_stream, attempt_failure::going_away});

// What a node returns to its caller: a complete response with an execution status, or an incomplete one.
struct node_response {
  bool complete = true;
  unsigned status = 200;
  execution_status execution = execution_status::none;
};

class two_hop_call {
 public:
  two_hop_call(std::uint32_t seed, bool idempotent) : random_(seed), idempotent_(idempotent) {}

  node_response run(exchange_limits limits) {
    exchange_core core(limits, now_);
    if (const auto reason = core.admit(now_)) return from(core.decide_after_refusal(*reason));
    while (true) {
      if (core.attempts() > 0 && chance(5)) return from(core.decide_after_refusal(refusal_reason::retry_budget));
      if (core.attempts() == 0 && chance(30)) return from(core.decide_after_refusal(refusal_reason::overloaded));
      core.begin_attempt(idempotent_, 1000ms, now_);
      ++attempts_[limits.from_peer];
      const exchange_decision decision = limits.from_peer || chance(3) ? try_upstream(core) : try_peer(core);
      if (decision.action != next_action::retry) return from(decision);
    }
  }

  int runs() const { return runs_; }
  std::set<std::tuple<bool, step, attempt_failure>> observed;

 private:
  bool chance(int one_in) { return random_() % static_cast<unsigned>(one_in) == 0; }
  template <class Table>
  auto any(const Table& table) {
    return table[random_() % table.size()];
  }
  static node_response from(const exchange_decision& decision) {
    return {decision.action != next_action::abort, decision.status, decision.execution};
  }
  exchange_decision failed(exchange_core& core, attempt_failure failure) {
    if (failure == attempt_failure::timeout) now_ += 1001ms;
    return core.decide_after_failure(failure, now_, !chance(4));
  }

  // An attempt at the upstream on the node's own host. An upstream may execute a request after it has received only the
  // head, and even after the node has given up.
  exchange_decision try_upstream(exchange_core& core) {
    const bool fails = chance(2);
    const step at = any(steps);
    const attempt_failure failure = any(connection_failures);
    if (fails) observed.emplace(false, at, failure);
    if (fails && at == step::connect) return failed(core, failure);
    if (!core.may_send(now_)) return failed(core, attempt_failure::timeout);
    core.mark_sent();
    // `connect_failed` after connecting: the first write failed before the kernel accepted a byte.
    if (fails && failure == attempt_failure::connect_failed) return failed(core, failure);
    if (fails && at != step::stream_response) {
      runs_ += chance(2) ? 1 : 0;
      return failed(core, failure);
    }
    ++runs_;
    const unsigned status = any(std::to_array({200U, 200U, 404U, 500U, 503U, 504U}));
    exchange_decision decision = core.decide_after_response(status, execution_status::none, now_, !chance(4));
    if (decision.action == next_action::relay) core.mark_response_started();
    return fails && decision.action == next_action::relay ? failed(core, failure) : decision;
  }

  // An attempt at another node, which decides with a core of its own.
  exchange_decision try_peer(exchange_core& core) {
    const bool fails = chance(2);
    const step at = any(steps);
    const attempt_failure failure = any(stream_failures);
    if (fails) observed.emplace(true, at, failure);
    if (fails && at == step::connect && failure == attempt_failure::connect_failed) return failed(core, failure);
    core.mark_sent();
    const bool not_processed = failure == attempt_failure::refused_stream || failure == attempt_failure::going_away ||
                               failure == attempt_failure::connect_failed;
    if (fails && not_processed && at != step::stream_response) return failed(core, failure);
    exchange_limits next_limits = core.next_hop_limits(now_);
    next_limits.from_peer = true;
    if (fails && at != step::stream_response) {
      const time_point before = now_;
      if (chance(2)) (void)run(next_limits);  // the next node executes it although its response is lost
      now_ = before;
      return failed(core, failure);
    }
    const node_response response = run(next_limits);
    if (!response.complete) {
      if (!chance(2)) return failed(core, attempt_failure::reset);
      core.mark_response_started();
      return failed(core, attempt_failure::closed);
    }
    exchange_decision decision = core.decide_after_response(response.status, response.execution, now_, !chance(4));
    if (decision.action != next_action::relay) return decision;
    core.mark_response_started();
    return fails ? failed(core, failure) : decision;
  }

  std::mt19937 random_;
  bool idempotent_;
  time_point now_{};
  int runs_ = 0;
  int attempts_[2] = {0, 0};
};

// A non-idempotent request (a booking) must not be executed twice, because it would be billed twice. A false "not-run"
// would make the caller repeat it.
TEST(exchange_core, two_hops_never_repeat_unsafe_requests_or_falsely_report_not_executed) {
  constexpr std::uint32_t first_seed = 20'260'131;
  constexpr std::uint32_t cases = 60'000;
  int not_executed_count = 0;
  int retried = 0;
  std::set<std::tuple<bool, step, attempt_failure>> observed;
  for (std::uint32_t seed = first_seed; seed < first_seed + cases; ++seed) {
    const bool idempotent = seed % 3 == 0;
    two_hop_call call(seed, idempotent);
    const node_response response = call.run({.deadline = 3000ms});
    observed.merge(call.observed);
    if (idempotent) {
      ASSERT_LE(call.runs(), 2) << "seed " << seed << ": executed more often than one retry allows";
    } else {
      ASSERT_LE(call.runs(), 1) << "seed " << seed;
    }
    if (response.execution == execution_status::not_executed) {
      ASSERT_EQ(call.runs(), 0) << "seed " << seed;
    }
    not_executed_count += response.execution == execution_status::not_executed ? 1 : 0;
    retried += call.runs() == 2 ? 1 : 0;
  }
  // Every combination of step and failure must have occurred at both hops, and both kinds of result often.
  EXPECT_EQ(observed.size(), steps.size() * (connection_failures.size() + stream_failures.size()));
  EXPECT_GT(not_executed_count, 1'000);
  EXPECT_GT(retried, 500);
}

// The complete decision table of a single attempt: the reported execution status and whether a retry is allowed.
TEST(exchange_core, every_failure_in_every_state_yields_the_expected_decision) {
  for (const auto& entry : enum_table<attempt_failure>::entries) {
    for (const auto& state : enum_table<attempt_state>::entries) {
      for (const bool idempotent : {false, true}) {
        for (const bool replayable : {false, true}) {
          exchange_core core({}, time_point{});
          core.begin_attempt(idempotent, 1000ms, time_point{});
          if (state.value != attempt_state::not_sent) core.mark_sent();
          if (state.value == attempt_state::response_started) core.mark_response_started();
          const exchange_decision got = core.decide_after_failure(entry.value, time_point{} + 1ms, replayable);
          const bool proves_not_executed =
              entry.value == attempt_failure::connect_failed || entry.value == attempt_failure::peer_not_executed ||
              entry.value == attempt_failure::refused_stream || entry.value == attempt_failure::going_away;
          if (state.value == attempt_state::response_started) {
            EXPECT_EQ(got.action, next_action::abort) << entry.name;
            continue;
          }
          const bool not_executed = proves_not_executed || state.value == attempt_state::not_sent;
          EXPECT_EQ(got.execution, not_executed ? execution_status::not_executed : execution_status::unknown)
              << entry.name << " " << state.name;
          const bool retry_allowed =
              replayable && (not_executed || idempotent) && entry.value != attempt_failure::cancelled;
          EXPECT_EQ(got.action == next_action::retry, retry_allowed) << entry.name << " " << state.name;
        }
      }
    }
  }
}

// If each of nine hops had its own retry, retries would multiply the load along the path.
TEST(exchange_core, retry_and_hop_limits_decrease_along_the_path) {
  exchange_core core({.hops_left = 2, .retries_left = 1}, time_point{});
  core.begin_attempt(true, 1000ms, time_point{});
  core.mark_sent();
  EXPECT_EQ(core.next_hop_limits(time_point{}).retries_left, 1U);
  EXPECT_EQ(core.next_hop_limits(time_point{}).hops_left, 1U);
  EXPECT_EQ(core.decide_after_failure(attempt_failure::reset, time_point{}, true).action, next_action::retry);
  core.begin_attempt(true, 1000ms, time_point{});
  core.mark_sent();
  EXPECT_EQ(core.next_hop_limits(time_point{}).retries_left, 0U);
  EXPECT_EQ(core.decide_after_failure(attempt_failure::reset, time_point{}, true).action, next_action::respond);
  EXPECT_EQ(exchange_core({.hops_left = 0}, time_point{}).admit(time_point{}), refusal_reason::hops);
}

// If a retry is rejected, the response must still say that the earlier attempt may have been executed.
TEST(exchange_core, rejected_retry_keeps_the_unknown_outcome) {
  exchange_core core({}, time_point{});
  core.begin_attempt(true, 1000ms, time_point{});
  core.mark_sent();
  EXPECT_EQ(core.decide_after_failure(attempt_failure::reset, time_point{}, true).action, next_action::retry);
  const exchange_decision refused = core.decide_after_refusal(refusal_reason::retry_budget);
  EXPECT_EQ(refused.execution, execution_status::unknown);
  EXPECT_EQ(refused.status, 502U);
}

// 429 states that the account is over its limit; a control host that does not answer states nothing about it.
TEST(exchange_core, only_an_account_over_its_limit_is_answered_429) {
  EXPECT_EQ(status_of(refusal_reason::over_limit), 429U);
  EXPECT_EQ(status_of(refusal_reason::limit_unavailable), 503U);
  EXPECT_EQ(exchange_core({}, time_point{}).decide_after_refusal(refusal_reason::over_limit).execution,
            execution_status::not_executed);
}

// The operators shortened the route's timeout between two attempts; counted from the second one, it ended an exchange
// at a time that neither document had promised.
TEST(exchange_core, later_attempt_keeps_the_time_of_the_first) {
  exchange_core core({}, time_point{});
  core.begin_attempt(true, 5000ms, time_point{});
  core.mark_sent();
  const exchange_decision failed = core.decide_after_failure(attempt_failure::closed, time_point{} + 2s, true);
  ASSERT_EQ(failed.action, next_action::retry);
  core.begin_attempt(true, 1000ms, time_point{} + 2s);
  EXPECT_EQ(core.deadline(), time_point{} + 5s);
}

// A process that was suspended until after the deadline must not send the request when it resumes.
TEST(exchange_core, deadline_prevents_the_start_and_shrinks_at_each_hop) {
  exchange_core core({.deadline = 800ms}, time_point{});
  EXPECT_FALSE(core.admit(time_point{} + 799ms));
  EXPECT_EQ(core.admit(time_point{} + 800ms), refusal_reason::deadline);
  core.begin_attempt(false, 5000ms, time_point{} + 100ms);
  EXPECT_EQ(core.next_hop_limits(time_point{} + 300ms).deadline, 500ms);
  EXPECT_FALSE(core.may_send(time_point{} + 801ms));
  const exchange_decision late = core.decide_after_failure(attempt_failure::timeout, time_point{} + 801ms, true);
  EXPECT_EQ(late.action, next_action::respond);
  EXPECT_EQ(late.execution, execution_status::not_executed);
  EXPECT_EQ(late.status, 504U);
}

}  // namespace
}  // namespace heatherdeck

// Tests the rules of the fleet-wide rate limit one by one: what a control host grants and lends, and what a node does
// with permits, answers and silence.
#include <gtest/gtest.h>

#include "control/permit_granter.h"
#include "traffic/permit_store.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr time_point start = time_point{} + std::chrono::seconds(100);

client_account limit(double rate, double burst) { return {.name = "acme", .rate_per_s = rate, .burst = burst}; }

struct granter_test : testing::Test {
  void SetUp() override { core.set_membership(now, 6, true, {"c2", "c3"}); }
  void set_limit(double rate, double burst) { core.set_accounts(now, {{"acme", limit(rate, burst)}}); }
  permit_grant ask(std::uint32_t waiting, std::uint32_t ahead = 0, std::uint32_t held = 0, std::uint64_t spent = 0,
                   std::uint64_t stream = 1) {
    const permit_answer answer = core.on_request(now, stream, {1, {{"acme", waiting, ahead, held, spent}}});
    return answer.accounts.empty() ? permit_grant{} : answer.accounts.front();
  }
  permit_granter core;
  time_point now = start;
};

TEST_F(granter_test, bucket_starts_empty_and_holds_the_share_of_the_burst) {
  set_limit(600, 60);
  EXPECT_EQ(ask(5).granted, 0U) << "a restarted host must not grant a burst";
  now += 20s;
  EXPECT_EQ(ask(1000, 0, 0, 0, 2).granted, 10U) << "a sixth of the burst of 60";
}

TEST_F(granter_test, divisor_never_decreases) {
  set_limit(600, 600);
  core.set_membership(now, 3, true, {"c2"});
  now += 20s;
  EXPECT_LE(ask(1000).granted, 100U);
}

TEST(permit_granter, grants_nothing_before_the_voters_are_known) {
  permit_granter core;
  time_point now = start;
  core.set_accounts(now, {{"acme", limit(600, 600)}});
  now += 20s;
  EXPECT_EQ(core.on_request(now, 1, {1, {{"acme", 5, 0, 0, 0}}}).accounts.at(0).verdict, permit_verdict::ask_again);
  core.set_membership(now, 6, true, {});
  now += 1s;
  EXPECT_EQ(core.on_request(now, 1, {2, {{"acme", 5, 0, 0, 0}}}).accounts.at(0).granted, 5U);
}

// The other hosts may still use the larger share when a host joins.
TEST(permit_granter, host_that_joins_a_running_log_waits) {
  permit_granter core;
  time_point now = start;
  core.set_accounts(now, {{"acme", limit(600, 600)}});
  core.set_membership(now, 5, false, {"c1"});
  core.set_membership(now, 6, true, {"c1"});
  EXPECT_FALSE(core.grants(now + 9s));
  EXPECT_TRUE(core.grants(now + 10s));
  now += 10s;
  EXPECT_EQ(core.on_request(now, 1, {1, {{"acme", 5, 0, 0, 0}}}).accounts.at(0).granted, 0U);
}

TEST_F(granter_test, outstanding_permits_are_bounded_until_they_are_spent_or_expire) {
  set_limit(600, 600);  // (0.1 * 3600 + 20) / 6 = 63
  now += 20s;
  EXPECT_EQ(ask(1000).granted, 63U);
  EXPECT_EQ(ask(10, 0, 0, 0, 2).granted, 0U);
  EXPECT_EQ(ask(10, 0, 63 - 20, 20).granted, 10U) << "20 have been spent";
  now += 999ms;
  EXPECT_LE(ask(100, 0, 0, 0, 2).granted, 10U);
  now += 1ms;
  EXPECT_GT(ask(100, 0, 0, 0, 2).granted, 10U) << "the others have expired";
}

// Of a message that was lost on the way, the next request tells that its permits will not be spent.
TEST_F(granter_test, permits_that_the_node_neither_spent_nor_holds_return) {
  set_limit(36, 60);
  now += 20s;
  ASSERT_EQ(ask(6).granted, 6U);
  (void)ask(0, 0, 2, 1);
  EXPECT_EQ(core.counters().returned, 3U);
  EXPECT_EQ(core.counters().spent, 1U);
  now += 5s;
  (void)ask(0, 0, 0, 1);
  EXPECT_EQ(core.counters().returned, 3U) << "permits that have expired here may not return";
}

TEST_F(granter_test, permits_ahead_only_while_tokens_and_places_are_plenty) {
  set_limit(600, 600);
  now += 20s;
  EXPECT_EQ(ask(1, 1000).granted, 31U) << "half of the 63.3 that may be outstanding";
  EXPECT_EQ(ask(0, 10, 0, 0, 2).granted, 0U);
  EXPECT_EQ(ask(1, 10, 0, 0, 2).granted, 1U) << "a waiting request comes first";
}

TEST_F(granter_test, over_the_limit_only_when_nobody_lends) {
  set_limit(60, 30);
  now += 20s;
  EXPECT_EQ(ask(5).granted, 5U);
  EXPECT_EQ(ask(5, 0, 0, 5).verdict, permit_verdict::ask_again);
  const auto loans = core.take_loan_requests(now);
  ASSERT_EQ(loans.size(), 2U);
  for (const auto& [peer, loan] : loans) core.on_loan_answer(now, peer, {loan.id, {}});
  const permit_grant refused = ask(5, 0, 0, 5);
  EXPECT_EQ(refused.verdict, permit_verdict::over_limit);
  EXPECT_GE(refused.wait, 100ms) << "a token comes every 100 ms";
  EXPECT_GT(ask(1, 0, 0, 0, 2).wait, refused.wait) << "later requests come back later";
}

TEST_F(granter_test, lender_deducts_and_borrower_adds_up_to_its_capacity) {
  set_limit(60, 30);
  now += 20s;
  permit_granter lender;
  lender.set_membership(start, 6, true, {"c1"});
  lender.set_accounts(start, {{"acme", limit(60, 30)}});
  ASSERT_EQ(ask(5).granted, 5U);
  (void)ask(8, 0, 0, 5);
  double lent = 0;
  for (const auto& [peer, loan] : core.take_loan_requests(now)) {
    const loan_message answer = lender.on_loan_request(now, loan);
    core.on_loan_answer(now, peer, answer);
    core.on_loan_answer(now, peer, answer);  // a second copy adds nothing
    lent = lender.counters().lent;
  }
  EXPECT_NEAR(lent, 5, 0.1);
  EXPECT_NEAR(core.counters().borrowed, lent, 1e-3);
  EXPECT_EQ(ask(8, 0, 0, 5).granted, 5U);
  EXPECT_LE(lender.on_request(now, 1, {1, {{"acme", 10, 0, 0, 0}}}).accounts.at(0).granted, 1U);
}

TEST_F(granter_test, loan_that_comes_too_late_is_lost) {
  set_limit(60, 30);
  now += 20s;
  (void)ask(5);
  (void)ask(8, 0, 0, 5);
  const auto loans = core.take_loan_requests(now);
  ASSERT_FALSE(loans.empty());
  now += 150ms;
  core.on_loan_answer(now, loans[0].first, loans[0].second);
  EXPECT_EQ(core.counters().borrowed, 0);
}

TEST_F(granter_test, lowered_limit_takes_tokens_away_and_a_raised_one_gives_none) {
  set_limit(600, 600);
  now += 20s;
  set_limit(60, 30);
  EXPECT_EQ(ask(100).granted, 5U);
  now += 20s;
  set_limit(600, 600);
  EXPECT_EQ(ask(100, 0, 0, 5).granted, 5U);
}

TEST_F(granter_test, account_that_is_removed_and_added_again_starts_empty) {
  set_limit(600, 600);
  now += 20s;
  core.set_accounts(now, {});
  EXPECT_EQ(ask(5).granted, 0U);
  set_limit(600, 600);
  EXPECT_EQ(ask(5).granted, 0U);
}

struct store_test : testing::Test {
  void SetUp() override { store.set_source(now, 1); }
  bool takes(std::uint64_t waiter = 1) { return std::holds_alternative<permit>(store.take(now, "acme", waiter)); }
  permit_request request() { return store.take_request(now).value_or(permit_request{}); }
  void answer(std::uint64_t id, std::uint32_t granted, permit_verdict verdict = permit_verdict::granted,
              milliseconds wait = 0ms) {
    store.apply(now, {id, {{"acme", granted, verdict, wait, false}}});
  }
  permit_store store;
  time_point now = start;
};

TEST_F(store_test, waiting_requests_share_one_message_and_later_ones_go_into_the_next) {
  EXPECT_FALSE(takes(1));
  EXPECT_FALSE(takes(2));
  const permit_request first = request();
  ASSERT_EQ(first.accounts.size(), 1U);
  EXPECT_EQ(first.accounts[0].waiting, 2U);
  EXPECT_FALSE(takes(3));
  EXPECT_FALSE(store.take_request(now)) << "one request at a time";
  answer(first.id, 2);
  const auto decisions = store.take_decisions(now);
  ASSERT_EQ(decisions.size(), 2U);
  EXPECT_EQ(decisions[0].waiter, 1U);
  EXPECT_EQ(request().accounts.at(0).waiting, 1U);
}

TEST_F(store_test, permits_expire_one_second_after_the_request_was_sent) {
  EXPECT_FALSE(takes());
  const permit_request sent = request();
  now += 100ms;
  answer(sent.id, 2);
  const auto drawn = std::get<permit>(store.take_decisions(now).at(0).result);
  EXPECT_EQ(drawn.expires, start + 1s);
  now = start + 1s;
  EXPECT_FALSE(store.spend(now, drawn)) << "frozen until then";
  EXPECT_FALSE(takes(2)) << "the second one has expired too";
}

TEST_F(store_test, silence_is_answered_within_150_ms_and_is_no_statement_about_the_limit) {
  EXPECT_FALSE(takes());
  const permit_request sent = request();
  now += 150ms;
  const auto decisions = store.take_decisions(now);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_FALSE(std::get<permit_refusal>(decisions[0].result).over_limit);
  answer(sent.id, 1);
  EXPECT_EQ(store.counters().late_answers, 1U);
  EXPECT_FALSE(takes(2)) << "the control host counts permits of a late answer as unspent";
}

TEST_F(store_test, over_the_limit_is_refused_at_once_until_the_stated_time) {
  EXPECT_FALSE(takes(1));
  EXPECT_FALSE(takes(2));
  answer(request().id, 1, permit_verdict::over_limit, 80ms);
  const auto decisions = store.take_decisions(now);
  ASSERT_EQ(decisions.size(), 2U);
  EXPECT_EQ(std::get<permit_refusal>(decisions[1].result).retry_after, 80ms);
  now += 30ms;
  const auto refused = std::get<permit_refusal>(store.take(now, "acme", 3));
  EXPECT_TRUE(refused.over_limit);
  EXPECT_EQ(refused.retry_after, 50ms);
  EXPECT_FALSE(store.take_request(now)) << "no message while the state is known";
  now += 50ms;
  EXPECT_TRUE(std::holds_alternative<permit_pending>(store.take(now, "acme", 4)));
}

TEST_F(store_test, a_permit_given_back_serves_the_next_request) {
  EXPECT_FALSE(takes(1));
  answer(request().id, 1);
  const auto drawn = std::get<permit>(store.take_decisions(now).at(0).result);
  EXPECT_FALSE(takes(2));
  store.give_back(now, drawn);
  EXPECT_EQ(store.take_decisions(now).at(0).waiter, 2U);
  EXPECT_TRUE(store.spend(now, drawn));
  EXPECT_FALSE(takes(3));
  const permit_request next = request();
  EXPECT_EQ(next.accounts.at(0).spent, 1U);
  EXPECT_EQ(next.accounts.at(0).held, 0U);
}

// The count of spent permits belongs to one stream; what an earlier control host granted must not be reported to it.
TEST_F(store_test, another_stream_starts_with_new_counts) {
  EXPECT_FALSE(takes(1));
  answer(request().id, 2);
  (void)store.spend(now, std::get<permit>(store.take_decisions(now).at(0).result));
  store.set_source(now, 2);
  EXPECT_TRUE(takes(2)) << "permits of the earlier stream stay valid";
  EXPECT_FALSE(takes(3));
  const permit_request next = request();
  EXPECT_EQ(next.accounts.at(0).spent, 0U);
  EXPECT_EQ(next.accounts.at(0).held, 0U);
}

// A control host would take permits as unspent and hand them out again.
TEST_F(store_test, the_count_of_spent_permits_never_decreases_on_a_stream) {
  EXPECT_FALSE(takes(1));
  answer(request().id, 1);
  ASSERT_TRUE(store.spend(now, std::get<permit>(store.take_decisions(now).at(0).result)));
  now += 10s;
  (void)store.take(now, "other", 2);
  (void)request();  // forgets the idle account
  store.apply(now, {2, {}});
  now += 1s;
  EXPECT_FALSE(takes(3));
  EXPECT_EQ(request().accounts.at(0).spent, 1U);
}

}  // namespace
}  // namespace heatherdeck

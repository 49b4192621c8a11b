// Tests how a pick draws, spends and gives back permits of the fleet-wide rate limit. A fault would let a request run
// without a permit, spend two for one request, or leave it waiting.
#include <gtest/gtest.h>

#include "testing/account_document.h"
#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

struct limit_stage : testing::Test {
  void SetUp() override {
    set_limit(10);
    core.set_permit_source(now, 1);
    set_upstream(1);
  }
  void set_limit(double rate_per_s) {
    auto d = std::make_shared<compiled_document>();
    d->document_version = {1, 5};
    d->routes = {
        {.name = "book", .path_prefix = "/", .service = "desk", .timeout = 2000ms, .objective = 1500ms, .attempts = 2}};
    d->services["desk"] = {.name = "desk", .versions = {"v1"}, .shares = {{"v1", full_share}}};
    set_accounts(*d, {{.name = "acme", .rate_per_s = rate_per_s, .burst = rate_per_s}});
    core.set_document(d);
  }
  void set_upstream(std::uint32_t slots) {
    member_record own{.node_id = "n1", .availability_zone = "dar-1", .region = "dar", .mesh_address = "127.0.0.1:7000"};
    own.endpoints = {{.service = "desk",
                      .upstream_version = "v1",
                      .target = "t1",
                      .address = "127.0.0.1:9000",
                      .state = upstream_state::ready,
                      .slots = slots,
                      .connections = 10}};
    if (slots == 0) own.endpoints.clear();
    core.set_members({own}, now);
  }
  std::optional<pick_result> pick(std::uint64_t waiter, std::uint32_t attempt = 0) {
    return core.pick(now, {.path = "/x", .method = "GET", .attempt = attempt, .api_key = key_of_account("acme")},
                     waiter);
  }
  std::vector<std::pair<std::uint64_t, pick_result>> grant(std::uint32_t permits, permit_verdict verdict = {}) {
    const auto request = core.take_permit_request(now);
    EXPECT_TRUE(request);
    core.apply_permits(now, {request ? request->id : 0, {{"acme", permits, verdict, 70ms, false}}});
    return core.take_answers(now);
  }
  static refusal refused(const pick_result& answer) {
    const auto* r = std::get_if<refusal>(&answer);
    EXPECT_NE(r, nullptr);
    return r != nullptr ? *r : refusal{};
  }

  traffic_core core{{.node_id = "n1", .availability_zone = "dar-1", .region = "dar", .seed = 5}};
  time_point now = time_point{} + 1h;
};

TEST_F(limit_stage, request_waits_for_its_permit_and_spends_it) {
  EXPECT_FALSE(pick(1));
  const auto answers = grant(1);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<upstream_choice>(answers[0].second));
  EXPECT_EQ(core.permits().counters().spent, 1U);
}

TEST_F(limit_stage, account_over_its_limit_is_refused_with_the_time_to_come_back) {
  EXPECT_FALSE(pick(1));
  const auto answers = grant(0, permit_verdict::over_limit);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(refused(answers[0].second).reason, refusal_reason::over_limit);
  EXPECT_EQ(refused(answers[0].second).retry_after, 70ms);
  now += 20ms;
  EXPECT_EQ(refused(*pick(2)).retry_after, 50ms) << "at once, without a message";
}

TEST_F(limit_stage, silence_of_the_control_host_ends_the_wait) {
  EXPECT_FALSE(pick(1));
  ASSERT_TRUE(core.take_permit_request(now));
  ASSERT_EQ(core.next_answer_time(now), now + 150ms);
  now += 150ms;
  const auto answers = core.take_answers(now);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(refused(answers[0].second).reason, refusal_reason::limit_unavailable);
  EXPECT_GT(refused(answers[0].second).retry_after, 0ms);
}

TEST_F(limit_stage, later_attempts_and_accounts_without_a_limit_need_no_permit) {
  EXPECT_TRUE(std::holds_alternative<upstream_choice>(*pick(1, 1)));
  set_limit(0);
  set_upstream(2);
  EXPECT_TRUE(std::holds_alternative<upstream_choice>(*pick(2)));
  EXPECT_FALSE(core.take_permit_request(now));
}

TEST_F(limit_stage, permit_of_a_request_that_a_later_stage_refuses_serves_the_next_one) {
  set_upstream(0);
  EXPECT_FALSE(pick(1));
  EXPECT_FALSE(pick(2));
  const auto answers = grant(1);
  ASSERT_EQ(answers.size(), 2U) << "the second got the permit of the first";
  EXPECT_EQ(refused(answers[1].second).reason, refusal_reason::no_upstream);
  EXPECT_EQ(core.permits().counters().spent, 0U);
  set_upstream(1);
  EXPECT_TRUE(std::holds_alternative<upstream_choice>(*pick(3)));
}

// A request that waits in the queue of its upstream while its host is suspended must not be let through with a permit
// of before.
TEST_F(limit_stage, permit_is_checked_again_when_the_request_leaves_the_queue) {
  // One call, so that the queue knows the service time.
  const auto first = pick(7, 1);
  core.finish(now, {std::get<upstream_choice>(*first).pick_id, call_outcome::ok, 100ms, {}});
  EXPECT_FALSE(pick(1));
  EXPECT_FALSE(pick(2));
  const auto answers = grant(2);
  ASSERT_EQ(answers.size(), 1U) << "the other one waits for the slot";
  EXPECT_EQ(core.permits().counters().spent, 1U);
  core.set_suspended_time(1s);
  core.finish(now, {std::get<upstream_choice>(answers[0].second).pick_id, call_outcome::ok, 100ms, {}});
  const auto late = core.take_answers(now);
  ASSERT_EQ(late.size(), 1U);
  EXPECT_EQ(refused(late[0].second).reason, refusal_reason::limit_unavailable);
  EXPECT_EQ(core.permits().counters().spent, 1U);
  // The slot is free again.
  EXPECT_FALSE(pick(3));
  EXPECT_TRUE(std::holds_alternative<upstream_choice>(grant(1).at(0).second));
}

}  // namespace
}  // namespace heatherdeck

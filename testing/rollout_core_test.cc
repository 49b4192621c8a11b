// Tests the decisions about rollouts on a control host: rollout_core by itself, and rollout_service through its
// mailboxes. Guards against a good version that is not done in time, a bad one that is not withdrawn, and steps that a
// host proposes without leading or on evidence from before its term.
#include "control/rollout_core.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "control/rollout_service.h"
#include "model/service_names.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const time_point start_time = time_point{} + 1h;

document_state state_of(basis_points share, rollout_status status, std::uint64_t index) {
  document_state state;
  state.document_version = {1, index};
  state.rollouts["certdesk"] = {"certdesk", "v1", "v2", share, status, {}, {1, 3}};
  return state;
}

compiled_document compiled_with(std::chrono::seconds finish_within) {
  compiled_document compiled;
  compiled.rollouts["certdesk"] = {
      .service = "certdesk", .from = "v1", .to = "v2", .finish_within = finish_within, .watch_period = 60s};
  return compiled;
}

std::vector<member_record> members(int old_upstreams, int new_upstreams) {
  std::vector<member_record> rows;
  for (int i = 0; i < old_upstreams + new_upstreams; ++i) {
    endpoint_record e{.service = "certdesk",
                      .upstream_version = i < old_upstreams ? "v1" : "v2",
                      .target = "t" + std::to_string(i),
                      .state = upstream_state::ready};
    rows.push_back({.node_id = "n" + std::to_string(i), .endpoints = {e}});
  }
  return rows;
}

evidence_report report_of(std::uint32_t old_calls, std::uint32_t new_calls, std::uint32_t new_failures) {
  evidence_row old_row{"certdesk", "v1", "lookup", old_calls, 0};
  evidence_row new_row{"certdesk", "v2", "lookup", new_calls, new_failures};
  old_row.latency[3] = old_calls;
  new_row.latency[3] = new_calls - new_failures;
  return {{old_row, new_row}, {}};
}

struct rollout_core_test : testing::Test {
  rollout_core core{0.5};
  time_point now = start_time;
  std::uint64_t index = 3;
  basis_points share = 0;
  rollout_status status = rollout_status::running;

  void SetUp() override {
    core.set_members(members(4, 3), now);
    core.set_document(state_of(0, status, index), compiled_with(200s), now);
  }
  // Advances the time by one second and applies a proposed step as the ledger would.
  std::vector<rollout_proposal> run_second(const evidence_report& report = {}) {
    now += 1s;
    core.add_evidence("dar-1", report, now);
    auto proposals = core.on_tick(now);
    for (const rollout_proposal& p : proposals) {
      if (const auto* step = std::get_if<set_rollout_step>(&p.command)) {
        share = step->share;
        status = step->status;
        core.set_document(state_of(share, status, ++index), compiled_with(200s), now);
      }
    }
    return proposals;
  }
};

TEST_F(rollout_core_test, good_version_reaches_all_traffic_in_time_and_is_done_after_the_watch) {
  core.begin_term(now);
  basis_points before = 0;
  while (status == rollout_status::running && now < start_time + 400s) {
    const std::uint32_t new_calls = 200 * share / full_share;
    run_second(report_of(200 - new_calls, new_calls, 0));
    EXPECT_GE(share, before);
    before = share;
  }
  EXPECT_EQ(share, full_share);
  EXPECT_LE(now, start_time + 200s);
  while (status == rollout_status::watching && now < start_time + 600s) run_second(report_of(0, 200, 0));
  EXPECT_EQ(status, rollout_status::done);
}

// Without a tolerance for ticks a good version that had 14 s took 16: each hold of whole seconds lasted one tick
// longer, because a step takes effect a little after the tick that decided it.
TEST(rollout_core, good_version_is_done_within_a_time_limit_of_14_seconds) {
  constexpr auto time_limit = 14s;
  compiled_document compiled;
  // As for a rollout requested by the platform: two seconds of the time limit are the watch time, two are reserve.
  compiled.rollouts["certdesk"] = {.service = "certdesk",
                                   .from = "v1",
                                   .to = "v2",
                                   .finish_within = time_limit - 4s,
                                   .watch_period = 2s,
                                   .max_first_share = 500};
  rollout_core core{0.5};
  std::uint64_t index = 3;
  basis_points share = 0;
  rollout_status status = rollout_status::running;
  const time_point begin = start_time;
  core.set_members(members(4, 0), begin - 10s);
  core.set_document(state_of(share, status, index), compiled, begin);
  core.begin_term(begin);
  time_point now = begin + 900ms;
  for (; status != rollout_status::done && now < begin + 30s; now += 1s) {
    core.set_members(members(4, now < begin + 1500ms ? 0 : 4), now);
    const auto calls = static_cast<std::uint32_t>(440 * share / full_share);
    core.add_evidence("dar-1", report_of(440 - calls, calls, 0), now);
    for (const rollout_proposal& p : core.on_tick(now)) {
      const auto* step = std::get_if<set_rollout_step>(&p.command);
      ASSERT_NE(step, nullptr) << p.reason;
      share = step->share;
      status = step->status;
      core.set_document(state_of(share, status, ++index), compiled, now + 30ms);
    }
  }
  EXPECT_LE(now - begin, time_limit);
}

// A second leader in another partition would raise shares on half of the evidence.
TEST_F(rollout_core_test, proposes_nothing_unless_it_leads) {
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(run_second(report_of(100, 100, 100)).empty());
}

TEST_F(rollout_core_test, first_share_waits_for_a_warm_upstream_of_the_new_version) {
  core.set_members(members(4, 0), now);
  core.begin_term(now);
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(run_second().empty());
  core.set_members(members(4, 3), now);
  for (int i = 0; i < 9; ++i) EXPECT_TRUE(run_second().empty());
  EXPECT_FALSE(run_second().empty());
}

// A new leader must not raise the share on calls that were made at a smaller share.
TEST_F(rollout_core_test, new_leader_raises_no_share_without_calls_in_its_own_term) {
  core.begin_term(now);
  while (share < 1000) run_second(report_of(180, 20, 0));
  core.end_term();
  core.begin_term(now);
  const basis_points before = share;
  for (int i = 0; i < 60; ++i) run_second(report_of(200, 0, 0));
  EXPECT_EQ(share, before);
}

TEST_F(rollout_core_test, bad_version_is_withdrawn_with_the_counts_as_the_reason) {
  core.begin_term(now);
  run_second();
  std::vector<rollout_proposal> last;
  for (int i = 0; i < 30 && (last.empty() || !std::holds_alternative<withdraw_version>(last.front().command)); ++i) {
    last = run_second(report_of(90, 10, 9));
  }
  ASSERT_FALSE(last.empty());
  const auto* withdrawn = std::get_if<withdraw_version>(&last.front().command);
  ASSERT_NE(withdrawn, nullptr);
  EXPECT_EQ(withdrawn->upstream_version, "v2");
  EXPECT_NE(withdrawn->reason.find("v2 failed"), std::string::npos);
}

TEST_F(rollout_core_test, rollout_of_a_withdrawn_version_is_never_resumed) {
  core.begin_term(now);
  run_second();
  core.set_document(state_of(0, rollout_status::rolled_back, ++index), compiled_with(200s), now);
  for (int i = 0; i < 300; ++i) EXPECT_TRUE(run_second(report_of(100, 0, 0)).empty());
}

TEST_F(rollout_core_test, local_cut_at_a_node_holds_the_share) {
  core.begin_term(now);
  run_second();
  const basis_points before = share;
  evidence_report cut = report_of(150, 50, 0);
  cut.disabled_locally = {{"certdesk", "v2"}};
  for (int i = 0; i < 100; ++i) run_second(cut);
  EXPECT_EQ(share, before);
}

// A fault after the step to all traffic has no old calls to compare with, so the share must be lowered first.
TEST_F(rollout_core_test, fault_in_the_watch_time_leads_to_a_comparison_and_a_withdrawal) {
  core.begin_term(now);
  while (status == rollout_status::running) {
    const std::uint32_t new_calls = 200 * share / full_share;
    run_second(report_of(200 - new_calls, new_calls, 0));
  }
  bool withdrawn = false;
  const time_point fault = now;
  while (!withdrawn && now < fault + 30s) {
    const std::uint32_t new_calls = 200 * share / full_share;
    const auto proposals = run_second(report_of(200 - new_calls, new_calls, new_calls / 2));
    withdrawn = !proposals.empty() && std::holds_alternative<withdraw_version>(proposals.front().command);
  }
  EXPECT_TRUE(withdrawn);
  EXPECT_LT(now, fault + 15s);
}

// A service that only publishes an address, for a mailbox that the test reads itself.
struct stub_service : service {
  stub_service(service_name n, std::function<void(kernel&)> p) : kind(n), publish_with(std::move(p)) {}
  std::string_view name() const override { return to_name(kind); }
  void publish(kernel& k) override { publish_with(k); }
  result<void> start(kernel&) override { return {}; }
  void stop() override {}
  boost::json::value dump() const override { return {}; }
  service_name kind;
  std::function<void(kernel&)> publish_with;
};

// Stubs for consensus, ledger and directory: this host leads, and the ledger ends the test at the first proposal.
struct rollout_service_test : testing::Test {
  kernel k;
  mailbox<consensus_message> consensus{k.executor(), 64};
  mailbox<ledger_message> ledger{k.executor(), 64};
  mailbox<directory_message> directory{k.executor(), 64};
  bool leads = true;
  int status_requests = 0;
  int lead_until_request = 1000;
  std::optional<ledger_command> proposed;

  template <class Message>
  void add(service_name name, mailbox<Message>& inbox) {
    const auto publish = [&inbox, name](kernel& in) { in.publish(to_name(name), inbox.address()); };
    ASSERT_TRUE(k.add(std::make_unique<stub_service>(name, publish)));
  }

  awaitable<void> answer_consensus() {
    for (;;) {
      auto m = co_await consensus.receive();
      if (!m) co_return;
      if (const auto* q = std::get_if<get_consensus_status>(&*m)) {
        const bool leader = ++status_requests <= lead_until_request;
        q->answer(consensus_status{
            .role = leader ? raft_role::leader : raft_role::follower, .term = 4, .has_quorum = leader});
        if (!leader) co_await end();
      }
    }
  }
  awaitable<void> answer_directory() {
    for (;;) {
      auto m = co_await directory.receive();
      if (!m) co_return;
      const auto view = std::make_shared<const std::vector<member_record>>(members(4, 3));
      if (const auto* q = std::get_if<get_members>(&*m)) q->answer(member_list_ptr(view));
    }
  }
  awaitable<void> answer_ledger() {
    auto m = co_await ledger.receive();
    if (!m) co_return;
    if (const auto* q = std::get_if<propose_system_command>(&*m)) {
      proposed = q->command;
      command_result accepted;
      accepted.accepted_version = {1, 9};
      q->answer(accepted);
    }
    co_await end();
  }
  awaitable<void> end() {
    consensus.close();
    directory.close();
    ledger.close();
    co_await k.stop();
  }

  void run() {
    add(service_name::consensus, consensus);
    add(service_name::ledger, ledger);
    add(service_name::directory, directory);
    auto made = capture([] { return rollout_service::make(settings{}); });
    ASSERT_TRUE(made);
    ASSERT_TRUE(k.add(std::move(*made)));
    ASSERT_TRUE(k.start());
    auto found = capture([&] { return k.find<rollout_message>(to_name(service_name::rollout)); });
    ASSERT_TRUE(found);
    document_state state = state_of(0, rollout_status::running, 3);
    state.sections["services"] = {"services", "certdesk: { versions: [v1, v2] }\n", {1, 3}};
    state.sections["shares"] = {"shares", "certdesk: { v1: 100 }\n", {1, 3}};
    state.sections["rollouts"] = {
        "rollouts", "certdesk: { from: v1, to: v2, finish_within_s: 60, watch_s: 10 }\n", {1, 3}};
    found->post(document_changed{std::make_shared<const document_state>(state)});
    boost::asio::co_spawn(k.io(), answer_consensus(), boost::asio::detached);
    boost::asio::co_spawn(k.io(), answer_directory(), boost::asio::detached);
    boost::asio::co_spawn(k.io(), answer_ledger(), boost::asio::detached);
    k.io().run_for(10s);
  }
};

TEST_F(rollout_service_test, leader_proposes_the_first_step_with_the_version_it_was_decided_on) {
  run();
  ASSERT_TRUE(proposed);
  const auto* step = std::get_if<set_rollout_step>(&*proposed);
  ASSERT_NE(step, nullptr);
  EXPECT_EQ(step->share, 100U);
  EXPECT_EQ(step->base_version, (version{1, 3}));
}

// A host that has lost its leadership between decision and proposal must not propose.
TEST_F(rollout_service_test, confirms_its_leadership_before_a_proposal) {
  lead_until_request = 1;
  run();
  EXPECT_EQ(status_requests, 2);
  EXPECT_FALSE(proposed);
}

}  // namespace
}  // namespace heatherdeck

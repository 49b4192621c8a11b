// Tests of the traffic decisions: shares of versions, locality, requests from other nodes, drain, targets of earlier
// attempts, local cut of a faulty version; and of the mailbox of the traffic service. Guards against shares that are
// not kept, requests that wait forever or are forwarded twice, and slots that are released twice or not at all.
#include "traffic/traffic_core.h"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

#include "model/service_names.h"
#include "testing/account_document.h"
#include "traffic/traffic_service.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 11;
const time_point start_time = time_point{} + 1h;

endpoint_record endpoint(std::string target, std::string upstream_version,
                         upstream_state state = upstream_state::ready) {
  return {.service = "certdesk",
          .upstream_version = std::move(upstream_version),
          .target = std::move(target),
          .address = "127.0.0.1:9000",
          .state = state,
          .slots = 20,
          .connections = 130};
}

member_record member(std::string id, std::string zone, std::vector<endpoint_record> endpoints) {
  return {.node_id = std::move(id),
          .availability_zone = zone,
          .region = zone.substr(0, zone.find('-')),
          .mesh_address = "127.0.0.1:7000",
          .endpoints = std::move(endpoints)};
}

std::shared_ptr<compiled_document> document(std::vector<version_share> shares) {
  auto d = std::make_shared<compiled_document>();
  d->document_version = {1, 5};
  d->routes = {{.name = "lookup", .host = "certdesk.pwani", .path_prefix = "/certificates", .service = "certdesk"}};
  d->services["certdesk"] = {.name = "certdesk", .versions = {"v1", "v2"}, .shares = std::move(shares)};
  return d;
}

request_attributes lookup() { return {.host = "certdesk.pwani", .path = "/certificates/7", .method = "GET"}; }

struct traffic_core_test : testing::Test {
  traffic_core core{{.node_id = "n1", .availability_zone = "dar-1", .region = "dar", .seed = seed}};
  time_point now = start_time;

  void set_two_versions() {
    core.set_members({member("n1", "dar-1", {endpoint("t1", "v1")}), member("n2", "dar-2", {endpoint("t2", "v2")}),
                      member("n3", "mwa-1", {endpoint("t3", "v1")})},
                     now);
  }
  upstream_choice chosen(const request_attributes& attributes = lookup()) {
    const pick_result answer = core.pick(now, attributes);
    const auto* choice = std::get_if<upstream_choice>(&answer);
    return choice != nullptr ? *choice : upstream_choice{};
  }
  refusal_reason refused(const request_attributes& attributes) {
    const pick_result answer = core.pick(now, attributes);
    const auto* r = std::get_if<refusal>(&answer);
    EXPECT_NE(r, nullptr);
    return r != nullptr ? r->reason : refusal_reason::no_route;
  }
  void finish(const upstream_choice& choice, call_outcome outcome = call_outcome::ok) {
    core.finish(now, {choice.pick_id, outcome, 5ms, {}});
  }
};

// A caller that retries has used up part of its latency objective. When the whole objective was granted again, the
// retry took the place of a request that could still meet its objective.
TEST_F(traffic_core_test, objective_of_a_retry_counts_from_the_first_attempt) {
  auto with_objective = document({{"v1", full_share}});
  with_objective->routes.front().objective = 450ms;
  core.set_document(with_objective);
  endpoint_record one_slot = endpoint("t1", "v1");
  one_slot.slots = 1;
  core.set_members({member("n1", "dar-1", {one_slot})}, now);
  request_attributes first = lookup();
  first.deadline = 800ms;
  for (int i = 0; i < 30; ++i) core.finish(now, {chosen(first).pick_id, call_outcome::ok, 100ms, {}});
  request_attributes again = lookup();
  again.deadline = 600ms;
  const upstream_choice running = chosen(again);
  EXPECT_EQ(running.elapsed_before_attempt, 200ms);
  // 100 ms until the slot is free and 100 ms of service time fit into the objective, but not into what is left of it.
  EXPECT_EQ(refused(again), refusal_reason::overloaded);
  EXPECT_FALSE(core.pick(now, first, 7)) << "a first attempt must wait for the slot";
}

struct quarantine_test : traffic_core_test {
  static constexpr request_fingerprint crashing{77, 0};

  static request_attributes request(request_fingerprint fingerprint) {
    request_attributes attributes = lookup();
    attributes.fingerprint = fingerprint;
    return attributes;
  }
  static request_attributes from_peer(request_fingerprint fingerprint) {
    request_attributes attributes = request(fingerprint);
    attributes.from_peer = true;
    attributes.service = "certdesk";
    attributes.upstream_version = "v1";
    return attributes;
  }
  static quarantine_list_ptr listed(const listed_requests& requests) {
    auto list = std::make_shared<quarantine_list>();
    list->services["certdesk"] = requests;
    return list;
  }
  void set_one_upstream(std::uint32_t slots) {
    core.set_document(document({{"v1", full_share}}));
    endpoint_record own = endpoint("t1", "v1");
    own.slots = slots;
    core.set_members({member("n1", "dar-1", {own})}, now);
  }
};

TEST_F(quarantine_test, quarantined_request_reaches_no_upstream) {
  set_one_upstream(4);
  core.set_quarantine(listed({{crashing, request_standing::quarantined}}));
  EXPECT_EQ(refused(request(crashing)), refusal_reason::quarantined);
  EXPECT_EQ(refused(from_peer(crashing)), refusal_reason::quarantined);
  EXPECT_EQ(chosen(request({1, 0})).target, "t1");
}

// A request that waits for a slot when its verdict comes would crash the upstream a moment later.
TEST_F(quarantine_test, quarantined_request_leaves_the_queue) {
  set_one_upstream(1);
  const upstream_choice running = chosen(request({1, 0}));
  ASSERT_FALSE(core.pick(now, from_peer(crashing), 7));
  ASSERT_FALSE(core.pick(now, from_peer({2, 0}), 8));
  core.set_quarantine(listed({{crashing, request_standing::quarantined}}));
  const auto answers = core.take_answers(now);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].first, 7U);
  EXPECT_EQ(std::get<refusal>(answers[0].second).reason, refusal_reason::quarantined);
  finish(running);
  const auto next = core.take_answers(now);
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].first, 8U);
}

// Requests with equal heads and other bodies must not be refused with the one that crashes upstreams.
TEST_F(quarantine_test, body_decides_when_the_head_is_listed) {
  set_one_upstream(4);
  core.set_quarantine(listed({{{77, 5}, request_standing::quarantined}}));
  request_attributes unread = request({77, 0});
  unread.body_unread = true;
  EXPECT_TRUE(std::holds_alternative<body_required>(core.pick(now, unread)));
  EXPECT_EQ(refused(request({77, 5})), refusal_reason::quarantined);
  EXPECT_EQ(chosen(request({77, 6})).target, "t1");
  unread.fingerprint.head = 78;
  EXPECT_EQ(chosen(unread).target, "t1");
}

TEST_F(quarantine_test, suspected_requests_run_one_at_a_time) {
  set_one_upstream(8);
  core.set_quarantine(listed({{crashing, request_standing::suspected}, {{2, 0}, request_standing::suspected}}));
  const upstream_choice first = chosen(from_peer(crashing));
  ASSERT_EQ(first.target, "t1");
  EXPECT_EQ(refused(from_peer(crashing)), refusal_reason::on_trial);
  EXPECT_EQ(refused(from_peer({2, 0})), refusal_reason::overloaded);
  EXPECT_EQ(chosen(from_peer({3, 0})).target, "t1");
  finish(first);
  EXPECT_EQ(chosen(from_peer({2, 0})).target, "t1");
}

// Copies that run at several upstreams at a time crash them all before the verdict.
TEST_F(quarantine_test, all_nodes_choose_the_same_upstream_for_a_suspected_request) {
  std::set<std::string> targets;
  for (std::uint64_t request_number = 1; request_number <= 20; ++request_number) {
    const request_fingerprint suspect{request_number, 0};
    std::set<std::string> of_this_request;
    for (const std::string node : {"n1", "n2", "n3"}) {
      traffic_core other({.node_id = node, .availability_zone = "dar-1", .region = "dar", .seed = seed});
      other.set_document(document({{"v1", full_share}}));
      other.set_members({member("n1", "dar-1", {endpoint("t1", "v1")}), member("n2", "dar-2", {endpoint("t2", "v1")}),
                         member("n3", "mwa-1", {endpoint("t3", "v1")})},
                        now);
      other.set_quarantine(listed({{suspect, request_standing::suspected}}));
      const pick_result answer = other.pick(now, request(suspect));
      ASSERT_TRUE(std::holds_alternative<upstream_choice>(answer));
      of_this_request.insert(std::get<upstream_choice>(answer).target);
    }
    EXPECT_EQ(of_this_request.size(), 1U);
    targets.insert(of_this_request.begin(), of_this_request.end());
  }
  EXPECT_EQ(targets.size(), 3U) << "suspected requests must be spread over the upstreams";
}

// The failure of a lost call outruns the report of the crash, and the second attempt crashed the next upstream.
TEST_F(quarantine_test, second_attempt_of_a_lost_call_waits_for_the_reports_of_the_crash) {
  set_one_upstream(2);
  request_attributes second = request(crashing);
  second.attempt = 1;
  second.may_have_run = true;
  second.deadline = 500ms;
  request_attributes other = second;
  other.fingerprint = {2, 0};
  EXPECT_FALSE(core.pick(now, second, 7));
  EXPECT_FALSE(core.pick(now, other, 8));
  EXPECT_TRUE(core.take_answers(now).empty());
  core.set_quarantine(listed({{crashing, request_standing::quarantined}}));
  const auto due = core.next_answer_time(now);
  ASSERT_TRUE(due);
  EXPECT_LE(*due - now, 20ms);
  const auto answers = core.take_answers(*due);
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(std::get<refusal>(answers[0].second).reason, refusal_reason::quarantined);
  const auto& choice = std::get<upstream_choice>(answers[1].second);
  EXPECT_EQ(choice.timeout, 500ms - std::chrono::ceil<milliseconds>(*due - now));
  EXPECT_FALSE(core.next_answer_time(*due));
}

TEST_F(quarantine_test, calls_of_an_upstream_that_is_leaving_are_no_sign_of_a_crash) {
  set_one_upstream(4);
  const upstream_choice first = chosen(request(crashing));
  const upstream_choice second = chosen(request(crashing));
  core.finish(now, {first.pick_id, call_outcome::connection_failed, 5ms, {}, call_ending::lost, crashing});
  const auto reports = core.take_quarantine_reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(std::get<call_lost>(reports[0]).request, crashing);
  core.report_statement("t1", {.leaving = true}, now);
  core.finish(now, {second.pick_id, call_outcome::connection_failed, 5ms, {}, call_ending::lost, crashing});
  EXPECT_TRUE(core.take_quarantine_reports().empty());
}

TEST_F(quarantine_test, responses_to_listed_requests_are_reported) {
  set_one_upstream(4);
  const upstream_choice first = chosen(request({1, 0}));
  const upstream_choice second = chosen(request(crashing));
  core.set_quarantine(listed({{crashing, request_standing::suspected}}));
  core.finish(now, {first.pick_id, call_outcome::ok, 5ms, {}, call_ending::answered, {1, 0}});
  EXPECT_TRUE(core.take_quarantine_reports().empty());
  core.finish(now, {second.pick_id, call_outcome::ok, 5ms, {}, call_ending::answered, crashing});
  EXPECT_EQ(core.take_quarantine_reports().size(), 1U);
}

// Without an answer, a request that waits for a slot of an upstream that has ended would wait forever, and so would a
// graceful stop of the node.
TEST_F(traffic_core_test, requests_waiting_for_an_upstream_that_has_ended_are_refused) {
  core.set_document(document({{"v1", full_share}}));
  endpoint_record one_slot = endpoint("t1", "v1");
  one_slot.slots = 1;
  core.set_members({member("n1", "dar-1", {one_slot})}, now);
  ASSERT_EQ(chosen().target, "t1");
  ASSERT_FALSE(core.pick(now, lookup(), 7)) << "the only slot is taken, so the second request waits";
  core.set_members({member("n1", "dar-1", {})}, now);
  const auto answers = core.take_answers(now);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers.front().first, 7U);
  EXPECT_TRUE(std::holds_alternative<refusal>(answers.front().second));
  EXPECT_TRUE(core.take_answers(now).empty());
}

// If shares are not kept, the limit of each rollout step on the new version's share has no effect.
TEST_F(traffic_core_test, shares_are_kept_within_sampling_error) {
  core.set_document(document({{"v1", 9'500}, {"v2", 500}}));
  set_two_versions();
  int new_version_calls = 0;
  for (int i = 0; i < 20'000; ++i) {
    const upstream_choice c = chosen();
    new_version_calls += c.upstream_version == "v2" ? 1 : 0;
    finish(c);
  }
  EXPECT_NEAR(new_version_calls, 1000, 100);
}

// Under overload a bad version got twice its share of what was served: requests that the old version's upstreams had
// refused drew a version again.
TEST_F(traffic_core_test, retry_after_a_refusal_does_not_move_to_the_version_under_rollout) {
  auto with_rollout = document({{"v1", 5'000}, {"v2", 5'000}});
  with_rollout->rollout_progress["certdesk"] = {.service = "certdesk", .from = "v1", .to = "v2", .share = 5'000};
  core.set_document(with_rollout);
  set_two_versions();
  request_attributes retry = lookup();
  retry.tried_targets = {"t1"};
  for (int i = 0; i < 100; ++i) {
    const upstream_choice c = chosen(retry);
    EXPECT_EQ(c.upstream_version, "v1");
    finish(c);
  }
  retry.tried_targets = {"t2"};
  EXPECT_FALSE(chosen(retry).upstream_version.empty()) << "a refusal by the new version may be retried anywhere";
}

// While the operators shortened a route's timeout, requests of peers that had been promised more time were answered
// with 504 by the node of their upstream, during a planned stop too.
TEST_F(traffic_core_test, request_of_a_peer_keeps_the_time_that_its_first_node_gave_it) {
  auto shortened = document({{"v1", full_share}});
  shortened->routes.front().timeout = 300ms;
  core.set_document(shortened);
  set_two_versions();
  request_attributes peer = lookup();
  peer.from_peer = true;
  peer.service = "certdesk";
  peer.deadline = 900ms;
  EXPECT_EQ(chosen(peer).timeout, 900ms);
  EXPECT_EQ(chosen().timeout, 300ms) << "a request that arrives now";
}

TEST_F(traffic_core_test, share_of_a_version_without_upstreams_goes_to_the_others_and_is_counted) {
  core.set_document(document({{"v1", 5'000}, {"v2", 5'000}}));
  core.set_members({member("n1", "dar-1", {endpoint("t1", "v1")}),
                    member("n2", "dar-2", {endpoint("t2", "v2", upstream_state::starting)})},
                   now);
  for (int i = 0; i < 100; ++i) {
    const upstream_choice c = chosen();
    EXPECT_EQ(c.upstream_version, "v1");
    finish(c);
  }
  EXPECT_GT(core.counters().shares_moved, 20U);
}

// A node without a confirmed document must refuse requests; any document it holds may be outdated.
TEST_F(traffic_core_test, refuses_without_document_route_upstream_or_time) {
  EXPECT_EQ(refused(lookup()), refusal_reason::no_document);
  core.set_document(document({{"v1", 10'000}}));
  EXPECT_EQ(refused(lookup()), refusal_reason::no_upstream);
  request_attributes other = lookup();
  other.path = "/certificates-old";
  EXPECT_EQ(refused(other), refusal_reason::no_route);
  request_attributes late = lookup();
  late.deadline = 0ms;
  EXPECT_EQ(refused(late), refusal_reason::deadline);
}

TEST_F(traffic_core_test, prefers_near_upstreams_and_uses_farther_ones_when_those_are_full) {
  core.set_document(document({{"v1", 10'000}}));
  set_two_versions();
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen().locality, locality_class::local);
  EXPECT_EQ(chosen().locality, locality_class::remote);
}

// A request from another node that was forwarded again could loop, and could run after this node reported it as not
// run.
TEST_F(traffic_core_test, request_from_a_peer_gets_the_local_upstream_or_is_refused) {
  core.set_document(document({{"v1", 5'000}, {"v2", 5'000}}));
  set_two_versions();
  request_attributes attributes = lookup();
  attributes.from_peer = true;
  attributes.service = "certdesk";
  attributes.upstream_version = "v1";
  const upstream_choice c = chosen(attributes);
  EXPECT_TRUE(c.local);
  EXPECT_EQ(c.target, "t1");
  EXPECT_EQ(c.route, "lookup");
  attributes.upstream_version = "v2";
  EXPECT_EQ(refused(attributes), refusal_reason::no_upstream);
  attributes.upstream_version = "v1";
  core.set_members({member("n1", "dar-1", {endpoint("t1", "v1", upstream_state::draining)})}, now);
  EXPECT_EQ(refused(attributes), refusal_reason::draining);
  set_two_versions();
  core.start_draining({now, now + 1min});
  EXPECT_EQ(refused(attributes), refusal_reason::draining);
}

struct stopping_traffic_core : traffic_core_test {
  void SetUp() override {
    auto d = document({{"v1", full_share}});
    d->routes.front().objective = 2s;
    d->routes.front().timeout = 10s;
    core.set_document(d);
    endpoint_record one_slot = endpoint("t1", "v1");
    one_slot.slots = 1;
    core.set_members({member("n1", "dar-1", {one_slot})}, now);
  }
};

TEST_F(stopping_traffic_core, refuses_what_could_outlast_the_process) {
  core.start_draining({now + 3s, now + 8s});
  request_attributes patient = lookup();
  patient.deadline = 15s;
  request_attributes short_lived = lookup();
  short_lived.deadline = 4s;
  finish(chosen(patient));
  now += 3s;
  EXPECT_EQ(refused(patient), refusal_reason::draining) << "callers can know of the stop";
  finish(chosen(short_lived));
  now += 1500ms;
  EXPECT_EQ(refused(short_lived), refusal_reason::draining) << "its deadline is after the end";
}

TEST_F(stopping_traffic_core, refuses_early_requests_whose_objective_is_after_the_end) {
  core.start_draining({now + 3s, now + 4s});
  now += 2500ms;
  EXPECT_EQ(refused(lookup()), refusal_reason::draining);
}

TEST_F(stopping_traffic_core, answers_waiting_requests_before_the_end) {
  finish(chosen());  // shows the service time
  const upstream_choice running = chosen();
  ASSERT_TRUE(running.local);
  ASSERT_FALSE(core.pick(now, lookup(), 7)) << "it waits for the slot";
  core.start_draining({now, now + 1s});
  EXPECT_TRUE(core.take_answers(now + 500ms).empty());
  const auto answers = core.take_answers(now + 1100ms);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<refusal>(answers.front().second));
}

// The refusal named an overload and the load of this upstream, so callers waited although other nodes were free.
TEST_F(stopping_traffic_core, refuses_waiting_requests_at_the_end_as_draining) {
  finish(chosen());  // shows the service time
  ASSERT_TRUE(chosen().local);
  ASSERT_FALSE(core.pick(now, lookup(), 7)) << "it waits for the slot";
  core.start_draining({now, now + 1s});
  const auto answers = core.take_answers(now + 1100ms);
  ASSERT_EQ(answers.size(), 1U);
  const auto* refused = std::get_if<refusal>(&answers.front().second);
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(refused->reason, refusal_reason::draining);
}

// A retry of a request that came before callers could know of the stop was refused although it had time for its answer.
TEST_F(stopping_traffic_core, serves_late_retries_of_early_requests) {
  core.start_draining({now + 3s, now + 8s});
  now += 3100ms;
  request_attributes retry = lookup();
  retry.attempt = 1;
  retry.age = 3500ms;
  retry.deadline = 6500ms;
  EXPECT_TRUE(chosen(retry).local);
}

// A retry that waits for a slot at the end of the drain is broken off without a response.
TEST_F(stopping_traffic_core, answers_waiting_retries_before_the_end) {
  finish(chosen());  // shows the service time
  const upstream_choice running = chosen();
  ASSERT_TRUE(running.local);
  core.start_draining({now, now + 1s});
  request_attributes retry = lookup();
  retry.attempt = 1;
  if (core.pick(now, retry, 7)) return;  // refused at once
  EXPECT_EQ(core.take_answers(now + 1100ms).size(), 1U);
}

TEST_F(traffic_core_test, retry_avoids_the_failed_target_and_is_limited_by_the_retry_budget) {
  core.set_document(document({{"v1", 10'000}}));
  set_two_versions();
  request_attributes retry = lookup();
  retry.attempt = 1;
  retry.tried_targets = {"t1"};
  int allowed = 0;
  for (int i = 0; i < 50; ++i) {
    const pick_result answer = core.pick(now, retry);
    if (const auto* c = std::get_if<upstream_choice>(&answer)) {
      EXPECT_EQ(c->target, "t3");
      finish(*c);
      ++allowed;
    }
  }
  EXPECT_EQ(allowed, 3);
  EXPECT_EQ(refused(retry), refusal_reason::retry_budget);
}

TEST_F(traffic_core_test, slots_are_released_by_finish_and_a_second_finish_changes_nothing) {
  core.set_document(document({{"v1", 10'000}}));
  set_two_versions();
  const upstream_choice c = chosen();
  finish(c);
  finish(c);
  EXPECT_EQ(core.counters().late_finishes, 1U);
  EXPECT_EQ(core.dump(now).at("pending").as_uint64(), 0U);
}

// Guards against an order that ignores the priority of accounts, and against calls of upstreams, which come without an
// account, that wait behind new requests.
TEST_F(traffic_core_test, accounts_come_before_routes_and_calls_of_upstreams_before_both) {
  const auto d = document({{"v1", full_share}});
  d->routes[0].priority = 1;
  set_accounts(*d, {{.name = "urgent", .priority = 0}, {.name = "other"}});
  core.set_document(d);
  endpoint_record only = endpoint("t1", "v1");
  only.slots = 1;
  core.set_members({member("n1", "dar-1", {only})}, now);
  request_attributes request = lookup();
  request.deadline = 10s;
  request.from_peer = true;
  request.service = "certdesk";
  request.account = "other";
  upstream_choice running = chosen(request);
  finish(running);
  running = chosen(request);
  ASSERT_TRUE(running.local);
  const std::vector<std::pair<std::uint64_t, std::string>> waiting{{1, "other"}, {2, "urgent"}, {3, ""}};
  for (const auto& [id, account] : waiting) {
    request.account = account;
    ASSERT_FALSE(core.pick(now, request, id)) << account;
  }
  for (const std::uint64_t expected : {3, 2, 1}) {
    finish(running);
    const auto answers = core.take_answers(now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].first, expected);
    running = std::get<upstream_choice>(answers[0].second);
  }
}

// A faulty version must lose this node's calls before the leader has decided. A fault of both versions must cut
// neither.
TEST_F(traffic_core_test, faulty_version_is_cut_locally_and_reported) {
  auto d = document({{"v1", 9'000}, {"v2", 1'000}});
  d->rollout_progress["certdesk"] = {.service = "certdesk", .from = "v1", .to = "v2", .share = 1'000};
  core.set_document(d);
  set_two_versions();
  int new_version_calls = 0;
  const auto run_one_second = [&](bool old_fails) {
    for (int i = 0; i < 100; ++i) {
      const upstream_choice c = chosen();
      const bool fails = c.upstream_version == "v2" || old_fails;
      new_version_calls += c.upstream_version == "v2" ? 1 : 0;
      finish(c, fails ? call_outcome::timeout : call_outcome::ok);
      now += 10ms;
      if (i % 20 == 19) core.tick(now);
    }
  };
  run_one_second(true);
  EXPECT_FALSE(core.take_evidence() && core.dump(now).at("cut_versions").as_array().size() > 0);
  new_version_calls = 0;
  for (int i = 0; i < 10; ++i) run_one_second(false);
  EXPECT_EQ(core.dump(now).at("cut_versions").as_array().size(), 1U);
  EXPECT_LT(new_version_calls, 30);
  const auto report = core.take_evidence();
  ASSERT_TRUE(report);
  EXPECT_EQ(report->disabled_locally, (std::vector<withdrawn_key>{{"certdesk", "v2"}}));
}

TEST(traffic_service, answers_picks_from_its_mailbox) {
  kernel k;
  settings own;
  own.id = "n1";
  own.availability_zone = "dar-1";
  own.seed = seed;
  auto made = capture([&] { return traffic_service::make(own); });
  ASSERT_TRUE(made);
  ASSERT_TRUE(k.add(std::move(*made)));
  ASSERT_TRUE(k.start());
  pick_result received;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        auto found = capture([&] { return k.find<traffic_message>(to_name(service_name::traffic)); });
        address<traffic_message> traffic = *found;
        traffic.post(update_document{document({{"v1", 10'000}})});
        auto view = std::make_shared<const std::vector<member_record>>(
            std::vector<member_record>{member("n1", "dar-1", {endpoint("t1", "v1")})});
        traffic.post(directory_changed{view});
        auto make = [](reply<pick_result> r) { return pick_upstream{lookup(), std::move(r)}; };
        auto answer = co_await ask<pick_result>(k.timers(), k.executor(), traffic, 5s, make);
        if (answer) received = *answer;
        co_await k.stop();
      },
      [](std::exception_ptr failure) {
        if (failure) std::rethrow_exception(failure);
      });
  k.io().run();
  ASSERT_TRUE(std::holds_alternative<upstream_choice>(received));
  EXPECT_EQ(std::get<upstream_choice>(received).target, "t1");
}

}  // namespace
}  // namespace heatherdeck

// Tests of the components behind the choice of an upstream: balancer, slow start, outlier ejection, retry budget, and
// the collection of evidence.
#include <gtest/gtest.h>

#include "traffic/balancer.h"
#include "traffic/evidence_collector.h"
#include "traffic/outlier_ejector.h"
#include "traffic/retry_budget.h"
#include "traffic/slow_start.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 3;
const time_point start_time = time_point{} + 1h;

// If the best of all candidates were chosen instead of the better of two, one target would get all requests until the
// next report.
TEST(balancer, equal_old_reports_do_not_send_all_traffic_to_one_upstream) {
  std::vector<load_estimate> loads(6);
  for (load_estimate& load : loads) load.apply_report({5, 0}, start_time);
  loads[2].apply_report({4, 0}, start_time);
  std::vector<balance_candidate> candidates;
  candidates.reserve(loads.size());
  for (const load_estimate& load : loads) candidates.push_back({.load = &load});
  balancer picker(seed);
  std::vector<int> chosen(6);
  for (int i = 0; i < 6000; ++i) ++chosen[*picker.pick(candidates, start_time + 400ms)];
  EXPECT_LT(chosen[2], 2200);
  for (const int n : chosen) EXPECT_GT(n, 500);
}

TEST(balancer, report_loses_weight_with_age_and_own_requests_are_not_counted_twice) {
  load_estimate load;
  load.own_in_flight = 3;
  load.apply_report({11, 2}, start_time);
  EXPECT_DOUBLE_EQ(load.estimated_requests(start_time), 13);
  EXPECT_DOUBLE_EQ(load.estimated_requests(start_time + 500ms), 8);
  EXPECT_NEAR(load.estimated_requests(start_time + 10s), 3, 0.01);
}

TEST(balancer, farther_class_only_when_no_nearer_slot_is_free_and_never_beyond_the_connection_limit) {
  load_estimate full;
  full.own_in_flight = 20;
  load_estimate idle;
  std::vector<balance_candidate> candidates{{.locality = locality_class::local, .load = &full},
                                            {.locality = locality_class::zone, .load = &full},
                                            {.locality = locality_class::region, .load = &idle},
                                            {.locality = locality_class::remote, .load = &idle}};
  balancer picker(seed);
  for (int i = 0; i < 50; ++i) EXPECT_EQ(picker.pick(candidates, start_time), 2U);
  idle.own_in_flight = 130;
  for (int i = 0; i < 50; ++i) EXPECT_LT(*picker.pick(candidates, start_time), 2U);
  full.own_in_flight = 130;
  EXPECT_FALSE(picker.pick(candidates, start_time));
}

// Requests left the region as soon as the estimates, which are half a second old, showed no free slot in it: four in
// ten at full load. The node of a full target queues or refuses them; only then do they leave.
TEST(balancer, request_leaves_the_region_only_after_a_refusal_there) {
  load_estimate full;
  full.own_in_flight = 20;
  load_estimate idle;
  std::vector<balance_candidate> candidates{{.locality = locality_class::zone, .load = &full},
                                            {.locality = locality_class::region, .load = &full},
                                            {.locality = locality_class::remote, .load = &idle}};
  balancer picker(seed);
  for (int i = 0; i < 50; ++i) EXPECT_LT(*picker.pick(candidates, start_time), 2U);
  candidates[0].tried = true;
  for (int i = 0; i < 50; ++i) EXPECT_EQ(picker.pick(candidates, start_time), 1U);
  candidates[1].refusing = true;
  for (int i = 0; i < 50; ++i) EXPECT_EQ(picker.pick(candidates, start_time), 2U);
}

TEST(balancer, avoided_candidate_is_used_only_when_there_is_no_other) {
  load_estimate idle;
  std::vector<balance_candidate> candidates{{.load = &idle, .tried = true}, {.load = &idle}};
  balancer picker(seed);
  for (int i = 0; i < 50; ++i) EXPECT_EQ(picker.pick(candidates, start_time), 1U);
  candidates.pop_back();
  EXPECT_EQ(picker.pick(candidates, start_time), 0U);
}

// Requests with large responses went to another region although this one had working upstreams, because an upstream
// that sheds load or is full was avoided like one that fails.
TEST(balancer, requests_that_avoid_other_regions_leave_only_when_the_own_region_has_no_upstream) {
  load_estimate idle;
  std::vector<balance_candidate> candidates{{.locality = locality_class::region, .load = &idle, .refusing = true},
                                            {.locality = locality_class::remote, .load = &idle}};
  balancer picker(seed);
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(picker.pick(candidates, start_time, spillover_policy::avoid_other_regions), 0U);
  EXPECT_EQ(picker.pick(candidates, start_time, spillover_policy::any_region), 1U);
  candidates[0].tried = true;
  EXPECT_FALSE(picker.pick(candidates, start_time, spillover_policy::avoid_other_regions))
      << "refused instead; the caller is told when to retry";
  candidates[0].suspect = true;
  EXPECT_EQ(picker.pick(candidates, start_time, spillover_policy::avoid_other_regions), 1U)
      << "no usable upstream in the own region";
}

TEST(slow_start, weight_grows_to_one_in_ten_seconds) {
  slow_start start;
  EXPECT_EQ(start.weight(start_time), 1);
  start.became_ready(start_time);
  EXPECT_DOUBLE_EQ(start.weight(start_time), slow_start::min_weight);
  EXPECT_DOUBLE_EQ(start.weight(start_time + 5s), 0.5);
  EXPECT_FALSE(start.active(start_time + 10s));
}

using status = outlier_ejector::status;

TEST(outlier_ejector, consecutive_failures_eject_and_fast_ones_count_double) {
  outlier_ejector ejector;
  for (int i = 0; i < 4; ++i) ejector.record("a", call_outcome::timeout, false, 10, start_time);
  EXPECT_EQ(ejector.status_of("a", start_time), status::available);
  ejector.record("a", call_outcome::timeout, false, 10, start_time);
  EXPECT_EQ(ejector.status_of("a", start_time), status::ejected);
  EXPECT_EQ(ejector.status_of("a", start_time + 5s), status::available);
  for (int i = 0; i < 3; ++i) ejector.record("b", call_outcome::upstream_error, true, 10, start_time);
  EXPECT_EQ(ejector.status_of("b", start_time), status::ejected);
}

// An upstream that fails every second call never fails five times in a row.
TEST(outlier_ejector, upstream_that_fails_every_second_call_is_ejected) {
  outlier_ejector ejector;
  for (int i = 0; i < 60; ++i) {
    ejector.record("a", i % 2 == 0 ? call_outcome::upstream_error : call_outcome::ok, false, 10, start_time);
  }
  EXPECT_EQ(ejector.status_of("a", start_time), status::ejected);
}

TEST(outlier_ejector, ejection_time_doubles_and_shortens_after_a_time_without_ejections) {
  outlier_ejector ejector;
  time_point now = start_time;
  const auto eject = [&] {
    for (int i = 0; i < 5; ++i) ejector.record("a", call_outcome::timeout, false, 10, now);
  };
  for (const auto length : {5s, 10s, 20s}) {
    eject();
    EXPECT_EQ(ejector.status_of("a", now + length - 1ms), status::ejected);
    now += length;
    EXPECT_EQ(ejector.status_of("a", now), status::available);
  }
  now += 10min;
  eject();
  EXPECT_EQ(ejector.status_of("a", now + 5s), status::available);
}

// When all upstreams fail for a shared cause, ejecting all would leave none, and ejecting most would overload the rest.
TEST(outlier_ejector, at_most_thirty_percent_are_ejected) {
  outlier_ejector ejector;
  for (int i = 0; i < 20; ++i) {
    for (int u = 0; u < 10; ++u) ejector.record(std::to_string(u), call_outcome::timeout, false, 10, start_time);
  }
  EXPECT_EQ(ejector.ejected(start_time), 3U);
}

TEST(outlier_ejector, upstream_that_refuses_a_request_is_avoided_for_a_short_time) {
  outlier_ejector ejector;
  ejector.record("a", call_outcome::not_executed, false, 10, start_time);
  EXPECT_EQ(ejector.status_of("a", start_time), status::avoided);
  EXPECT_EQ(ejector.status_of("a", start_time + 250ms), status::available);
}

TEST(retry_budget, retries_are_a_fraction_of_calls_and_unused_tokens_decay) {
  retry_budget budget(0.1);
  time_point now = start_time;
  int retries = 0;
  for (int i = 0; i < 10'000; ++i, now += 10ms) {
    budget.on_call(now);
    retries += budget.try_retry(now) ? 1 : 0;
  }
  EXPECT_NEAR(retries, 1000, 60);
  for (int i = 0; i < 10'000; ++i, now += 10ms) budget.on_call(now);
  int burst = 0;
  while (budget.try_retry(now)) ++burst;
  EXPECT_LT(burst, 160) << "half-life of ten seconds at ten tokens a second";
  retry_budget none(0);
  for (int i = 0; i < 3; ++i) none.try_retry(start_time);
  EXPECT_FALSE(none.try_retry(start_time + 1min));
}

compiled_document under_rollout(rollout_status status) {
  compiled_document document;
  document.rollout_progress["certdesk"] = {"certdesk", "v1", "v2", 100, status, {}, {}};
  return document;
}

// Nodes must send no evidence when there is no rollout.
TEST(evidence_collector, collects_only_for_rollouts_that_are_running_or_watching) {
  evidence_collector collector;
  const call_sample sample{"certdesk", "v2", "lookup", call_outcome::ok, 3ms, 800ms};
  collector.record(sample);
  EXPECT_FALSE(collector.take());
  collector.set_document(under_rollout(rollout_status::watching));
  collector.record(sample);
  auto report = collector.take();
  ASSERT_TRUE(report);
  ASSERT_EQ(report->rows.size(), 1U);
  EXPECT_EQ(report->rows[0].latency[2], 1U);
  collector.record(sample);
  collector.set_document(under_rollout(rollout_status::done));
  EXPECT_FALSE(collector.take());
}

// The node that sent a call cancels it when its time is nearly over. If such calls were not counted, a version would
// look faster the slower it is.
TEST(evidence_collector, call_cancelled_near_its_timeout_is_a_failure_and_a_timeout_in_a_cold_start_is_not) {
  evidence_collector collector;
  collector.set_document(under_rollout(rollout_status::running));
  call_sample sample{"certdesk", "v2", "lookup", call_outcome::cancelled, 790ms, 800ms};
  collector.record(sample);
  sample.latency = 100ms;
  collector.record(sample);
  sample.outcome = call_outcome::not_executed;
  collector.record(sample);
  sample.outcome = call_outcome::timeout;
  sample.cold_start = true;
  collector.record(sample);
  sample.outcome = call_outcome::upstream_error;
  collector.record(sample);
  const auto report = collector.take();
  ASSERT_TRUE(report);
  EXPECT_EQ(report->rows[0].calls, 2U);
  EXPECT_EQ(report->rows[0].failures, 2U);
  EXPECT_EQ(report->rows[0].latency[10], 1U) << "790 ms";
}

TEST(latency_bucket, edges_are_powers_of_two) {
  EXPECT_EQ(latency_bucket(0us), 0U);
  EXPECT_EQ(latency_bucket(1000us), 0U);
  EXPECT_EQ(latency_bucket(1001us), 1U);
  EXPECT_EQ(latency_bucket(64ms), 6U);
  EXPECT_EQ(latency_bucket(128ms), 7U);
  EXPECT_EQ(latency_bucket(10s), 14U);
  EXPECT_EQ(latency_bucket(60s), 15U);
}

}  // namespace
}  // namespace heatherdeck

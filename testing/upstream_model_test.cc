// Tests the model of the fake upstream, on which the results of the demo, the scenarios and the benchmarks depend.
#include "testing/upstream_model.h"

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

TEST(upstream_model, queues_requests_when_slots_are_busy_and_sheds_them_when_the_queue_is_full) {
  const time_point start{};
  upstream_model model({.slots = 2, .queue_limit = 1, .service_time = 10ms}, start);
  EXPECT_EQ(model.begin("/", {}, start).delay, 10ms);
  EXPECT_EQ(model.begin("/", {}, start).delay, 10ms);
  EXPECT_EQ(model.begin("/", {}, start).delay, 20ms);
  EXPECT_EQ(model.begin("/", {}, start).kind, upstream_model::decision::shed);
}

TEST(upstream_model, refuses_a_request_that_cannot_finish_before_its_deadline) {
  const time_point start{};
  upstream_model model({.slots = 1, .service_time = 10ms}, start);
  EXPECT_EQ(model.begin("/", 5ms, start).kind, upstream_model::decision::deadline_exceeded);
  EXPECT_EQ(model.in_flight(), 0U);
}

TEST(upstream_model, fault_applies_only_after_its_start_time_and_to_its_path_prefix) {
  const time_point start{};
  upstream_model model({.fault_start = 100ms, .fault_error_ratio = 1.0, .fault_path_prefix = "/book"}, start);
  EXPECT_EQ(model.begin("/book", {}, start).status, 200U);
  EXPECT_EQ(model.begin("/book/1", {}, start + 100ms).status, 500U);
  EXPECT_EQ(model.begin("/look", {}, start + 100ms).status, 200U);
}

TEST(upstream_model, reported_load_lags_behind_the_real_load) {
  const time_point start{};
  upstream_model model({.reported_load_lag = 50ms}, start);
  const auto planned_response = model.begin("/", {}, start);
  model.finish(planned_response.request_id, start + 10ms);
  EXPECT_EQ(model.in_flight(), 0U);
  EXPECT_EQ(model.reported_load(start + 20ms), 1U);
  EXPECT_EQ(model.reported_load(start + 80ms), 0U);
}

}  // namespace
}  // namespace heatherdeck

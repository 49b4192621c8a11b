// Guards the stand-in upstream: a wrong stand-in would make every measurement with it wrong.
#include "testing/upstream_model.h"

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

TEST(upstream_model, queues_beyond_its_slots_and_sheds_beyond_its_queue) {
  const time_point start{};
  upstream_model model({.slots = 2, .queue_limit = 1, .work = 10ms}, start);
  EXPECT_EQ(model.begin("/", {}, start).delay, 10ms);
  EXPECT_EQ(model.begin("/", {}, start).delay, 10ms);
  EXPECT_EQ(model.begin("/", {}, start).delay, 20ms);
  EXPECT_EQ(model.begin("/", {}, start).what, upstream_model::decision::shed);
}

TEST(upstream_model, refuses_what_cannot_finish_by_its_deadline) {
  const time_point start{};
  upstream_model model({.slots = 1, .work = 10ms}, start);
  EXPECT_EQ(model.begin("/", 5ms, start).what, upstream_model::decision::late);
  EXPECT_EQ(model.in_flight(), 0U);
}

TEST(upstream_model, fault_applies_from_its_time_and_on_its_path_only) {
  const time_point start{};
  upstream_model model({.fault_from = 100ms, .fail_ratio = 1.0, .fault_path = "/book"}, start);
  EXPECT_EQ(model.begin("/book", {}, start).status, 200U);
  EXPECT_EQ(model.begin("/book/1", {}, start + 100ms).status, 500U);
  EXPECT_EQ(model.begin("/look", {}, start + 100ms).status, 200U);
}

TEST(upstream_model, reported_load_is_as_old_as_the_lag) {
  const time_point start{};
  upstream_model model({.report_lag = 50ms}, start);
  const auto verdict = model.begin("/", {}, start);
  model.finish(verdict.ticket, start + 10ms);
  EXPECT_EQ(model.in_flight(), 0U);
  EXPECT_EQ(model.reported_load(start + 20ms), 1U);
  EXPECT_EQ(model.reported_load(start + 80ms), 0U);
}

}  // namespace
}  // namespace heatherdeck

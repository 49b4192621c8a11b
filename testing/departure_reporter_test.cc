// Tests which reports of departures a node sends again, and when one counts as recorded.
#include "node/departure_reporter.h"

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const target_departure departure{"i-1", {100, 7}};

// A receipt that is lost with its stream would leave an upstream without its acknowledgement.
TEST(departure_reporter, report_without_a_receipt_is_sent_again) {
  departure_reporter reporter;
  const time_point now{1h};
  const auto report = reporter.add(now, departure);
  ASSERT_TRUE(report);
  ASSERT_EQ(reporter.unanswered().size(), 1U);
  EXPECT_EQ(reporter.unanswered()[0].id, report->id);
  EXPECT_FALSE(reporter.is_recorded(departure));
  EXPECT_EQ(reporter.confirm(report->id), now);
  EXPECT_FALSE(reporter.confirm(report->id)) << "the second receipt of a report that was sent twice";
  EXPECT_TRUE(reporter.unanswered().empty());
  EXPECT_TRUE(reporter.is_recorded(departure));
  EXPECT_FALSE(reporter.is_recorded({"i-1", {100, 8}})) << "a later departure of the same target";
}

TEST(departure_reporter, reports_and_memory_are_bounded) {
  departure_reporter reporter;
  const time_point now{1h};
  std::uint64_t last = 0;
  for (std::size_t i = 0; i < departure_reporter::max_pending; ++i) {
    const auto report = reporter.add(now, {"i-" + std::to_string(i), {100, 7}});
    ASSERT_TRUE(report);
    last = report->id;
  }
  EXPECT_FALSE(reporter.add(now, departure));
  EXPECT_TRUE(reporter.expire(now + departure_reporter::receipt_timeout - 1ms).empty());
  EXPECT_EQ(reporter.expire(now + departure_reporter::receipt_timeout).size(), departure_reporter::max_pending);
  EXPECT_FALSE(reporter.confirm(last)) << "given up, so a late receipt has nobody to answer";
  EXPECT_TRUE(reporter.add(now, departure));
}

}  // namespace
}  // namespace heatherdeck

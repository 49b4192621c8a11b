// Tests of the inferred age of retries. When the age was counted from the retry instead of the first attempt, a request
// that could only be late took the place of one that could still meet its objective.
#include "traffic/retry_age_estimator.h"

#include <random>

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

TEST(retry_age_estimator, request_with_less_than_the_usual_deadline_is_a_retry) {
  retry_age_estimator estimator;
  for (int i = 0; i < 30; ++i) EXPECT_EQ(estimator.estimate(800ms), 0ms);
  EXPECT_EQ(estimator.estimate(650ms), 150ms);
  EXPECT_EQ(estimator.estimate(800ms), 0ms);
  EXPECT_EQ(estimator.estimate(2000ms), 0ms) << "a caller with a longer deadline than usual is not retrying";
}

TEST(retry_age_estimator, few_requests_give_no_usual_deadline) {
  retry_age_estimator estimator;
  EXPECT_EQ(estimator.estimate(800ms), 0ms);
  EXPECT_EQ(estimator.estimate(650ms), 0ms);
}

TEST(retry_age_estimator, callers_with_different_deadlines_give_no_usual_deadline) {
  retry_age_estimator estimator;
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) EXPECT_EQ(estimator.estimate(std::chrono::milliseconds(100 + random() % 2000)), 0ms);
}

TEST(retry_age_estimator, estimates_correctly_while_every_request_is_retried_once) {
  retry_age_estimator estimator;
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) {
    EXPECT_EQ(estimator.estimate(800ms), 0ms);
    const std::chrono::milliseconds elapsed(1 + random() % 300);
    const auto estimated = estimator.estimate(800ms - elapsed);
    EXPECT_EQ(estimated, i < 9 ? 0ms : elapsed);
  }
}

TEST(retry_age_estimator, changed_usual_deadline_takes_over) {
  retry_age_estimator estimator;
  for (int i = 0; i < 1000; ++i) estimator.estimate(800ms);
  for (int i = 0; i < 1000; ++i) estimator.estimate(500ms);
  EXPECT_EQ(estimator.estimate(500ms), 0ms);
  EXPECT_EQ(estimator.estimate(400ms), 100ms);
}

}  // namespace
}  // namespace heatherdeck

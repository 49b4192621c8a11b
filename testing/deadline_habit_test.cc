// Guards the age of repeated attempts: counted from the repetition, a request that can only come late took the place of
// one that could still meet its objective.
#include "traffic/deadline_habit.h"

#include <random>

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

TEST(deadline_habit, request_with_less_than_the_usual_deadline_has_come_back) {
  deadline_habit habit;
  for (int i = 0; i < 30; ++i) EXPECT_EQ(habit.time_gone(800ms), 0ms);
  EXPECT_EQ(habit.time_gone(650ms), 150ms);
  EXPECT_EQ(habit.time_gone(800ms), 0ms);
  EXPECT_EQ(habit.time_gone(2000ms), 0ms) << "a more patient caller has not come back";
}

TEST(deadline_habit, few_requests_show_no_habit) {
  deadline_habit habit;
  EXPECT_EQ(habit.time_gone(800ms), 0ms);
  EXPECT_EQ(habit.time_gone(650ms), 0ms);
}

TEST(deadline_habit, callers_with_deadlines_of_their_own_show_no_habit) {
  deadline_habit habit;
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) EXPECT_EQ(habit.time_gone(std::chrono::milliseconds(100 + random() % 2000)), 0ms);
}

TEST(deadline_habit, holds_while_every_request_comes_back_once) {
  deadline_habit habit;
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) {
    EXPECT_EQ(habit.time_gone(800ms), 0ms);
    const std::chrono::milliseconds gone(1 + random() % 300);
    const auto told = habit.time_gone(800ms - gone);
    EXPECT_EQ(told, i < 9 ? 0ms : gone);
  }
}

TEST(deadline_habit, changed_deadline_takes_over) {
  deadline_habit habit;
  for (int i = 0; i < 1000; ++i) habit.time_gone(800ms);
  for (int i = 0; i < 1000; ++i) habit.time_gone(500ms);
  EXPECT_EQ(habit.time_gone(500ms), 0ms);
  EXPECT_EQ(habit.time_gone(400ms), 100ms);
}

}  // namespace
}  // namespace heatherdeck

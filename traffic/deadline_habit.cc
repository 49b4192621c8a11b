// Counts deadlines by value and halves all counts from time to time, so that a changed habit takes over. Invariant:
// usual_ has the highest count, or there is none.
#include "traffic/deadline_habit.h"

#include <algorithm>

namespace heatherdeck {
namespace {

// Counts are halved at this total: a new habit takes over after about as many requests.
constexpr std::uint32_t remembered = 256;
// Fewer requests show no habit.
constexpr std::uint32_t least_requests = 20;
// Part of all requests that must have the usual deadline: even when every request comes back once it is a half.
constexpr std::uint32_t least_part = 4;

}  // namespace

std::chrono::milliseconds deadline_habit::time_gone(std::chrono::milliseconds deadline) {
  if (total_ >= remembered) forget_half();
  ++total_;
  const std::uint32_t count = ++counts_[deadline];
  if (deadline != usual_ && count > counts_[usual_]) usual_ = deadline;
  const bool is_habit = total_ >= least_requests && counts_[usual_] * least_part >= total_;
  return is_habit && deadline < usual_ ? usual_ - deadline : std::chrono::milliseconds(0);
}

void deadline_habit::forget_half() {
  total_ = 0;
  for (auto& [deadline, count] : counts_) total_ += count /= 2;
  std::erase_if(counts_, [](const auto& item) { return item.second == 0; });
}

}  // namespace heatherdeck

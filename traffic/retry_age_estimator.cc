// A histogram of deadlines whose counts are halved from time to time, so that a changed usual deadline takes over.
// Invariant: no deadline has a higher count than usual_deadline_. Cost: O(log n) for each call, O(n) for a halving; n
// is the number of distinct deadlines.
#include "traffic/retry_age_estimator.h"

#include <algorithm>

namespace heatherdeck {
namespace {

// Counts are halved when their sum reaches this value; a new usual deadline takes over after about as many requests.
constexpr std::uint32_t max_counted_requests = 256;
// With fewer requests no deadline counts as usual.
constexpr std::uint32_t min_requests = 20;
// At least 1/4 of the requests must have the usual deadline; it is 1/2 when every request is retried once.
constexpr std::uint32_t min_share_divisor = 4;

}  // namespace

std::chrono::milliseconds retry_age_estimator::estimate(std::chrono::milliseconds deadline) {
  if (total_ >= max_counted_requests) halve_counts();
  ++total_;
  const std::uint32_t count = ++counts_[deadline];
  if (deadline != usual_deadline_ && count > counts_[usual_deadline_]) usual_deadline_ = deadline;
  const bool has_usual_deadline = total_ >= min_requests && counts_[usual_deadline_] * min_share_divisor >= total_;
  return has_usual_deadline && deadline < usual_deadline_ ? usual_deadline_ - deadline : std::chrono::milliseconds(0);
}

void retry_age_estimator::halve_counts() {
  total_ = 0;
  for (auto& [deadline, count] : counts_) total_ += count /= 2;
  std::erase_if(counts_, [](const auto& item) { return item.second == 0; });
}

}  // namespace heatherdeck

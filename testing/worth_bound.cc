// In each period the requests with the most worth for their work fill the capacity; no schedule earns more. The
// capacity between the end of a period and the last objective or deadline is counted for both periods, so the sum stays
// a bound. After the end of the demand no capacity is counted, as if the demand went on. Cost: O(n log n) for each
// period.
#include "testing/worth_bound.h"

#include <algorithm>

namespace heatherdeck {
namespace {

using worth_and_work = std::pair<double, double>;

double fill(std::vector<worth_and_work> offered, double capacity) {
  std::sort(offered.begin(), offered.end(),
            [](const auto& a, const auto& b) { return a.first * b.second > b.first * a.second; });
  double sum = 0;
  for (const auto& [worth, work] : offered) {
    if ((capacity -= work) < 0) break;
    sum += worth;
  }
  return sum;
}

}  // namespace

worth_bound::worth_bound(std::vector<capacity_step> capacity, double end_ms)
    : capacity_(std::move(capacity)), end_ms_(end_ms) {
  for (const capacity_step& step : capacity_) cuts_.push_back(step.from_ms);
}

double worth_bound::capacity_between(double from_ms, double to_ms) const {
  double sum = 0;
  for (std::size_t i = 0; i < capacity_.size(); ++i) {
    const double end = i + 1 < capacity_.size() ? capacity_[i + 1].from_ms : end_ms_;
    sum += std::max(0.0, std::min(end, to_ms) - std::max(capacity_[i].from_ms, from_ms)) * capacity_[i].per_ms;
  }
  return sum;
}

double worth_bound::period_value(double from_ms, double to_ms) const {
  std::vector<worth_and_work> in_time;
  std::vector<worth_and_work> late;
  double last_objective = 0;
  double last_deadline = 0;
  double owed = 0;
  for (const offered_request& r : requests_) {
    if (r.at_ms < from_ms || r.at_ms >= to_ms) continue;
    in_time.emplace_back(r.worth, r.work_ms);
    late.emplace_back(r.late_worth, r.work_ms);
    last_objective = std::max(last_objective, r.objective_ms);
    last_deadline = std::max(last_deadline, r.deadline_ms);
    owed += r.worth;
  }
  const double objectives_end = to_ms + last_objective;
  return std::min(owed, fill(std::move(in_time), capacity_between(from_ms, objectives_end)) +
                            fill(std::move(late), capacity_between(objectives_end, to_ms + last_deadline)));
}

double worth_bound::value() const {
  std::vector<double> cuts = cuts_;
  cuts.push_back(end_ms_);
  std::sort(cuts.begin(), cuts.end());
  double sum = 0;
  for (std::size_t i = 0; i + 1 < cuts.size(); ++i) sum += period_value(cuts[i], cuts[i + 1]);
  return sum;
}

}  // namespace heatherdeck

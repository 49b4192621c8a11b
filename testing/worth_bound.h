/// @file
/// Upper bound of the worth that any schedule of simulated requests can earn with a given capacity.
///
///     worth_bound bound({{0, 12.0}, {8000, 5.3}}, 20000);   // 12 ms of work in each ms, and 5.3 from 8 s on
///     bound.add({.at_ms = 17, .worth = 2, .late_worth = 0.2, .work_ms = 130, .objective_ms = 500, .deadline_ms =
///     3000}); bound.value();
///
/// The time is cut where the capacity or the demand changes, because capacity that is idle before a surge can't serve
/// it. Used by caller_simulation.
#pragma once

#include <vector>

namespace heatherdeck {

/// The capacity from a time on, in ms of work at an upstream of speed 1 for each ms.
struct capacity_step {
  double from_ms = 0;
  double per_ms = 0;
};

struct offered_request {
  double at_ms = 0;
  double worth = 1;
  double late_worth = 0;
  double work_ms = 1;
  double objective_ms = 0;
  double deadline_ms = 0;
};

class worth_bound {
 public:
  /// @param capacity by rising time, the first from 0 on.
  /// @param end_ms end of the demand.
  worth_bound(std::vector<capacity_step> capacity, double end_ms);

  /// The demand changes at this time.
  void cut_at(double ms) { cuts_.push_back(ms); }

  void add(const offered_request& request) { requests_.push_back(request); }

  /// @return the bound; requests that arrive between two cuts compete for the capacity until the last objective of
  ///   them, and for that until the last deadline with the worth of late answers.
  double value() const;

 private:
  double capacity_between(double from_ms, double to_ms) const;
  double period_value(double from_ms, double to_ms) const;

  std::vector<capacity_step> capacity_;
  double end_ms_;
  std::vector<double> cuts_;
  std::vector<offered_request> requests_;
};

}  // namespace heatherdeck

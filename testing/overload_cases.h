/// @file
/// The loads under which admission is judged; caller_experiment prints them and admission_overload_test checks them.
#pragma once

#include <string>
#include <vector>

#include "testing/caller_simulation.h"

namespace heatherdeck {

struct overload_case {
  std::string name;
  caller_simulation_options options;
  std::string hot_account{};  ///< sends more than usual for some time; empty: none
};

/// @return every load, from calm to a retry storm; those with accounts have three kinds of request.
std::vector<overload_case> overload_cases();

/// @return the load of this name.
caller_simulation_options overload_case_named(const std::string& name);

/// What the callers got, over several seeds.
struct overload_sums {
  caller_result total;
  double of_bound() const { return total.earned / total.bound; }
  double of_mean_bound() const { return total.earned / total.mean_bound; }
  double of_owed() const { return total.earned / total.owed; }
  /// @return part of the requests of a route that were answered in time, late, or in vain.
  static double part(std::uint64_t n, const route_result& of) {
    return static_cast<double>(n) / static_cast<double>(of.asked);
  }
  /// @return the part of the requests that were answered before their deadline.
  double served_part() const;
  /// @return served part of the worst account with at least this many requests, as a fraction of that of all.
  double worst_account(std::uint64_t min_asked) const;
  /// @return the part of the requests of all accounts but one that were answered before their deadline.
  double served_part_without(const std::string& account) const;
};

/// Plays the load with the seeds 1, 2, ...
overload_sums play_overload(caller_simulation_options options, std::uint64_t seeds);

}  // namespace heatherdeck

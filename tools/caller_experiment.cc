// Plays overloads of one service in virtual time and prints what the callers get, beside the bounds that no schedule
// can exceed: "of bound" is the worth earned, as a fraction of the bound for a scheduler that knows every service time,
// "of mean" for one that knows only the mean of each route. "account" is the served part of the worst account with a
// hundred requests or more, as a fraction of that of all requests, "others" that of all accounts but the hot one.
//
//     caller_experiment --seeds=3
#include <fmt/format.h>
#include <gflags/gflags.h>

#include "testing/overload_cases.h"

DEFINE_uint64(seeds, 3, "runs of each load, with seeds 1, 2, ...");

namespace heatherdeck {
namespace {

constexpr std::uint64_t min_account_requests = 100;

int run() {
  fmt::print("{:21} {:>8} {:>7} {:>7} {:>7} {:>7} | {:>9} {:>7} {:>6} {:>7} {:>6} {:>6} | {:>6} {:>6}\n", "load",
             "of bound", "of mean", "of owed", "account", "others", "route", "in time", "late", "refused", "missed",
             "tries", "l.work", "remote");
  for (const overload_case& c : overload_cases()) {
    const overload_sums sums = play_overload(c.options, FLAGS_seeds);
    const caller_result& sum = sums.total;
    for (const route_result& route : sum.routes) {
      fmt::print(
          "{:21} {:8.3f} {:7.3f} {:7.3f} {:7.3f} {:7.3f} | {:>9} {:7.3f} {:6.3f} {:7.3f} {:6.3f} {:6.2f} | {:6.3f} "
          "{:6.3f}\n",
          c.name, sums.of_bound(), sums.of_mean_bound(), sums.of_owed(), sums.worst_account(min_account_requests),
          sums.served_part_without(c.hot_account), route.name, sums.part(route.in_time, route),
          sums.part(route.late, route), sums.part(route.refused, route), sums.part(route.timed_out, route),
          sums.part(route.attempts, route), sum.late_work_ms / sum.work_ms, sum.remote_share);
    }
  }
  return 0;
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return heatherdeck::run();
}

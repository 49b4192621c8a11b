// Plays overloads of one service in virtual time and prints what the callers get, beside the bound that no schedule can
// exceed. "of bound" is the measure: worth earned, as a fraction of the bound.
//
//     caller_experiment --seeds=3
#include <fmt/format.h>
#include <gflags/gflags.h>

#include "testing/caller_simulation.h"

DEFINE_uint64(seeds, 3, "runs of each load, with seeds 1, 2, ...");

namespace heatherdeck {
namespace {

struct load_case {
  const char* name;
  caller_simulation_options options;
};

int run() {
  const std::vector<load_case> cases{
      {"0.7 x", {.load = 0.7}},
      {"1.0 x", {.load = 1.0}},
      {"1.2 x", {.load = 1.2}},
      {"1.6 x", {.load = 1.6}},
      {"2.5 x", {.load = 2.5}},
      {"half lost", {.load = 0.7, .lost_from_s = 8}},
      {"slow when full", {.load = 1.2, .full_slowdown = 1.4}},
      {"slow upstreams", {.load = 1.2, .speeds = {0.6}}},
  };
  fmt::print("{:15} {:>8} {:>10} | {:>9} {:>8} {:>6} {:>8} {:>9} | {:>9} {:>8}\n", "load", "of bound", "of owed",
             "route", "in time", "late", "refused", "tries", "late work", "remote");
  for (const load_case& c : cases) {
    caller_result sum;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
      caller_simulation_options o = c.options;
      o.seed = seed;
      const caller_result r = simulate_callers(o);
      sum.earned += r.earned;
      sum.owed += r.owed;
      sum.bound += r.bound;
      sum.late_work_ms += r.late_work_ms;
      sum.work_ms += r.work_ms;
      sum.remote_share += r.remote_share / static_cast<double>(FLAGS_seeds);
      sum.routes.resize(r.routes.size());
      for (std::size_t i = 0; i < r.routes.size(); ++i) {
        sum.routes[i].name = r.routes[i].name;
        sum.routes[i].asked += r.routes[i].asked;
        sum.routes[i].in_time += r.routes[i].in_time;
        sum.routes[i].late += r.routes[i].late;
        sum.routes[i].refused += r.routes[i].refused;
        sum.routes[i].attempts += r.routes[i].attempts;
      }
    }
    for (const route_result& route : sum.routes) {
      const auto part = [&](std::uint64_t n) { return static_cast<double>(n) / static_cast<double>(route.asked); };
      fmt::print("{:15} {:8.3f} {:10.3f} | {:>9} {:8.3f} {:6.3f} {:8.3f} {:9.2f} | {:9.3f} {:8.3f}\n", c.name,
                 sum.earned / sum.bound, sum.earned / sum.owed, route.name, part(route.in_time), part(route.late),
                 part(route.refused), part(route.attempts), sum.late_work_ms / sum.work_ms, sum.remote_share);
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

/// @file
/// Simulates, in virtual time, callers of an overloaded service on a mesh of nodes: what do they get, and when?
///
///     caller_simulation_options o{.load = 1.6};
///     const caller_result result = simulate_callers(o);
///     result.route("preview").in_time;
///
/// Each host runs the production traffic_core; some hosts have an upstream of the service. A request goes from its
/// caller to the node of its host, and from there to the upstream on that host or over the network to another node,
/// whose admission queue runs, queues or refuses it. A refused caller comes back after the Retry-After that it was
/// given, at most a third of its time left, and a bounded number of times; its latency objective counts from its first
/// attempt. Upstreams of one service differ in speed. The same seed gives the same requests for every version of the
/// code.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heatherdeck {

/// A kind of request.
struct simulated_route {
  std::string name;
  double share = 1;            ///< of all requests
  std::uint32_t priority = 0;  ///< 0 is the most urgent
  double objective_ms = 400;
  double deadline_ms = 2500;
  double timeout_ms = 1200;
  double worth = 1;         ///< of an answer in time
  double late_worth = 0.1;  ///< of a later answer
  double work_ms = 120;     ///< mean service time at an upstream of speed 1
  double spread = 0.3;      ///< sigma of the lognormal service time
  bool idempotent = true;
};

/// A client account: its callers send this part of all requests.
struct simulated_account {
  std::string name;
  double share = 1;
  std::optional<std::uint32_t> priority{};  ///< takes precedence over that of the route
};

/// More requests than usual for some time.
struct simulated_surge {
  double from_s = 0;
  double to_s = 0;
  double factor = 1;  ///< on the usual number of requests of the route and account
  std::optional<std::size_t> route{};
  std::optional<std::size_t> account{};
};

struct caller_simulation_options {
  std::uint64_t seed = 1;
  double seconds = 20;
  double load = 1.2;  ///< first attempts, as a fraction of the capacity of all upstreams
  std::size_t hosts = 12;
  std::size_t upstreams = 4;  ///< on the first hosts
  std::uint32_t slots = 12;
  double full_slowdown = 1.0;  ///< factor on the service time when all slots are busy
  std::uint32_t retries = 2;   ///< of a caller that was refused
  std::vector<double> speeds{0.6, 1.0, 1.4};
  double lost_from_s = 0;    ///< half of the upstreams end at this time; 0: never
  double outage_from_s = 0;  ///< all upstreams end at this time and come back `outage_s` later; 0: never
  double outage_s = 1.5;
  std::vector<simulated_account> accounts{};  ///< empty: requests have no account
  std::vector<simulated_surge> surges{};
  /// Requests a second that each upstream accepts; 0 or missing: it states no limit.
  std::vector<double> rate_limits{};
  double limited_from_s = 0;  ///< from then on the upstreams state their limits in every response
  /// How often callers send one more request of the first route, always the same, that crashes the upstreams that run
  /// it; 0: never.
  double crashing_per_s = 0;
  double crashing_from_s = 4;
  double crash_after_ms = 60;  ///< time that it runs before the crash
  double downtime_ms = 3200;   ///< of an upstream that has crashed
  std::vector<simulated_route> routes{{.name = "preview", .share = 0.7, .priority = 2},
                                      {.name = "purchase",
                                       .share = 0.3,
                                       .priority = 1,
                                       .objective_ms = 500,
                                       .deadline_ms = 3000,
                                       .timeout_ms = 1500,
                                       .worth = 2,
                                       .late_worth = 0.2,
                                       .work_ms = 160,
                                       .spread = 0.5,
                                       .idempotent = false}};
};

/// What the callers of one route got.
struct route_result {
  std::string name;
  std::uint64_t asked = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;  ///< the last attempt was refused
  std::uint64_t timed_out = 0;
  std::uint64_t failed = 0;    ///< lost with an upstream and not sent again
  std::uint64_t attempts = 0;  ///< of callers
};

/// What the callers of one account got.
struct account_result {
  std::string name;
  std::uint64_t asked = 0;
  std::uint64_t served = 0;  ///< before the deadline
  double served_part() const { return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked); }
};

struct caller_result {
  std::vector<route_result> routes;
  std::vector<account_result> accounts;
  double earned = 0;        ///< worth of the answers
  double owed = 0;          ///< worth of all requests, answered in time
  double bound = 0;         ///< worth that a scheduler could earn that knows all arrivals and service times
  double mean_bound = 0;    ///< the same for one that knows of service times only the mean of each route
  double late_work_ms = 0;  ///< service time spent on late answers
  double work_ms = 0;       ///< service time spent on all answers
  double remote_share = 0;  ///< of the runs: at an upstream in another region
  /// Most runs at an upstream with a limit in a window of 4 s, which begins 3 s after the first statement or later, as
  /// a fraction of the tolerated number: one and a half times the limit, and 5.
  double worst_limited_window = 0;
  std::uint64_t crashes = 0;  ///< of upstreams
  /// Runs of the crashing request that began later than 3 s after its third crash.
  std::uint64_t late_crashing_runs = 0;

  const route_result& route(const std::string& name) const;
};

caller_result simulate_callers(const caller_simulation_options& options);

}  // namespace heatherdeck

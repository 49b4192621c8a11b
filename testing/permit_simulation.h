/// @file
/// Simulates the fleet-wide rate limit under a virtual clock: permit_store on every node, permit_granter on every
/// control host, callers, and a network with delays, losses and faults; everything is drawn from one seed.
///
///     permit_simulation simulation({.seed = 7, .faults = true});
///     const permit_simulation_result r = simulation.run();
///     EXPECT_LE(r.worst_excess, 0);
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "control/permit_granter.h"
#include "traffic/permit_store.h"

namespace heatherdeck {

struct permit_simulation_options {
  std::uint64_t seed = 1;
  bool faults = false;
  std::size_t hosts = 6;
  std::size_t nodes = 18;
  std::size_t accounts = 4;
  duration length = std::chrono::seconds(16);
  double fault_period_s = 0.85;  ///< mean time between faults
  double overload = 0.3;         ///< chance that an account sends five to eight times its usual demand for 6 s
  bool hoard = false;            ///< nodes send what they have permits for as late and as much at once as they can
  bool ignore_expiry = false;    ///< removes a mechanism, to see the test fail: permits never expire at nodes
  bool lend_without_deducting = false;  ///< likewise: the lender keeps what it lends
};

struct permit_simulation_result {
  double worst_excess = -1e9;  ///< largest number of requests in any window, less the bound
  std::uint64_t arrived = 0;
  std::uint64_t sent = 0;
  std::uint64_t below_limit = 0;  ///< requests refused here that one perfect token bucket would have let through
  std::uint64_t over_limit = 0;   ///< refused as over the limit
  std::uint64_t unavailable = 0;  ///< refused without an answer
  std::uint64_t node_messages = 0;
  std::uint64_t loan_messages = 0;
};

class permit_simulation {
 public:
  explicit permit_simulation(const permit_simulation_options& options);
  permit_simulation_result run();

 private:
  struct host {
    std::unique_ptr<permit_granter> granter;  ///< null while the process is down
    std::uint64_t process = 0;                ///< number of the process
    bool outsider = false;                    ///< not a voter yet
    bool removed = false;
    std::map<std::string, client_account> limits;
    std::uint64_t document = 0;  ///< version of `limits`
    std::size_t voters = 0;
    time_point wake_at = time_point::max();
  };
  struct node {
    std::unique_ptr<permit_store> store;
    std::uint64_t process = 0;
    std::size_t zone = 0;
    std::size_t source_host = 0;
    std::uint64_t source_process = 0;
    std::uint64_t stream = 0;  ///< 0: none
    time_point frozen_until{};
    time_point wake_at = time_point::max();
    std::map<std::uint64_t, std::string> waiting;  ///< account by waiter id
  };
  struct account {
    client_account limit;
    double usual = 0;  ///< demand, requests a second
    double factor = 1;
    std::vector<double> zones;  ///< share of the demand
    std::vector<time_point> sent;
    std::vector<std::pair<time_point, client_account>> history;  ///< limits and when they were decided
    double perfect_level = 0;
    time_point perfect_at{};
    std::int64_t perfect = 0;
    std::int64_t admitted = 0;  ///< got a permit
  };

  void at(time_point when, std::function<void()> action);
  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  bool chance(double p) { return uniform() < p; }
  duration delay(std::size_t from_zone, std::size_t to_zone);
  bool reachable(std::size_t from_zone, std::size_t to_zone) const;

  void start_host(std::size_t index);
  void pump_host(std::size_t index);
  void deliver_limits();
  void deliver_voters();
  void connect(std::size_t index);
  void lose_stream(std::size_t index);
  void pump_node(std::size_t index);
  void on_node(std::size_t index, std::uint64_t process, const std::function<void(node&)>& action);
  void send_request(std::size_t index, permit_request request);
  void send_loan(std::size_t from, std::size_t to, loan_message request);
  void use(std::size_t index, permit drawn);
  void let_through(std::size_t index, const permit& used);
  void schedule_arrival(std::size_t account_index);
  void arrive(std::size_t account_index);
  void schedule_faults();
  void inject_fault();
  double excess(const account& a) const;

  permit_simulation_options options_;
  std::mt19937_64 random_;
  time_point now_{};
  time_point end_{};
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<host> hosts_;
  std::vector<node> nodes_;
  std::vector<account> accounts_;
  std::size_t voters_ = 0;
  std::size_t cut_zone_ = SIZE_MAX;
  double loss_ = 0;
  std::uint64_t next_document_ = 1;
  std::uint64_t next_process_ = 1;
  std::uint64_t next_stream_ = 1;
  std::uint64_t next_waiter_ = 1;
  std::map<std::uint64_t, time_point> last_delivery_;  ///< by stream: messages of one direction stay in order
  permit_simulation_result result_;
};

}  // namespace heatherdeck

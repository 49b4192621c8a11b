// Loads without accounts have the two kinds of request of caller_simulation. The shares of the accounts fall with a
// power of their rank, so that a few accounts send most requests.
#include "testing/overload_cases.h"

#include <algorithm>
#include <cmath>

namespace heatherdeck {
namespace {

constexpr std::size_t account_count = 30;
constexpr double account_exponent = 1.2;

std::vector<simulated_account> make_accounts(std::uint32_t priorities) {
  std::vector<simulated_account> accounts;
  double sum = 0;
  for (std::size_t i = 0; i < account_count; ++i) {
    accounts.push_back({.name = "account-" + std::to_string(i), .share = std::pow(i + 1, -account_exponent)});
    if (priorities > 0) accounts.back().priority = static_cast<std::uint32_t>(i % priorities);
    sum += accounts.back().share;
  }
  for (simulated_account& a : accounts) a.share /= sum;
  return accounts;
}

std::vector<simulated_route> three_kinds() {
  return {{.name = "preview",
           .share = 0.5,
           .priority = 2,
           .objective_ms = 800,
           .deadline_ms = 1600,
           .worth = 0.8,
           .late_worth = 0.3,
           .work_ms = 170},
          {.name = "search", .share = 0.2, .priority = 1, .deadline_ms = 1000, .worth = 0.8, .late_worth = 0.25},
          {.name = "purchase",
           .share = 0.3,
           .priority = 0,
           .deadline_ms = 1000,
           .worth = 3,
           .late_worth = 0.4,
           .work_ms = 90,
           .idempotent = false}};
}

caller_simulation_options with_accounts(double load, std::vector<simulated_surge> surges = {},
                                        std::uint32_t priorities = 0) {
  return {.load = load, .accounts = make_accounts(priorities), .surges = std::move(surges), .routes = three_kinds()};
}

}  // namespace

std::vector<overload_case> overload_cases() {
  return {
      {"0.7 x", {.load = 0.7}},
      {"1.0 x", {.load = 1.0}},
      {"1.2 x", {.load = 1.2}},
      {"1.6 x", {.load = 1.6}},
      {"2.5 x", {.load = 2.5}},
      {"half lost", {.load = 0.7, .lost_from_s = 8}},
      {"slow when full", {.load = 1.2, .full_slowdown = 1.4}},
      {"slow upstreams", {.load = 1.2, .speeds = {0.6}}},
      {"least urgent burst", {.load = 0.7, .surges = {{.from_s = 8, .to_s = 12, .factor = 4, .route = 0}}}},
      {"most urgent burst", {.load = 0.7, .surges = {{.from_s = 8, .to_s = 12, .factor = 4, .route = 1}}}},
      {"retry storm", {.load = 0.9, .retries = 8, .outage_from_s = 8}},
      {"accounts 1.2 x", with_accounts(1.2)},
      {"accounts 1.6 x", with_accounts(1.6)},
      {"accounts 2.5 x", with_accounts(2.5)},
      {"equal priorities", with_accounts(1.6, {}, 1)},
      {"priorities 1.6 x", with_accounts(1.6, {}, 3)},
      {"priorities 2.5 x", with_accounts(2.5, {}, 3)},
      {"hot account", with_accounts(0.9, {{.from_s = 8, .to_s = 14, .factor = 6, .account = 0}}), "account-0"},
      {"hot account, one kind",
       {.load = 0.9,
        .accounts = make_accounts(0),
        .surges = {{.from_s = 8, .to_s = 14, .factor = 6, .account = 0}},
        .routes = {{.name = "lookup", .work_ms = 150}}},
       "account-0"},
      {"hot small account", with_accounts(1.1, {{.from_s = 8, .to_s = 14, .factor = 6, .account = 3}}), "account-3"},
  };
}

caller_simulation_options overload_case_named(const std::string& name) {
  const std::vector<overload_case> cases = overload_cases();
  return std::find_if(cases.begin(), cases.end(), [&](const overload_case& c) { return c.name == name; })->options;
}

double overload_sums::served_part() const {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  for (const route_result& r : total.routes) {
    asked += r.asked;
    served += r.in_time + r.late;
  }
  return static_cast<double>(served) / static_cast<double>(asked);
}

double overload_sums::worst_account(std::uint64_t min_asked) const {
  double worst = 1;
  for (const account_result& a : total.accounts) {
    if (a.asked >= min_asked) worst = std::min(worst, a.served_part() / served_part());
  }
  return worst;
}

double overload_sums::served_part_without(const std::string& account) const {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  for (const account_result& a : total.accounts) {
    if (a.name == account) continue;
    asked += a.asked;
    served += a.served;
  }
  return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked);
}

overload_sums play_overload(caller_simulation_options options, std::uint64_t seeds) {
  overload_sums sums;
  caller_result& total = sums.total;
  for (options.seed = 1; options.seed <= seeds; ++options.seed) {
    const caller_result r = simulate_callers(options);
    total.earned += r.earned;
    total.owed += r.owed;
    total.bound += r.bound;
    total.mean_bound += r.mean_bound;
    total.late_work_ms += r.late_work_ms;
    total.work_ms += r.work_ms;
    total.remote_share += r.remote_share / static_cast<double>(seeds);
    total.routes.resize(r.routes.size());
    total.accounts.resize(r.accounts.size());
    for (std::size_t i = 0; i < r.routes.size(); ++i) {
      route_result& route = total.routes[i];
      route.name = r.routes[i].name;
      route.asked += r.routes[i].asked;
      route.in_time += r.routes[i].in_time;
      route.late += r.routes[i].late;
      route.refused += r.routes[i].refused;
      route.timed_out += r.routes[i].timed_out;
      route.attempts += r.routes[i].attempts;
    }
    for (std::size_t i = 0; i < r.accounts.size(); ++i) {
      total.accounts[i].name = r.accounts[i].name;
      total.accounts[i].asked += r.accounts[i].asked;
      total.accounts[i].served += r.accounts[i].served;
    }
  }
  return sums;
}

}  // namespace heatherdeck

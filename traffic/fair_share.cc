// What an account usually sends is measured as its part of what all others send, so that a day on which all send more
// makes none of them excessive. Only the part beyond the usual one is marked: an account that sends six times its usual
// keeps about a sixth of its requests among those of the others. Invariant: a credit is between -1 and 3.5, so neither
// a long idle time nor a long time of good service changes more than four starts. Cost: O(log accounts) for each call,
// O(accounts) when a new account comes and the table is full.
#include "traffic/fair_share.h"

#include <algorithm>
#include <cmath>

namespace heatherdeck {
namespace {

// Requests above the expected number that are no surge: two deviations of a Poisson count, and two more because small
// accounts send single requests.
constexpr double noise_deviations = 2;
constexpr double noise_requests = 2;
constexpr double max_within_usual = 2;
// The shares measured in this time after the first request are taken for the usual ones.
constexpr duration first_shares_period = std::chrono::seconds(5);
// An account with nearly all of the requests has no others to be compared with.
constexpr double max_usual_share = 0.95;
// An account without requests for so long gives up its place in the table.
constexpr duration idle_period = std::chrono::minutes(2);
// From the first of these numbers of missing starts on, an account's requests rank with those of the most urgent
// accounts, and from the second on they go before all: an account that sends only requests of the least urgent routes
// gets its share too. With 1 and 2, chance alone made starts due to accounts that got what others did; with 2 and 3 the
// worst account got 0.25 of the rate of all at an overload of 2.5.
constexpr double due_credit = 1.5;
constexpr double owed_credit = 2.5;
constexpr double max_credit = 3.5;
constexpr double min_credit = -1;

}  // namespace

void decaying_sum::add(time_point now, double amount) {
  sum_ = at(now) + amount;
  updated_at_ = std::max(now, updated_at_);
}

double decaying_sum::at(time_point now) const {
  const double elapsed_s = std::chrono::duration<double>(now - updated_at_).count();
  return elapsed_s > 0 ? sum_ * std::exp2(-elapsed_s / half_life_s_) : sum_;
}

double fair_share::start_credit::on_arrival(double part) {
  credit_ = std::min(max_credit, credit_ + part);
  return credit_;
}

void fair_share::start_credit::on_start() { credit_ = std::max(min_credit, credit_ - 1); }

double fair_share::started_part(time_point now) const {
  const double arrivals = arrivals_.at(now);
  return arrivals <= 0 ? 1 : std::min(1.0, starts_.at(now) / arrivals);
}

fair_share::account_state* fair_share::find_or_add(time_point now, const std::string& account) {
  const auto known = accounts_.find(account);
  if (known != accounts_.end()) return &known->second;
  if (accounts_.size() >= max_accounts) {
    std::erase_if(accounts_, [&](const auto& item) { return now - item.second.updated_at > idle_period; });
  }
  if (accounts_.size() >= max_accounts) return nullptr;
  account_state& added = accounts_[account];
  added.updated_at = now;
  return &added;
}

// The usual share follows the recent one with time and not with the number of requests: under overload each of them
// comes several times, and a surge would become usual within a second.
void fair_share::learn_usual(time_point now, account_state& account) const {
  const double share = account.recent.at(now) / recent_.at(now);
  const double elapsed_s = std::chrono::duration<double>(now - account.updated_at).count();
  const bool first = now - *first_arrival_ < first_shares_period;
  account.usual_share += (first ? 1 : 1 - std::exp2(-elapsed_s / usual_s)) * (share - account.usual_share);
  account.updated_at = now;
}

bool fair_share::is_excess(time_point now, account_state& account) const {
  if (account.usual_share > max_usual_share) return false;
  const double recent = account.recent.at(now);
  const double expected = account.usual_share / (1 - account.usual_share) * (recent_.at(now) - recent);
  const double allowed = expected + noise_deviations * std::sqrt(std::max(0.0, expected)) + noise_requests;
  account.within_usual = std::min(max_within_usual, account.within_usual + std::min(1.0, allowed / recent));
  if (account.within_usual < 1) return true;
  account.within_usual -= 1;
  return false;
}

share_standing fair_share::on_arrival(time_point now, const std::string& account, const std::string& route) {
  const double started = started_part(now);
  arrivals_.add(now, 1);
  share_standing standing{.owed = routes_[route].on_arrival(route_part * started) >= owed_credit};
  account_state* const state = account.empty() ? nullptr : find_or_add(now, account);
  if (state == nullptr) return standing;
  if (!first_arrival_) first_arrival_ = now;
  recent_.add(now, 1);
  state->recent.add(now, 1);
  learn_usual(now, *state);
  standing.excess = is_excess(now, *state);
  // What the account sends beyond its usual share earns it no further starts.
  const double credit = state->credit.on_arrival(standing.excess ? 0 : account_part * started);
  standing.due = credit >= due_credit && !standing.excess;
  standing.owed = standing.owed || credit >= owed_credit;
  return standing;
}

void fair_share::on_start(time_point now, const std::string& account, const std::string& route) {
  starts_.add(now, 1);
  routes_[route].on_start();
  const auto state = accounts_.find(account);
  if (state != accounts_.end()) state->second.credit.on_start();
}

}  // namespace heatherdeck

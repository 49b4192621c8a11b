// The normalising constant of the noncentral hypergeometric distribution is a sum over the possible values of k_new. It
// is computed relative to the term of the observed value, each term from the one before by their ratio, so that nothing
// overflows.
//
// Invariant: e_value() is a weighted average of non-negative supermartingales that start at 1. Cost: O(bets * events)
// per window, and one number per bet of memory.
#include "model/sequential_odds_test.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace heatherdeck {
namespace {

// Odds ratios that are bet on, as multiples of the tolerated one: from about 1.6 times the failures to a version that
// always fails.
constexpr std::array<double, odds_bet_count> bet_ratios{1.6, 2.5, 4, 8, 20, 80, 1000};
// Upper bound of a bet's value: keeps products finite and is far above any threshold.
constexpr double max_bet_value = 1e15;

// Possible values of k_new, given K: [low, high].
struct support {
  double low;
  double high;
};

support support_of(const stratum_counts& w) {
  const double events = static_cast<double>(w.new_events) + w.old_events;
  return {std::max(0.0, events - w.old_calls), std::min<double>(events, w.new_calls)};
}

// Sum over k of C(n_new, k) C(n_old, K - k) theta^k, divided by its term at k = new_events.
double relative_normaliser(const stratum_counts& w, double theta) {
  const support range = support_of(w);
  const double events = static_cast<double>(w.new_events) + w.old_events;
  const double n_new = w.new_calls;
  const double n_old = w.old_calls;
  double sum = 1;
  double term = 1;
  for (double k = w.new_events; k < range.high; ++k) {
    term *= theta * (n_new - k) * (events - k) / ((k + 1) * (n_old - events + k + 1));
    sum += term;
    if (term < sum * 1e-12) break;
  }
  term = 1;
  for (double k = w.new_events; k > range.low; --k) {
    term *= k * (n_old - events + k) / (theta * (n_new - k + 1) * (events - k + 1));
    sum += term;
    if (term < sum * 1e-12) break;
  }
  return sum;
}

}  // namespace

double log_odds_factor(const stratum_counts& window, double theta, double tolerated) {
  const support range = support_of(window);
  if (range.low == range.high) return 0;
  return std::log(relative_normaliser(window, tolerated)) - std::log(relative_normaliser(window, theta));
}

sequential_odds_test::sequential_odds_test(sequential_odds_test_options options)
    : options_(options),
      window_reserve_(1 - options.weight_at_start - options.weight_of_changes),
      change_reserve_(options.weight_of_changes),
      first_window_bet_(options.weight_at_start) {}

bet_log_factors sequential_odds_test::factors(const stratum_counts& stratum, double allowance, double windows) const {
  bet_log_factors log_factors{};
  const support range = support_of(stratum);
  if (range.low == range.high) return log_factors;
  const double max_log_factor = windows * std::log(options_.max_factor);
  const double tolerated = options_.tolerated_odds_ratio * allowance;
  const double log_tolerated = std::log(relative_normaliser(stratum, tolerated));
  for (std::size_t i = 0; i < odds_bet_count; ++i) {
    if (bet_ratios[i] <= allowance) continue;
    const double bet = std::log(relative_normaliser(stratum, options_.tolerated_odds_ratio * bet_ratios[i]));
    log_factors[i] = std::min(log_tolerated - bet, max_log_factor);
  }
  return log_factors;
}

void sequential_odds_test::add(std::span<const stratum_counts> strata) {
  bet_log_factors sum{};
  for (const stratum_counts& stratum : strata) {
    const bet_log_factors log_factors = factors(stratum);
    for (std::size_t i = 0; i < odds_bet_count; ++i) sum[i] += log_factors[i];
  }
  add_factors(sum);
}

void sequential_odds_test::expect_change() {
  const double amount = change_reserve_ / 8;
  change_reserve_ -= amount;
  change_bet_ += amount;
}

void sequential_odds_test::add_factors(const bet_log_factors& sum) {
  const double window_bet = window_reserve_ / static_cast<double>(options_.windows);
  window_reserve_ -= window_bet;
  const double new_bets = window_bet + std::exchange(change_bet_, 0) + std::exchange(first_window_bet_, 0);
  for (std::size_t i = 0; i < odds_bet_count; ++i) {
    const double value = (bets_[i] + new_bets / static_cast<double>(odds_bet_count)) * std::exp(sum[i]);
    bets_[i] = std::min(value, max_bet_value);
  }
}

double sequential_odds_test::e_value() const {
  double sum = window_reserve_ + change_reserve_ + change_bet_ + first_window_bet_;
  for (const double bet : bets_) sum += bet;
  return sum;
}

}  // namespace heatherdeck

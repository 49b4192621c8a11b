/// @file
/// Sequential test whether the event rate of a new version is higher than that of an old one, measured at the same
/// time. It may be evaluated after every window without raising its false-positive rate. The rollout service and each
/// node use it to detect a bad upstream version.
///
/// A window (one second) has n_new calls of the new version, of which k_new show the event (failed, or slow), and
/// likewise n_old and k_old of the old one. Given the number of events K = k_new + k_old, k_new has Fisher's noncentral
/// hypergeometric distribution, which depends only on the odds ratio of the two versions and not on the rates. A rate
/// that varies with time, load or zone therefore does not matter as long as it varies for both versions.
///
///     sequential_odds_test test({.tolerated_odds_ratio = 1.2, .windows = 900});
///     test.add({window_of_zone_1, window_of_zone_2});   // counts of the same second
///     if (test.e_value() >= 200) ...                   // ever true for a good version: probability <= 1/200
///
/// Theory (e-process). A bet on the odds ratio `theta` multiplies by the likelihood ratio
///     L = P(k_new | K, theta) / P(k_new | K, tolerated)
/// whose expectation is at most 1 whenever the true odds ratio is at most `tolerated`. Products of such factors form a
/// non-negative supermartingale, so by Ville's inequality the probability that the product ever reaches 1/a is at most
/// a, however often it is evaluated. The same holds for weighted averages of such products. The test averages over bets
/// `theta`, because the size of a fault is not known in advance, and over the window in which a fault begins, because
/// it may begin late (S <- (S + w) * L sums over all starts). Each factor is limited to `max_factor`: a smaller
/// factor keeps the guarantee, and no single second in one zone, such as a pause of one upstream, decides alone.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace heatherdeck {

/// Counts of both versions in one stratum (availability zone) and one window.
struct stratum_counts {
  std::uint32_t new_calls = 0;
  std::uint32_t new_events = 0;  ///< of `new_calls`: failed, or slow
  std::uint32_t old_calls = 0;
  std::uint32_t old_events = 0;  ///< of `old_calls`
};

/// @param theta odds ratio of the bet.
/// @param tolerated odds ratio up to which the new version is good.
/// @return natural logarithm of P(new_events | K, theta) / P(new_events | K, tolerated).
/// Cost: O(min(K, new_calls, old_calls)).
double log_odds_factor(const stratum_counts& window, double theta, double tolerated);

/// Number of odds ratios that are bet on.
inline constexpr std::size_t odds_bet_count = 7;

/// Natural logarithms of the factors of one window, one for each bet.
using bet_log_factors = std::array<double, odds_bet_count>;

struct sequential_odds_test_options {
  double tolerated_odds_ratio = 1.0;  ///< odds ratio up to which the new version is good
  double max_factor = 12.0;           ///< limit of the factor of one stratum in one window
  std::size_t windows = 900;          ///< number of windows over which bets on the start of a fault are spread
  double weight_at_start = 0.2;       ///< fraction of the bets placed in the first window
  double weight_of_changes = 0.3;     ///< fraction reserved for expect_change; each call places an eighth of the rest
};

/// The e-process of one series of windows. The sum of all bets is 1 at the start.
class sequential_odds_test {
 public:
  explicit sequential_odds_test(sequential_odds_test_options options = {});

  /// Adds the strata of one window. A stratum without calls of both versions has no effect.
  void add(std::span<const stratum_counts> strata);

  /// @param allowance multiplies the tolerated odds ratio, for a stratum that pools parts whose rates may differ; bets
  ///   that are not above the product have factor 1.
  /// @param windows number of windows (seconds or zones) that the stratum pools; the limit of the factor is raised to
  ///   this power.
  /// @return the factors of one stratum. Tests with equal options may share the result.
  bet_log_factors factors(const stratum_counts& stratum, double allowance = 1, double windows = 1) const;

  /// Places additional bets in the next window, because something changed that may reveal a fault (such as the share).
  /// For the guarantee to hold, the call must not depend on the outcomes in that window.
  void expect_change();

  /// Adds one window, given the sum of the factors of its strata.
  void add_factors(const bet_log_factors& sum);

  /// @return the e-value against the hypothesis that the new version is no worse than tolerated; 1 at the start.
  double e_value() const;

 private:
  sequential_odds_test_options options_;
  bet_log_factors bets_{};   ///< current value of the placed bets, for each theta
  double window_reserve_;    ///< bets reserved for later windows; each window places the same fraction of the rest
  double change_reserve_;    ///< bets reserved for changes
  double change_bet_ = 0;    ///< bets to place in the next window because of a change
  double first_window_bet_;  ///< bets to place in the first window
};

}  // namespace heatherdeck

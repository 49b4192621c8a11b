/// @file
/// Sequential comparison of two rates that were measured at the same time, valid at every look.
///
/// One window holds n_new calls of the new version, of which k_new show the event (failed, or slow), and the same for
/// the old one. Given the number of events K = k_new + k_old, k_new follows Fisher's noncentral hypergeometric law,
/// which depends only on the ratio of the odds of the two versions and not on the rate itself. A rate that moves with
/// time, load or zone therefore does not matter as long as it moves both versions.
///
///     sequential_odds_test test({.tolerated_odds = 1.2, .windows = 900});
///     test.add({window_of_zone_1, window_of_zone_2});   // counts of the same second
///     if (test.evidence() >= 200) ...                   // happens with probability <= 1/200, ever, for a good version
///
/// Theory (e-process). For a bet on the odds ratio `theta` the factor
///     L = P(k_new | K, theta) / P(k_new | K, tolerated)
/// has an expectation of at most 1 whenever the true odds ratio is at most `tolerated`. Products of such factors are a
/// non-negative supermartingale, so by Ville's inequality the probability that it ever reaches 1/a is at most a,
/// however often one looks. The same holds for averages: over bets `theta`, because the size of a fault is not known
/// before; and over the window in which a fault begins, because it may begin late (S <- (S + w) * L sums over all
/// starts). Each factor is cut at `largest_factor`: a smaller factor keeps the guarantee, and no single second in one
/// zone, such as a pause of one upstream, can decide alone.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace heatherdeck {

/// Counts of one stratum (availability zone) in one window.
struct odds_window {
  std::uint32_t new_calls = 0;
  std::uint32_t new_events = 0;
  std::uint32_t old_calls = 0;
  std::uint32_t old_events = 0;
};

/// @return log of P(new_events | K, theta) / P(new_events | K, tolerated).
/// Cost: O(min(K, new_calls, old_calls)).
double log_odds_factor(const odds_window& window, double theta, double tolerated);

/// How many odds ratios are bet on.
inline constexpr std::size_t odds_bets = 7;

/// Logarithms of the factors of one window, one for each bet.
using odds_factors = std::array<double, odds_bets>;

struct odds_test_options {
  double tolerated_odds = 1.0;     ///< an odds ratio up to this is no fault
  double largest_factor = 12.0;    ///< of one stratum in one window
  std::size_t windows = 900;       ///< over how many windows the start of a fault is spread
  double weight_at_start = 0.2;    ///< part of the bets placed in the first window
  double weight_of_changes = 0.3;  ///< part of the bets kept for expect_change; each change takes an eighth of the rest
};

/// The e-process of one series of windows.
class sequential_odds_test {
 public:
  explicit sequential_odds_test(odds_test_options options = {});

  /// Takes in the strata of one window; strata without calls of both versions change nothing.
  void add(std::span<const odds_window> strata);

  /// @param allowance multiplies the tolerated odds, for strata whose parts may differ in rate; bets that are not
  ///   above the product are left out.
  /// @param windows how many windows, in seconds or zones, the stratum covers; the largest factor is raised to this
  ///   power.
  /// @return the factors of one stratum. Tests with equal options may share them.
  odds_factors factors(const odds_window& stratum, double allowance = 1, double windows = 1) const;

  /// Places more of the bets in the next window, because something has changed that may bring out a fault. It must not
  /// depend on the outcomes in that window.
  void expect_change();

  /// Takes in one window as the sum of its strata's factors.
  void add_factors(const odds_factors& sum);

  /// @return the evidence against "the new version is no worse"; starts at 1.
  double evidence() const;

 private:
  odds_test_options options_;
  odds_factors bets_{};  ///< value of the bets placed, for each theta
  double for_windows_;   ///< part of the bets kept for the windows to come; each takes the same fraction of it
  double for_changes_;   ///< part of the bets kept for changes
  double expected_ = 0;  ///< part of the bets for the next window because of a change
  double for_first_window_;
};

}  // namespace heatherdeck

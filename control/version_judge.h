/// @file
/// Compares the new version of a rollout with the old one (canary analysis): tells from the evidence of all nodes
/// whether the new version has more failures or slow calls. rollout_core owns one for each rollout.
///
///     version_judge judge("v1", "v2", {});
///     judge.add("dar-1", row);                  // rows of the current second, from any node
///     judge.close_window();                     // once a second, more often in a short rollout
///     if (judge.e_value() >= judge.threshold()) withdraw(judge.summary());
///
/// Series: all calls together, and each route by itself, so that a fault on a route with one call in a hundred is not
/// diluted. In each series three rates are compared: failures, calls slower than a multiple of the old version's
/// median, and calls slower than a multiple of its 95% quantile; both quantiles are taken from earlier windows.
///
/// Strata: the versions are compared within an availability zone. A zone that has only the new version is compared with
/// the zones that have only the old one. A single faulty zone, or a single faulty host in it, must not be attributed to
/// the version: when the new version is in at least three zones (in two, when one of them lacks the old version), the
/// e-value is computed with each zone left out in turn, and the lowest one counts. When the new version is in one zone
/// only, and the old one is not there, the two causes cannot be told apart; the fault is attributed to the version
/// then, because its callers are affected either way.
///
/// Sparse series: a window with few calls is extended to up to twenty seconds. When it still has only a few calls per
/// zone, the zones are pooled. Where calls of different zones are compared in a window that is not sparse, a higher
/// odds ratio is tolerated because the zones' rates may differ.
///
/// Error rate: `e_value()` is a weighted average of e-processes (model/sequential_odds_test.h) over series and rates.
/// By Ville's inequality the probability that a version which is no worse than tolerated is ever judged bad, over all
/// looks, routes and rates together, is at most `false_rollback`. A fixed-sample test with the same nominal rate that
/// is evaluated each second rejects a good version far more often; testing/version_judge_test.cc compares the two.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/distribution_messages.h"
#include "model/sequential_odds_test.h"

namespace heatherdeck {

struct judge_options {
  double false_rollback = 0.005;         ///< probability that a good version is ever judged bad
  double tolerated_failure_odds = 1.25;  ///< odds ratio of failure, new to old, up to which a version is good
  double tolerated_slow_odds = 1.5;      ///< the same for slow calls; higher, as bucket edges amplify small changes
  /// Factors on the median and the 95% quantile above which a call counts as slow, as powers of two; the first element
  /// is unused.
  std::array<std::size_t, 3> slow_edge_shifts{};
  std::size_t windows = 900;  ///< windows in which a fault may begin: finish time and watch time
};

/// Numbers of calls and failures of both versions.
struct call_totals {
  std::uint64_t new_calls = 0;
  std::uint64_t new_failures = 0;
  std::uint64_t old_calls = 0;
  std::uint64_t old_failures = 0;
};

class version_judge {
 public:
  /// @param from the old version; empty: all versions but `to`.
  /// @param to the new version.
  version_judge(std::string from, std::string to, judge_options options = {});

  /// Adds one row to the current window; rows of other versions are ignored.
  void add(const std::string& availability_zone, const evidence_row& row);

  /// Ends the current window.
  void close_window();

  /// @return the e-value, the strength of the evidence that the new version is worse; 1 at the start.
  double e_value() const;

  /// @return the e-value from which the new version is judged bad: 1 / false_rollback.
  double threshold() const { return 1 / options_.false_rollback; }

  /// @return true when the new version has more failures or slow calls than the old one had earlier, while the old one
  /// has few or no calls to compare with. No error rate is guaranteed: a cause that affects both versions looks the
  /// same. The caller should return some traffic to the old version, which makes the comparison possible.
  bool drift_detected() const;

  /// Resets the drift detection and reduces the weight of earlier calls in the baseline, so that the present rates soon
  /// count as normal.
  void reset_drift();

  /// @return the calls since the last begin_step.
  const call_totals& calls_since_step() const { return calls_since_step_; }

  /// @return all calls since the construction.
  const call_totals& totals() const { return total_; }

  /// To be called when the share has changed: ends the window, so that calls before and after the change never share
  /// one, and resets calls_since_step. The e-value is kept.
  void begin_step();

  /// Counts calls_since_step from now on, without a change of the share.
  void restart_step_counts() { calls_since_step_ = {}; }

  /// @return a text for operators, e.g. "v2 failed 9 of 120 calls, v1 2 of 4000; evidence 31 of 200 (route lookup)".
  std::string summary() const;

 private:
  static constexpr std::size_t rates = 3;  ///< failures, slower than the median, slower than 95%
  using histogram = std::array<double, latency_buckets>;

  struct version_counts {
    std::uint32_t calls = 0;
    std::uint32_t failures = 0;
    std::array<std::uint32_t, latency_buckets> latency{};
  };
  struct zone_counts {
    version_counts new_version;
    version_counts old_version;
  };
  /// Baseline of one rate from the calls of the old version, and the CUSUM of the new version's excess over it while
  /// the old one has few calls.
  struct drift {
    double calls = 0;
    double events = 0;
    double excess = 0;
  };
  struct zone_presence {
    std::size_t new_last_seen = 0;  ///< number of the window of the last call, plus 1; 0: never
    std::size_t old_last_seen = 0;
  };
  /// The tests of the three rates with one zone left out.
  struct test_variant {
    std::array<sequential_odds_test, rates> tests;
  };
  struct series {
    std::map<std::string, zone_counts> window;  ///< by zone
    std::size_t window_age = 0;                 ///< seconds that `window` covers
    zone_counts second;                         ///< counts of the current second, all zones
    std::map<std::string, zone_presence> zones;
    std::map<std::string, test_variant> variants;  ///< by the zone left out; "": none
    histogram baseline{};                          ///< latency of the old version, with exponential decay
    std::array<drift, rates> drifts;
    double weight = 0;  ///< in the average of all series
  };

  series make_series(double weight) const;
  static void count(series& s, const std::string& zone, const evidence_row& row, bool new_version);
  void close(series& s, bool force);
  bool sparse(const series& s) const;
  void follow_drift(series& s, const std::array<std::size_t, rates>& edges);
  stratum_counts rate_counts(const zone_counts& counts, std::size_t rate, std::size_t edge) const;
  void test(series& s, std::size_t rate, std::size_t edge) const;
  bool must_pool(const series& s, const std::string& left_out) const;
  bool has_both(const series& s, const std::string& zone) const;
  std::vector<std::string> zones_to_leave_out() const;
  double e_value_without(const std::string& zone) const;
  double e_value_of(const series& s, const std::string& left_out) const;
  bool present(std::size_t seen) const;

  std::string from_;
  std::string to_;
  judge_options options_;
  std::size_t window_ = 0;  ///< number of closed windows
  series all_;
  std::map<std::string, series> routes_;
  call_totals total_;
  call_totals calls_since_step_;
};

}  // namespace heatherdeck

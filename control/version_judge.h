/// @file
/// Decides from the evidence of all nodes whether the new version of a rollout is worse than the old one.
///
///     version_judge judge("v1", "v2", {});
///     judge.add("dar-1", row);                  // rows of the current second, from any node
///     judge.close_window();                     // once a second
///     if (judge.evidence() >= judge.threshold()) withdraw(judge.words());
///
/// Series: all calls together, and each route by itself, so that a fault on a route with one call in a hundred is not
/// diluted. In each series three rates are compared: failures, calls slower than the old version's median, and calls
/// slower than its 95% quantile; both quantiles are those of the windows before.
///
/// Strata: old and new are compared within an availability zone. A zone that has only the new version is compared with
/// the zones that have only the old one. To keep a single faulty zone, or a single faulty host in it, from being blamed
/// on the version, the evidence must hold without any one zone, when the new version is in at least three (in two, when
/// one of them lacks the old version). When it is in one zone only, and the old one is not there, the two causes cannot
/// be told apart; the version is blamed then, since its callers are hurt either way.
///
/// Sparse series: a window with few calls is carried on for up to twenty seconds. When it still holds only a few calls
/// for each zone, the zones are pooled, and higher odds are tolerated because the zones' rates may differ.
///
/// Error rate: `evidence()` is a weighted average of e-processes (model/odds_test.h) over series and rates. By Ville's
/// inequality a version that is no worse than tolerated is ever judged bad, over all looks, routes and rates together,
/// with a probability of at most `false_rollback`. A test of fixed size with the same nominal rate, looked at each
/// second, rejects a good version far more often; testing/version_judge_test.cc compares the two.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/distribution_messages.h"
#include "model/odds_test.h"

namespace heatherdeck {

struct judge_options {
  double false_rollback = 0.005;         ///< probability that a good version is ever judged bad
  double tolerated_failure_odds = 1.25;  ///< odds of failure, new over old, up to which a version is good
  double tolerated_slow_odds = 1.5;      ///< the same for slow calls; a histogram bucket's edge amplifies small changes
  std::size_t windows = 900;             ///< seconds over which a fault may begin: finish and watch time
};

/// Calls of both versions.
struct judged_calls {
  std::uint64_t new_calls = 0;
  std::uint64_t new_failures = 0;
  std::uint64_t old_calls = 0;
  std::uint64_t old_failures = 0;
};

class version_judge {
 public:
  version_judge(std::string from, std::string to, judge_options options = {});

  /// Takes in one row of the current window; rows of other versions are ignored.
  void add(const std::string& availability_zone, const evidence_row& row);

  /// Ends the current window.
  void close_window();

  /// @return the evidence against the new version; 1 at the start.
  double evidence() const;

  /// @return the evidence at which the version is judged bad.
  double threshold() const { return 1 / options_.false_rollback; }

  /// @return true when the new version shows more failures or slow calls than the old one did earlier, at a time when
  /// the old one has few or no calls to compare with. It has no stated error rate: a shared cause looks the same. The
  /// answer is to give some traffic back to the old version, which makes the comparison possible.
  bool suspicious() const;

  /// Forgets the suspicion and takes what both versions show at present as usual.
  void clear_suspicion();

  /// @return the calls since the last begin_step.
  const judged_calls& since_step() const { return since_step_; }

  /// The share has changed: counts for the next step start anew, and calls before and after it never share a window.
  /// The evidence is kept.
  void begin_step();

  /// @return the evidence in words, e.g. "v2 failed 9 of 120 calls, v1 2 of 4000; evidence 31 of 200 (route lookup)".
  std::string words() const;

 private:
  static constexpr std::size_t rates = 3;  ///< failures, slower than the median, slower than 95%
  using histogram = std::array<double, latency_buckets>;

  struct version_counts {
    std::uint32_t calls = 0;
    std::uint32_t failures = 0;
    std::array<std::uint32_t, latency_buckets> latency{};
  };
  struct zone_counts {
    version_counts fresh;     ///< new version
    version_counts previous;  ///< old version
  };
  /// Rates of the old version, and how far the new one is above them while the old one has few calls.
  struct drift {
    double calls = 0;
    double events = 0;
    double excess = 0;
  };
  struct zone_presence {
    std::size_t fresh_seen = 0;  ///< window of the last call plus one; 0: never
    std::size_t previous_seen = 0;
  };
  /// The tests with one zone left out.
  struct test_variant {
    std::array<sequential_odds_test, rates> tests;
  };
  struct series {
    std::map<std::string, zone_counts> window;  ///< by zone
    std::size_t window_age = 0;                 ///< seconds that the window covers
    zone_counts second;                         ///< of the current second, all zones
    std::map<std::string, zone_presence> zones;
    std::map<std::string, test_variant> variants;  ///< by the zone left out; "" leaves out none
    histogram usual{};                             ///< of the old version, older windows fading
    std::array<drift, rates> drifts;
    double weight = 0;
  };

  series make_series(double weight) const;
  static void count(series& s, const std::string& zone, const evidence_row& row, bool fresh);
  void close(series& s, bool at_once);
  bool sparse(const series& s) const;
  void follow_drift(series& s, const std::array<std::size_t, rates>& edges);
  odds_window window_of(const zone_counts& counts, std::size_t rate, std::size_t edge) const;
  void test(series& s, std::size_t rate, std::size_t edge) const;
  bool pooled(const series& s, const std::string& left_out) const;
  bool has_both(const series& s, const std::string& zone) const;
  std::vector<std::string> zones_to_leave_out() const;
  double evidence_without(const std::string& zone) const;
  double evidence_of(const series& s, const std::string& left_out) const;
  bool present(std::size_t seen) const;

  std::string from_;
  std::string to_;
  judge_options options_;
  std::size_t window_ = 0;
  series all_;
  std::map<std::string, series> routes_;
  judged_calls total_;
  judged_calls since_step_;
};

}  // namespace heatherdeck

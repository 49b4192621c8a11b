// Tests version_judge: its error rate when it is evaluated every second, faults that it must not attribute to the
// version, and faults that it must find. The test suite odds_test covers the e-process that it uses
// (model/sequential_odds_test.h).
#include "control/version_judge.h"

#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

const std::vector<std::string> zones{"dar-1", "mwa-1", "kig-1", "kig-2"};

// The error rate is guaranteed only if the expectation of a factor is at most 1. It is computed exactly here, over
// Fisher's noncentral hypergeometric distribution.
TEST(odds_test, expectation_of_a_factor_is_one_at_the_tolerated_odds_and_below_one_under_them) {
  const auto choose = [](int n, int k) { return std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1); };
  for (const double tolerated : {1.0, 1.5}) {
    for (const double truth : {tolerated, 0.8 * tolerated}) {
      double whole = 0;
      double expectation = 0;
      for (std::uint32_t k = 0; k <= 7; ++k) {
        const double p =
            std::exp(choose(12, static_cast<int>(k)) + choose(30, 7 - static_cast<int>(k)) + k * std::log(truth));
        whole += p;
        expectation += p * std::exp(log_odds_factor({12, k, 30, 7 - k}, 5 * tolerated, tolerated));
      }
      if (truth == tolerated) {
        EXPECT_NEAR(expectation / whole, 1, 1e-9);
      } else {
        EXPECT_LT(expectation / whole, 1);
      }
    }
  }
}

TEST(odds_test, windows_without_calls_of_both_versions_or_without_events_leave_the_e_value_at_1) {
  sequential_odds_test test;
  for (int i = 0; i < 100; ++i) test.add(std::vector<stratum_counts>{{50, 50, 0, 0}, {0, 0, 40, 3}, {20, 0, 30, 0}});
  EXPECT_NEAR(test.e_value(), 1, 1e-9);
}

// The weight reserved for late faults must not be used up in a long rollout with many steps.
TEST(odds_test, late_fault_is_found_after_many_changes) {
  sequential_odds_test test({.windows = 300});
  for (int i = 0; i < 600; ++i) {
    if (i % 15 == 0) test.expect_change();
    test.add(std::vector<stratum_counts>{{20, 1, 20, 1}});
  }
  EXPECT_LT(test.e_value(), 1);
  for (int i = 0; i < 15; ++i) test.add(std::vector<stratum_counts>{{20, 10, 20, 1}});
  EXPECT_GT(test.e_value(), 200);
}

struct simulated_second {
  double old_failure = 0.02;
  double new_failure = 0.02;
  double old_slow = 0.05;
  double new_slow = 0.05;
  double share = 0.3;
  int calls = 25;  ///< in each zone
  std::string faulty_zone;
  std::string faulty_route;
};

class judged_rollout {
 public:
  explicit judged_rollout(std::uint64_t seed, judge_options options = {}) : random_(seed), judge("v1", "v2", options) {}

  void run_second(const simulated_second& s) {
    for (const std::string& zone : zones) {
      for (int i = 0; i < s.calls; ++i) {
        const bool new_version = uniform() < s.share;
        const std::string route = uniform() < 0.02 ? "rare" : "lookup";
        double failure = new_version ? s.new_failure : s.old_failure;
        if (zone == s.faulty_zone) failure = 0.6;
        if (new_version && route == s.faulty_route) failure = 0.9;
        evidence_row row{"certdesk", new_version ? "v2" : "v1", route, 1, uniform() < failure ? 1U : 0U};
        row.latency[uniform() < (new_version ? s.new_slow : s.old_slow) ? 6 : 3] = 1;
        new_version ? new_calls += 1 : old_calls += 1;
        new_version ? new_failures += row.failures : old_failures += row.failures;
        judge.add(zone, row);
      }
    }
    judge.close_window();
  }
  bool judged_bad() const { return judge.e_value() >= judge.threshold(); }
  // One-sided two-sample z-test on all calls so far, as if their number had been fixed in advance.
  double z() const {
    const double n1 = new_calls;
    const double n0 = old_calls;
    const double pooled = (new_failures + old_failures) / (n1 + n0);
    const double deviation = std::sqrt(pooled * (1 - pooled) * (1 / n1 + 1 / n0));
    return deviation > 0 ? (new_failures / n1 - old_failures / n0) / deviation : 0;
  }
  int seconds_until_judged_bad(const simulated_second& s, int limit) {
    for (int i = 1; i <= limit; ++i) {
      run_second(s);
      if (judged_bad()) return i;
    }
    return limit + 1;
  }

 private:
  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  std::mt19937_64 random_;

 public:
  version_judge judge;
  double new_calls = 0, old_calls = 0, new_failures = 0, old_failures = 0;
};

// A fixed-sample test with a nominal error rate of 0.5% rejects far more good versions when it is evaluated every
// second.
TEST(version_judge, keeps_its_error_rate_under_peeking_and_a_fixed_sample_test_does_not) {
  constexpr int rollouts = 400;
  constexpr double z_of_half_percent = 2.576;
  int judged_bad = 0;
  int fixed_sample_bad = 0;
  for (int seed = 1; seed <= rollouts; ++seed) {
    judged_rollout r(static_cast<std::uint64_t>(seed),
                     {.tolerated_failure_odds = 1, .tolerated_slow_odds = 1, .windows = 200});
    bool bad = false;
    bool rejected = false;
    for (int i = 0; i < 200; ++i) {
      r.run_second({.calls = 10});
      bad = bad || r.judged_bad();
      rejected = rejected || (i >= 5 && r.z() > z_of_half_percent);
    }
    judged_bad += bad ? 1 : 0;
    fixed_sample_bad += rejected ? 1 : 0;
  }
  RecordProperty("judged_bad", judged_bad);
  RecordProperty("fixed_size_bad", fixed_sample_bad);
  EXPECT_LE(judged_bad, rollouts * 0.005);
  EXPECT_GT(fixed_sample_bad, rollouts * 0.015);
}

TEST(version_judge, finds_failures_slowness_and_a_rare_route) {
  constexpr std::uint64_t seed = 5;
  EXPECT_LE(judged_rollout(seed).seconds_until_judged_bad({.new_failure = 0.5}, 60), 5);
  EXPECT_LE(judged_rollout(seed).seconds_until_judged_bad({.new_failure = 0.12}, 60), 20);
  EXPECT_LE(judged_rollout(seed).seconds_until_judged_bad({.new_slow = 0.5}, 60), 8);
  EXPECT_LE(judged_rollout(seed).seconds_until_judged_bad({.faulty_route = "rare"}, 200), 120);
}

TEST(version_judge, late_fault_is_found_nearly_as_fast_as_an_early_one) {
  judged_rollout r(7);
  for (int i = 0; i < 500; ++i) r.run_second({});
  EXPECT_FALSE(r.judged_bad());
  EXPECT_LE(r.seconds_until_judged_bad({.new_failure = 0.5}, 60), 8);
}

TEST(version_judge, shared_overload_and_a_faulty_zone_are_not_attributed_to_the_version) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    judged_rollout r(seed);
    for (int i = 0; i < 30; ++i) r.run_second({});
    for (int i = 0; i < 60; ++i)
      r.run_second({.old_failure = 0.5, .new_failure = 0.5, .old_slow = 0.7, .new_slow = 0.7});
    EXPECT_FALSE(r.judged_bad()) << "shared overload, seed " << seed;
    for (int i = 0; i < 60; ++i) r.run_second({.faulty_zone = "kig-1"});
    EXPECT_FALSE(r.judged_bad()) << "faulty zone, seed " << seed;
  }
}

// Three zones have only the new version: a fault of one zone must not look like a fault of the version.
TEST(version_judge, faulty_zone_with_only_the_new_version_is_not_attributed_to_the_version) {
  version_judge judge("v1", "v2");
  for (int second = 0; second < 120; ++second) {
    for (const std::string& zone : zones) {
      const bool new_version = zone != "dar-1";
      const std::uint32_t failures = zone == "kig-2" ? 15 : second % 3 == 0 ? 1 : 0;
      judge.add(zone, {"certdesk", new_version ? "v2" : "v1", "lookup", 20, failures});
    }
    judge.close_window();
  }
  EXPECT_LT(judge.e_value(), judge.threshold());
}

TEST(version_judge, drift_without_old_calls_is_detected_and_reset) {
  judged_rollout r(9);
  for (int i = 0; i < 60; ++i) r.run_second({});
  for (int i = 0; i < 20; ++i) r.run_second({.share = 1});
  EXPECT_FALSE(r.judge.drift_detected());
  for (int i = 0; i < 4; ++i) r.run_second({.new_failure = 0.3, .share = 1});
  EXPECT_TRUE(r.judge.drift_detected());
  EXPECT_FALSE(r.judged_bad()) << "without old calls there is nothing to compare with";
  r.judge.reset_drift();
  EXPECT_FALSE(r.judge.drift_detected());
}

TEST(version_judge, summary_has_counts_e_value_and_route) {
  judged_rollout r(11);
  for (int i = 0; i < 10; ++i) r.run_second({.new_failure = 0.5});
  const std::string summary = r.judge.summary();
  EXPECT_NE(summary.find("v2 failed "), std::string::npos) << summary;
  EXPECT_NE(summary.find(" of 200 (route lookup)"), std::string::npos) << summary;
}

}  // namespace
}  // namespace heatherdeck

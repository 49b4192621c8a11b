// Each series has one e-process per rate for every zone that may be left out. A zone in which the new version appears
// for the first time gets a copy of the variant that leaves out no zone: until then the two were equal. The strata of a
// window are built from disjoint calls, so their factors may be multiplied. Invariant: thresholds (bucket edges) and
// the division into strata depend on earlier windows and on the numbers of calls only, never on the outcomes they are
// applied to; otherwise the expectation of a factor could exceed 1. Cost per window: series * zones * rates * (bets *
// events).
#include "control/version_judge.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <utility>

#include <fmt/format.h>

namespace heatherdeck {
namespace {

// Half of the weight is on all calls together, the rest on single routes in the order in which they appear. Failures
// weigh more than slow calls because they harm callers more.
constexpr double all_calls_weight = 0.5;
constexpr std::array<double, 3> rate_weights{0.6, 0.2, 0.2};
constexpr std::array<double, 3> slow_fractions{0, 0.5, 0.05};
constexpr double histogram_decay = 0.98;
// A version counts as present in a zone for this many windows after its last call.
constexpr std::size_t presence_windows = 60;
// Drift is detected only while there are more new calls than this for each old call; with fewer, the tests have enough
// old calls to compare with.
constexpr std::uint32_t new_calls_per_old_call = 4;
// CUSUM of the drift: the rate to detect is baseline * ratio + offset, and the limit is that of the cumulative log
// likelihood ratio. In a stable fleet exp(12) windows pass between false detections on average.
constexpr double drift_rate_ratio = 3;
constexpr double drift_rate_offset = 0.02;
constexpr double drift_limit = 12;
// A window is sparse with fewer calls than this per zone on average, or without calls of one of the versions.
constexpr std::uint64_t min_calls_per_zone = 4;
constexpr std::size_t max_window_seconds = 20;
// Additional factor on the tolerated odds ratio when different zones are compared. A sparse window gets none: it has
// too few calls for a small difference to matter.
constexpr double allowance_between_zones = 1.5;
constexpr double allowance_when_sparse = 1.0;
// The limit on the factor of a window is raised to the power of its length in seconds divided by this, because a single
// pause does not dominate a window of many seconds.
constexpr double seconds_per_factor = 7;
constexpr std::string_view no_zone;

std::uint32_t calls_above(const std::array<std::uint32_t, latency_buckets>& latency, std::size_t edge) {
  std::uint32_t sum = 0;
  for (std::size_t i = edge + 1; i < latency.size(); ++i) sum += latency[i];
  return sum;
}

std::uint32_t total_calls(const std::array<std::uint32_t, latency_buckets>& latency) {
  std::uint32_t sum = 0;
  for (const std::uint32_t n : latency) sum += n;
  return sum;
}

// Returns the lowest bucket edge above which at most `fraction` of the calls lie.
std::size_t quantile_edge(const std::array<double, latency_buckets>& baseline, double fraction) {
  double total = 0;
  for (const double n : baseline) total += n;
  double over = total;
  for (std::size_t i = 0; i < baseline.size(); ++i) {
    over -= baseline[i];
    if (over <= fraction * total) return i;
  }
  return baseline.size() - 1;
}

}  // namespace

version_judge::version_judge(std::string from, std::string to, judge_options options)
    : from_(std::move(from)), to_(std::move(to)), options_(options), all_(make_series(all_calls_weight)) {}

version_judge::series version_judge::make_series(double weight) const {
  const sequential_odds_test failures(
      {.tolerated_odds_ratio = options_.tolerated_failure_odds, .windows = options_.windows});
  const sequential_odds_test slow({.tolerated_odds_ratio = options_.tolerated_slow_odds, .windows = options_.windows});
  series made;
  made.weight = weight;
  made.variants.emplace(std::string(no_zone), test_variant{{failures, slow, slow}});
  return made;
}

void version_judge::count(series& s, const std::string& zone, const evidence_row& row, bool new_version) {
  for (zone_counts* counts : {&s.window[zone], &s.second}) {
    version_counts& side = new_version ? counts->new_version : counts->old_version;
    side.calls += row.calls;
    side.failures += row.failures;
    for (std::size_t i = 0; i < latency_buckets; ++i) side.latency[i] += row.latency[i];
  }
}

void version_judge::add(const std::string& availability_zone, const evidence_row& row) {
  const bool new_version = row.upstream_version == to_;
  if ((!new_version && !from_.empty() && row.upstream_version != from_) || row.calls == 0 || row.failures > row.calls)
    return;
  const auto [route, is_new] = routes_.try_emplace(row.route);
  if (is_new) {
    const auto order = static_cast<double>(routes_.size());
    route->second = make_series((1 - all_calls_weight) / (order * (order + 1)));
  }
  count(all_, availability_zone, row, new_version);
  count(route->second, availability_zone, row, new_version);
  for (call_totals* sum : {&total_, &calls_since_step_}) {
    (new_version ? sum->new_calls : sum->old_calls) += row.calls;
    (new_version ? sum->new_failures : sum->old_failures) += row.failures;
  }
}

bool version_judge::present(std::size_t seen) const { return seen != 0 && window_ + 1 - seen <= presence_windows; }

void version_judge::close_window() {
  close(all_, false);
  for (auto& [route, s] : routes_) close(s, false);
  ++window_;
}

void version_judge::begin_step() {
  calls_since_step_ = {};
  const auto begin = [this](series& s) {
    close(s, true);
    for (auto& [left_out, variant] : s.variants) {
      for (sequential_odds_test& test : variant.tests) test.expect_change();
    }
  };
  begin(all_);
  for (auto& [route, s] : routes_) begin(s);
}

bool version_judge::sparse(const series& s) const {
  std::uint64_t new_calls = 0;
  std::uint64_t old_calls = 0;
  for (const auto& [zone, counts] : s.window) {
    new_calls += counts.new_version.calls;
    old_calls += counts.old_version.calls;
  }
  return new_calls == 0 || old_calls == 0 || new_calls + old_calls < min_calls_per_zone * s.zones.size();
}

void version_judge::close(series& s, bool force) {
  if (!force) ++s.window_age;
  for (const auto& [zone, counts] : s.window) {
    zone_presence& seen = s.zones[zone];
    if (counts.old_version.calls > 0) seen.old_last_seen = window_ + 1;
    if (counts.new_version.calls == 0) continue;
    seen.new_last_seen = window_ + 1;
    if (!s.variants.contains(zone)) s.variants.emplace(zone, s.variants.at(std::string(no_zone)));
  }
  std::array<std::size_t, rates> edges{};
  for (std::size_t rate = 1; rate < rates; ++rate)
    edges[rate] = std::min(quantile_edge(s.baseline, slow_fractions[rate]) + options_.slow_edge_shifts[rate],
                           latency_buckets - 1);
  if (!force) follow_drift(s, edges);
  if (sparse(s) && !force && s.window_age < max_window_seconds) return;
  for (std::size_t rate = 0; rate < rates; ++rate) test(s, rate, edges[rate]);
  for (double& n : s.baseline) n *= histogram_decay;
  for (const auto& [zone, counts] : s.window) {
    for (std::size_t i = 0; i < latency_buckets; ++i) s.baseline[i] += counts.old_version.latency[i];
  }
  s.window.clear();
  s.window_age = 0;
}

stratum_counts version_judge::rate_counts(const zone_counts& counts, std::size_t rate, std::size_t edge) const {
  const version_counts& new_version = counts.new_version;
  const version_counts& old_version = counts.old_version;
  if (rate == 0) return {new_version.calls, new_version.failures, old_version.calls, old_version.failures};
  return {total_calls(new_version.latency), calls_above(new_version.latency, edge), total_calls(old_version.latency),
          calls_above(old_version.latency, edge)};
}

bool version_judge::has_both(const series& s, const std::string& zone) const {
  const zone_presence& seen = s.zones.at(zone);
  return present(seen.new_last_seen) && present(seen.old_last_seen);
}

// Zones with only the new version are compared with zones that have only the old one; when there are none of the
// latter, all calls form one stratum.
bool version_judge::must_pool(const series& s, const std::string& left_out) const {
  bool lacks_old = false;
  bool lacks_new = false;
  for (const auto& [zone, seen] : s.zones) {
    if (zone == left_out) continue;
    const bool has_new = present(seen.new_last_seen);
    const bool has_old = present(seen.old_last_seen);
    lacks_old = lacks_old || (has_new && !has_old);
    lacks_new = lacks_new || (has_old && !has_new);
  }
  return lacks_old && !lacks_new;
}

void version_judge::test(series& s, std::size_t rate, std::size_t edge) const {
  const sequential_odds_test& base_test = s.variants.begin()->second.tests[rate];
  const bool is_sparse = sparse(s);
  const double allowance = is_sparse ? allowance_when_sparse : allowance_between_zones;
  const double long_window = std::max(1.0, static_cast<double>(s.window_age) / seconds_per_factor);
  std::map<std::string, bet_log_factors> by_zone;
  for (const auto& [zone, counts] : s.window) {
    if (!is_sparse && has_both(s, zone)) by_zone.emplace(zone, base_test.factors(rate_counts(counts, rate, edge)));
  }
  for (auto& [left_out, variant] : s.variants) {
    const bool all_in_one_stratum = must_pool(s, left_out);
    bet_log_factors sum{};
    stratum_counts pooled_counts;
    double pooled_zones = 0;
    const auto add = [&](const bet_log_factors& logs) {
      for (std::size_t i = 0; i < odds_bet_count; ++i) sum[i] += logs[i];
    };
    for (const auto& [zone, counts] : s.window) {
      if (zone == left_out) continue;
      const auto zone_factors = by_zone.find(zone);
      if (!all_in_one_stratum && zone_factors != by_zone.end()) {
        add(zone_factors->second);
        continue;
      }
      const stratum_counts w = rate_counts(counts, rate, edge);
      pooled_zones += w.new_calls > 0 ? 1 : 0;
      pooled_counts.new_calls += w.new_calls;
      pooled_counts.new_events += w.new_events;
      pooled_counts.old_calls += w.old_calls;
      pooled_counts.old_events += w.old_events;
    }
    // The limit on a factor is for one zone; this stratum spans several.
    add(base_test.factors(pooled_counts, allowance, std::max(pooled_zones, long_window)));
    variant.tests[rate].add_factors(sum);
  }
}

void version_judge::follow_drift(series& s, const std::array<std::size_t, rates>& edges) {
  for (std::size_t rate = 0; rate < rates; ++rate) {
    const stratum_counts sum = rate_counts(s.second, rate, edges[rate]);
    drift& d = s.drifts[rate];
    d.calls += sum.old_calls;
    d.events += sum.old_events;
    if (sum.old_calls * new_calls_per_old_call >= sum.new_calls) d.excess = 0;
    if (sum.new_calls == 0 || sum.old_calls * new_calls_per_old_call >= sum.new_calls || d.calls == 0) continue;
    const double baseline = std::clamp((d.events + 1) / (d.calls + 100), 1e-5, 0.9);
    const double raised = std::min(0.95, baseline * drift_rate_ratio + drift_rate_offset);
    const double gain = sum.new_events * std::log(raised / baseline) +
                        (sum.new_calls - sum.new_events) * std::log((1 - raised) / (1 - baseline));
    d.excess = std::max(0.0, d.excess + gain);
  }
  s.second = {};
}

bool version_judge::drift_detected() const {
  const auto raised = [](const series& s) {
    return std::any_of(s.drifts.begin(), s.drifts.end(), [](const drift& d) { return d.excess > drift_limit; });
  };
  return raised(all_) ||
         std::any_of(routes_.begin(), routes_.end(), [&](const auto& route) { return raised(route.second); });
}

void version_judge::reset_drift() {
  // The history of the old version is reduced to the weight of 200 calls, so calls from now on count for more.
  const auto clear = [](series& s) {
    for (drift& d : s.drifts) {
      d.excess = 0;
      const double kept = std::min(1.0, 200 / std::max(1.0, d.calls));
      d.calls *= kept;
      d.events *= kept;
    }
  };
  clear(all_);
  for (auto& [route, s] : routes_) clear(s);
}

double version_judge::e_value_of(const series& s, const std::string& left_out) const {
  const auto found = s.variants.find(left_out);
  const test_variant& variant = found != s.variants.end() ? found->second : s.variants.at(std::string(no_zone));
  double sum = 0;
  for (std::size_t rate = 0; rate < rates; ++rate) sum += rate_weights[rate] * variant.tests[rate].e_value();
  return s.weight * sum;
}

double version_judge::e_value_without(const std::string& zone) const {
  double sum = e_value_of(all_, zone);
  double placed = all_.weight;
  for (const auto& [route, s] : routes_) {
    sum += e_value_of(s, zone);
    placed += s.weight;
  }
  return sum + (1 - placed);
}

std::vector<std::string> version_judge::zones_to_leave_out() const {
  std::vector<std::string> with_new;
  bool lacks_old = false;
  for (const auto& [zone, seen] : all_.zones) {
    if (seen.new_last_seen == 0) continue;
    with_new.push_back(zone);
    lacks_old = lacks_old || seen.old_last_seen == 0;
  }
  if (with_new.size() >= 3 || (with_new.size() == 2 && lacks_old)) return with_new;
  return {std::string(no_zone)};
}

double version_judge::e_value() const {
  double lowest = std::numeric_limits<double>::max();
  for (const std::string& zone : zones_to_leave_out()) lowest = std::min(lowest, e_value_without(zone));
  return lowest;
}

std::string version_judge::summary() const {
  const double value = e_value();
  std::string text =
      fmt::format("{} failed {} of {} calls, {} {} of {}; evidence {:.3g} of {:.0f}", to_, total_.new_failures,
                  total_.new_calls, from_, total_.old_failures, total_.old_calls, std::min(value, 1e6), threshold());
  const auto series_e_value = [&](const series& s) { return e_value_of(s, std::string(no_zone)) / s.weight; };
  const auto worst = std::max_element(routes_.begin(), routes_.end(), [&](const auto& a, const auto& b) {
    return series_e_value(a.second) < series_e_value(b.second);
  });
  if (worst != routes_.end() && series_e_value(worst->second) > 10) text += fmt::format(" (route {})", worst->first);
  return text;
}

}  // namespace heatherdeck

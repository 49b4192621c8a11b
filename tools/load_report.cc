// Stores every latency as 32 bits of microseconds, so quantiles are exact; a run of ten million calls needs 40 MB.
// Cost: each quantile copies the latencies and partitions them, O(calls); done only when the report is made.
#include "tools/load_report.h"

#include <algorithm>
#include <cmath>

namespace heatherdeck {

void load_report::add(const call_result& result) {
  ++calls_;
  ++status_counts_[result.status];
  if (!result.outcome.empty()) ++outcome_counts_[result.outcome];
  if (!result.upstream_version.empty()) ++version_counts_[result.upstream_version];
  if (result.status == 0) {
    ++unanswered_;
    return;
  }
  if (result.status < 400) ++ok_;
  latencies_.push_back(static_cast<std::uint32_t>(result.latency.count()));
}

std::chrono::microseconds load_report::quantile(double q) const {
  if (latencies_.empty()) return {};
  std::vector<std::uint32_t> sorted = latencies_;
  const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(sorted.size())));
  const auto quantile_position =
      sorted.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, sorted.size()) - 1);
  std::nth_element(sorted.begin(), quantile_position, sorted.end());
  return std::chrono::microseconds(*quantile_position);
}

boost::json::object load_report::to_json(std::chrono::duration<double> elapsed) const {
  boost::json::object statuses;
  for (const auto& [status, count] : status_counts_) statuses[std::to_string(status)] = count;
  boost::json::object outcomes;
  for (const auto& [outcome, count] : outcome_counts_) outcomes[outcome] = count;
  boost::json::object versions;
  for (const auto& [version, count] : version_counts_) versions[version] = count;
  return {{"calls", calls_},
          {"ok", ok_},
          {"unanswered", unanswered_},
          {"calls_per_s", elapsed.count() > 0 ? static_cast<double>(calls_) / elapsed.count() : 0.0},
          {"p50_us", quantile(0.5).count()},
          {"p99_us", quantile(0.99).count()},
          {"p999_us", quantile(0.999).count()},
          {"statuses", statuses},
          {"outcomes", outcomes},
          {"upstream_versions", versions}};
}

}  // namespace heatherdeck

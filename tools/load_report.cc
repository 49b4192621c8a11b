// Keeps every latency as 32 bits, so quantiles are exact; a run of ten million calls needs 40 MB. Sorting happens once
// per report.
#include "tools/load_report.h"

#include <algorithm>
#include <cmath>

namespace heatherdeck {

void load_report::add(const call_result& result) {
  ++calls_;
  ++statuses_[result.status];
  if (!result.outcome.empty()) ++outcomes_[result.outcome];
  if (!result.upstream_version.empty()) ++versions_[result.upstream_version];
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
  const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, sorted.size()) - 1);
  std::nth_element(sorted.begin(), place, sorted.end());
  return std::chrono::microseconds(*place);
}

boost::json::object load_report::to_json(std::chrono::duration<double> elapsed) const {
  boost::json::object statuses;
  for (const auto& [status, count] : statuses_) statuses[std::to_string(status)] = count;
  boost::json::object outcomes;
  for (const auto& [outcome, count] : outcomes_) outcomes[outcome] = count;
  boost::json::object versions;
  for (const auto& [version, count] : versions_) versions[version] = count;
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

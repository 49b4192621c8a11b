// One row per (service, version, route) since the last report. For calls to an upstream in its cold start, errors are
// counted but latency and timeouts are not: a cold start must not be mistaken for a slow version, while a version that
// crashes as soon as it is ready must still be detected. Invariant: rows exist only for services whose rollout is
// running or watching, so nodes send no evidence when there is no rollout. Cost: O(log rows) for each call.
#include "traffic/evidence_collector.h"

#include <algorithm>
#include <utility>

namespace heatherdeck {

std::size_t latency_bucket(std::chrono::microseconds latency) {
  std::size_t bucket = 0;
  while (bucket + 1 < latency_buckets && latency > std::chrono::milliseconds(1U << bucket)) ++bucket;
  return bucket;
}

bool is_upstream_failure(call_outcome outcome, std::chrono::microseconds latency, std::chrono::milliseconds timeout) {
  switch (outcome) {
    case call_outcome::upstream_error:
    case call_outcome::timeout:
    case call_outcome::connection_failed:
      return true;
    case call_outcome::cancelled:
      return timeout.count() > 0 && latency * 10 >= std::chrono::microseconds(timeout) * 9;
    case call_outcome::ok:
    case call_outcome::not_executed:
      return false;
  }
  return false;
}

void evidence_collector::set_document(const compiled_document& document) {
  services_.clear();
  for (const auto& [service, progress] : document.rollout_progress) {
    if (progress.active()) services_.insert(service);
  }
  std::erase_if(rows_, [&](const auto& row) { return !collects(std::get<0>(row.first)); });
}

void evidence_collector::record(const call_sample& sample) {
  if (!collects(sample.service) || sample.outcome == call_outcome::not_executed) return;
  const bool failed = is_upstream_failure(sample.outcome, sample.latency, sample.timeout);
  if (sample.outcome == call_outcome::cancelled && !failed) return;
  const bool timed_out =
      failed && sample.outcome != call_outcome::upstream_error && sample.outcome != call_outcome::connection_failed;
  if (sample.cold_start && timed_out) return;
  evidence_row& row = rows_[{sample.service, sample.upstream_version, sample.route}];
  if (row.calls == 0) {
    row.service = sample.service;
    row.upstream_version = sample.upstream_version;
    row.route = sample.route;
  }
  ++row.calls;
  if (failed) ++row.failures;
  // How fast an error is returned does not depend on the version's speed; only responses and timeouts measure latency.
  if (!sample.cold_start && (!failed || timed_out)) ++row.latency[latency_bucket(sample.latency)];
}

std::optional<evidence_report> evidence_collector::take() {
  if (rows_.empty() && local_cuts_.empty()) return std::nullopt;
  evidence_report report;
  report.rows.reserve(rows_.size());
  for (auto& [key, row] : rows_) report.rows.push_back(std::move(row));
  report.disabled_locally.assign(local_cuts_.begin(), local_cuts_.end());
  rows_.clear();
  local_cuts_.clear();
  return report;
}

}  // namespace heatherdeck

// One row per (service, version, route) since the last report. Calls to a cold upstream count with their errors but
// without their latency and time-outs, so that a slow start is not taken for a slow version, while a version that
// crashes as soon as it is ready is still seen. Invariant: rows exist only for services whose rollout is running or
// watching, so that a fleet at rest sends nothing. Cost: O(log rows) for each call.
#include "traffic/evidence_collector.h"

#include <algorithm>
#include <utility>

namespace heatherdeck {

std::size_t latency_bucket(std::chrono::microseconds latency) {
  std::size_t bucket = 0;
  while (bucket + 1 < latency_buckets && latency > std::chrono::milliseconds(1U << bucket)) ++bucket;
  return bucket;
}

bool failure_of_upstream(call_outcome outcome, std::chrono::microseconds latency, std::chrono::milliseconds timeout) {
  switch (outcome) {
    case call_outcome::upstream_error:
    case call_outcome::timeout:
    case call_outcome::connection_failed:
      return true;
    case call_outcome::cancelled:
      return timeout.count() > 0 && latency * 10 >= std::chrono::microseconds(timeout) * 9;
    case call_outcome::ok:
    case call_outcome::not_run:
      return false;
  }
  return false;
}

void evidence_collector::set_document(const compiled_document& document) {
  services_.clear();
  for (const auto& [service, progress] : document.rollout_progress) {
    const bool active = progress.status == rollout_status::running || progress.status == rollout_status::watching;
    if (active) services_.insert(service);
  }
  std::erase_if(rows_, [&](const auto& row) { return !wants(std::get<0>(row.first)); });
}

void evidence_collector::record(const call_sample& sample) {
  if (!wants(sample.service) || sample.outcome == call_outcome::not_run) return;
  const bool failed = failure_of_upstream(sample.outcome, sample.latency, sample.timeout);
  if (sample.outcome == call_outcome::cancelled && !failed) return;
  const bool ran_out_of_time =
      failed && sample.outcome != call_outcome::upstream_error && sample.outcome != call_outcome::connection_failed;
  if (sample.cold && ran_out_of_time) return;
  evidence_row& row = rows_[{sample.service, sample.upstream_version, sample.route}];
  if (row.calls == 0) {
    row.service = sample.service;
    row.upstream_version = sample.upstream_version;
    row.route = sample.route;
  }
  ++row.calls;
  if (failed) ++row.failures;
  // An error may be fast or slow whatever the version's speed is; only answers and time-outs tell of latency.
  if (!sample.cold && (!failed || ran_out_of_time)) ++row.latency[latency_bucket(sample.latency)];
}

std::optional<evidence_report> evidence_collector::take() {
  if (rows_.empty() && cut_.empty()) return std::nullopt;
  evidence_report report;
  report.rows.reserve(rows_.size());
  for (auto& [key, row] : rows_) report.rows.push_back(std::move(row));
  report.cut_locally.assign(cut_.begin(), cut_.end());
  rows_.clear();
  cut_.clear();
  return report;
}

}  // namespace heatherdeck

/// @file
/// Counts calls by upstream version and route; the leader compares the versions of a rollout by these counts.
///
///     evidence_collector collector;
///     collector.set_document(*document);              // counts only services whose rollout is running or watching
///     collector.record(sample);
///     if (auto report = collector.take()) subscriber.post(send_evidence{std::move(*report)});
///
/// A call is recorded by the node on the upstream's host, not by the node that received it from the caller; otherwise
/// network latency and faults between nodes would be attributed to whichever version runs farther away.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "model/compiled_document.h"
#include "model/distribution_messages.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

/// One finished call to the upstream on this host.
struct call_sample {
  std::string service;
  std::string upstream_version;
  std::string route;
  call_outcome outcome = call_outcome::ok;
  std::chrono::microseconds latency{0};  ///< to the first byte of the response
  std::chrono::milliseconds timeout{0};  ///< time that the call was allowed to take
  bool cold_start = false;               ///< slow_start::in_cold_start() of the upstream
};

class evidence_collector {
 public:
  /// Starts and ends collection as rollouts start and end; rows of ended rollouts are dropped.
  void set_document(const compiled_document& document);

  /// @return true when calls to the service are counted.
  bool collects(const std::string& service) const { return services_.contains(service); }

  void record(const call_sample& sample);

  /// Adds a version that this node has stopped using (see version_circuit_breaker) to the next report.
  void add_local_cut(const withdrawn_key& cut) { local_cuts_.insert(cut); }

  /// @return everything recorded since the last call, or nothing when there is none.
  std::optional<evidence_report> take();

 private:
  using row_key = std::tuple<std::string, std::string, std::string>;  ///< service, upstream version, route

  std::set<std::string> services_;
  std::map<row_key, evidence_row> rows_;
  std::set<withdrawn_key> local_cuts_;
};

/// @return the index of the histogram bucket: bucket i holds calls that took more than 2^(i-1) ms and up to 2^i ms; the
///   first one also holds all faster calls, the last one all slower calls.
std::size_t latency_bucket(std::chrono::microseconds latency);

/// @return true when the call counts as a failure of the upstream version.
/// A cancelled call counts when 90% of its timeout had passed: the node that sent it gave up waiting.
bool is_upstream_failure(call_outcome outcome, std::chrono::microseconds latency, std::chrono::milliseconds timeout);

}  // namespace heatherdeck

/// @file
/// Counts calls per upstream version and route for the judge on the leader.
///
///     evidence_collector collector;
///     collector.set_document(*document);              // only services with a rollout running or watching count
///     collector.record(sample);
///     if (auto report = collector.take()) subscriber.post(send_evidence{std::move(*report)});
///
/// The node on the upstream's host records a call, not the node that took it from the caller: distance and faults of
/// the network between nodes would otherwise be blamed on whichever version lives farther away.
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
  std::chrono::microseconds latency{0};
  std::chrono::milliseconds timeout{0};  ///< time that the call had
  bool cold = false;                     ///< the upstream is in its slow start
};

class evidence_collector {
 public:
  /// Starts and ends collection as rollouts start and end; rows of ended rollouts are dropped.
  void set_document(const compiled_document& document);

  /// @return true when calls to the service are counted.
  bool wants(const std::string& service) const { return services_.contains(service); }

  void record(const call_sample& sample);

  /// Adds a version that this node has stopped using.
  void note_cut(const withdrawn_key& cut) { cut_.insert(cut); }

  /// @return everything since the last call, or nothing when there is none.
  std::optional<evidence_report> take();

 private:
  using row_key = std::tuple<std::string, std::string, std::string>;

  std::set<std::string> services_;
  std::map<row_key, evidence_row> rows_;
  std::set<withdrawn_key> cut_;
};

/// @return the index of the histogram bucket: bucket i holds calls of up to 2^i ms, the last one the rest.
std::size_t latency_bucket(std::chrono::microseconds latency);

/// @return true when the call counts as a failure of the upstream version.
/// A cancelled call counts when its time had nearly passed: the node before gave up on it.
bool failure_of_upstream(call_outcome outcome, std::chrono::microseconds latency, std::chrono::milliseconds timeout);

}  // namespace heatherdeck

/// @file
/// Forwards evidence (the nodes' counts of calls under a rollout) from the other control hosts to the leader, on one
/// HTTP/2 stream. Used by the rollout service only.
///
///     evidence_link link(timers, executor, mesh);
///     link.post({leader_address, {{"dar-1", report}, ...}});    // once a second, aggregated by zone
///     read_evidence(executor, std::move(incoming), inbox);    // on the leader, one task for each stream
///
/// A report is two frames: the name of the availability zone, then the encoded evidence_report. Evidence that cannot be
/// sent at once is dropped: new evidence follows within a second, and old evidence is of no use.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kernel/mailbox.h"
#include "model/rollout_messages.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

/// The evidence that a control host has received in one second.
struct evidence_batch {
  std::string leader_address;  ///< mesh address of the leader
  std::vector<std::pair<std::string, evidence_report>> by_zone;
};

class evidence_link {
 public:
  evidence_link(timer_service& timers, executor_type executor, address<mesh_message> mesh);
  ~evidence_link();
  evidence_link(const evidence_link&) = delete;
  evidence_link& operator=(const evidence_link&) = delete;

  /// Sends a batch to the leader; does not wait.
  /// @return false when earlier batches are still being sent; the batch is dropped then.
  bool post(evidence_batch batch);

 private:
  struct task;
  std::shared_ptr<task> task_;
};

/// Spawns a task that posts the reports of one incoming stream to `to` as evidence_received until the stream ends.
void read_evidence(executor_type executor, incoming_stream incoming, address<rollout_message> to);

}  // namespace heatherdeck

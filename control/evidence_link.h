/// @file
/// Carries evidence between control hosts: from a host that is not the leader to the leader, on one h2 stream.
///
///     evidence_link link(timers, executor, mesh);
///     link.post({leader_address, {{"dar-1", report}, ...}});    // once a second, aggregated by zone
///     read_evidence(executor, std::move(incoming), inbox);                // on the leader, one task for each stream
///
/// A report is two frames: the name of the availability zone, then the encoded evidence_report. Evidence that cannot be
/// sent is dropped: the next second brings more, and old evidence is of no use.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kernel/mailbox.h"
#include "model/rollout_messages.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

/// What one second has brought.
struct evidence_batch {
  std::string leader_address;
  std::vector<std::pair<std::string, evidence_report>> by_zone;
};

class evidence_link {
 public:
  evidence_link(timer_service& timers, executor_type executor, address<mesh_message> mesh);
  ~evidence_link();
  evidence_link(const evidence_link&) = delete;
  evidence_link& operator=(const evidence_link&) = delete;

  /// @return false when an earlier batch is still being sent; the batch is dropped then.
  bool post(evidence_batch batch);

 private:
  struct task;
  std::shared_ptr<task> task_;
};

/// Spawns a task that passes the reports of one incoming stream on as evidence_received until the stream ends.
void read_evidence(executor_type executor, incoming_stream incoming, address<rollout_message> to);

}  // namespace heatherdeck

/// @file
/// Messages of the rollout service. It runs on every control host; only the one on the leader makes decisions.
#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "kernel/mailbox.h"
#include "model/distribution_messages.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// From the publisher: call counts that one node reported. The availability zone is the stratum of the statistical
/// test.
struct evidence_received {
  std::string node_id;
  std::string availability_zone;
  evidence_report report;
};

/// Progress of one rollout, for operators.
struct rollout_view {
  rollout_state state;
  std::chrono::seconds time_left{0};  ///< of the time to finish or of the observation after it
  std::string evidence;               ///< text, e.g. "v2 failed 9 of 120 calls, v1 2 of 4000; evidence 31 of 200"
};

/// Asks for the progress of all rollouts.
struct get_rollouts {
  reply<std::vector<rollout_view>> answer;
};

/// Periodic timer of the rollout service.
struct rollout_tick {};

using rollout_message = std::variant<rollout_tick, document_changed, evidence_received, get_rollouts>;

}  // namespace heatherdeck

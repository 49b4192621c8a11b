/// @file
/// Messages of the rollout service, which runs on every control host and decides on the leader only.
#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "kernel/mailbox.h"
#include "model/distribution_messages.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// From the publisher: what one node reported, with the node's availability zone as the stratum.
struct evidence_received {
  std::string node_id;
  std::string availability_zone;
  evidence_report report;
};

/// One rollout as operators see it.
struct rollout_view {
  rollout_state state;
  std::chrono::seconds time_left{0};
  std::string evidence;  ///< in words, e.g. "v2 failed 9 of 120 calls, v1 2 of 4000; evidence 31 of 200"
};

struct get_rollouts {
  reply<std::vector<rollout_view>> answer;
};

struct rollout_tick {};

using rollout_message = std::variant<rollout_tick, document_changed, evidence_received, get_rollouts>;

}  // namespace heatherdeck

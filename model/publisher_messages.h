/// @file
/// Messages of the publisher (control host) and of the subscriber (node), beside the stream's own messages.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kernel/mailbox.h"
#include "model/distribution_messages.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// What a control host knows of one node that subscribes to it.
struct subscriber_status {
  std::string node_id;
  std::string availability_zone;
  version applied;
  std::chrono::milliseconds since{0};  ///< how long the node has acted on this version
  std::optional<error> refused;        ///< the node's reason when it refused the newest offer
};

struct get_subscribers {
  reply<std::vector<subscriber_status>> answer;
};

/// Waits until every subscriber of this control host acts on `wanted` or later, or until the asker's time-out.
struct wait_applied {
  version wanted;
  reply<std::vector<subscriber_status>> answer;
};

struct publisher_tick {};

using publisher_message = std::variant<publisher_tick, document_changed, get_subscribers, wait_applied>;

/// Posted by `traffic` to `subscriber` once a second while there is evidence.
struct send_evidence {
  evidence_report report;
};

struct subscriber_tick {};

using subscriber_message = std::variant<subscriber_tick, send_evidence>;

}  // namespace heatherdeck

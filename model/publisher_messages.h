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
#include "model/directory_messages.h"
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

/// An encoded control_message, shared by all subscriptions that get the same one.
using shared_frame = std::shared_ptr<const std::string>;

/// From a subscription's task: the node's first message, and where to send frames for it. A refused `post` means that
/// the node reads too slowly.
struct subscription_opened {
  std::uint64_t id = 0;
  subscribe_request request;
  address<shared_frame> outgoing;
};

/// From a subscription's task: a later message of the node.
struct subscription_message {
  std::uint64_t id = 0;
  node_message message;
};

struct subscription_closed {
  std::uint64_t id = 0;
};

/// The answer to the publisher's own question for a state that a quorum has confirmed.
struct confirmation_finished {
  outcome<document_state_ptr> state;
};

/// The pause after a confirmation that failed is over.
struct confirmation_due {};

/// Whether this control host hears from a leader that has a quorum.
struct quorum_reported {
  bool present = false;
};

using publisher_message =
    std::variant<publisher_tick, document_changed, get_subscribers, wait_applied, subscription_opened,
                 subscription_message, subscription_closed, confirmation_finished, confirmation_due, quorum_reported>;

/// Posted by `traffic` to `subscriber` once a second while there is evidence.
struct send_evidence {
  evidence_report report;
};

struct subscriber_tick {};

/// From the task that reads the stream: one frame of the source.
struct source_frame {
  std::uint64_t generation = 0;  ///< which stream; frames of an earlier stream are ignored
  std::string bytes;
};

struct source_closed {
  std::uint64_t generation = 0;
  error reason;
};

class h2_stream;

/// A stream to a source is open; the subscriber becomes its holder for writing.
struct source_opened {
  std::uint64_t generation = 0;
  std::shared_ptr<h2_stream> stream;
};

/// The delay before an attempt is over.
struct source_due {
  std::uint64_t generation = 0;
  std::string mesh_address;
};

using subscriber_message = std::variant<subscriber_tick, send_evidence, source_frame, source_closed, source_opened,
                                        source_due, directory_view>;

}  // namespace heatherdeck

/// @file
/// Messages of the publisher service, which sends the document to subscribed nodes from a control host, and of the
/// subscriber service, which receives it on a node. The messages of the stream between the two are in
/// model/distribution_messages.h.
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
#include "model/permit_messages.h"

namespace heatherdeck {

/// The state of one subscribed node, as its control host sees it.
struct subscriber_status {
  std::string node_id;
  std::string availability_zone;
  version applied;
  std::chrono::milliseconds applied_for{0};  ///< time since the node applied this version
  std::optional<error> refused;              ///< why the node refused the newest version, if it did
};

/// Asks for the state of all subscribed nodes.
struct get_subscribers {
  reply<std::vector<subscriber_status>> answer;
};

/// Replies once every subscriber of this control host has applied `wanted` or a later version. The time-out is the
/// requester's.
struct await_applied {
  version wanted;
  reply<std::vector<subscriber_status>> answer;
};

/// Periodic timer of the publisher.
struct publisher_tick {};

/// An encoded control_message; subscriptions that receive the same message share it.
using shared_frame = std::shared_ptr<const std::string>;

/// Resets the stream of a subscription, also while a frame is being written.
struct reset_subscription {};

/// From the task of a subscription: the node's first message, and the mailbox for frames to the node. The mailbox
/// refuses a frame when the node reads too slowly.
struct subscription_opened {
  std::uint64_t id = 0;
  subscribe_request request;
  address<shared_frame> outgoing;
  address<reset_subscription> resets;
};

/// From the task of a subscription: a later message of the node.
struct subscription_message {
  std::uint64_t id = 0;
  node_message message;
};

/// From the task of a subscription: its stream has ended.
struct subscription_closed {
  std::uint64_t id = 0;
};

/// What the ledger returned for a state that a quorum has confirmed as current, and for the departures of the hosts
/// that wait for it.
struct confirmed_state {
  document_state_ptr document;
  host_departures departures;
};

/// The result of the publisher's request to the ledger for a confirmed state.
struct confirmation_finished {
  outcome<confirmed_state> state;
};

/// The departure that a node reported on this subscription has been recorded.
struct departure_recorded {
  std::uint64_t subscription = 0;
  std::uint64_t report = 0;  ///< departure_report::id
};

/// Posted by a timer: the delay after a failed confirmation is over; try again.
struct confirmation_retry_due {};

/// From a child task of the publisher: what the services "consensus" and "ledger" of this control host stated.
struct host_state_reported {
  bool has_quorum = false;  ///< in contact with a leader that has a quorum
  bool is_current = false;  ///< no entries are missing that the leader has stated as committed
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;  ///< read after commit_index
};

using publisher_message =
    std::variant<publisher_tick, document_changed, get_subscribers, await_applied, subscription_opened,
                 subscription_message, subscription_closed, confirmation_finished, confirmation_retry_due,
                 host_state_reported, departure_recorded>;

/// Posted by `traffic` to `subscriber` once a second while there are call counts to report.
struct send_evidence {
  evidence_report report;
};

/// Posted by `traffic` to `subscriber`: a request for permits. It counts the permits of one stream, so it must not be
/// sent on another one.
struct send_permit_request {
  std::uint64_t stream = 0;  ///< as in permit_source_changed
  permit_request request;
};

/// Posted by `announcements` to `subscriber`: reports a departure on this host to the control hosts. Answered once they
/// have recorded it, with the time that this took; `timeout` when there is no receipt in time.
struct report_departure {
  target_departure departure;
  reply<duration> answer;
};

/// From timers, periodic and when something is due: the subscriber does what is due.
struct subscriber_tick {};

/// From the task that reads the stream: one frame from the source, the control host that the node subscribed to.
struct source_frame {
  std::uint64_t generation = 0;  ///< number of the stream; frames of earlier streams are ignored
  std::string bytes;
};

/// From the task that reads the stream: the stream has ended.
struct source_closed {
  std::uint64_t generation = 0;
  error reason;
};

class h2_stream;

/// A control host has responded on a stream; from now on the subscriber writes to it.
struct source_opened {
  std::uint64_t generation = 0;
  std::shared_ptr<h2_stream> stream;
  std::string mesh_address;
};

using subscriber_message = std::variant<subscriber_tick, send_evidence, source_frame, source_closed, source_opened,
                                        directory_changed, send_permit_request, report_departure>;

}  // namespace heatherdeck

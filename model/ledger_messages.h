/// @file
/// Commands of the replicated state machine, their results, and the messages of the ledger service.
///
/// The ledger service of a control host is the state machine: it alone applies committed log entries. Other services
/// have it propose a command (`submit`, `propose_system_command`) and receive every change of the document
/// (`document_changed`).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "kernel/mailbox.h"
#include "model/directory_messages.h"
#include "model/document.h"
#include "model/document_delta.h"
#include "model/raft_messages.h"

namespace heatherdeck {

/// The new text of one section; an empty text removes the section.
struct section_edit {
  std::string name;
  std::string text;
  version base;  ///< revision that was edited; none for a new section
};

/// One change of the document by an operator, signed; see model/operator_signature.h. The signature covers all other
/// fields.
struct submission {
  std::string id;  ///< chosen by the operator; a repeated submission with the same id gets the stored result
  std::string operator_name;
  std::vector<section_edit> edits;
  std::string signature;  ///< Ed25519, 64 raw bytes
};

/// Sets the share and status of a rollout. Proposed by the rollout service.
struct set_rollout_step {
  std::string service;
  std::string to;
  basis_points share = 0;
  rollout_status status = rollout_status::running;
  version base_version;  ///< document version that the decision is based on; refused if the rollout changed since
};

/// Permanently stops an upstream version from receiving traffic. A rollout to this version is rolled back.
struct withdraw_version {
  std::string service;
  std::string upstream_version;
  std::string reason;
};

/// Records that a target drains or has left, for later processes of its host. Repeating it changes nothing.
struct record_departure {
  std::string host;  ///< node id of the process that the target announces itself to
  target_departure departure;
};

using ledger_command = std::variant<submission, set_rollout_step, withdraw_version, record_departure>;

/// The result of a command. For submissions it is stored in the replicated state.
struct command_result {
  version accepted_version;                ///< document version with the change; none if it was refused
  std::vector<version> current_revisions;  ///< of a conflict: revision of each edited section, in order of the edits
  error refusal;                           ///< why it was refused; only set when `accepted_version` is none

  bool ok() const { return !accepted_version.none(); }
};

/// Proposes an operator's submission, whose signature the sender has verified. Fails with `unknown_outcome` when it is
/// not known whether the change was accepted; it is safe to submit it again with the same id.
struct submit {
  submission change;
  reply<command_result> answer;
};

/// Proposes a command of the rollout service on the leader.
struct propose_system_command {
  ledger_command command;
  reply<command_result> answer;
};

using document_state_ptr = std::shared_ptr<const document_state>;

/// Asks for the local copy of the document. With `confirmed`, the reply comes after a quorum has confirmed that the
/// copy is current (a linearizable read).
struct get_document {
  bool confirmed = false;
  reply<document_state_ptr> answer;
};

/// Asks for the stored result of a submission; `not_found` when the id is unknown.
struct find_submission {
  std::string operator_name;
  std::string id;
  reply<command_result> answer;
};

/// Has a departure recorded through the leader, whichever host that is. Answered with the last applied index once this
/// host has applied the entry; without an answer it may still be recorded, and it is safe to ask again.
struct submit_departure {
  record_departure command;
  reply<std::uint64_t> answer;
};

/// The recorded departures by host, the oldest first.
using host_departures = std::map<std::string, std::vector<target_departure>>;

/// Asks for the recorded departures of some hosts, as far as this host has applied the log.
struct get_departures {
  std::vector<std::string> hosts;
  reply<host_departures> answer;
};

/// From the consensus service of the same process: committed entries to apply, in log order.
struct apply_entries {
  std::vector<log_entry> entries;
};

/// From the consensus service of the same process: replaces the whole state by a snapshot.
struct install_ledger_image {
  std::uint64_t index = 0;  ///< last log index that the snapshot includes
  std::string bytes;
};

/// A serialized snapshot of the whole replicated state.
struct ledger_image {
  std::uint64_t index = 0;  ///< last log index that it includes
  std::string bytes;
};

/// From the consensus service of the same process: asks for a snapshot.
struct get_ledger_image {
  reply<ledger_image> answer;
};

/// Returns the index of the last entry that the ledger has applied.
struct get_applied_index {
  reply<std::uint64_t> answer;
};

/// From a child task of the ledger service: the outcome of a proposal.
struct proposal_finished {
  std::uint64_t proposal_id = 0;  ///< id of the proposal within the service
  outcome<committed_position> result;
};

/// From a child task of the ledger service: a quorum confirmed the read; it is answered once `index` has been applied.
struct read_confirmed {
  std::uint64_t index = 0;
  reply<document_state_ptr> answer;
};

using ledger_message = std::variant<submit, propose_system_command, get_document, find_submission, submit_departure,
                                    get_departures, apply_entries, install_ledger_image, get_ledger_image,
                                    get_applied_index, proposal_finished, read_confirmed>;

/// Posted by the ledger service to `publisher`, `rollout` and `operators` after every change. One message may combine
/// several changes; `history` makes a delta from any of the last 1,000 versions to `state`.
struct document_changed {
  document_state_ptr state;
  document_history_ptr history;
};

}  // namespace heatherdeck

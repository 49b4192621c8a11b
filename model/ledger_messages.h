/// @file
/// Commands of the replicated state, their answers, and the messages of the ledger service.
///
/// The ledger service is the only one that applies committed entries. Others ask it to propose a command (`submit`,
/// `propose_system_command`) and are told of every change of the document (`document_changed`).
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "kernel/mailbox.h"
#include "model/document.h"
#include "model/document_delta.h"
#include "model/raft_messages.h"

namespace heatherdeck {

/// New text of one section; empty text removes the section.
struct section_edit {
  std::string name;
  std::string text;
  version base;  ///< revision on which the edit was made; none for a new section
};

/// One change of the document by an operator. The signature covers all other members.
struct submission {
  std::string id;
  std::string operator_name;
  std::vector<section_edit> edits;
  std::string signature;  ///< Ed25519, raw bytes
};

/// Raises or lowers the share of a running rollout.
struct set_rollout_step {
  std::string service;
  std::string to;
  basis_points share = 0;
  rollout_status status = rollout_status::running;
  version seen;  ///< document version on which the decision was made; refused when the rollout changed since
};

/// Takes an upstream version out of use for good.
struct withdraw_version {
  std::string service;
  std::string upstream_version;
  std::string reason;
};

using ledger_command = std::variant<submission, set_rollout_step, withdraw_version>;

/// Answer to a command, kept with the replicated state for submissions.
struct command_answer {
  version accepted;              ///< version that contains the change; none when refused
  std::vector<version> current;  ///< conflict: current revision of each edited section, in the order of the edits
  error refusal;                 ///< only meaningful when `accepted` is none

  bool ok() const { return !accepted.none(); }
};

// --- messages to the ledger service ------------------------------------------------------------------------------

/// An operator's submission, already authenticated. Fails with `unknown_outcome` when it cannot be told whether the
/// change was accepted; asking again with the same id is safe.
struct submit {
  submission change;
  reply<command_answer> answer;
};

/// A decision of the rollout service on the leader.
struct propose_system_command {
  ledger_command command;
  reply<command_answer> answer;
};

using document_state_ptr = std::shared_ptr<const document_state>;

/// Asks for the local copy; with `confirmed` only after a quorum has confirmed that it is current.
struct get_document {
  bool confirmed = false;
  reply<document_state_ptr> answer;
};

/// Asks for the stored answer of a submission; `not_found` when the id is unknown.
struct find_submission {
  std::string operator_name;
  std::string id;
  reply<command_answer> answer;
};

/// From the own consensus service, in log order.
struct apply_entries {
  std::vector<log_entry> entries;
};

/// From the own consensus service: replaces the whole state.
struct install_state {
  std::uint64_t index = 0;
  std::string bytes;
};

/// The whole replicated state up to `index`, for a snapshot file.
struct ledger_image {
  std::uint64_t index = 0;
  std::string bytes;
};

struct take_image {
  reply<ledger_image> answer;
};

/// From the ledger service's own child task: how a proposal ended.
struct proposal_finished {
  std::uint64_t ticket = 0;
  outcome<committed> result;
};

/// From the ledger service's own child task: a confirmed read may be answered once `index` has been applied.
struct read_confirmed {
  std::uint64_t index = 0;
  reply<document_state_ptr> answer;
};

using ledger_message = std::variant<submit, propose_system_command, get_document, find_submission, apply_entries,
                                    install_state, take_image, proposal_finished, read_confirmed>;

/// Posted by the ledger service to `publisher`, `rollout` and `operators` after every change. Several changes may be
/// combined into one message; `history` gives the step from any of the last 1,000 versions to `state`.
struct document_changed {
  document_state_ptr state;
  document_history_ptr history;
};

}  // namespace heatherdeck

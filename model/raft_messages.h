/// @file
/// Messages of Raft between the consensus services of the control hosts, and the messages that other services send to
/// the consensus service of their own process.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/mailbox.h"
#include "model/directory_messages.h"

namespace heatherdeck {

/// What a log entry holds. A new leader appends a `noop` to commit entries of earlier terms.
enum class entry_kind { noop, command, membership };

template <>
struct enum_table<entry_kind> {
  static constexpr auto entries = std::to_array<enum_entry<entry_kind>>({
      {entry_kind::noop, "noop"},
      {entry_kind::command, "command"},
      {entry_kind::membership, "membership"},
  });
};

/// One entry of the replicated log.
struct log_entry {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  entry_kind kind = entry_kind::noop;
  std::string payload;  ///< encoded command or membership; empty for a noop

  bool operator==(const log_entry&) const = default;
};

/// A control host as a member of the replicated log. The store id identifies its data folder: a host whose disk was
/// replaced has a new one and is a new member.
struct raft_member {
  std::string host_id;
  std::string store_id;
  std::string mesh_address;
  bool learner = false;  ///< receives the log but does not vote

  bool operator==(const raft_member&) const = default;
};

/// Requests a vote. A pre-vote only asks whether the receiver would grant it and changes no term.
struct vote_request {
  bool pre_vote = false;
  std::uint64_t last_index = 0;  ///< of the candidate's last log entry
  std::uint64_t last_term = 0;   ///< of the candidate's last log entry
};

struct vote_response {
  bool pre_vote = false;
  bool granted = false;
};

/// Entries that follow (previous_index, previous_term); a heartbeat has none.
struct append_request {
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit_index = 0;  ///< the leader's commit index
  std::uint64_t round = 0;         ///< number of the heartbeat round; the response repeats it, which confirms reads
  std::vector<log_entry> entries;
};

/// Response to an append_request.
struct append_response {
  bool accepted = false;
  std::uint64_t match_index = 0;  ///< accepted: last index that is durable and matches the leader; refused: next to try
  std::uint64_t round = 0;
};

/// One chunk of a snapshot of the state after the entry (index, term).
struct snapshot_chunk {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint64_t offset = 0;  ///< of `bytes` in the snapshot
  std::uint64_t round = 0;   ///< as in append_request
  std::string bytes;
  bool last = false;
};

/// Response to a snapshot_chunk.
struct snapshot_response {
  std::uint64_t index = 0;
  std::uint64_t next_offset = 0;  ///< offset of the chunk that the receiver expects next
  std::uint64_t round = 0;
};

/// A follower asks the leader to confirm a read that was requested on the follower (read index).
struct read_request {
  std::uint64_t id = 0;
};

/// Response to a read_request.
struct read_response {
  std::uint64_t id = 0;     ///< id of the request
  bool confirmed = false;   ///< the leader confirmed with a quorum that it still leads
  std::uint64_t index = 0;  ///< log index that must be applied before the read
};

/// A follower passes a command to the leader. There is no response: the log shows the command once it is committed.
struct forwarded_command {
  std::string payload;
};

using raft_body = std::variant<vote_request, vote_response, append_request, append_response, snapshot_chunk,
                               snapshot_response, read_request, read_response, forwarded_command>;

/// Envelope of every message between control hosts. Because of the store ids, a host whose disk was replaced is not
/// taken for the member that it was before.
struct raft_message {
  std::string from;        ///< host id
  std::string from_store;  ///< store id
  std::string to;
  std::string to_store;  ///< empty when not yet known
  std::uint64_t term = 0;
  raft_body body;
};

/// Position of a committed entry in the log.
struct committed_position {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
};

/// Proposes a command; the reply comes once it is committed. `not_leader` and `no_quorum` mean that it was not appended
/// to the log; `unknown_outcome` means that it may still be committed.
struct propose_command {
  std::string payload;
  reply<committed_position> answer;
};

/// Appends a command on the leader, whichever host that is. There is no answer, and the command may be lost or appended
/// twice: for commands whose repetition changes nothing.
struct forward_command {
  std::string payload;
};

/// Asks for the log index that must be applied before a linearizable read: every entry committed before this request is
/// at or below it.
struct confirm_read {
  reply<std::uint64_t> answer;
};

enum class raft_role { follower, pre_candidate, candidate, leader, learner };

template <>
struct enum_table<raft_role> {
  static constexpr auto entries = std::to_array<enum_entry<raft_role>>({
      {raft_role::follower, "follower"},
      {raft_role::pre_candidate, "pre_candidate"},
      {raft_role::candidate, "candidate"},
      {raft_role::leader, "leader"},
      {raft_role::learner, "learner"},
  });
};

/// State of the consensus service, for dumps and for services that depend on the leader.
struct consensus_status {
  raft_role role = raft_role::follower;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;  ///< commit index
  std::string leader;              ///< host id; empty when not known
  bool has_quorum = false;  ///< leader: it has a lease; follower: it heard from a leader within the election time-out
  /// The log is as committed as the leader has stated: an entry of this term is committed here, and what the leader
  /// stated an election timeout ago, or when it was first heard after a start or a loss of contact.
  bool is_current = true;
  std::vector<raft_member> voters;
};

struct get_consensus_status {
  reply<consensus_status> answer;
};

enum class membership_action { add_learner, promote, remove };

template <>
struct enum_table<membership_action> {
  static constexpr auto entries = std::to_array<enum_entry<membership_action>>({
      {membership_action::add_learner, "add"},
      {membership_action::promote, "promote"},
      {membership_action::remove, "remove"},
  });
};

/// Adds, promotes or removes one control host as a member of the log; one change at a time. A host whose disk was
/// replaced is added again with its new store id.
struct change_membership {
  using action_kind = membership_action;
  membership_action action = membership_action::add_learner;
  raft_member member;
  reply<committed_position> answer;
};

using consensus_message = std::variant<propose_command, forward_command, confirm_read, get_consensus_status,
                                       change_membership, directory_changed>;

}  // namespace heatherdeck

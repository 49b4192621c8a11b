/// @file
/// Messages between the control hosts' consensus services, and the messages that other services send to their own
/// consensus service.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/mailbox.h"
#include "model/directory_messages.h"

namespace heatherdeck {

enum class entry_kind { noop, command, membership };

template <>
struct enum_table<entry_kind> {
  static constexpr auto entries = std::to_array<enum_entry<entry_kind>>({
      {entry_kind::noop, "noop"},
      {entry_kind::command, "command"},
      {entry_kind::membership, "membership"},
  });
};

struct log_entry {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  entry_kind kind = entry_kind::noop;
  std::string payload;

  bool operator==(const log_entry&) const = default;
};

/// A control host as a member of the replicated log. A host whose disk was replaced has a new store id.
struct voter {
  std::string host_id;
  std::string store_id;
  std::string mesh_address;
  bool learner = false;  ///< receives the log, does not vote

  bool operator==(const voter&) const = default;
};

/// Asks for a vote; with `pre_vote` no term is changed.
struct vote_request {
  bool pre_vote = false;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
};

struct vote_answer {
  bool pre_vote = false;
  bool granted = false;
};

/// Entries after (previous_index, previous_term); empty as a heartbeat.
struct append_request {
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit = 0;
  std::uint64_t round = 0;  ///< heartbeat round, echoed in the answer; confirms reads
  std::vector<log_entry> entries;
};

struct append_answer {
  bool accepted = false;
  std::uint64_t match = 0;  ///< accepted: last index known to be equal and synced; refused: where to try next
  std::uint64_t round = 0;
};

/// A piece of the snapshot that covers everything up to (index, term).
struct snapshot_chunk {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint64_t offset = 0;
  std::uint64_t round = 0;
  std::string bytes;
  bool last = false;
};

struct snapshot_answer {
  std::uint64_t index = 0;
  std::uint64_t next_offset = 0;
  std::uint64_t round = 0;
};

/// A follower asks the leader to confirm a read on behalf of its own askers.
struct read_request {
  std::uint64_t id = 0;
};

struct read_answer {
  std::uint64_t id = 0;
  bool confirmed = false;
  std::uint64_t index = 0;
};

using raft_body = std::variant<vote_request, vote_answer, append_request, append_answer, snapshot_chunk,
                               snapshot_answer, read_request, read_answer>;

/// Envelope of every message between control hosts. The store ids prevent a replaced disk from speaking for the old
/// one.
struct raft_message {
  std::string from;        ///< host id
  std::string from_store;  ///< store id
  std::string to;
  std::string to_store;  ///< empty when not yet known
  std::uint64_t term = 0;
  raft_body body;
};

// --- messages to the own consensus service -----------------------------------------------------------------------

struct committed {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
};

/// Proposes a command; the answer comes when it is committed. `not_leader` and `no_quorum` mean that it was not
/// appended; `unknown_outcome` means that it may still be committed.
struct propose_command {
  std::string payload;
  reply<committed> answer;
};

/// Asks for the index that a read must wait for: everything committed before the question is at or below it.
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

struct consensus_status {
  raft_role role = raft_role::follower;
  std::uint64_t term = 0;
  std::uint64_t commit = 0;
  std::string leader;   ///< host id; empty when not known
  bool quorum = false;  ///< leader: its lease holds; follower: it heard from a leader within the election time-out
  std::vector<voter> voters;
};

struct get_consensus_status {
  reply<consensus_status> answer;
};

enum class voter_change { add_learner, promote, remove };

template <>
struct enum_table<voter_change> {
  static constexpr auto entries = std::to_array<enum_entry<voter_change>>({
      {voter_change::add_learner, "add"},
      {voter_change::promote, "promote"},
      {voter_change::remove, "remove"},
  });
};

/// Adds, promotes or removes one control host; one change at a time. A host whose disk was replaced is added again.
struct change_voters {
  using action_kind = voter_change;
  voter_change action = voter_change::add_learner;
  voter subject;
  reply<committed> answer;
};

using consensus_message =
    std::variant<propose_command, confirm_read, get_consensus_status, change_voters, directory_view>;

}  // namespace heatherdeck

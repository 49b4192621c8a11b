/// @file
/// Configuration, events and actions of `raft_core`, and the stored state that the core starts from.
///
/// The consensus service converts mailbox messages, timer expiries and completed writes into events and executes the
/// actions that `raft_core::step` returns, in their order:
///
///     for (raft_action& action : core.step(now, proposal_received{7, payload})) std::visit(executor, action);
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/result.h"
#include "kernel/timer_service.h"
#include "model/raft_messages.h"

namespace heatherdeck {

/// Encodes and decodes entries and memberships; the service passes the functions of wire/codec.h (`wire_entry_codec`).
struct entry_codec {
  std::string (*encode_entry)(const log_entry&) = nullptr;
  outcome<log_entry> (*decode_entry)(std::string_view) = nullptr;
  std::string (*encode_voters)(const std::vector<raft_member>&) = nullptr;
  outcome<std::vector<raft_member>> (*decode_voters)(std::string_view) = nullptr;
};

/// Raft's persistent state besides the log: the current term and the vote in that term.
struct hard_state {
  std::uint64_t term = 0;
  std::string vote_host;   ///< host id of the candidate; empty: no vote in this term
  std::string vote_store;  ///< store id of the candidate

  bool operator==(const hard_state&) const = default;
};

/// The state machine's encoded state (its image) after the entry (index, term), with the membership at that point.
/// `blob` is the form in files and in chunks on the wire: the length of the encoded membership (4 bytes, little
/// endian), the encoded membership, the image.
struct snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::vector<raft_member> voters;
  std::string blob;
  std::size_t state_offset = 0;  ///< of the image in blob

  /// @return the state machine's image.
  std::string_view state() const { return std::string_view(blob).substr(state_offset); }
};
using snapshot_ptr = std::shared_ptr<const snapshot>;

/// @return a snapshot whose blob is built from the membership and the state machine's image.
snapshot_ptr make_snapshot(const entry_codec& codec, std::uint64_t index, std::uint64_t term,
                           std::vector<raft_member> voters, std::string_view state);

/// @return the snapshot that the blob encodes, or `corrupt`.
result<snapshot_ptr> parse_snapshot(const entry_codec& codec, std::uint64_t index, std::uint64_t term,
                                    std::string blob);

/// Everything that the log store loaded on start.
struct stored_state {
  std::string store_id;
  hard_state hard;
  snapshot_ptr snapshot;  ///< null: no snapshot yet
  std::vector<log_entry> entries;
};

/// Configuration of one host, constant while the process runs. The defaults are those of section 3 of the design page.
struct raft_config {
  std::string host_id;
  std::string store_id;
  std::vector<raft_member> founders;  ///< control hosts in the settings; the first one bootstraps a new log
  bool may_bootstrap = true;          ///< may create a new log; false: only joins an existing one
  bool automatic_membership = false;  ///< as leader, adds and removes members without an operator
  std::size_t min_voters = 0;         ///< with fewer voters, commands are rejected: they would be on too few disks
  /// With `automatic_membership` the leader removes a member that has not answered for this time. Must be shorter than
  /// the 4 s after which a platform relies on the successor of a host that it has removed; a host that was only
  /// unreachable is added again.
  std::chrono::milliseconds removal_timeout{3000};
  std::chrono::milliseconds heartbeat_interval{100};
  std::chrono::milliseconds election_timeout{600};  ///< minimum; each timeout is drawn from [1, 2] times this
  std::chrono::milliseconds lease{500};             ///< without a quorum for this time a leader steps down; must be
                                                    ///< shorter than election_timeout
  std::uint64_t seed = 1;                           ///< of the random generator for election timeouts
  /// Payload bytes of the entries in one append request; must be well below max_frame_bytes.
  std::size_t max_append_bytes = std::size_t{512} * 1024;
  std::size_t max_command_bytes = std::size_t{6} << 20U;  ///< one entry must fit into a frame of 8 MiB
  std::size_t max_chunk_bytes = std::size_t{256} * 1024;  ///< snapshot bytes in one message
  std::uint64_t max_in_flight_entries = 1024;             ///< entries sent to a peer that it has not acknowledged
  std::size_t max_pending = 4096;        ///< limit of uncommitted proposals, and of queued reads from other hosts
  std::uint64_t trailing_entries = 256;  ///< entries kept before a snapshot's index, so that a follower that was
                                         ///< away for a short time needs no snapshot
  std::uint64_t max_promotion_lag = 16;  ///< entries that a learner may be behind the commit index when promoted
  entry_codec codec;
};

// Events: inputs of raft_core::step.

/// `raft_core::timer_deadline` has been reached.
struct timer_expired {};

/// A message from another control host.
struct message_received {
  raft_message message;
};

/// A command to append; `id` is returned in `answer_proposal`.
struct proposal_received {
  std::uint64_t id = 0;
  std::string payload;
};

/// A command for the leader, whichever host that is. Appended without an answer, or lost.
struct command_forwarded {
  std::string payload;
};

/// A request to confirm a linearizable read; `id` is returned in `answer_read`.
struct read_received {
  std::uint64_t id = 0;
};

/// A request to change the membership; `id` is returned in `answer_proposal`.
struct membership_change {
  std::uint64_t id = 0;
  change_membership::action_kind action = change_membership::action_kind::add_learner;
  raft_member member;
};

/// The other control hosts that membership gossip has found; their store ids are empty.
struct hosts_discovered {
  std::vector<raft_member> hosts;
};

/// Every `persist_state` up to and including this ticket is durable.
struct persisted {
  std::uint64_t ticket = 0;
};

/// The state machine's image after the entry `index`; the core makes a snapshot of it and compacts the log.
struct image_taken {
  std::uint64_t index = 0;
  std::string bytes;
};

using raft_event = std::variant<timer_expired, message_received, proposal_received, command_forwarded, read_received,
                                membership_change, hosts_discovered, persisted, image_taken>;

// Actions: outputs of raft_core::step.

/// State to make durable, in the order of the tickets; within one action in the order of the fields.
struct persist_state {
  std::uint64_t ticket = 0;  ///< consecutive number, returned in `persisted`
  std::optional<hard_state> hard;
  snapshot_ptr snapshot;
  bool replace_log = false;  ///< the snapshot came from the leader: all entries of the log are removed
  std::optional<std::uint64_t> truncate_after;  ///< removes the entries after this index
  std::vector<log_entry> entries;
};

/// A message to send to the control host `message.to`; it may be lost.
struct send_message {
  raft_message message;
};

/// Committed entries in log order, each exactly once since the start or the last `restore_state`.
struct apply_committed {
  std::vector<log_entry> entries;
};

/// The state machine's state must be replaced by this snapshot's image.
struct restore_state {
  snapshot_ptr snapshot;
};

/// Completes a proposal or a membership change.
struct answer_proposal {
  std::uint64_t id = 0;
  outcome<committed_position> answer;
};

/// Completes a read with the index that must be applied before reading.
struct answer_read {
  std::uint64_t id = 0;
  outcome<std::uint64_t> answer;
};

/// The log contradicts a committed entry or the leader of the term; the process must stop.
struct halt {
  error reason;
};

using raft_action =
    std::variant<persist_state, send_message, apply_committed, restore_state, answer_proposal, answer_read, halt>;

}  // namespace heatherdeck

/// @file
/// Configuration, events and actions of `raft_core`, and the stored state that the core starts from.
///
/// The consensus service turns mailbox messages, timer expiries and store answers into events, and carries out the
/// actions that `raft_core::step` returns, in their order:
///
///     for (raft_action& action : core.step(now, proposed{7, payload})) std::visit(executor, action);
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

/// How entries and memberships become bytes; the service passes the functions of wire/codec.h (`wire_entry_codec`).
struct entry_codec {
  std::string (*encode_entry)(const log_entry&) = nullptr;
  outcome<log_entry> (*decode_entry)(std::string_view) = nullptr;
  std::string (*encode_voters)(const std::vector<voter>&) = nullptr;
  outcome<std::vector<voter>> (*decode_voters)(std::string_view) = nullptr;
};

/// What a host must not forget: its term and whom it voted for in that term.
struct hard_state {
  std::uint64_t term = 0;
  std::string vote_host;  ///< empty: no vote in this term
  std::string vote_store;

  bool operator==(const hard_state&) const = default;
};

/// The applied state up to (index, term) with the membership at that point. `blob` is what files and chunks carry:
/// the length of the encoded membership (4 bytes, little endian), the membership, the state.
struct snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::vector<voter> voters;
  std::string blob;
  std::size_t state_offset = 0;

  std::string_view state() const { return std::string_view(blob).substr(state_offset); }
};
using snapshot_ptr = std::shared_ptr<const snapshot>;

/// @return a snapshot whose blob is built from the membership and the state.
snapshot_ptr make_snapshot(const entry_codec& codec, std::uint64_t index, std::uint64_t term, std::vector<voter> voters,
                           std::string_view state);

/// @return the snapshot that the blob holds, or `corrupt`.
result<snapshot_ptr> parse_snapshot(const entry_codec& codec, std::uint64_t index, std::uint64_t term,
                                    std::string blob);

/// Everything that the log store found at start.
struct stored_state {
  std::string store_id;
  hard_state hard;
  snapshot_ptr snapshot;  ///< null: none yet
  std::vector<log_entry> entries;
};

/// Constants of one host. The defaults are those of section 3 of the design page.
struct raft_config {
  std::string host_id;
  std::string store_id;
  std::vector<voter> founders;        ///< control hosts of the settings; the first one forms a new log
  bool may_bootstrap = true;          ///< false: this host only joins a log that exists
  bool automatic_membership = false;  ///< as leader, takes announced hosts into the membership by itself
  std::size_t min_voters = 0;         ///< fewer voters accept no command: it would not be on enough disks
  /// A leader that admits hosts removes a member after this silence. Shorter than the 4 s after which a platform counts
  /// on the successor of a host that it has removed; a host that was only away is admitted again.
  std::chrono::milliseconds removal_timeout{3000};
  std::chrono::milliseconds heartbeat_interval{100};
  std::chrono::milliseconds election_timeout{600};  ///< least value; the drawn value is at most twice this
  std::chrono::milliseconds lease{500};             ///< must be shorter than election_timeout
  std::uint64_t seed = 1;
  std::size_t max_append_bytes =
      std::size_t{512} * 1024;  ///< entries in one message; must stay well below max_frame_bytes
  std::size_t max_command_bytes = std::size_t{6} << 20U;  ///< largest command: one entry must fit into a frame of 8 MiB
  std::size_t max_chunk_bytes = std::size_t{256} * 1024;  ///< snapshot bytes in one message
  std::uint64_t max_in_flight_entries = 1024;             ///< entries sent to a peer before it acknowledges
  std::size_t max_pending = 4096;                         ///< proposals that wait for their commit
  std::uint64_t trailing_entries = 256;  ///< kept behind a snapshot, so that a short absence needs no snapshot
  std::uint64_t max_promotion_lag = 16;  ///< a learner this close to the commit index may be promoted
  entry_codec codec;
};

// --- events --------------------------------------------------------------------------------------------------------

/// `wake_at` has been reached.
struct timer_expired {};

struct message_received {
  raft_message message;
};

/// A command to append; `id` returns in `answer_proposal`.
struct proposal_received {
  std::uint64_t id = 0;
  std::string payload;
};

struct read_received {
  std::uint64_t id = 0;
};

struct membership_change {
  std::uint64_t id = 0;
  change_voters::action_kind action = change_voters::action_kind::add_learner;
  voter subject;
};

/// Control hosts that membership gossip knows, this host excluded; store ids are empty.
struct hosts_discovered {
  std::vector<voter> hosts;
};

/// Every `persist_state` up to this ticket is durable.
struct persisted {
  std::uint64_t ticket = 0;
};

/// The state machine's image up to `index`; the core turns it into a snapshot and compacts the log.
struct image_taken {
  std::uint64_t index = 0;
  std::string bytes;
};

using raft_event = std::variant<timer_expired, message_received, proposal_received, read_received, membership_change,
                                hosts_discovered, persisted, image_taken>;

// --- actions -------------------------------------------------------------------------------------------------------

/// Must be made durable in the order of the tickets. Parts apply in the order of the members.
struct persist_state {
  std::uint64_t ticket = 0;
  std::optional<hard_state> hard;
  snapshot_ptr snapshot;
  bool replace_log = false;  ///< the image came from the leader: the whole log is dropped
  std::optional<std::uint64_t> truncate_after;
  std::vector<log_entry> entries;
};

struct send_message {
  raft_message message;
};

/// Committed entries in log order, each exactly once since the start or the last `restore_state`.
struct apply_committed {
  std::vector<log_entry> entries;
};

/// The state machine must be replaced by this image.
struct restore_state {
  snapshot_ptr snapshot;
};

struct answer_proposal {
  std::uint64_t id = 0;
  outcome<committed> answer;
};

struct answer_read {
  std::uint64_t id = 0;
  outcome<std::uint64_t> answer;
};

/// The log contradicts what was committed; the process must stop.
struct halt {
  error reason;
};

using raft_action =
    std::variant<persist_state, send_message, apply_committed, restore_state, answer_proposal, answer_read, halt>;

}  // namespace heatherdeck

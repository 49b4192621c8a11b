/// @file
/// The leader's view of its peers: how far each peer's log matches, which heartbeat rounds it answered, and the quorum
/// values derived from both.
///
/// Owned by `raft_core`, which resets it when this host becomes leader. Rounds are numbered broadcasts (heartbeats and
/// read confirmations): an answer to a round proves that the peer accepted this leader after the round began, which
/// confirms reads and extends the lease.
///
///     peers.reset(log, own_id, now);
///     const std::uint64_t round = peers.begin_round(now);
///     peers.record_answer(*peers.find("c2"), round);
///     if (peers.quorum_round(voters) >= round) ...  // a quorum has accepted this leader since
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "consensus/raft_log.h"
#include "consensus/raft_types.h"
#include "kernel/timer_service.h"

namespace heatherdeck {

/// Replication progress of one peer.
struct peer_progress {
  std::string store_id;               ///< answers from another store of this host are ignored
  std::uint64_t match = 0;            ///< last index known to match this log and to be durable on the peer
  std::uint64_t next = 1;             ///< index of the next entry to send
  bool probing = false;               ///< searching for the last matching index; no entries are sent meanwhile
  std::uint64_t acked_round = 0;      ///< latest heartbeat round that the peer answered
  time_point acked_round_sent_at{};   ///< when this host sent that round
  snapshot_ptr snapshot;              ///< snapshot being sent; null: none
  std::uint64_t snapshot_offset = 0;  ///< offset of the chunk in flight, in bytes
  std::uint64_t snapshot_round = 0;   ///< round in which that chunk was sent
};

class raft_peers {
 public:
  /// Discards all progress; every member except `own_id` starts with `next` after the end of the log.
  void reset(const raft_log& log, const std::string& own_id, time_point now);

  /// Adds and removes peers to match the current membership; a member with a new store starts afresh.
  void update_members(const raft_log& log, time_point now);

  /// @return null when the host is not a peer.
  peer_progress* find(const std::string& host_id);
  std::map<std::string, peer_progress>& all() { return peers_; }
  const std::map<std::string, peer_progress>& all() const { return peers_; }

  /// Starts a heartbeat round. @return its number.
  std::uint64_t begin_round(time_point now);
  std::uint64_t round() const { return round_; }

  /// Records that the peer has answered a message of this round.
  void record_answer(peer_progress& peer, std::uint64_t round);

  /// @param own_durable last index that is durable on this host.
  /// @return the highest index that is durable on a quorum.
  std::uint64_t quorum_match(const std::vector<raft_member>& voters, std::uint64_t own_durable) const;

  /// @return the latest round that a quorum has answered.
  std::uint64_t quorum_round(const std::vector<raft_member>& voters) const;

  /// @return the latest time at which a quorum is known to have accepted this leader; the lease starts there.
  time_point quorum_contact(const std::vector<raft_member>& voters, time_point now) const;

 private:
  template <class Value, class Get>
  Value quorum_value(const std::vector<raft_member>& voters, Value own, Get get) const;

  std::string own_id_;
  std::map<std::string, peer_progress> peers_;
  std::uint64_t round_ = 0;
  std::deque<std::pair<std::uint64_t, time_point>> rounds_;  ///< recent rounds with their send times
};

}  // namespace heatherdeck

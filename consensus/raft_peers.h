/// @file
/// What a leader knows of its peers: how far their logs reach, which heartbeat rounds they answered, and the quorum
/// figures that follow from it.
///
/// Owned by `raft_core` and reset at the start of each term as leader.
///
///     peers.reset(log, own_id, now);
///     const std::uint64_t round = peers.begin_round(now);
///     peers.answered("c2", round);
///     if (peers.quorum_round(voters) >= round) ...      // a quorum still follows this leader
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

/// Progress of one peer.
struct peer_progress {
  std::string store_id;     ///< answers of another store of this host do not count
  std::uint64_t match = 0;  ///< last index known to be equal and durable there
  std::uint64_t next = 1;   ///< next entry to send
  bool probing = false;     ///< the end of the peer's log is being looked for: no entries are sent
  std::uint64_t acked_round = 0;
  time_point acked_round_sent_at{};   ///< when the acknowledged round was sent
  snapshot_ptr snapshot;              ///< snapshot being sent; null: none
  std::uint64_t snapshot_offset = 0;  ///< offset of the chunk under way
  std::uint64_t snapshot_round = 0;   ///< round in which that chunk was sent
};

class raft_peers {
 public:
  /// Forgets everything; every member except `own_id` starts with `next` after the end of the log.
  void reset(const raft_log& log, const std::string& own_id, time_point now);

  /// Adds new members and drops removed ones.
  void update_members(const raft_log& log, time_point now);

  /// @return null for a host that is no peer.
  peer_progress* find(const std::string& host_id);
  std::map<std::string, peer_progress>& all() { return peers_; }
  const std::map<std::string, peer_progress>& all() const { return peers_; }

  /// Starts a heartbeat round. @return its number.
  std::uint64_t begin_round(time_point now);
  std::uint64_t round() const { return round_; }

  /// Records that the peer has answered a message of this round.
  void record_answer(peer_progress& peer, std::uint64_t round);

  /// @param own_durable last index that is durable on this host.
  /// @return the highest index that a quorum holds.
  std::uint64_t quorum_match(const std::vector<voter>& voters, std::uint64_t own_durable) const;

  /// @return the latest round that a quorum has answered.
  std::uint64_t quorum_round(const std::vector<voter>& voters) const;

  /// @return the latest time at which a quorum is known to have followed this leader.
  time_point quorum_contact(const std::vector<voter>& voters, time_point now) const;

 private:
  template <class Value, class Get>
  Value quorum_value(const std::vector<voter>& voters, Value own, Get get) const;

  std::string own_id_;
  std::map<std::string, peer_progress> peers_;
  std::uint64_t round_ = 0;
  std::deque<std::pair<std::uint64_t, time_point>> rounds_;  ///< rounds that may still be answered, with send time
};

}  // namespace heatherdeck

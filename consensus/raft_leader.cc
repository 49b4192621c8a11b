// The leader: replication, the commit index, reads and membership changes. Invariants: an entry is committed directly
// only when it is durable on a quorum and of the leader's own term; a read is confirmed only by a round that began
// after the read arrived; at most one membership entry is uncommitted. A commit costs one message each way per peer and
// one sync on each host; a batch of reads costs one round of empty append requests.
#include <algorithm>

#include <fmt/format.h>

#include "consensus/raft_core.h"

namespace heatherdeck {

// Replication.

void raft_core::send_heartbeats() {
  peers_.begin_round(now_);
  next_heartbeat_ = now_ + config_.heartbeat_interval;
  replicate_all(true);
  start_read_round();
  confirm_reads();
  update_membership();
}

void raft_core::check_lease() {
  if (state_ != state::leader) return;
  if (now_ - peers_.quorum_contact(log_.voters(), now_) >= config_.lease) become_follower(hard_state_.term, {});
}

void raft_core::replicate_all(bool is_heartbeat) {
  for (auto& [host, peer] : peers_.all()) replicate(host, peer, is_heartbeat);
}

void raft_core::replicate(const std::string& host, peer_progress& peer, bool is_heartbeat) {
  if (peer.snapshot) {
    if (is_heartbeat) send_snapshot_chunk(host, peer, true);
    return;
  }
  if (peer.next <= log_.base_index()) {
    peer.snapshot = snapshot_;
    peer.snapshot_offset = 0;
    return send_snapshot_chunk(host, peer, false);
  }
  bool must_send = is_heartbeat;
  do {
    append_request request;
    request.previous_index = peer.next - 1;
    request.previous_term = log_.term_at(peer.next - 1).value_or(0);
    request.commit_index = commit_index_;
    request.round = peers_.round();
    const std::uint64_t in_flight = peer.next - 1 - peer.match;
    if (!peer.probing && in_flight < config_.max_in_flight_entries) {
      request.entries = log_.slice(peer.next, config_.max_in_flight_entries - in_flight, config_.max_append_bytes);
    }
    if (request.entries.empty() && !must_send) return;
    must_send = false;
    peer.next += request.entries.size();
    send(make_message(host, peer.store_id, hard_state_.term, std::move(request)));
  } while (!peer.probing && peer.next <= log_.last_index());
}

// A heartbeat carries no snapshot bytes; its answer names the offset that the peer needs, and extends the lease.
void raft_core::send_snapshot_chunk(const std::string& host, peer_progress& peer, bool is_heartbeat) {
  snapshot_chunk chunk;
  chunk.index = peer.snapshot->index;
  chunk.term = peer.snapshot->term;
  chunk.offset = peer.snapshot_offset;
  chunk.round = peers_.round();
  if (!is_heartbeat) {
    chunk.bytes = peer.snapshot->blob.substr(peer.snapshot_offset, config_.max_chunk_bytes);
    chunk.last = peer.snapshot_offset + chunk.bytes.size() == peer.snapshot->blob.size();
    peer.snapshot_round = chunk.round;
  }
  send(make_message(host, peer.store_id, hard_state_.term, std::move(chunk)));
}

peer_progress* raft_core::answering_peer(const raft_message& message) {
  if (message.term > hard_state_.term) {
    become_follower(message.term, {});
    return nullptr;
  }
  if (state_ != state::leader || message.term < hard_state_.term) return nullptr;
  peer_progress* peer = peers_.find(message.from);
  return peer != nullptr && peer->store_id == message.from_store ? peer : nullptr;
}

void raft_core::on_append_response(const raft_message& message, const append_response& answer) {
  if (log_.voters().empty()) return;
  peer_progress* peer = answering_peer(message);
  if (peer == nullptr) return;
  peers_.record_answer(*peer, answer.round);
  if (answer.accepted && answer.match_index <= log_.last_index()) {
    peer->match = std::max(peer->match, answer.match_index);
    if (peer->snapshot && peer->match >= peer->snapshot->index) peer->snapshot = nullptr;
    peer->next = std::max(peer->next, peer->match + 1);
    // An accepted probe proves that the logs match up to next - 1, even when that part is not durable on the peer yet.
    peer->probing = false;
    replicate(message.from, *peer, false);
    advance_commit();
  } else if (!answer.accepted && answer.match_index >= peer->match && !peer->snapshot) {
    const std::uint64_t next_probe = std::max(std::min(answer.match_index + 1, peer->next - 1), peer->match + 1);
    const bool repeated = peer->probing && next_probe == peer->next;
    peer->next = next_probe;
    peer->probing = true;
    if (!repeated) replicate(message.from, *peer, true);
  }
  confirm_reads();
}

void raft_core::on_snapshot_response(const raft_message& message, const snapshot_response& answer) {
  peer_progress* peer = answering_peer(message);
  if (peer == nullptr) return;
  peers_.record_answer(*peer, answer.round);
  if (peer->snapshot && answer.index == peer->snapshot->index && answer.next_offset < peer->snapshot->blob.size()) {
    // The same offset in the answer to a later round means that the chunk was lost.
    const bool lost = answer.next_offset == peer->snapshot_offset && answer.round > peer->snapshot_round;
    if (lost || answer.next_offset != peer->snapshot_offset) {
      peer->snapshot_offset = answer.next_offset;
      send_snapshot_chunk(message.from, *peer, false);
    }
  }
  confirm_reads();
}

void raft_core::advance_commit() {
  const std::uint64_t quorum_index = peers_.quorum_match(log_.voters(), durable_index_);
  // An entry of an earlier term can be on a quorum and still be replaced by a later leader (Raft paper, figure 8); it
  // is committed only together with an entry of this term.
  if (quorum_index <= commit_index_ || log_.term_at(quorum_index) != hard_state_.term) return;
  commit_to(quorum_index);
  replicate_all(true);
  if (log_.voters_index() <= commit_index_ && !self_is_voter()) return become_follower(hard_state_.term, {});
  start_read_round();
  update_membership();
}

// Reads.

// Reads wait for the first commit of this term, because only then the commit index is known to cover the commits of
// earlier terms.
void raft_core::start_read_round() {
  if (queued_reads_.empty() || !reads_in_round_.empty() || commit_index_ < term_start_index_) return;
  const std::uint64_t round = peers_.begin_round(now_);
  reads_in_round_ = std::exchange(queued_reads_, {});
  for (pending_read& read : reads_in_round_) {
    read.index = commit_index_;
    read.round = round;
  }
  replicate_all(true);
  confirm_reads();
}

void raft_core::confirm_reads() {
  if (state_ != state::leader || reads_in_round_.empty()) return;
  if (peers_.quorum_round(log_.voters()) < reads_in_round_.front().round) return;
  for (const pending_read& read : std::exchange(reads_in_round_, {})) {
    if (read.host.empty()) {
      actions_.emplace_back(answer_read{read.id, read.index});
    } else {
      send(make_message(read.host, read.store, hard_state_.term, read_response{read.id, true, read.index}));
    }
  }
  start_read_round();
}

void raft_core::on_read_request(const raft_message& message, const read_request& request) {
  if (state_ != state::leader || queued_reads_.size() >= config_.max_pending) {
    return send(make_answer(message, read_response{request.id, false, 0}));
  }
  queued_reads_.push_back({message.from, message.from_store, request.id, 0, 0, now_});
  start_read_round();
}

void raft_core::on_forwarded_command(const forwarded_command& command) {
  if (!check_command(command.payload)) append_command(command.payload);
}

// Membership changes.

outcome<std::vector<raft_member>> raft_core::voters_after(const membership_change& change) const {
  std::vector<raft_member> voters = log_.voters();
  // Two overlapping changes, or a change before the first commit of this term, could create two disjoint quorums.
  if (log_.voters_index() > commit_index_ || commit_index_ < term_start_index_) {
    return error{error_kind::conflict, "another membership change is not committed yet", "try again later", {}};
  }
  const auto at = std::find_if(voters.begin(), voters.end(),
                               [&](const raft_member& v) { return v.host_id == change.member.host_id; });
  if (change.action == change_membership::action_kind::add_learner) {
    raft_member added = change.member;
    added.learner = true;
    const auto announced = unadmitted_stores_.find(added.host_id);
    if (added.store_id.empty() && announced != unadmitted_stores_.end()) added.store_id = announced->second;
    if (added.store_id.empty()) {
      return error{error_kind::not_found, "the store id of the host is not known", "start the host, then try again",
                   added.host_id};
    }
    if (at != voters.end() && (at->store_id == added.store_id || at->host_id == config_.host_id)) {
      return error{error_kind::conflict, "the host is already a member with this store", "promote or remove it instead",
                   added.host_id};
    }
    if (at != voters.end()) {
      if (added.mesh_address.empty()) added.mesh_address = at->mesh_address;
      *at = added;  // replaces the lost store in the same entry, so only one voter changes
    } else {
      voters.push_back(added);
    }
  } else if (at == voters.end()) {
    return error{error_kind::not_found, "the host is not a member of the log",
                 "use a host id from the members in the status", change.member.host_id};
  } else if (change.action == change_membership::action_kind::remove) {
    voters.erase(at);
  } else {
    const auto peer = peers_.all().find(at->host_id);
    const std::uint64_t match = peer == peers_.all().end() ? 0 : peer->second.match;
    if (at->learner && match + config_.max_promotion_lag < commit_index_) {
      return error{error_kind::unavailable, fmt::format("the learner is {} entries behind", commit_index_ - match),
                   "promote it when it has caught up", at->host_id};
    }
    at->learner = false;
  }
  if (std::all_of(voters.begin(), voters.end(), [](const raft_member& v) { return v.learner; })) {
    return error{error_kind::conflict, "the last voter cannot be removed or replaced",
                 "add and promote another member first", change.member.host_id};
  }
  return voters;
}

}  // namespace heatherdeck

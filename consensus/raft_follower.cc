// Handling of the leader's messages, and reads that are forwarded to the leader. Invariants: an entry at or below the
// commit index is never replaced; an acknowledgement covers only what is durable here, and carries the term in which it
// was received.
// An append costs O(entries); a snapshot is assembled in memory and replaces the log in one step.
#include <algorithm>

#include <fmt/format.h>

#include "consensus/raft_core.h"

namespace heatherdeck {

bool raft_core::accept_leader(const raft_message& message) {
  if (message.to_store.empty()) return false;
  if (message.term < hard_state_.term) {
    send_when_durable(make_answer(message, append_response{false, log_.last_index(), 0}));
    return false;
  }
  if (state_ == state::leader && message.term == hard_state_.term) {
    halt_with(fmt::format("'{}' claims to be the leader of term {}, in which this host is the leader", message.from,
                          message.term));
    return false;
  }
  early_elections_left_ = 0;
  become_follower(message.term, message.from);
  if (now_ - last_leader_contact_ >= config_.election_timeout) leader_commit_known_ = false;
  last_leader_contact_ = now_;
  reset_election_deadline();
  return true;
}

// A heartbeat states the leader's commit index even if the entries up to it don't arrive here.
void raft_core::note_leader_commit(std::uint64_t index) {
  leader_commit_ = std::max(leader_commit_, index);
  if (leader_commit_known_ && commit_index_ < awaited_commit_) return;
  caught_up_ = std::exchange(leader_commit_known_, true);
  awaited_commit_ = leader_commit_;
  awaited_since_ = now_;
}

// A leader doesn't know what earlier terms have committed before it has committed an entry of its own, and its
// followers know no more.
bool raft_core::is_current(time_point now) const {
  if (log_.term_at(commit_index_) != hard_state_.term) return false;
  if (state_ == state::leader) return true;
  if (!leader_commit_known_) return false;
  return commit_index_ >= awaited_commit_ || (caught_up_ && now - awaited_since_ < config_.election_timeout);
}

void raft_core::on_append_request(const raft_message& message, const append_request& request) {
  if (!accept_leader(message)) return;
  note_leader_commit(request.commit_index);
  const std::uint64_t previous = request.previous_index;
  const std::uint64_t end = previous + request.entries.size();
  if (previous > log_.last_index()) {
    return send_when_durable(make_answer(message, append_response{false, log_.last_index(), request.round}));
  }
  if (previous > commit_index_ && log_.term_at(previous) != request.previous_term) {
    // The hint skips all entries of the conflicting term, so that a long divergence costs few messages.
    const auto conflicting = log_.term_at(previous);
    std::uint64_t hint = previous - 1;
    while (hint > commit_index_ && log_.term_at(hint) == conflicting) --hint;
    return send_when_durable(make_answer(message, append_response{false, hint, request.round}));
  }
  for (std::size_t i = 0; i < request.entries.size(); ++i) {
    const log_entry& entry = request.entries[i];
    if (entry.index != previous + 1 + i) return;
    const auto existing_term = log_.term_at(entry.index);
    if (existing_term == entry.term || entry.index <= log_.base_index()) continue;
    if (entry.index <= commit_index_) {
      return halt_with(
          fmt::format("'{}' sent an entry {} that differs from the committed one", message.from, entry.index));
    }
    std::optional<std::vector<raft_member>> voters;
    if (entry.kind == entry_kind::membership) {
      outcome<std::vector<raft_member>> read = config_.codec.decode_voters(entry.payload);
      if (!read) return;  // nothing is acknowledged, so the leader sends the entry again
      voters = std::move(*read);
    }
    if (existing_term) truncate_after(entry.index - 1);
    append_entry(entry, voters);
  }
  commit_to(std::min(request.commit_index, end));
  if (request.entries.empty() && term_is_durable()) {
    send(make_answer(message, append_response{true, std::min(end, durable_index_), request.round}));
  } else {
    send_when_durable(make_answer(message, append_response{true, end, request.round}));
  }
}

void raft_core::on_snapshot_chunk(const raft_message& message, const snapshot_chunk& chunk) {
  if (!accept_leader(message)) return;
  if (chunk.index <= commit_index_) {
    incoming_snapshot_bytes_.clear();
    return send_when_durable(make_answer(message, append_response{true, chunk.index, chunk.round}));
  }
  // A chunk doesn't state the leader's commit index, only that this log is too far behind for entries.
  leader_commit_known_ = false;
  if (chunk.index != incoming_snapshot_index_ || chunk.term != incoming_snapshot_term_) {
    incoming_snapshot_index_ = chunk.index;
    incoming_snapshot_term_ = chunk.term;
    incoming_snapshot_bytes_.clear();
  }
  const bool next = chunk.offset == incoming_snapshot_bytes_.size();
  if (next) incoming_snapshot_bytes_ += chunk.bytes;
  if (next && chunk.last) {
    outcome<snapshot_ptr> snapshot = capture([&] {
      return parse_snapshot(config_.codec, chunk.index, chunk.term, std::exchange(incoming_snapshot_bytes_, {}));
    });
    if (snapshot) {
      install_snapshot(*snapshot);
      return send_when_durable(make_answer(message, append_response{true, chunk.index, chunk.round}));
    }
  }
  send(make_answer(message, snapshot_response{chunk.index, incoming_snapshot_bytes_.size(), chunk.round}));
}

void raft_core::install_snapshot(const snapshot_ptr& snapshot) {
  if (log_.term_at(snapshot->index) == snapshot->term) return commit_to(snapshot->index);
  log_.reset(snapshot->index, snapshot->term, snapshot->voters);
  snapshot_ = snapshot;
  commit_index_ = applied_index_ = snapshot->index;
  durable_index_ = 0;
  for (auto& [ticket, end] : ticket_ends_) end = 0;
  pending_write_.snapshot = snapshot;
  pending_write_.replace_log = true;
  has_pending_write_ = true;
  actions_.emplace_back(restore_state{snapshot});
}

// Reads.

void raft_core::forward_read(const read_received& event) {
  const raft_member* leader = leader_.empty() ? nullptr : find_member(log_.voters(), leader_);
  if (leader == nullptr) {
    actions_.emplace_back(answer_read{event.id, not_leader_error()});
    return;
  }
  forwarded_reads_[event.id] = now_;
  send(make_message(leader->host_id, leader->store_id, hard_state_.term, read_request{event.id}));
}

void raft_core::on_read_response(const read_response& answer) {
  if (forwarded_reads_.erase(answer.id) == 0) return;
  if (answer.confirmed) {
    actions_.emplace_back(answer_read{answer.id, answer.index});
  } else {
    actions_.emplace_back(answer_read{
        answer.id, error{error_kind::no_quorum, "the leader could not confirm the read", "try again", leader_}});
  }
}

void raft_core::fail_forwarded_reads(time_point received_before) {
  while (!forwarded_reads_.empty() && forwarded_reads_.begin()->second <= received_before) {
    const std::uint64_t id = forwarded_reads_.begin()->first;
    forwarded_reads_.erase(forwarded_reads_.begin());
    actions_.emplace_back(
        answer_read{id, error{error_kind::no_quorum, "no leader confirmed the read in time", "try again", {}}});
  }
}

}  // namespace heatherdeck

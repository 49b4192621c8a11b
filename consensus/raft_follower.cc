// What a host does with messages of the leader, and reads that it passes on to the leader. Invariants: an entry at or
// below the commit index is never replaced; an acknowledgement names only what is durable here, together with the term
// in which it was received.
// An append costs O(entries); a snapshot is collected in memory and replaces the log in one step.
#include <algorithm>

#include <fmt/format.h>

#include "consensus/raft_core.h"

namespace heatherdeck {

bool raft_core::accept_leader(const raft_message& message) {
  if (message.to_store.empty()) return false;
  if (message.term < hard_.term) {
    send_when_durable(answer_to(message, append_answer{false, log_.last_index(), 0}));
    return false;
  }
  if (state_ == state::leader && message.term == hard_.term) {
    halt_with(fmt::format("'{}' claims to lead term {}, which this host leads", message.from, message.term));
    return false;
  }
  early_elections_left_ = 0;
  become_follower(message.term, message.from);
  heard_leader_ = now_;
  draw_election_deadline();
  return true;
}

void raft_core::on_append_request(const raft_message& message, const append_request& request) {
  if (!accept_leader(message)) return;
  const std::uint64_t previous = request.previous_index;
  const std::uint64_t end = previous + request.entries.size();
  if (previous > log_.last_index()) {
    return send_when_durable(answer_to(message, append_answer{false, log_.last_index(), request.round}));
  }
  if (previous > commit_ && log_.term_at(previous) != request.previous_term) {
    // Skips the whole conflicting term at once, so that a long divergence costs few messages.
    const auto conflicting = log_.term_at(previous);
    std::uint64_t hint = previous - 1;
    while (hint > commit_ && log_.term_at(hint) == conflicting) --hint;
    return send_when_durable(answer_to(message, append_answer{false, hint, request.round}));
  }
  for (std::size_t i = 0; i < request.entries.size(); ++i) {
    const log_entry& entry = request.entries[i];
    if (entry.index != previous + 1 + i) return;
    const auto held = log_.term_at(entry.index);
    if (held == entry.term || entry.index <= log_.base_index()) continue;
    if (entry.index <= commit_) {
      return halt_with(fmt::format("'{}' sent another entry {} than the one committed", message.from, entry.index));
    }
    std::optional<std::vector<voter>> voters;
    if (entry.kind == entry_kind::membership) {
      outcome<std::vector<voter>> read = config_.codec.read_voters(entry.payload);
      if (!read) return;  // the leader repeats the entry; nothing of it is acknowledged
      voters = std::move(*read);
    }
    if (held) truncate_after(entry.index - 1);
    append_entry(entry, voters);
  }
  commit_to(std::min(request.commit, end));
  if (request.entries.empty() && term_is_durable()) {
    send(answer_to(message, append_answer{true, std::min(end, durable_), request.round}));
  } else {
    send_when_durable(answer_to(message, append_answer{true, end, request.round}));
  }
}

void raft_core::on_snapshot_chunk(const raft_message& message, const snapshot_chunk& chunk) {
  if (!accept_leader(message)) return;
  if (chunk.index <= commit_) {
    incoming_.clear();
    return send_when_durable(answer_to(message, append_answer{true, chunk.index, chunk.round}));
  }
  if (chunk.index != incoming_index_ || chunk.term != incoming_term_) {
    incoming_index_ = chunk.index;
    incoming_term_ = chunk.term;
    incoming_.clear();
  }
  const bool next = chunk.offset == incoming_.size();
  if (next) incoming_ += chunk.bytes;
  if (next && chunk.last) {
    outcome<snapshot_ptr> image =
        capture([&] { return parse_snapshot(config_.codec, chunk.index, chunk.term, std::exchange(incoming_, {})); });
    if (image) {
      install(*image);
      return send_when_durable(answer_to(message, append_answer{true, chunk.index, chunk.round}));
    }
  }
  send(answer_to(message, snapshot_answer{chunk.index, incoming_.size(), chunk.round}));
}

void raft_core::install(const snapshot_ptr& image) {
  if (log_.term_at(image->index) == image->term) return commit_to(image->index);
  log_.reset(image->index, image->term, image->voters);
  image_ = image;
  commit_ = applied_ = image->index;
  durable_ = 0;
  for (auto& [ticket, end] : ticket_ends_) end = 0;
  unsaved_.image = image;
  unsaved_.replace_log = true;
  has_unsaved_ = true;
  actions_.emplace_back(restore_state{image});
}

// --- reads ---------------------------------------------------------------------------------------------------------

void raft_core::ask_leader(const read_asked& event) {
  const voter* leader = leader_.empty() ? nullptr : find_member(log_.voters(), leader_);
  if (leader == nullptr) {
    actions_.emplace_back(answer_read{event.id, refusal()});
    return;
  }
  reads_at_leader_[event.id] = now_;
  send(envelope(leader->host_id, leader->store_id, hard_.term, read_request{event.id}));
}

void raft_core::on_read_answer(const read_answer& answer) {
  if (reads_at_leader_.erase(answer.id) == 0) return;
  if (answer.confirmed) {
    actions_.emplace_back(answer_read{answer.id, answer.index});
  } else {
    actions_.emplace_back(answer_read{
        answer.id, error{error_kind::no_quorum, "the leader could not confirm the read", "ask again", leader_}});
  }
}

void raft_core::refuse_reads(time_point asked_before) {
  while (!reads_at_leader_.empty() && reads_at_leader_.begin()->second <= asked_before) {
    const std::uint64_t id = reads_at_leader_.begin()->first;
    reads_at_leader_.erase(reads_at_leader_.begin());
    actions_.emplace_back(
        answer_read{id, error{error_kind::no_quorum, "no leader confirmed the read in time", "ask again", {}}});
  }
}

}  // namespace heatherdeck

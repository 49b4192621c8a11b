// The part of the state machine that all roles share: event dispatch, persistence tickets, role changes and the commit
// index. Invariants: (1) everything that a step must make durable is one `persist_state`, placed before the step's
// messages; (2) a message held for a ticket is sent only after that ticket is durable; (3) `applied_index_` <=
// `commit_index_`, and both only grow; (4) `durable_index_` never exceeds the part of the current log that the store
// has acknowledged. A step costs O(peers) plus the entries it moves.
#include "consensus/raft_core.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace heatherdeck {

raft_core::raft_core(raft_config config, time_point now)
    : config_(std::move(config)), now_(now), random_(config_.seed) {}

result<raft_core> raft_core::make(raft_config config, stored_state stored, time_point now) {
  raft_core core(std::move(config), now);
  core.config_.store_id = stored.store_id;
  core.hard_state_ = std::move(stored.hard);
  if (stored.snapshot) {
    core.snapshot_ = stored.snapshot;
    core.log_.reset(stored.snapshot->index, stored.snapshot->term, stored.snapshot->voters);
    core.commit_index_ = core.applied_index_ = stored.snapshot->index;
  }
  for (log_entry& entry : stored.entries) {
    if (entry.index <= core.log_.last_index()) continue;
    if (entry.index != core.log_.last_index() + 1) {
      return fail(
          error_kind::corrupt,
          fmt::format("the entries {} to {} of the log are missing", core.log_.last_index() + 1, entry.index - 1),
          "start this host with an empty data folder and add it as a new member");
    }
    std::optional<std::vector<raft_member>> voters;
    if (entry.kind == entry_kind::membership) {
      BOOST_LEAF_AUTO(read, to_result(core.config_.codec.decode_voters(entry.payload)));
      voters = std::move(read);
    }
    core.log_.append(std::move(entry), voters);
  }
  core.durable_index_ = core.log_.last_index();
  if (core.log_.last_term() > core.hard_state_.term)
    core.hard_state_ = {core.log_.last_term(), {}, {}};  // see bootstrap_log
  core.last_leader_contact_ = now - 2 * core.config_.election_timeout;
  core.reset_election_deadline();
  // A host without a log announces its store at once, and a single voter need not wait for another leader.
  const bool sole_voter = quorum_size(core.log_.voters()) == 1 && core.self_is_voter();
  if (core.log_.voters().empty() || sole_voter) core.election_deadline_ = now;
  return core;
}

std::vector<raft_action> raft_core::step(time_point now, raft_event event) {
  now_ = std::max(now, now_);
  actions_.clear();
  check_lease();
  std::visit([this](auto&& e) { handle(std::forward<decltype(e)>(e)); }, std::move(event));
  finish_step();
  return std::exchange(actions_, {});
}

time_point raft_core::timer_deadline() const {
  if (state_ == state::leader) return next_heartbeat_;
  if (forwarded_reads_.empty()) return election_deadline_;
  return std::min(election_deadline_,
                  forwarded_reads_.begin()->second + read_timeout_elections * config_.election_timeout);
}

// Event handlers.

void raft_core::handle(timer_expired /*event*/) {
  fail_forwarded_reads(now_ - read_timeout_elections * config_.election_timeout);
  if (state_ == state::leader) {
    if (now_ >= next_heartbeat_) send_heartbeats();
  } else if (now_ >= election_deadline_) {
    election_timer_expired();
  }
}

void raft_core::handle(message_received event) {
  const raft_message& m = event.message;
  // A message to another store id of this host was meant for the disk that this one replaced.
  if (m.to != config_.host_id || (!m.to_store.empty() && m.to_store != config_.store_id)) return;
  const raft_member* member = find_member(log_.voters(), m.from);
  if (member != nullptr && member->store_id == m.from_store) unadmitted_stores_.erase(m.from);
  struct dispatch {
    raft_core& core;
    const raft_message& message;
    void operator()(const vote_request& body) const { core.on_vote_request(message, body); }
    void operator()(const vote_response& body) const { core.on_vote_response(message, body); }
    void operator()(const append_request& body) const { core.on_append_request(message, body); }
    void operator()(const append_response& body) const { core.on_append_response(message, body); }
    void operator()(const snapshot_chunk& body) const { core.on_snapshot_chunk(message, body); }
    void operator()(const snapshot_response& body) const { core.on_snapshot_response(message, body); }
    void operator()(const read_request& body) const { core.on_read_request(message, body); }
    void operator()(const read_response& body) const { core.on_read_response(body); }
    void operator()(const forwarded_command& body) const { core.on_forwarded_command(body); }
  };
  std::visit(dispatch{*this, m}, m.body);
}

void raft_core::handle(proposal_received event) {
  if (std::optional<error> refused = check_command(event.payload)) {
    actions_.emplace_back(answer_proposal{event.id, std::move(*refused)});
    return;
  }
  proposals_[log_.last_index() + 1] = event.id;
  append_command(std::move(event.payload));
}

void raft_core::handle(command_forwarded event) {
  if (state_ == state::leader) return on_forwarded_command({std::move(event.payload)});
  const raft_member* leader = leader_.empty() ? nullptr : find_member(log_.voters(), leader_);
  if (leader == nullptr) return;
  send(make_message(leader->host_id, leader->store_id, hard_state_.term, forwarded_command{std::move(event.payload)}));
}

std::optional<error> raft_core::check_command(const std::string& payload) const {
  if (state_ != state::leader) return not_leader_error();
  if (log_.last_index() - commit_index_ >= config_.max_pending) {
    return error{error_kind::overloaded, "too many entries are waiting to be committed", "try again later", {}};
  }
  if (voter_count(log_.voters()) < config_.min_voters) {
    return error{error_kind::no_quorum,
                 fmt::format("the log has {} voters, fewer than the {} that a change needs", voter_count(log_.voters()),
                             config_.min_voters),
                 "start more control hosts, then try again",
                 {}};
  }
  if (payload.size() > config_.max_command_bytes) {
    return error{error_kind::limit,
                 "the command exceeds the size limit of one message",
                 "split the change into several submissions",
                 {}};
  }
  return std::nullopt;
}

void raft_core::append_command(std::string payload) {
  append_entry({hard_state_.term, log_.last_index() + 1, entry_kind::command, std::move(payload)}, std::nullopt);
  replicate_all(false);
}

void raft_core::handle(read_received event) {
  if (state_ != state::leader) return forward_read(event);
  queued_reads_.push_back({{}, {}, event.id, 0, 0, now_});
  start_read_round();
}

void raft_core::handle(membership_change event) {
  const outcome<std::vector<raft_member>> voters =
      state_ == state::leader ? voters_after(event) : outcome<std::vector<raft_member>>(not_leader_error());
  if (!voters) {
    actions_.emplace_back(answer_proposal{event.id, voters.failure()});
    return;
  }
  proposals_[log_.last_index() + 1] = event.id;
  append_membership(*voters);
}

void raft_core::append_membership(const std::vector<raft_member>& voters) {
  append_entry({hard_state_.term, log_.last_index() + 1, entry_kind::membership, config_.codec.encode_voters(voters)},
               voters);
  peers_.update_members(log_, now_);
  replicate_all(false);
}

void raft_core::handle(hosts_discovered event) { discovered_hosts_ = std::move(event.hosts); }

void raft_core::handle(persisted event) {
  durable_ticket_ = std::max(durable_ticket_, event.ticket);
  while (!ticket_ends_.empty() && ticket_ends_.front().first <= durable_ticket_) {
    durable_index_ = std::max(durable_index_, ticket_ends_.front().second);
    ticket_ends_.pop_front();
  }
  while (!held_messages_.empty() && held_messages_.front().first <= durable_ticket_) {
    send(std::move(held_messages_.front().second));
    held_messages_.pop_front();
  }
  if (state_ == state::candidate && own_vote_ticket_ != 0 && own_vote_ticket_ <= durable_ticket_) {
    votes_.insert(config_.host_id);
    count_votes();
  }
  if (state_ == state::leader) advance_commit();
}

void raft_core::handle(image_taken event) {
  const bool newer = !snapshot_ || event.index > snapshot_->index;
  const auto term = log_.term_at(event.index);
  if (!newer || event.index > applied_index_ || !term) return;
  snapshot_ = make_snapshot(config_.codec, event.index, *term, log_.voters_at(event.index), event.bytes);
  pending_write_.snapshot = snapshot_;
  has_pending_write_ = true;
  if (event.index > config_.trailing_entries) log_.compact(event.index - config_.trailing_entries);
}

// Persistence.

void raft_core::finish_step() {
  if (has_pending_write_) {
    pending_write_.ticket = ++last_ticket_;
    if (pending_write_.hard) hard_state_ticket_ = last_ticket_;
    ticket_ends_.emplace_back(last_ticket_, log_.last_index());
    actions_.insert(actions_.begin(), std::exchange(pending_write_, {}));
    has_pending_write_ = false;
  }
  for (raft_message& message : step_held_messages_) {
    if (durable_ticket_ >= last_ticket_) {
      send(std::move(message));
    } else {
      held_messages_.emplace_back(last_ticket_, std::move(message));
    }
  }
  step_held_messages_.clear();
}

void raft_core::append_entry(log_entry entry, const std::optional<std::vector<raft_member>>& voters) {
  pending_write_.entries.push_back(entry);
  has_pending_write_ = true;
  if (voters) {
    for (const raft_member& member : log_.voters()) {
      const raft_member* successor = find_member(*voters, member.host_id);
      if (successor != nullptr && successor->store_id != member.store_id) replaced_stores_.insert(member.store_id);
    }
  }
  log_.append(std::move(entry), voters);
}

void raft_core::truncate_after(std::uint64_t index) {
  log_.truncate_after(index);
  pending_write_.truncate_after = index;
  has_pending_write_ = true;
  durable_index_ = std::min(durable_index_, index);
  for (auto& [ticket, end] : ticket_ends_) end = std::min(end, index);
}

void raft_core::send(raft_message message) { actions_.emplace_back(send_message{std::move(message)}); }

void raft_core::send_when_durable(raft_message message) { step_held_messages_.push_back(std::move(message)); }

raft_message raft_core::make_message(const std::string& to, const std::string& to_store, std::uint64_t term,
                                     raft_body body) const {
  return {config_.host_id, config_.store_id, to, to_store, term, std::move(body)};
}

raft_message raft_core::make_answer(const raft_message& request, raft_body body) const {
  return make_message(request.from, request.from_store, hard_state_.term, std::move(body));
}

// Role changes.

void raft_core::become_follower(std::uint64_t term, const std::string& leader) {
  if (term > hard_state_.term) {
    hard_state_ = {term, {}, {}};
    pending_write_.hard = hard_state_;
    has_pending_write_ = true;
  }
  if (state_ == state::leader) fail_pending_requests();
  if (state_ != state::follower || leader_ != leader) reset_election_deadline();
  if (leader_ != leader) fail_forwarded_reads(now_);
  state_ = state::follower;
  leader_ = leader;
  own_vote_ticket_ = 0;
}

void raft_core::fail_pending_requests() {
  const error outcome_unknown{error_kind::unknown_outcome,
                              "this host lost leadership before the entry was committed",
                              "send the same submission again; its id prevents a second execution",
                              {}};
  for (const auto& [index, id] : std::exchange(proposals_, {}))
    actions_.emplace_back(answer_proposal{id, outcome_unknown});
  const error unconfirmed{
      error_kind::no_quorum, "this host lost leadership before the read was confirmed", "try again", {}};
  for (auto* queue : {&queued_reads_, &reads_in_round_}) {
    for (const pending_read& read : std::exchange(*queue, {})) {
      if (read.host.empty()) {
        actions_.emplace_back(answer_read{read.id, unconfirmed});
      } else {
        send(make_message(read.host, read.store, hard_state_.term, read_response{read.id, false, 0}));
      }
    }
  }
}

error raft_core::not_leader_error() const {
  if (leader_.empty()) {
    return {error_kind::no_quorum,
            "no leader is known",
            "try again; check that a majority of the control hosts is running",
            {}};
  }
  return {error_kind::not_leader, "this control host is not the leader",
          "send the request to the leader '" + leader_ + "'", leader_};
}

void raft_core::halt_with(std::string text) {
  actions_.emplace_back(halt{{error_kind::corrupt,
                              std::move(text),
                              "start this host with an empty data folder and add it as a new member",
                              {}}});
}

// Commit and apply.

void raft_core::commit_to(std::uint64_t index) {
  if (index <= commit_index_) return;
  commit_index_ = index;
  apply_committed_entries();
  while (!proposals_.empty() && proposals_.begin()->first <= commit_index_) {
    const auto [at, id] = *proposals_.begin();
    proposals_.erase(proposals_.begin());
    actions_.emplace_back(answer_proposal{id, committed_position{at, hard_state_.term}});
  }
}

void raft_core::apply_committed_entries() {
  if (applied_index_ >= commit_index_) return;
  apply_committed action;
  action.entries.reserve(commit_index_ - applied_index_);
  for (std::uint64_t i = applied_index_ + 1; i <= commit_index_; ++i) action.entries.push_back(log_.at(i));
  applied_index_ = commit_index_;
  actions_.emplace_back(std::move(action));
}

// Status.

raft_role raft_core::role() const {
  switch (state_) {
    case state::leader:
      return raft_role::leader;
    case state::candidate:
      return raft_role::candidate;
    case state::pre_candidate:
      return raft_role::pre_candidate;
    case state::follower:
      break;
  }
  return self_is_voter() ? raft_role::follower : raft_role::learner;
}

duration raft_core::lease_left(time_point now) const {
  if (state_ != state::leader) return duration::zero();
  const duration left = peers_.quorum_contact(log_.voters(), now) + config_.lease - now;
  return std::max(left, duration::zero());
}

const std::vector<raft_member>& raft_core::known_hosts() const {
  return log_.voters().empty() ? config_.founders : log_.voters();
}

consensus_status raft_core::status(time_point now) const {
  consensus_status s;
  s.role = role();
  s.term = hard_state_.term;
  s.commit_index = commit_index_;
  s.leader = leader_;
  s.voters = log_.voters();
  s.has_quorum = state_ == state::leader ? lease_left(now) > duration::zero()
                                         : !leader_.empty() && now - last_leader_contact_ < config_.election_timeout;
  s.is_current = is_current(now);
  return s;
}

}  // namespace heatherdeck

// Bootstrap of a new log, and elections. Invariants: a host grants at most one vote per term, only to a candidate whose
// log is at least as up to date as its own, only when the request names its own store id, and the vote is sent after it
// is durable; votes count only from the (host, store) pairs that are voters in the candidate's membership.
// An election costs two rounds of messages (pre-vote, vote) and one sync on each host.
#include <algorithm>

#include "consensus/raft_core.h"

namespace heatherdeck {

// Shorter after a start, when no leader is known; pre-vote prevents an early candidate from disrupting a leader that
// exists.
void raft_core::reset_election_deadline() {
  const auto full_timeout = std::chrono::microseconds(config_.election_timeout);
  const auto min_timeout = static_cast<std::uint64_t>(
      (early_elections_left_ > 0 ? full_timeout / early_election_divisor : full_timeout).count());
  election_deadline_ = now_ + std::chrono::microseconds(min_timeout + random_() % (min_timeout + 1));
}

bool raft_core::has_live_leader() const {
  return state_ == state::leader || (!leader_.empty() && now_ - last_leader_contact_ < config_.election_timeout);
}

bool raft_core::self_is_voter() const { return is_voter(log_.voters(), config_.host_id, config_.store_id); }

void raft_core::election_timer_expired() {
  if (log_.voters().empty()) {
    announce_store();
  } else if (self_is_voter()) {
    start_pre_vote();
  } else {
    leader_.clear();
    reset_election_deadline();
    announce_store();
  }
}

// Bootstrap.

bool raft_core::can_bootstrap() const {
  return config_.may_bootstrap && !config_.founders.empty() && config_.founders.front().host_id == config_.host_id;
}

// Sends this host's store id to all known control hosts. The founder that bootstraps the log collects the answers; an
// announcement from any other host only makes its store known to the leader.
void raft_core::announce_store() {
  if (log_.voters().empty() && can_bootstrap() && hard_state_.term == 0 && !log_exists_) {
    election_deadline_ = now_ + config_.heartbeat_interval;
    blank_founders_[config_.host_id] = config_.store_id;
    if (blank_founders_.size() == config_.founders.size()) return bootstrap_log();
  } else {
    reset_election_deadline();
  }
  std::vector<raft_member> hosts = known_hosts();
  for (const raft_member& host : discovered_hosts_) {
    if (find_member(hosts, host.host_id) == nullptr) hosts.push_back(host);
  }
  for (const raft_member& host : hosts) {
    if (host.host_id == config_.host_id) continue;
    send(make_message(host.host_id, {}, hard_state_.term, vote_request{true, log_.last_index(), log_.last_term()}));
  }
}

void raft_core::on_announcement(const raft_message& message) {
  record_unadmitted_store(message);
  send(make_answer(message, vote_response{true, false}));
}

void raft_core::record_unadmitted_store(const raft_message& message) {
  const raft_member* member = find_member(log_.voters(), message.from);
  const bool is_member = member != nullptr && member->store_id == message.from_store;
  if (!log_.voters().empty() && !is_member && !replaced_stores_.contains(message.from_store)) {
    unadmitted_stores_[message.from] = message.from_store;
  }
}

void raft_core::on_bootstrap_answer(const raft_message& message) {
  if (message.term > 0) {
    log_exists_ = true;
    blank_founders_.clear();
    return;
  }
  // Only the bootstrapping founder uses the answers; another host would announce its store once for each answer.
  if (!can_bootstrap() || log_exists_ || find_member(config_.founders, message.from) == nullptr) return;
  blank_founders_[message.from] = message.from_store;
  if (blank_founders_.size() == config_.founders.size()) announce_store();
}

// All founders have blank stores, so nothing can have been committed. The membership is entry 1 of term 1 and is
// durable here before another host receives it; every leader is elected in term 2 or later. Term 1 is not written as
// hard state, because a crash between the two writes would leave a store that is neither blank nor a member; `make`
// derives the term from the entry.
void raft_core::bootstrap_log() {
  std::vector<raft_member> voters = config_.founders;
  for (raft_member& member : voters) {
    member.store_id = blank_founders_[member.host_id];
    member.learner = false;
  }
  hard_state_ = {1, {}, {}};
  append_entry({1, 1, entry_kind::membership, config_.codec.encode_voters(voters)}, voters);
  start_pre_vote();
}

// Elections.

void raft_core::start_pre_vote() {
  become_follower(hard_state_.term, {});
  state_ = state::pre_candidate;
  votes_ = {config_.host_id};
  reset_election_deadline();
  send_vote_requests(true, hard_state_.term + 1);
  count_votes();
}

void raft_core::start_election() {
  state_ = state::candidate;
  hard_state_ = {hard_state_.term + 1, config_.host_id, config_.store_id};
  pending_write_.hard = hard_state_;
  has_pending_write_ = true;
  votes_.clear();
  own_vote_ticket_ = last_ticket_ + 1;
  if (early_elections_left_ > 0) --early_elections_left_;
  reset_election_deadline();
  send_vote_requests(false, hard_state_.term);
}

void raft_core::send_vote_requests(bool pre_vote, std::uint64_t term) {
  for (const raft_member& member : log_.voters()) {
    if (member.learner || member.host_id == config_.host_id) continue;
    raft_message request = make_message(member.host_id, member.store_id, term,
                                        vote_request{pre_vote, log_.last_index(), log_.last_term()});
    if (pre_vote) {
      send(std::move(request));
    } else {
      send_when_durable(std::move(request));
    }
  }
}

void raft_core::count_votes() {
  if (votes_.size() < quorum_size(log_.voters())) return;
  if (state_ == state::pre_candidate) {
    start_election();
  } else if (state_ == state::candidate) {
    become_leader();
  }
}

void raft_core::on_vote_request(const raft_message& message, const vote_request& request) {
  // A request without the receiver's store id is an announcement; the term in the answer shows whether this store is
  // blank.
  if (message.to_store.empty()) return on_announcement(message);
  const bool up_to_date = log_.is_up_to_date(request.last_index, request.last_term);
  // A host that was removed while it was unreachable does not know that, and asks for votes.
  if (request.pre_vote && has_live_leader()) record_unadmitted_store(message);
  if (request.pre_vote) {
    const bool granted = message.term > hard_state_.term && up_to_date && !has_live_leader();
    // Hosts that start at the same time become candidates at the same time; giving way to the smaller id avoids a split
    // vote.
    if (granted && state_ == state::pre_candidate && message.from < config_.host_id)
      become_follower(hard_state_.term, {});
    return send(make_answer(message, vote_response{true, granted}));
  }
  if (message.term < hard_state_.term || (message.term > hard_state_.term && has_live_leader())) {
    return send_when_durable(make_answer(message, vote_response{false, false}));
  }
  if (message.term > hard_state_.term) become_follower(message.term, {});
  const bool vote_available = hard_state_.vote_host.empty() && leader_.empty();
  const bool same_candidate = hard_state_.vote_host == message.from && hard_state_.vote_store == message.from_store;
  const bool granted = up_to_date && (vote_available || same_candidate);
  if (granted && !same_candidate) {
    hard_state_.vote_host = message.from;
    hard_state_.vote_store = message.from_store;
    pending_write_.hard = hard_state_;
    has_pending_write_ = true;
  }
  if (granted) {
    become_follower(hard_state_.term, {});
    reset_election_deadline();
  }
  send_when_durable(make_answer(message, vote_response{false, granted}));
}

void raft_core::on_vote_response(const raft_message& message, const vote_response& answer) {
  if (log_.voters().empty()) return on_bootstrap_answer(message);
  if (message.term > hard_state_.term) return become_follower(message.term, {});
  const state expected_state = answer.pre_vote ? state::pre_candidate : state::candidate;
  const bool current_term = answer.pre_vote || message.term == hard_state_.term;
  if (!answer.granted || !current_term || state_ != expected_state) return;
  if (!is_voter(log_.voters(), message.from, message.from_store)) return;
  votes_.insert(message.from);
  count_votes();
}

void raft_core::become_leader() {
  state_ = state::leader;
  early_elections_left_ = 0;
  leader_ = config_.host_id;
  own_vote_ticket_ = 0;
  term_start_index_ = log_.last_index() + 1;
  peers_.reset(log_, config_.host_id, now_);
  append_entry({hard_state_.term, term_start_index_, entry_kind::noop, {}}, std::nullopt);
  send_heartbeats();
}

}  // namespace heatherdeck

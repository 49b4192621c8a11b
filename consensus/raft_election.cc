// Formation of a new log, and elections. Invariants: a host grants at most one vote per term, only to a log that is at
// least as complete as its own, only when it was asked under its own store id, and the vote leaves after it is durable;
// votes count only from the (host, store) pairs that vote in the candidate's membership.
// An election costs two rounds of messages (pre-vote, vote) and one sync on each host.
#include <algorithm>

#include "consensus/raft_core.h"

namespace heatherdeck {

// After a start no leader has been heard; pre-vote keeps an early candidate from disturbing one that exists.
void raft_core::draw_election_deadline() {
  const auto whole = std::chrono::microseconds(config_.election_timeout);
  const auto least = static_cast<std::uint64_t>((early_elections_left_ > 0 ? whole / early_election : whole).count());
  election_deadline_ = now_ + std::chrono::microseconds(least + random_() % (least + 1));
}

bool raft_core::hears_leader() const {
  return state_ == state::leader || (!leader_.empty() && now_ - heard_leader_ < config_.election_timeout);
}

bool raft_core::self_votes() const { return is_voter(log_.voters(), config_.host_id, config_.store_id); }

void raft_core::election_timer_expired() {
  if (log_.voters().empty()) {
    announce_store();
  } else if (self_votes()) {
    start_pre_vote();
  } else {
    leader_.clear();
    draw_election_deadline();
    announce_store();
  }
}

// --- formation -----------------------------------------------------------------------------------------------------

bool raft_core::may_form_log() const {
  return config_.forms_log && !config_.founders.empty() && config_.founders.front().host_id == config_.host_id;
}

// Tells the founders which store this host has. The founder that forms the log collects the answers; on all other
// hosts the message only makes the store known to the leader.
void raft_core::announce_store() {
  if (log_.voters().empty() && may_form_log() && hard_.term == 0 && !log_exists_) {
    election_deadline_ = now_ + config_.heartbeat;
    untouched_[config_.host_id] = config_.store_id;
    if (untouched_.size() == config_.founders.size()) return form_log();
  } else {
    draw_election_deadline();
  }
  std::vector<voter> hosts = known_hosts();
  for (const voter& host : learned_hosts_) {
    if (find_member(hosts, host.host_id) == nullptr) hosts.push_back(host);
  }
  for (const voter& host : hosts) {
    if (host.host_id == config_.host_id) continue;
    send(envelope(host.host_id, {}, hard_.term, vote_request{true, log_.last_index(), log_.last_term()}));
  }
}

void raft_core::on_announcement(const raft_message& message) {
  note_unadmitted(message);
  send(answer_to(message, vote_answer{true, false}));
}

void raft_core::note_unadmitted(const raft_message& message) {
  const voter* member = find_member(log_.voters(), message.from);
  const bool admitted = member != nullptr && member->store_id == message.from_store;
  if (!log_.voters().empty() && !admitted && !replaced_stores_.contains(message.from_store)) {
    unadmitted_[message.from] = message.from_store;
  }
}

void raft_core::on_formation_answer(const raft_message& message) {
  if (message.term > 0) {
    log_exists_ = true;
    untouched_.clear();
    return;
  }
  // On any other host the answers decide nothing; acting on them there would announce its store once for each answer.
  if (!may_form_log() || log_exists_ || find_member(config_.founders, message.from) == nullptr) return;
  untouched_[message.from] = message.from_store;
  if (untouched_.size() == config_.founders.size()) announce_store();
}

// All founders have untouched stores, so nothing can have been committed. The membership is entry 1 of term 1, made
// durable here before anyone else sees it; every leader is elected in term 2 or later. Term 1 itself is not written: a
// kill between the two writes would leave a store that is neither untouched nor a member.
void raft_core::form_log() {
  std::vector<voter> voters = config_.founders;
  for (voter& member : voters) {
    member.store_id = untouched_[member.host_id];
    member.learner = false;
  }
  hard_ = {1, {}, {}};
  append_entry({1, 1, entry_kind::membership, config_.codec.write_voters(voters)}, voters);
  start_pre_vote();
}

// --- campaigns -----------------------------------------------------------------------------------------------------

void raft_core::start_pre_vote() {
  become_follower(hard_.term, {});
  state_ = state::pre_candidate;
  votes_ = {config_.host_id};
  draw_election_deadline();
  send_vote_requests(true, hard_.term + 1);
  count_votes();
}

void raft_core::start_election() {
  state_ = state::candidate;
  hard_ = {hard_.term + 1, config_.host_id, config_.store_id};
  unsaved_.hard = hard_;
  has_unsaved_ = true;
  votes_.clear();
  own_vote_ticket_ = last_ticket_ + 1;
  if (early_elections_left_ > 0) --early_elections_left_;
  draw_election_deadline();
  send_vote_requests(false, hard_.term);
}

void raft_core::send_vote_requests(bool pre_vote, std::uint64_t term) {
  for (const voter& member : log_.voters()) {
    if (member.learner || member.host_id == config_.host_id) continue;
    raft_message request =
        envelope(member.host_id, member.store_id, term, vote_request{pre_vote, log_.last_index(), log_.last_term()});
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
  // Without a store id it is no request but an announcement; the answer tells whether this store is untouched.
  if (message.to_store.empty()) return on_announcement(message);
  const bool complete = log_.covered_by(request.last_index, request.last_term);
  // A host that was removed while it was away does not know it and campaigns.
  if (request.pre_vote && hears_leader()) note_unadmitted(message);
  if (request.pre_vote) {
    const bool granted = message.term > hard_.term && complete && !hears_leader();
    // Hosts that start together ask together; without an order among them they split the votes.
    if (granted && state_ == state::pre_candidate && message.from < config_.host_id) become_follower(hard_.term, {});
    return send(answer_to(message, vote_answer{true, granted}));
  }
  if (message.term < hard_.term || (message.term > hard_.term && hears_leader())) {
    return send_when_durable(answer_to(message, vote_answer{false, false}));
  }
  if (message.term > hard_.term) become_follower(message.term, {});
  const bool free = hard_.vote_host.empty() && leader_.empty();
  const bool repeated = hard_.vote_host == message.from && hard_.vote_store == message.from_store;
  const bool granted = complete && (free || repeated);
  if (granted && !repeated) {
    hard_.vote_host = message.from;
    hard_.vote_store = message.from_store;
    unsaved_.hard = hard_;
    has_unsaved_ = true;
  }
  if (granted) {
    become_follower(hard_.term, {});
    draw_election_deadline();
  }
  send_when_durable(answer_to(message, vote_answer{false, granted}));
}

void raft_core::on_vote_answer(const raft_message& message, const vote_answer& answer) {
  if (log_.voters().empty()) return on_formation_answer(message);
  if (message.term > hard_.term) return become_follower(message.term, {});
  const state counting = answer.pre_vote ? state::pre_candidate : state::candidate;
  const bool current = answer.pre_vote || message.term == hard_.term;
  if (!answer.granted || !current || state_ != counting) return;
  if (!is_voter(log_.voters(), message.from, message.from_store)) return;
  votes_.insert(message.from);
  count_votes();
}

void raft_core::become_leader() {
  state_ = state::leader;
  early_elections_left_ = 0;
  leader_ = config_.host_id;
  own_vote_ticket_ = 0;
  term_start_ = log_.last_index() + 1;
  peers_.reset(log_, config_.host_id, now_);
  append_entry({hard_.term, term_start_, entry_kind::noop, {}}, std::nullopt);
  heartbeat();
}

}  // namespace heatherdeck

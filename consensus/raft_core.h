/// @file
/// Raft as a pure state machine: events and the present time go in, actions come out. No I/O, clock or thread.
///
/// Owned by the consensus service; tests drive it under a virtual clock.
///
///     BOOST_LEAF_AUTO(core, raft_core::make(config, stored, now));
///     for (raft_action& action : core.step(now, timer_expired{})) ...   // carry out in order
///     arm(core.wake_at());
///
/// Rules beyond plain Raft:
/// - pre-vote, and no vote while a leader has been heard within the election time-out;
/// - a leader commits directly only entries of its own term, and starts each term with a no-op;
/// - a leader whose quorum has been silent for `lease` steps down before it handles the event at hand;
/// - messages that promise something durable leave after the event `persisted` for it;
/// - votes and acknowledgements count only from the store id that the membership names, and a host votes only when it
///   was asked under its own store id;
/// - a new log is formed by the first of `founders`, once, after every founder has answered that its store is untouched
///   (term 0). A host with a replaced disk therefore never forms a second log; it waits to be admitted;
/// - with `admits_hosts` the leader adds every host that announces a store, as a learner first, replaces the lost store
///   of a host that announces a new one, and removes a member that has been silent for `gone_after` while
///   `least_voters` are left; one change at a time. A removed host that comes back is added again.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft_log.h"
#include "consensus/raft_peers.h"
#include "consensus/raft_types.h"

namespace heatherdeck {

class raft_core {
 public:
  /// @param stored what the log store found; entries and snapshot are taken over.
  /// @return `corrupt` when a stored membership cannot be read.
  static result<raft_core> make(raft_config config, stored_state stored, time_point now);

  /// Handles one event. @return actions, to be carried out in order.
  std::vector<raft_action> step(time_point now, raft_event event);

  /// @return when the event `timer_expired` is due.
  time_point timer_deadline() const;

  /// @return role, term, leader and members as others may see them.
  consensus_status status(time_point now) const;

  raft_role role() const;
  std::uint64_t term() const { return hard_state_.term; }
  std::uint64_t commit_index() const { return commit_index_; }
  std::uint64_t applied_index() const { return applied_index_; }
  std::uint64_t durable_index() const { return durable_index_; }
  const std::string& leader() const { return leader_; }
  const raft_log& log() const { return log_; }
  const raft_peers& peers() const { return peers_; }
  const snapshot_ptr& snapshot() const { return snapshot_; }
  /// @return how long the leader may still act without another answer; zero when this host does not lead.
  duration lease_left(time_point now) const;
  /// @return the membership in force, or the founders of the settings on a host that has none.
  const std::vector<voter>& known_hosts() const;
  /// @return store ids of hosts that announce another store than the membership names; they wait to be admitted.
  const std::map<std::string, std::string>& unadmitted_stores() const { return unadmitted_stores_; }

 private:
  enum class state { follower, pre_candidate, candidate, leader };
  /// Where a read came from: an asker on this host (`host` empty) or another control host.
  struct pending_read {
    std::string host;
    std::string store;
    std::uint64_t id = 0;
    std::uint64_t index = 0;
    std::uint64_t round = 0;
    time_point received_at{};
  };

  // A read that the leader has not confirmed within this many election time-outs is refused, so the asker can go on.
  static constexpr int read_timeout_elections = 2;
  // Until a leader is known after a start, elections come this many times earlier: no leader need be waited for.
  static constexpr int early_election_divisor = 3;
  // Only so many, because with slow disks an election may take longer than the shortened time.
  static constexpr int max_early_elections = 3;

  raft_core(raft_config config, time_point now);

  // raft_core.cc: events, persistence, roles
  void handle(timer_expired);
  void handle(message_received event);
  void handle(proposal_received event);
  void handle(read_received event);
  void handle(membership_change event);
  void handle(hosts_discovered event);
  void handle(persisted event);
  void handle(image_taken event);
  void finish_step();
  void append_membership(const std::vector<voter>& voters);
  void append_entry(log_entry entry, const std::optional<std::vector<voter>>& voters);
  void truncate_after(std::uint64_t index);
  void become_follower(std::uint64_t term, const std::string& leader);
  void fail_pending_requests();
  void commit_to(std::uint64_t index);
  void apply_committed_entries();
  void halt_with(std::string text);
  raft_message make_message(const std::string& to, const std::string& to_store, std::uint64_t term,
                            raft_body body) const;
  raft_message make_answer(const raft_message& request, raft_body body) const;
  void send(raft_message message);
  void send_when_durable(raft_message message);
  error not_leader_error() const;

  // raft_election.cc: formation, pre-vote, votes
  void reset_election_deadline();
  bool has_live_leader() const;
  bool self_is_voter() const;
  void election_timer_expired();
  bool can_bootstrap() const;
  void announce_store();
  void on_announcement(const raft_message& message);
  void record_unadmitted_store(const raft_message& message);
  void bootstrap_log();
  void start_pre_vote();
  void start_election();
  void send_vote_requests(bool pre_vote, std::uint64_t term);
  void count_votes();
  void on_vote_request(const raft_message& message, const vote_request& request);
  void on_vote_answer(const raft_message& message, const vote_answer& answer);
  void on_bootstrap_answer(const raft_message& message);
  void become_leader();

  // raft_leader.cc: replication, reads, membership
  void send_heartbeats();
  void check_lease();
  void replicate(const std::string& host, peer_progress& peer, bool is_heartbeat);
  void replicate_all(bool is_heartbeat);
  void send_snapshot_chunk(const std::string& host, peer_progress& peer, bool is_heartbeat);
  void on_append_answer(const raft_message& message, const append_answer& answer);
  void on_snapshot_answer(const raft_message& message, const snapshot_answer& answer);
  peer_progress* answering_peer(const raft_message& message);
  void advance_commit();
  void start_read_round();
  void confirm_reads();
  void on_read_request(const raft_message& message, const read_request& request);
  outcome<std::vector<voter>> voters_after(const membership_change& change) const;

  // raft_admission.cc: membership without an operator
  void update_membership();
  std::optional<membership_change> next_membership_change() const;
  std::optional<membership_change> next_removal() const;

  // raft_follower.cc: what a leader sends, and reads on the way to it
  bool accept_leader(const raft_message& message);
  void on_append_request(const raft_message& message, const append_request& request);
  void on_snapshot_chunk(const raft_message& message, const snapshot_chunk& chunk);
  void install_snapshot(const snapshot_ptr& snapshot);
  void forward_read(const read_received& event);
  void on_read_answer(const read_answer& answer);
  void fail_forwarded_reads(time_point received_before);
  bool term_is_durable() const { return !pending_write_.hard && durable_ticket_ >= hard_state_ticket_; }

  raft_config config_;
  raft_log log_;
  raft_peers peers_;
  snapshot_ptr snapshot_;
  hard_state hard_state_;
  state state_ = state::follower;
  std::string leader_;
  std::uint64_t commit_index_ = 0;
  std::uint64_t applied_index_ = 0;
  std::uint64_t term_start_index_ = 0;  ///< leader: index of this term's no-op
  time_point now_{};
  time_point last_leader_contact_{};
  time_point election_deadline_{};
  time_point next_heartbeat_{};
  std::mt19937_64 random_;

  // persistence
  persist_state pending_write_;
  bool has_pending_write_ = false;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t durable_ticket_ = 0;
  std::uint64_t hard_state_ticket_ = 0;                               ///< ticket of the present term and vote
  std::uint64_t durable_index_ = 0;                                   ///< last durable index of the present log
  std::deque<std::pair<std::uint64_t, std::uint64_t>> ticket_ends_;   ///< ticket, last index covered by it
  std::deque<std::pair<std::uint64_t, raft_message>> held_messages_;  ///< messages that wait for a ticket
  std::vector<raft_message> step_held_messages_;

  // election
  int early_elections_left_ = max_early_elections;
  std::set<std::string> votes_;
  std::uint64_t own_vote_ticket_ = 0;
  std::map<std::string, std::string> blank_founders_;  ///< formation: founders that answered with term 0
  bool log_exists_ = false;                            ///< formation: some founder has a log
  std::map<std::string, std::string> unadmitted_stores_;
  std::vector<voter> discovered_hosts_;    ///< from gossip: where else to announce this store
  std::set<std::string> replaced_stores_;  ///< a late message of one of these announces nothing

  // waiting askers
  std::map<std::uint64_t, std::uint64_t> proposals_;     ///< index -> id
  std::vector<pending_read> queued_reads_;               ///< leader: no round yet
  std::vector<pending_read> reads_in_round_;             ///< leader: confirmed by a later round
  std::map<std::uint64_t, time_point> forwarded_reads_;  ///< follower: asked of the leader

  // snapshot being received
  std::uint64_t incoming_snapshot_index_ = 0;
  std::uint64_t incoming_snapshot_term_ = 0;
  std::string incoming_snapshot_bytes_;

  std::vector<raft_action> actions_;
};

}  // namespace heatherdeck

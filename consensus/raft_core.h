/// @file
/// Raft as a deterministic state machine: takes events and the current time, returns actions. It does no I/O, reads no
/// clock and uses no thread.
///
/// Owned by the consensus service; tests drive it with a virtual clock.
///
///     BOOST_LEAF_AUTO(core, raft_core::make(config, stored, now));
///     for (raft_action& action : core.step(now, timer_expired{})) ...  // execute in order
///     arm(core.timer_deadline());
///
/// Rules that refine or extend the Raft paper:
/// - Pre-vote; and no host votes while it has heard from a leader within the election timeout.
/// - A leader directly commits only entries of its own term, and appends a no-op at the start of each term.
/// - A leader that has no answers of a quorum for `lease` steps down before it handles the next event.
/// - A message that asserts something durable is sent only after the event `persisted` for it.
/// - Votes and acknowledgements count only when they come from the store id in the membership, and a host votes only
///   when the request names its own store id.
/// - Bootstrap: the first of `founders` creates a new log, once, after every founder has answered that its store is
///   blank (term 0). A host with a replaced disk therefore never creates a second log; it waits to be added.
/// - With `automatic_membership` the leader adds every host that announces a store, as a learner first; replaces the
///   lost store of a host that announces a new one; and removes a member that has not answered for `removal_timeout`
///   (a voter only while there are more than `min_voters`). It makes one change at a time. A removed host that returns
///   is added again.
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
  /// @param stored the state that the log store loaded.
  /// @return `corrupt` when the stored log has a gap or a stored membership cannot be decoded.
  static result<raft_core> make(raft_config config, stored_state stored, time_point now);

  /// Handles one event. @return the actions, to be executed in order.
  std::vector<raft_action> step(time_point now, raft_event event);

  /// @return when the event `timer_expired` is due; changes with every step.
  time_point timer_deadline() const;

  /// @return the status for other services and operators.
  consensus_status status(time_point now) const;

  raft_role role() const;
  std::uint64_t term() const { return hard_state_.term; }
  std::uint64_t commit_index() const { return commit_index_; }
  std::uint64_t applied_index() const { return applied_index_; }
  /// @return the last index of the current log that is durable on this host.
  std::uint64_t durable_index() const { return durable_index_; }
  /// @return the host id of the current leader; empty when it is not known.
  const std::string& leader() const { return leader_; }
  const raft_log& log() const { return log_; }
  const raft_peers& peers() const { return peers_; }
  const snapshot_ptr& snapshot() const { return snapshot_; }
  /// @return the remaining time of the leader's lease; zero when this host is not the leader.
  duration lease_left(time_point now) const;
  /// @return the current membership, or the founders of the settings on a host that has no membership.
  const std::vector<raft_member>& known_hosts() const;
  /// @return host id to store id of the hosts whose announced store is not a member; they wait to be added.
  const std::map<std::string, std::string>& unadmitted_stores() const { return unadmitted_stores_; }

 private:
  enum class state { follower, pre_candidate, candidate, leader };
  /// A read that the leader has not confirmed yet: requested on this host (`host` empty) or by another control host.
  struct pending_read {
    std::string host;
    std::string store;
    std::uint64_t id = 0;
    std::uint64_t index = 0;  ///< commit index when its round began
    std::uint64_t round = 0;  ///< round that confirms it
    time_point received_at{};
  };

  // A read that the leader has not confirmed within this many election timeouts fails, so that the requester can retry.
  static constexpr int read_timeout_elections = 2;
  // Until the first leader is known after a start, the election timeout is divided by this: there is no current leader
  // whose heartbeats must be awaited.
  static constexpr int early_election_divisor = 3;
  // Limited, because with slow disks an election may take longer than the shortened timeout.
  static constexpr int max_early_elections = 3;

  raft_core(raft_config config, time_point now);

  // raft_core.cc: events, persistence, role changes, commit index
  void handle(timer_expired);
  void handle(message_received event);
  void handle(proposal_received event);
  void handle(command_forwarded event);
  void handle(read_received event);
  void handle(membership_change event);
  void handle(hosts_discovered event);
  void handle(persisted event);
  void handle(image_taken event);
  void finish_step();
  std::optional<error> check_command(const std::string& payload) const;
  void append_command(std::string payload);
  void append_membership(const std::vector<raft_member>& voters);
  void append_entry(log_entry entry, const std::optional<std::vector<raft_member>>& voters);
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

  // raft_election.cc: bootstrap, pre-vote, votes
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
  void on_vote_response(const raft_message& message, const vote_response& answer);
  void on_bootstrap_answer(const raft_message& message);
  void become_leader();

  // raft_leader.cc: replication, reads, membership changes
  void send_heartbeats();
  void check_lease();
  void replicate(const std::string& host, peer_progress& peer, bool is_heartbeat);
  void replicate_all(bool is_heartbeat);
  void send_snapshot_chunk(const std::string& host, peer_progress& peer, bool is_heartbeat);
  void on_append_response(const raft_message& message, const append_response& answer);
  void on_snapshot_response(const raft_message& message, const snapshot_response& answer);
  peer_progress* answering_peer(const raft_message& message);
  void advance_commit();
  void start_read_round();
  void confirm_reads();
  void on_read_request(const raft_message& message, const read_request& request);
  void on_forwarded_command(const forwarded_command& command);
  outcome<std::vector<raft_member>> voters_after(const membership_change& change) const;

  // raft_membership.cc: membership changes without an operator
  void update_membership();
  std::optional<membership_change> next_membership_change() const;
  std::optional<membership_change> next_removal() const;

  // raft_follower.cc: messages from the leader, and reads forwarded to it
  bool accept_leader(const raft_message& message);
  void note_leader_commit(std::uint64_t index);
  bool is_current(time_point now) const;
  void on_append_request(const raft_message& message, const append_request& request);
  void on_snapshot_chunk(const raft_message& message, const snapshot_chunk& chunk);
  void install_snapshot(const snapshot_ptr& snapshot);
  void forward_read(const read_received& event);
  void on_read_response(const read_response& answer);
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
  std::uint64_t leader_commit_ = 0;     ///< follower: highest commit index that a leader has stated
  std::uint64_t awaited_commit_ = 0;    ///< follower: commit index that it has to reach next
  time_point awaited_since_{};
  bool leader_commit_known_ = false;  ///< follower: stated since the last loss of the leader or part of a snapshot
  bool caught_up_ = false;            ///< follower: has reached an awaited index since then
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
  std::uint64_t hard_state_ticket_ = 0;                              ///< ticket of the current term and vote
  std::uint64_t durable_index_ = 0;                                  ///< last durable index of the current log
  std::deque<std::pair<std::uint64_t, std::uint64_t>> ticket_ends_;  ///< ticket, last index covered by it
  /// Messages not sent yet, each with the ticket that must be durable first.
  std::deque<std::pair<std::uint64_t, raft_message>> held_messages_;
  std::vector<raft_message> step_held_messages_;  ///< messages of the current step; they wait for its ticket

  // election
  int early_elections_left_ = max_early_elections;
  std::set<std::string> votes_;
  std::uint64_t own_vote_ticket_ = 0;
  std::map<std::string, std::string> blank_founders_;  ///< bootstrap: founders with term 0, host id to store id
  bool log_exists_ = false;                            ///< bootstrap: some founder has a log
  std::map<std::string, std::string> unadmitted_stores_;
  std::vector<raft_member> discovered_hosts_;  ///< from gossip: further hosts to announce this store to
  std::set<std::string> replaced_stores_;      ///< a delayed message from one of these announces no store

  // pending requests
  std::map<std::uint64_t, std::uint64_t> proposals_;     ///< index -> id
  std::vector<pending_read> queued_reads_;               ///< leader: waiting for the next round
  std::vector<pending_read> reads_in_round_;             ///< leader: waiting for a quorum to answer their round
  std::map<std::uint64_t, time_point> forwarded_reads_;  ///< follower: id -> time of forwarding to the leader

  // snapshot that is being received from the leader
  std::uint64_t incoming_snapshot_index_ = 0;
  std::uint64_t incoming_snapshot_term_ = 0;
  std::string incoming_snapshot_bytes_;

  std::vector<raft_action> actions_;
};

}  // namespace heatherdeck

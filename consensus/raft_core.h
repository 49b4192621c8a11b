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
  time_point wake_at() const;

  /// @return role, term, leader and members as others may see them.
  consensus_status status(time_point now) const;

  raft_role role() const;
  std::uint64_t term() const { return hard_.term; }
  std::uint64_t commit() const { return commit_; }
  std::uint64_t applied() const { return applied_; }
  std::uint64_t durable() const { return durable_; }
  const std::string& leader() const { return leader_; }
  const raft_log& log() const { return log_; }
  const raft_peers& peers() const { return peers_; }
  const snapshot_ptr& image() const { return image_; }
  /// @return how long the leader may still act without another answer; zero when this host does not lead.
  duration lease_left(time_point now) const;
  /// @return the membership in force, or the founders of the settings on a host that has none.
  const std::vector<voter>& known_hosts() const;
  /// @return store ids of hosts that announce another store than the membership names; they wait to be admitted.
  const std::map<std::string, std::string>& unadmitted() const { return unadmitted_; }

 private:
  enum class state { follower, pre_candidate, candidate, leader };
  /// Where a read came from: an asker on this host (`host` empty) or another control host.
  struct read_wait {
    std::string host;
    std::string store;
    std::uint64_t id = 0;
    std::uint64_t index = 0;
    std::uint64_t round = 0;
    time_point asked_at{};
  };

  // A read that the leader has not confirmed within this many election time-outs is refused, so the asker can go on.
  static constexpr int read_patience = 2;
  // Until a leader is known after a start, elections come this many times earlier: no leader need be waited for.
  static constexpr int early_election = 3;
  // Only so many, because with slow disks an election may take longer than the shortened time.
  static constexpr int most_early_elections = 3;

  raft_core(raft_config config, time_point now);

  // raft_core.cc: events, persistence, roles
  void handle(timer_expired);
  void handle(message_received event);
  void handle(proposed event);
  void handle(read_asked event);
  void handle(change_asked event);
  void handle(hosts_learned event);
  void handle(persisted event);
  void handle(image_taken event);
  void finish_step();
  void append_membership(const std::vector<voter>& voters);
  void append_entry(log_entry entry, const std::optional<std::vector<voter>>& voters);
  void truncate_after(std::uint64_t index);
  void become_follower(std::uint64_t term, const std::string& leader);
  void fail_waiting();
  void commit_to(std::uint64_t index);
  void apply_committed_entries();
  void halt_with(std::string text);
  raft_message envelope(const std::string& to, const std::string& to_store, std::uint64_t term, raft_body body) const;
  raft_message answer_to(const raft_message& asked, raft_body body) const;
  void send(raft_message message);
  void send_when_durable(raft_message message);
  error refusal() const;

  // raft_election.cc: formation, pre-vote, votes
  void draw_election_deadline();
  bool hears_leader() const;
  bool self_votes() const;
  void election_timer_expired();
  bool may_form_log() const;
  void announce_store();
  void on_announcement(const raft_message& message);
  void note_unadmitted(const raft_message& message);
  void form_log();
  void start_pre_vote();
  void start_election();
  void send_vote_requests(bool pre_vote, std::uint64_t term);
  void count_votes();
  void on_vote_request(const raft_message& message, const vote_request& request);
  void on_vote_answer(const raft_message& message, const vote_answer& answer);
  void on_formation_answer(const raft_message& message);
  void become_leader();

  // raft_leader.cc: replication, reads, membership
  void heartbeat();
  void check_lease();
  void replicate(const std::string& host, peer_progress& peer, bool heartbeat);
  void replicate_all(bool heartbeat);
  void send_chunk(const std::string& host, peer_progress& peer, bool heartbeat);
  void on_append_answer(const raft_message& message, const append_answer& answer);
  void on_snapshot_answer(const raft_message& message, const snapshot_answer& answer);
  peer_progress* answering_peer(const raft_message& message);
  void advance_commit();
  void start_read_round();
  void confirm_reads();
  void on_read_request(const raft_message& message, const read_request& request);
  outcome<std::vector<voter>> changed_voters(const change_asked& change) const;

  // raft_admission.cc: membership without an operator
  void admit_hosts();
  std::optional<change_asked> next_admission() const;
  std::optional<change_asked> next_removal() const;

  // raft_follower.cc: what a leader sends, and reads on the way to it
  bool accept_leader(const raft_message& message);
  void on_append_request(const raft_message& message, const append_request& request);
  void on_snapshot_chunk(const raft_message& message, const snapshot_chunk& chunk);
  void install(const snapshot_ptr& image);
  void ask_leader(const read_asked& event);
  void on_read_answer(const read_answer& answer);
  void refuse_reads(time_point asked_before);
  bool term_is_durable() const { return !unsaved_.hard && durable_ticket_ >= hard_ticket_; }

  raft_config config_;
  raft_log log_;
  raft_peers peers_;
  snapshot_ptr image_;
  hard_state hard_;
  state state_ = state::follower;
  std::string leader_;
  std::uint64_t commit_ = 0;
  std::uint64_t applied_ = 0;
  std::uint64_t term_start_ = 0;  ///< leader: index of this term's no-op
  time_point now_{};
  time_point heard_leader_{};
  time_point election_deadline_{};
  time_point next_heartbeat_{};
  std::mt19937_64 random_;

  // persistence
  persist_state unsaved_;
  bool has_unsaved_ = false;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t durable_ticket_ = 0;
  std::uint64_t hard_ticket_ = 0;                                    ///< ticket of the present term and vote
  std::uint64_t durable_ = 0;                                        ///< last durable index of the present log
  std::deque<std::pair<std::uint64_t, std::uint64_t>> ticket_ends_;  ///< ticket, last index covered by it
  std::deque<std::pair<std::uint64_t, raft_message>> held_;          ///< messages that wait for a ticket
  std::vector<raft_message> held_in_step_;

  // election
  int early_elections_left_ = most_early_elections;
  std::set<std::string> votes_;
  std::uint64_t own_vote_ticket_ = 0;
  std::map<std::string, std::string> untouched_;  ///< formation: founders that answered with term 0
  bool log_exists_ = false;                       ///< formation: some founder has a log
  std::map<std::string, std::string> unadmitted_;
  std::vector<voter> learned_hosts_;       ///< from gossip: where else to announce this store
  std::set<std::string> replaced_stores_;  ///< a late message of one of these announces nothing

  // waiting askers
  std::map<std::uint64_t, std::uint64_t> proposals_;     ///< index -> id
  std::vector<read_wait> reads_waiting_;                 ///< leader: no round yet
  std::vector<read_wait> reads_in_round_;                ///< leader: confirmed by a later round
  std::map<std::uint64_t, time_point> reads_at_leader_;  ///< follower: asked of the leader

  // snapshot being received
  std::uint64_t incoming_index_ = 0;
  std::uint64_t incoming_term_ = 0;
  std::string incoming_;

  std::vector<raft_action> actions_;
};

}  // namespace heatherdeck

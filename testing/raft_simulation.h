/// @file
/// Simulates a group of `raft_core` instances with a virtual clock, a network and disks; injects faults by a seeded
/// random schedule and checks Raft's invariants after every step.
///
///     EXPECT_EQ(raft_simulation::run({.seed = 17, .faults = {fault::kill}}), "");  // else the failure, with the seed
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft_core.h"

namespace heatherdeck {

/// `kill` crashes a host, which restarts later; `lost_disk` also empties its disk; a cut drops messages in one
/// direction or in both; `freeze` pauses a host; `replaced_host` removes a host with its disk and starts a new one;
/// `frozen_leader` pauses the leader; `split` cuts the hosts into two groups; `outage` stops several hosts for longer
/// than the removal timeout; `blank_host` empties one disk, when less than the tolerated losses are still to be
/// replaced; `killed_writers` kills followers that are writing an entry and starts them again at once; `lost_direction`
/// is a one-way cut that lasts longer than any election.
enum class fault {
  kill,
  lost_disk,
  one_way_cut,
  two_way_cut,
  freeze,
  reorder,
  duplicate,
  replaced_host,
  frozen_leader,
  split,
  outage,
  blank_host,
  killed_writers,
  lost_direction
};

template <>
struct enum_table<fault> {
  static constexpr auto entries = std::to_array<enum_entry<fault>>({
      {fault::kill, "kill"},
      {fault::lost_disk, "lost_disk"},
      {fault::one_way_cut, "one_way_cut"},
      {fault::two_way_cut, "two_way_cut"},
      {fault::freeze, "freeze"},
      {fault::reorder, "reorder"},
      {fault::duplicate, "duplicate"},
      {fault::replaced_host, "replaced_host"},
      {fault::frozen_leader, "frozen_leader"},
      {fault::split, "split"},
      {fault::outage, "outage"},
      {fault::blank_host, "blank_host"},
      {fault::killed_writers, "killed_writers"},
      {fault::lost_direction, "lost_direction"},
  });
};

/// The last fault of a run, 0 to 400 ms after a command was acknowledged. The first three lose the tolerated number of
/// disks: of the voters that have synced the newest entry last, of the oldest stores, of the leader and one of the
/// former; the other hosts lose power, are killed or go on.
enum class final_fault { newest_disks, oldest_disks, leader_disk, all_lose_power, all_killed };

template <>
struct enum_table<final_fault> {
  static constexpr auto entries = std::to_array<enum_entry<final_fault>>({
      {final_fault::newest_disks, "newest_disks"},
      {final_fault::oldest_disks, "oldest_disks"},
      {final_fault::leader_disk, "leader_disk"},
      {final_fault::all_lose_power, "all_lose_power"},
      {final_fault::all_killed, "all_killed"},
  });
};

class raft_simulation {
 public:
  /// Parameters of one run.
  struct plan {
    std::uint64_t seed = 1;
    std::vector<fault> faults;
    std::size_t hosts = 3;
    /// Hosts that bootstrap the log; the leader adds the others. 0: all, and an operator adds hosts with new disks.
    std::size_t founders = 0;
    std::size_t tolerated_losses = 0;        ///< with `founders`: disks that are lost at the same time
    milliseconds start_spread{0};            ///< hosts that are no founders start within this time
    milliseconds fault_duration{4000};       ///< faults stop then, and new commands must be committed
    std::chrono::microseconds latency{500};  ///< one-way delay of a message
    milliseconds max_request_interval{60};
    unsigned slow_writes_percent = 10;                ///< writes that take up to 120 ms, the others up to 3.2 ms
    std::chrono::milliseconds removal_timeout{1500};  ///< shorter than the run, longer than any election
    bool ends_with_final_fault = false;               ///< at the next acknowledgement after `fault_duration`
    std::size_t acknowledged_before_final_fault = 1;  ///< commands; the final fault comes after a random part of them

    // Mechanisms that a test removes, to show that the simulation detects the loss that each of them prevents.
    std::optional<std::size_t> min_voters;  ///< instead of 2 * tolerated_losses + 1
    bool acknowledges_before_sync = false;  ///< the core is told that a write is durable when it begins
    bool ignores_lag = false;               ///< a host with a quorum is taken for current
    bool syncs_on_start = true;             ///< false: what a killed process has not synced stays in the page cache
  };
  /// Counters summed over runs; a test prints them to show that its schedules reach the intended situations.
  struct statistics {
    std::uint64_t steps = 0;             ///< events handled by all cores
    std::uint64_t committed = 0;         ///< log entries
    std::uint64_t elections = 0;         ///< terms that had a leader
    std::uint64_t reads = 0;             ///< reads answered, confirmed or not
    std::uint64_t restores = 0;          ///< states restored from a snapshot
    std::uint64_t unknown_outcomes = 0;  ///< proposals that ended with `unknown_outcome`
    std::uint64_t lost_disks = 0;
    std::uint64_t promoted = 0;  ///< promotions requested by the operator
    std::uint64_t replaced = 0;  ///< hosts replaced by new ones
    std::uint64_t final_faults = 0;
    std::uint64_t final_disks = 0;   ///< disks lost in final faults
    std::uint64_t final_voters = 0;  ///< sum of the voters at the final faults
    std::uint64_t smallest_group = std::numeric_limits<std::uint64_t>::max();  ///< voters at a final fault
    std::uint64_t removals = 0;  ///< committed memberships with fewer members
    std::uint64_t resent = 0;    ///< resent commands that were acknowledged again
  };

  /// Runs one simulation. @param sum when not null, the run's counters are added to it.
  /// @return an empty string, or the first violated check with seed and virtual time.
  static std::string run(const plan& p, statistics* sum = nullptr);

  /// All hosts lose power and restart within 0.9 s. @return the time from the start of a majority to the next leader.
  static milliseconds leaderless_time_after_power_loss(const plan& p);

 private:
  static constexpr std::size_t max_replacements = 4;  ///< hosts that replace others, in one run

  /// How a host goes down. Writes that were not synced may remain: after a kill in the page cache, after a power loss
  /// on the disk.
  enum class outage { kill, power_loss, lost_disk };
  struct host {
    std::string id;
    std::uint64_t generation = 0;  ///< number of starts and kills; events of an earlier generation are dropped
    stored_state disk;             ///< what the next process reads
    std::optional<stored_state> synced_disk;    ///< what a power loss leaves, while that is less than `disk`
    time_point synced_at{};                     ///< time of the last sync
    bool lost_disk = false;                     ///< the current store replaces a lost one
    std::vector<persist_state> pending_writes;  ///< not durable yet
    std::optional<raft_core> core;              ///< empty while the host is down
    bool permanently_removed = false;           ///< the host never returns
    time_point frozen_until{};
    time_point timer_at = time_point::max();
    std::uint64_t applied = 0;
    std::uint64_t hash = 0;  ///< of all applied entries; serves as the state machine's image
    std::uint64_t last_snapshot_index = 0;
    std::uint64_t led_term = 0;  ///< last term in which the host was leader
  };
  struct event {
    time_point at;
    std::uint64_t order;  ///< of creation, for events at the same time
    std::function<void()> action;
    bool operator<(const event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  struct committed_entry {
    log_entry entry;
    std::uint64_t hash;
    std::uint64_t commit_term;  ///< term of the host that applied it first; committed in it or earlier
  };

  explicit raft_simulation(const plan& p);
  std::string run_plan();
  void run_until(time_point end, const std::function<bool()>& stop_when);

  void schedule(duration delay, std::function<void()> action);
  bool chance(unsigned percent) { return random_() % 100 < percent; }
  milliseconds random_ms(unsigned min_ms, unsigned max_ms) {
    return milliseconds(min_ms + random_() % (max_ms - min_ms + 1));
  }
  host& random_host() { return hosts_[random_() % hosts_.size()]; }
  bool injects(fault f) const;
  bool faults_ended() const { return healed_ || !final_fault_name_.empty(); }
  void record_failure(const std::string& text);

  void start(host& h);
  void kill(host& h, outage how, milliseconds max_downtime = milliseconds(900));
  void go_down(host& h, outage how);
  void start_later(const host& h, milliseconds delay);
  void deliver_event(std::size_t index, std::uint64_t generation, raft_event e);
  void arm(std::size_t index);
  void timer_fired(std::size_t index, std::uint64_t generation);
  void execute(std::size_t index, raft_action& action);
  void transmit(std::size_t from, const raft_message& message);
  static void write(host& h, const persist_state& action);
  void apply(host& h, const log_entry& entry);
  void check_vote(const host& h, const raft_message& message);
  void record_membership(const log_entry& entry);
  void check_host(host& h);
  void check_staleness();
  void inject_fault();
  void freeze_leader();
  void split_hosts();
  void kill_writers();
  void stop_hosts_for_long();
  void empty_disk(host& h);
  void heal();
  void schedule_final_fault();
  void inject_final_fault();
  std::optional<outage> random_outage();
  std::vector<std::size_t> newest_disks();
  std::vector<std::size_t> oldest_disks();
  std::vector<std::size_t> leader_disk();
  std::vector<std::size_t> no_disks() { return {}; }
  std::vector<std::size_t> voters_by(const std::function<bool(const host&, const host&)>& precedes) const;
  const raft_core* most_committed() const;
  std::size_t losses_to_replace() const;
  std::size_t allowed_losses() const;
  void record_acknowledgement(const std::string& payload);
  std::string check_acknowledged() const;
  std::string next_payload(std::uint64_t id);
  void send_client_request();
  void run_operator();
  bool may_lose_disk(const host& h) const;
  void lose_disks_simultaneously();
  void replace_host(host& h);
  std::size_t remaining_hosts() const;
  std::string check_membership() const;
  std::string describe_hosts() const;
  std::size_t index_of(const std::string& id) const;

  plan plan_;
  statistics statistics_;
  std::mt19937_64 random_;
  time_point now_{};
  std::uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::vector<host> hosts_;
  std::vector<raft_member> founders_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
  bool healed_ = false;
  time_point heal_at_{};
  std::size_t committed_at_heal_ = 0;
  bool final_fault_due_ = false;                    ///< scheduled
  std::string_view final_fault_name_;               ///< empty until it is injected
  std::size_t acknowledged_until_final_fault_ = 0;  ///< commands still to be acknowledged before it
  bool disk_lost_before_bootstrap_ = false;
  std::string failure_;

  std::vector<committed_entry> committed_;
  std::vector<time_point> committed_at_;          ///< of the entries in `committed_`
  std::vector<raft_member> committed_members_;    ///< set by the last membership entry in `committed_`
  std::map<std::uint64_t, std::string> leaders_;  ///< term -> host
  std::map<std::pair<std::string, std::uint64_t>, std::string> votes_;  ///< (voting store, term) -> candidate
  std::set<std::string> member_stores_;                                 ///< all stores that were ever in a membership
  std::map<std::uint64_t, std::string> proposals_;                      ///< id -> payload
  std::map<std::string, std::uint64_t> first_index_;                    ///< payload -> first committed entry with it
  std::map<std::string, std::uint64_t> acknowledged_;  ///< payload -> entry named in the first acknowledgement
  std::set<std::string> resent_;                       ///< payloads that were sent more than once
  std::set<std::string> refused_;                      ///< payloads of commands reported as not appended
  std::map<std::uint64_t, std::uint64_t> reads_;       ///< id -> number of committed entries at the request
  std::uint64_t next_id_ = 1;
  std::uint64_t next_store_ = 1;
};

}  // namespace heatherdeck

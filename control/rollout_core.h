/// @file
/// Tracks all rollouts on one control host and, on the leader, decides their next steps. Pure: no I/O; documents,
/// members, evidence and time are arguments, and proposed commands are returned. Owned by the rollout service.
///
///     rollout_core core(settings.convergence_weight);
///     core.set_document(state, compiled, now);
///     core.set_members(*view, now);
///     core.begin_term(now);                             // this host has become the leader
///     core.add_evidence("dar-1", report, now);
///     for (const rollout_proposal& p : core.on_tick(now)) propose(p.command);     // every core.tick_period()
///
/// Every control host tracks documents and members, so that a new leader knows how long a rollout has run and which
/// upstreams are warm. Each term of leadership starts without evidence, and a share is raised only on evidence since
/// the last step or since the term began, whichever is later. Nothing is proposed for a rollout that has ended.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "control/rollout_planner.h"
#include "control/version_judge.h"
#include "model/compiled_document.h"
#include "model/directory_messages.h"
#include "model/distribution_messages.h"
#include "model/ledger_messages.h"
#include "model/rollout_messages.h"

namespace heatherdeck {

/// A command for the ledger, and the reason for it as a text for operators.
struct rollout_proposal {
  std::string service;
  ledger_command command;
  std::string reason;
  std::string evidence;  ///< counts and e-value on which it was decided, as a text for operators
};

class rollout_core {
 public:
  /// An upstream counts as warm after it has been ready for this long, or for a quarter of the finish time if that is
  /// shorter.
  static constexpr std::chrono::seconds warmup_time{10};
  /// No share is raised for this long after a node has reported that it cut the new version off locally.
  static constexpr std::chrono::seconds local_cut_hold{20};

  /// @param convergence_weight from the settings, 0 to 1; see rollout_planner.
  explicit rollout_core(double convergence_weight) : planner_(convergence_weight) {}

  /// Takes a new document.
  /// @param compiled has the operators' specification of each rollout.
  void set_document(const document_state& state, const compiled_document& compiled, time_point now);

  /// Takes the members of the mesh, with the upstreams that they announce.
  void set_members(const std::vector<member_record>& members, time_point now);

  /// Begins a term of leadership; evidence of earlier terms is discarded.
  void begin_term(time_point now);

  /// Ends the term; nothing is proposed until the next one.
  void end_term() { leading_ = false; }

  bool leading() const { return leading_; }

  /// @return true when any rollout has the status running or watching.
  bool active() const;

  /// Adds what nodes of one availability zone have reported.
  void add_evidence(const std::string& availability_zone, const evidence_report& report, time_point now);

  /// Closes the evidence window and plans the next steps; called every tick_period().
  /// @return the commands to propose; none unless leading.
  std::vector<rollout_proposal> on_tick(time_point now);

  /// @return the time between two calls of on_tick; see compiled_document::evidence_period.
  std::chrono::milliseconds tick_period() const { return tick_period_; }

  /// @return all rollouts as operators see them.
  std::vector<rollout_view> views(time_point now) const;

 private:
  struct tracked_rollout {
    rollout_spec spec;
    rollout_state state;
    time_point first_seen{};
    time_point last_step{};  ///< when the share last changed, or the term began
    time_point watching_since{};
    time_point last_cut{};  ///< last report of a local cut; time_point{}: none
    /// Integral of the share over time, since this host first saw the rollout. Counted from the documents and not from
    /// evidence, so that it outlives a change of the leader.
    duration exposure{};
    time_point exposure_counted_to{};
    time_point judge_from{};        ///< when the judge began to collect evidence
    bool settling = false;          ///< evidence may still hold calls from before the last step
    std::uint32_t comparisons = 0;  ///< how often the share was lowered to compare the versions
    version_judge judge;
    std::string reason;  ///< of the last decision
  };
  struct known_upstream {
    std::string service;
    std::string upstream_version;
    time_point ready_since{};
  };

  version_judge new_judge(const rollout_spec& spec) const;
  void track(const rollout_state& state, const rollout_spec& spec, time_point now);
  void update_tracked(tracked_rollout& r, const rollout_state& state, const rollout_spec& spec, time_point now);
  std::size_t count_warm_upstreams(const std::string& service, const std::string& upstream_version,
                                   time_point now) const;
  planner_input make_input(const tracked_rollout& r, time_point now) const;
  static void count_exposure(tracked_rollout& r, time_point now);
  static duration observed_exposure(const tracked_rollout& r, time_point now);

  rollout_planner planner_;
  version current_;
  std::map<std::string, tracked_rollout> rollouts_;        ///< by service
  std::map<std::string, known_upstream> ready_upstreams_;  ///< by node id and upstream instance
  std::chrono::milliseconds tick_period_ = compiled_document::max_evidence_period;
  bool members_known_ = false;
  bool leading_ = false;
};

}  // namespace heatherdeck

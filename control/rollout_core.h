/// @file
/// Follows all rollouts on one control host and decides their next steps on the leader. Pure: documents, members,
/// evidence and time go in, proposed commands come out.
///
///     rollout_core core(settings.convergence_weight);
///     core.use_document(state, compiled, now);
///     core.use_members(*view, now);
///     core.lead(now);                                   // this host has become the leader
///     core.add_evidence("dar-1", report, now);
///     for (const rollout_proposal& p : core.second(now)) propose(p.command);
///
/// Every control host follows documents and members, so that a new leader knows since when a rollout runs and which
/// upstreams are warm. Evidence starts empty with each term of leadership, and a share is raised only on evidence since
/// the last step or since the term began, whichever is later. A rollout that has ended is never touched again.
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

/// A command for the ledger with its reason in words.
struct rollout_proposal {
  std::string service;
  ledger_command command;
  std::string reason;
};

class rollout_core {
 public:
  /// An upstream counts as warm after it has been ready for this long, or for a quarter of a shorter rollout.
  static constexpr std::chrono::seconds warm_after{10};
  /// How long a node's local cut holds back a raise of the share.
  static constexpr std::chrono::seconds cut_concern{20};

  /// @param convergence_weight from the settings, see rollout_planner.
  explicit rollout_core(double convergence_weight) : planner_(convergence_weight) {}

  /// @param compiled gives the operators' wishes for each rollout.
  void use_document(const document_state& state, const compiled_document& compiled, time_point now);

  void use_members(const std::vector<member_record>& members, time_point now);

  /// Begins a term of leadership with empty evidence.
  void lead(time_point now);

  /// Ends the term: nothing is proposed any more.
  void follow() { leading_ = false; }

  bool leading() const { return leading_; }

  /// @return true when a rollout is running or watching.
  bool active() const;

  /// Takes in what nodes of one availability zone reported.
  void add_evidence(const std::string& availability_zone, const evidence_report& report, time_point now);

  /// Closes the window of evidence; call it once a second.
  /// @return the commands to propose; none unless leading.
  std::vector<rollout_proposal> second(time_point now);

  /// @return all rollouts as operators see them.
  std::vector<rollout_view> views(time_point now) const;

 private:
  struct followed_rollout {
    rollout_spec spec;
    rollout_state state;
    time_point first_seen{};
    time_point last_step{};
    time_point watching_since{};
    time_point last_cut{};
    std::uint32_t probes = 0;
    version_judge judge;
    std::string reason;  ///< of the last decision
  };
  struct known_upstream {
    std::string service;
    std::string upstream_version;
    time_point ready_since{};
  };

  static bool is_active(const rollout_state& state);
  version_judge new_judge(const rollout_spec& spec) const;
  void begin(const rollout_state& state, const rollout_spec& spec, time_point now);
  void follow_state(followed_rollout& r, const rollout_state& state, const rollout_spec& spec, time_point now);
  std::size_t warm(const std::string& service, const std::string& upstream_version, time_point now) const;
  plan_facts facts_of(const followed_rollout& r, time_point now) const;

  rollout_planner planner_;
  version current_;
  std::map<std::string, followed_rollout> rollouts_;       ///< by service
  std::map<std::string, known_upstream> ready_upstreams_;  ///< by node id and target
  bool members_known_ = false;
  bool leading_ = false;
};

}  // namespace heatherdeck

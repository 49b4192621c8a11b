/// @file
/// Service "rollout" on each control host: passes documents, members and evidence to rollout_core and, on the leader,
/// proposes its decisions.
///
///     BOOST_LEAF_AUTO(rollout, rollout_service::make(settings));
///     auto views = co_await ask<std::vector<rollout_view>>(timers, executor, rollout, 1s, make_get_rollouts);
///
/// It gets document_changed from "ledger" and evidence_received from "publisher". Once a second it asks "directory" for
/// the members and, while there are rollouts or evidence, "consensus" for its status; in a rollout of seconds it ticks
/// more often (rollout_core::tick_period). The leader then decides; before each proposal it asks "consensus" again,
/// because the process may have been suspended in between. Other hosts send the evidence since the last tick, summed by
/// availability zone, to the leader.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/evidence_link.h"
#include "control/rollout_core.h"
#include "kernel/kernel.h"
#include "model/document_compiler.h"
#include "model/raft_messages.h"
#include "model/settings.h"

namespace heatherdeck {

class rollout_service : public service {
 public:
  /// @param own settings of this host; uses convergence_weight.
  static result<std::unique_ptr<rollout_service>> make(const settings& own);

  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  explicit rollout_service(const settings& own) : core_(own.convergence_weight) {}

  awaitable<void> run();
  awaitable<void> accept_streams();
  awaitable<void> tick();
  void schedule_tick();
  awaitable<void> propose(rollout_proposal proposal);
  awaitable<std::optional<consensus_status>> ask_status();
  awaitable<void> ask_members();
  void update_leadership(const consensus_status& status, time_point now);
  void forward(const consensus_status& status);
  void handle(document_changed&& changed);
  void handle(evidence_received&& received);
  void handle(get_rollouts&& request);
  void handle(rollout_tick&&) {}

  rollout_core core_;
  document_compiler compiler_;
  kernel* kernel_ = nullptr;
  std::unique_ptr<mailbox<rollout_message>> inbox_;
  std::unique_ptr<mailbox<incoming_stream>> streams_;
  std::unique_ptr<evidence_link> link_;
  address<consensus_message> consensus_;
  address<ledger_message> ledger_;
  address<directory_message> directory_;
  subscription next_tick_;
  time_point members_asked_at_{};
  std::uint64_t term_ = 0;                             ///< Raft term of the last term of leadership
  std::map<std::string, evidence_report> to_forward_;  ///< by availability zone
  std::uint64_t proposals_ = 0;
  std::uint64_t refused_proposals_ = 0;
  std::uint64_t dropped_batches_ = 0;  ///< evidence batches that the evidence link refused
};

}  // namespace heatherdeck

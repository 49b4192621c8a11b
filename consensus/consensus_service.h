/// @file
/// The service "consensus" of a control host: the replicated log.
///
/// It owns the Raft state machine, the log store and the links to the other control hosts. Others send it
/// `consensus_message` (propose, confirm a read, status, membership); committed entries go to the service "ledger" in
/// log order, and nothing is skipped or repeated between two `install_state`.
///
///     BOOST_LEAF_AUTO(made, consensus_service::make(settings));
///     BOOST_LEAF_CHECK(k.add(std::move(made)));
///     ...
///     auto consensus = *k.find<consensus_message>("consensus");
///     auto done = co_await ask<committed>(timers, executor, consensus, 3s, [&](reply<committed> r) {
///       return propose_command{payload, std::move(r)};
///     });
///
/// First start: when the data folders of all control hosts of the settings are new, the host with the smallest id forms
/// the log; all of them must be up once for that. A host whose folder is new while a log exists waits until an operator
/// admits it (`change_voters`: add_learner, then promote).
#pragma once

#include <memory>

#include "kernel/kernel.h"
#include "model/raft_messages.h"
#include "model/settings.h"

namespace heatherdeck {

class consensus_service : public service {
 public:
  /// @param s uses id, mesh_listen, data_folder, control_hosts, heartbeat, election_timeout and seed.
  /// @return `bad_settings` when data_folder is missing.
  static result<std::unique_ptr<consensus_service>> make(const settings& s);

  ~consensus_service() override;
  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  /// @return term, role, leader, commit, peers' match, lease, store id, links and store figures.
  boost::json::value dump() const override;

 private:
  struct task;
  explicit consensus_service(const settings& s);

  settings settings_;
  std::shared_ptr<task> task_;
};

}  // namespace heatherdeck

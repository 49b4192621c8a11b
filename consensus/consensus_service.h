/// @file
/// The service "consensus" of a control host: replicates a log of commands with Raft.
///
/// It owns the Raft state machine (`raft_core`), the log store on disk and the links to the other control hosts. Other
/// services send it `consensus_message`: propose a command, confirm a linearizable read, query the status, change the
/// membership. It sends committed entries to the service "ledger" in log order, each exactly once between two
/// `install_ledger_image` messages, which replace the ledger's state by a snapshot.
///
///     BOOST_LEAF_AUTO(made, consensus_service::make(settings));
///     BOOST_LEAF_CHECK(k.add(std::move(made)));
///     ...
///     auto consensus = *k.find<consensus_message>("consensus");
///     auto done = co_await ask<committed_position>(timers, executor, consensus, 3s, [&](reply<committed_position> r) {
///       return propose_command{payload, std::move(r)};
///     });
///
/// Bootstrap (setting `form_log`): when the data folders of all control hosts in the settings are empty, the host with
/// the smallest id creates the log; all of these hosts must be running at that time. A host that starts with an empty
/// data folder while a log exists waits until it is added: by an operator (`change_membership`: add_learner, then
/// promote), or by the leader when the settings list `founders` (see `raft_config::automatic_membership`).
#pragma once

#include <memory>

#include "kernel/kernel.h"
#include "model/raft_messages.h"
#include "model/settings.h"

namespace heatherdeck {

class consensus_service : public service {
 public:
  /// @param s the fields read are id, mesh_listen, data_folder, control_hosts, founders, form_log, tolerated_losses,
  ///     heartbeat, election_timeout and seed.
  /// @return `bad_settings` when data_folder is empty.
  static result<std::unique_ptr<consensus_service>> make(const settings& s);

  ~consensus_service() override;
  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  /// @return store id, role, term, leader, lease, log indexes, members, replication progress of the peers, and counters
  ///     of the links to them.
  boost::json::value dump() const override;

 private:
  struct task;
  explicit consensus_service(const settings& s);

  settings settings_;
  std::shared_ptr<task> task_;
};

}  // namespace heatherdeck

/// @file
/// The task behind the service "consensus": the only owner of the Raft state machine. Internal to consensus/.
///
/// Every input arrives in one mailbox of `consensus_input`. Helper coroutines (for requests of other services, incoming
/// streams, the log writer and deliveries to the ledger) send to that mailbox and share no state with the task.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/json/object.hpp>

#include "consensus/consensus_service.h"
#include "consensus/log_writer.h"
#include "consensus/peer_link.h"
#include "consensus/raft_core.h"
#include "model/ledger_messages.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

/// The log writer has finished a batch: the batch's last ticket, or the error that stopped the store.
struct batch_written {
  outcome<std::uint64_t> ticket;
};

/// The ledger's mailbox has accepted one message.
struct delivered {};

/// The ledger's encoded state, requested for a snapshot.
struct image_received {
  outcome<ledger_image> image;
};

using consensus_input =
    std::variant<consensus_message, message_received, timer_expired, batch_written, delivered, image_received>;

struct consensus_service::task : std::enable_shared_from_this<consensus_service::task> {
  /// The kernel and the addresses of the services that the task sends to.
  struct environment {
    kernel* owner = nullptr;
    address<mesh_message> mesh;
    address<ledger_message> ledger;
  };

  explicit task(executor_type executor);

  /// Opens the log store, restores the stored state and spawns the coroutines.
  result<void> start(const settings& s, environment env);
  void stop();
  /// @return the object for the service's dump.
  boost::json::object describe() const;

  mailbox<consensus_message> requests;  ///< from other services on this host
  mailbox<incoming_stream> streams;     ///< opened by other control hosts

 private:
  awaitable<void> run();
  awaitable<void> forward_requests();
  awaitable<void> accept_streams();
  static awaitable<void> read_stream(incoming_stream incoming, address<consensus_input> to);
  static awaitable<void> deliver(address<ledger_message> ledger, ledger_message message, address<consensus_input> to);
  static awaitable<void> fetch_image(timer_service& timers, executor_type executor, address<ledger_message> ledger,
                                     address<consensus_input> to);

  void handle(consensus_message message);
  void handle(message_received message);
  void handle(timer_expired message);
  void handle(batch_written message);
  void handle(delivered message);
  void handle(image_received message);

  void on_request(propose_command request);
  void on_request(forward_command request);
  void on_request(confirm_read request);
  void on_request(get_consensus_status request);
  void on_request(change_membership request);
  void on_request(const directory_changed& view);

  void step(raft_event event);
  void execute(persist_state action);
  void execute(send_message action);
  void execute(apply_committed action);
  void execute(restore_state action);
  void execute(answer_proposal action);
  void execute(answer_read action);
  void execute(halt action);

  void write_next_batch();
  void deliver_next();
  void take_snapshot_if_due();
  void arm_timer();
  void stop_process(const error& reason);
  void log_role_change();
  peer_link* link_to(const std::string& host_id);

  executor_type executor_;
  environment environment_;
  std::string host_id_;
  std::uint64_t seed_ = 1;
  std::vector<raft_member> founders_;          ///< control hosts in the settings, sorted by id
  std::vector<raft_member> discovered_hosts_;  ///< other control hosts in the membership directory
  mailbox<consensus_input> inbox_;
  std::optional<raft_core> core_;
  posix_file_system file_system_;
  std::unique_ptr<log_writer> writer_;
  std::vector<persist_state> unwritten_;    ///< next batch for the log writer
  bool writing_ = false;                    ///< a batch is with the log writer
  std::deque<ledger_message> undelivered_;  ///< messages for the ledger, in log order
  bool delivering_ = false;                 ///< a message is being sent to the ledger
  std::uint64_t entries_since_snapshot_ = 0;
  std::uint64_t bytes_since_snapshot_ = 0;
  bool fetching_image_ = false;
  std::map<std::string, std::unique_ptr<peer_link>> links_;
  std::map<std::string, time_point> unanswered_since_;  ///< per peer: time of the first message since its last answer
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, reply<committed_position>> proposals_;  ///< pending, by request id
  std::map<std::uint64_t, reply<std::uint64_t>> reads_;           ///< pending, by request id
  subscription timer_;
  time_point armed_deadline_{};  ///< deadline for which timer_ is set
  raft_role logged_role_ = raft_role::learner;
  std::uint64_t logged_term_ = 0;
  std::string logged_leader_;
  std::string store_id_;
  std::optional<error> failure_;  ///< set once the store has failed or the core has halted; the process then stops
  bool stopped_ = false;
};

}  // namespace heatherdeck

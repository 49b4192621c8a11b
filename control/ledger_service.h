/// @file
/// Service "ledger": owns the replicated state of a control host.
///
/// It proposes commands through the "consensus" service, applies committed entries in log order, answers a command once
/// its entry has been applied on this host, passes departures of targets to the leader, and posts document_changed to
/// those of "publisher", "rollout" and "operators" that run in the same process. Other services send it the messages in
/// model/ledger_messages.h:
///
///     BOOST_LEAF_AUTO(ledger, k.find<ledger_message>(to_name(service_name::ledger)));
///     outcome<command_result> answer = co_await ask<command_result>(timers, executor, ledger, 5s, make_submit);
///
/// `unknown_outcome` means that the change may still be accepted; a resend with the same id returns the first answer.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/ledger.h"
#include "kernel/kernel.h"
#include "model/ledger_messages.h"
#include "model/operators_messages.h"
#include "model/publisher_messages.h"
#include "model/rollout_messages.h"
#include "model/settings.h"

namespace heatherdeck {

class ledger_service : public service {
 public:
  /// Time limit for the consensus service to answer a proposal or a read confirmation.
  static constexpr std::chrono::seconds propose_timeout{5};
  static constexpr std::size_t mailbox_capacity = 1024;
  static constexpr std::size_t max_proposals = 256;        ///< proposed and not yet known to be committed
  static constexpr std::size_t max_recent_answers = 1024;  ///< see recent_
  static constexpr std::size_t max_pending_departures = 1024;

  /// @param s uses epoch.
  static result<std::unique_ptr<service>> make(const settings& s);

  std::string_view name() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  // A command whose answer is pending. `change` is set for submissions only; other commands have no operator and id.
  struct pending_command {
    std::optional<submission> change;
    reply<command_result> answer;
  };
  struct pending_departure {
    submit_departure request;
    time_point since;
  };

  explicit ledger_service(std::uint64_t epoch) : epoch_(epoch), state_(epoch) {}

  awaitable<void> run();
  void handle(submit message);
  void handle(propose_system_command message);
  void handle(get_document message);
  void handle(find_submission message);
  void handle(submit_departure message);
  void handle(get_departures message);
  awaitable<void> apply_all(apply_entries message);
  void handle(install_ledger_image message);
  void handle(get_applied_index message);
  void handle(get_ledger_image message);
  void handle(proposal_finished message);
  void handle(read_confirmed message);

  void propose(const ledger_command& command, pending_command pending);
  void apply(const log_entry& entry);
  void answer_applied(std::uint64_t index, const command_result& answer);
  void answer_skipped();
  void answer_from_store(const pending_command& pending, const error& otherwise);
  void answer_reads();
  void answer_departures();
  void notify_document_changed();
  template <class Message, class Change>
  void deliver(const address<Message>& target, const Change& change);
  void fail_process(const char* event, const error& e);

  std::uint64_t epoch_;
  ledger state_;
  document_state_ptr document_ = std::make_shared<const document_state>();
  std::uint64_t next_proposal_id_ = 1;
  std::map<std::uint64_t, pending_command> proposed_;              // by proposal id; not yet known to be committed
  std::multimap<std::uint64_t, pending_command> committed_;        // by log index; committed, not yet applied here
  std::multimap<std::uint64_t, reply<document_state_ptr>> reads_;  // by the log index that must be applied first
  // Answers of the last applied entries with their log indices, for commands whose commit is reported after the entry
  // was applied.
  std::deque<std::pair<std::uint64_t, command_result>> recent_;

  std::vector<pending_departure> pending_departures_;  // not yet applied here

  kernel* kernel_ = nullptr;
  std::optional<mailbox<ledger_message>> inbox_;
  address<consensus_message> consensus_;
  address<publisher_message> publisher_;
  address<permits_message> permits_;
  address<rollout_message> rollout_;
  address<operators_message> operators_;
};

}  // namespace heatherdeck

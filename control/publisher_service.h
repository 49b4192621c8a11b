/// @file
/// Service "publisher" of a control host: serves the subscriptions of nodes to the document.
///
/// Uses the services "ledger" (returns confirmed states on request and posts document_changed to this service),
/// "consensus" (reports whether there is a quorum), "rollout" (receives the evidence that nodes report) and "permits"
/// (receives and answers their requests for permits). Publishes
/// address<publisher_message> and address<incoming_stream> (stream_kind::subscribe).
///
/// One task owns the core and makes all decisions. Each subscription has a task that owns its stream
/// (control/subscription_task.h).
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/publisher_core.h"
#include "kernel/kernel.h"
#include "model/rollout_messages.h"
#include "model/settings.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

class publisher_service : public service {
 public:
  /// @param s uses keepalive and seed.
  static result<std::unique_ptr<service>> make(const settings& s);

  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  struct pending_wait {
    await_applied request;
    time_point received;
  };

  explicit publisher_service(const settings& s);

  awaitable<void> run();
  awaitable<void> accept_streams();
  awaitable<void> ask_confirmation(std::vector<std::string> hosts);
  awaitable<void> record(std::uint64_t subscription, record_departure command, std::uint64_t report);
  awaitable<void> ask_host_state();

  void handle(publisher_tick&& m);
  void handle(document_changed&& m);
  void handle(get_subscribers&& m);
  void handle(await_applied&& m);
  void handle(subscription_opened&& m);
  void handle(subscription_message&& m);
  void handle(subscription_closed&& m);
  void handle(confirmation_finished&& m);
  void handle(confirmation_retry_due&& m);
  void handle(host_state_reported&& m);
  void handle(departure_recorded&& m);
  void on_node_message(std::uint64_t id, const subscribe_request& request);
  void on_node_message(std::uint64_t id, const applied_report& report);
  void on_node_message(std::uint64_t id, const refused_report& report);
  void on_node_message(std::uint64_t id, const evidence_report& report);
  void on_node_message(std::uint64_t id, const permit_request& request);
  void on_node_message(std::uint64_t id, const departure_report& report);

  void offer_document(document_state_ptr state);
  void send(const publisher_core::offer& offer);
  void send_departures(std::uint64_t id, const host_departures& departures);
  void send(const std::vector<publisher_core::offer>& offers);
  void reset_stalled();
  void end_stream(std::uint64_t id);
  void reset_stream(std::uint64_t id);
  void forget_stream(std::uint64_t id);
  void begin_confirmation();
  void answer_waits();

  const settings settings_;
  kernel* kernel_ = nullptr;
  publisher_core core_;
  std::unique_ptr<mailbox<publisher_message>> inbox_;
  std::unique_ptr<mailbox<incoming_stream>> streams_;
  address<ledger_message> ledger_;
  address<consensus_message> consensus_;
  address<rollout_message> rollout_;
  address<permits_message> permits_;
  subscription tick_;
  subscription confirmation_retry_;
  std::map<std::uint64_t, address<shared_frame>> outgoing_;
  std::map<std::uint64_t, address<reset_subscription>> resets_;
  std::map<std::uint64_t, subscribe_request> peers_;  ///< node of each subscription, for evidence and logs
  std::vector<std::uint64_t> queued_confirmations_;   ///< subscriptions waiting for the next confirmation
  std::vector<std::uint64_t> running_confirmations_;  ///< subscriptions waiting for the confirmation under way
  std::vector<pending_wait> pending_waits_;
  std::shared_ptr<const control_message> encoded_message_;  ///< message that encoded_ holds
  shared_frame encoded_;
  std::uint64_t next_id_ = 1;
  std::uint64_t refused_busy_ = 0;  ///< subscriptions answered with a busy notice
  bool confirming_ = false;
  std::uint64_t reported_commit_index_ = 0;  ///< of the last host_state_reported
  bool quorum_ = false;                      ///< this host has a quorum, and its document is current
};

}  // namespace heatherdeck

/// @file
/// The service "permits" of a control host: grants the nodes that subscribe to this host permits of the fleet-wide rate
/// limit, and lends to and borrows from the other control hosts. It runs permit_granter, which decides.
///
/// Uses the services "mesh" (streams to other control hosts) and "consensus" (number of voters). It gets limits_changed
/// from "ledger" and permits_requested from "publisher". Publishes address<permits_message> and
/// address<incoming_stream> (stream_kind::loan).
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/loan_link.h"
#include "control/permit_granter.h"
#include "kernel/kernel.h"
#include "model/settings.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

class permits_service : public service {
 public:
  /// @param s uses id.
  static result<std::unique_ptr<permits_service>> make(const settings& s);

  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  explicit permits_service(std::string own_id) : own_id_(std::move(own_id)) {}

  awaitable<void> run();
  awaitable<void> accept_streams();
  awaitable<void> ask_membership();

  void handle(permits_tick&& m);
  void handle(loans_due&&) {}  // loans are sent after every message
  void handle(limits_changed&& m);
  void handle(permits_requested&& m);
  void handle(loan_requested&& m);
  void handle(loan_answered&& m);
  void handle(membership_reported&& m);
  void connect_peers(const consensus_status& status);
  void send_loan_requests();
  void publish_metrics();

  std::string own_id_;
  kernel* kernel_ = nullptr;
  permit_granter core_;
  std::unique_ptr<mailbox<permits_message>> inbox_;
  std::unique_ptr<mailbox<incoming_stream>> streams_;
  address<mesh_message> mesh_;
  address<consensus_message> consensus_;
  std::map<std::string, std::unique_ptr<loan_link>> links_;  ///< by host id
  subscription tick_;
  subscription loan_timer_;
  std::optional<time_point> loans_due_at_;  ///< of `loan_timer_`
  bool granting_ = false;                   ///< as last logged
  std::uint64_t answers_dropped_ = 0;
  permit_counters published_;  ///< totals that the metrics show
};

}  // namespace heatherdeck

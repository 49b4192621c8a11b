/// @file
/// The service "traffic": the task that owns traffic_core. It passes messages from its mailbox and timer ticks to the
/// core, answers picks, and sends evidence to the service "subscriber" once a second.
///
///     BOOST_LEAF_AUTO(traffic, traffic_service::make(settings));
///     BOOST_LEAF_CHECK(k.add(std::move(traffic)));
///     ...
///     auto inbox = k.find<traffic_message>(to_name(service_name::traffic));
///     auto answer = co_await ask<pick_result>(timers, executor, inbox, 1s, make_pick);
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "kernel/kernel.h"
#include "model/publisher_messages.h"
#include "model/settings.h"
#include "model/traffic_messages.h"
#include "traffic/traffic_core.h"

namespace heatherdeck {

class traffic_service : public service {
 public:
  /// @param own supplies node id, availability zone, region and seed; a seed of 0 means a random one.
  /// @return the service, or `bad_settings` when id or availability zone is missing.
  static result<std::unique_ptr<traffic_service>> make(const settings& own);

  std::string_view name() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  explicit traffic_service(traffic_identity identity) : core_(std::move(identity)) {}
  awaitable<void> run();
  void handle(traffic_message message);
  void on_pick(time_point now, pick_upstream request);
  void on_statement(time_point now, const upstream_stated& stated);
  void tick(time_point now);
  void log_accounts(const compiled_document& document);
  void log_unauthenticated();
  void arm_answer_timer(time_point now);

  kernel* kernel_ = nullptr;
  traffic_core core_;
  std::map<std::uint64_t, reply<pick_result>> waiting_;  ///< picks that wait for a slot, by waiter id
  std::uint64_t next_waiter_id_ = 1;
  std::unique_ptr<mailbox<traffic_message>> inbox_;
  address<subscriber_message> subscriber_;
  address<announcement_notice> announcements_;
  address<quarantine_message> quarantine_;
  subscription ticks_;
  subscription answer_timer_;
  std::optional<time_point> answers_due_;  ///< of `answer_timer_`
  milliseconds evidence_period_ = compiled_document::max_evidence_period;
  time_point evidence_taken_at_{};
  traffic_counters logged_;  ///< counters of requests without a valid key that the log has reported
  std::size_t accounts_in_force_ = 0;
  std::size_t keys_in_force_ = 0;
  std::uint64_t evidence_dropped_ = 0;            ///< reports dropped because the subscriber's mailbox was full
  std::uint64_t quarantine_reports_dropped_ = 0;  ///< likewise, of "quarantine"
};

}  // namespace heatherdeck

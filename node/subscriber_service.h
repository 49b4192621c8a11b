/// @file
/// The service "subscriber" of a node: holds the accepted document and keeps it up to date.
///
/// Keeps one stream to a control host, chosen by subscriber_core, which also decides on every received message. While
/// no host responds, attempts to reach several of them are under way at a time (source_race).
/// Requires the services "mesh" (opens streams to control hosts) and "traffic" (receives each accepted document).
/// Publishes address<subscriber_message>: "traffic" posts its evidence reports there and "announcements" the departures
/// to record, which go to the control host on the same stream, and "directory" posts the list of members. Not ready
/// until the first document has been accepted. "announcements", if it runs in the process, gets the recorded departures
/// before "traffic" gets the first document.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "model/publisher_messages.h"
#include "model/settings.h"
#include "model/traffic_messages.h"
#include "node/departure_reporter.h"
#include "node/source_race.h"
#include "node/subscriber_core.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

class subscriber_service : public service {
 public:
  static result<std::unique_ptr<service>> make(const settings& s);

  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  bool ready() const override { return core_.has_document(); }
  boost::json::value dump() const override;

 private:
  /// The first attempt of the next race.
  struct planned_attempt {
    subscriber_core::attempt host;
    time_point due;
  };

  explicit subscriber_service(const settings& s) : core_(subscriber_core::make(s)) {}

  awaitable<void> run();
  awaitable<void> connect(std::string mesh_address, std::uint64_t generation);

  awaitable<void> handle(subscriber_tick m);
  awaitable<void> handle(directory_changed m);
  awaitable<void> handle(send_evidence m);
  awaitable<void> handle(source_frame m);
  awaitable<void> handle(source_closed m);
  awaitable<void> handle(source_opened m);
  awaitable<void> handle(send_permit_request m);
  awaitable<void> handle(report_departure m);
  awaitable<bool> pass_on(const control_message& message);
  awaitable<void> confirm_departures(std::vector<target_departure> departures);
  void on_receipt(const departure_receipt& receipt);
  void expire_reports();
  awaitable<void> write(node_message message);
  void disconnect(const std::string& reason, std::optional<milliseconds> retry_after);
  void schedule_attempt(std::optional<milliseconds> retry_after);
  void begin_due_attempts(time_point now);
  void begin_attempt(const subscriber_core::attempt& next);
  std::optional<time_point> next_deadline() const;
  void arm_wake_timer();

  kernel* kernel_ = nullptr;
  subscriber_core core_;
  std::unique_ptr<mailbox<subscriber_message>> inbox_;
  address<mesh_message> mesh_;
  address<traffic_message> traffic_;
  address<announcement_notice> announcements_;
  std::shared_ptr<h2_stream> stream_;    ///< shared with the coroutine that reads it; null when not subscribed
  std::string stream_address_;           ///< mesh address of its control host
  std::uint64_t generation_ = 0;         ///< number of the last connection attempt
  std::uint64_t stream_generation_ = 0;  ///< number of the attempt that led to stream_; 0 when not subscribed
  std::optional<planned_attempt> first_attempt_;
  source_race race_;
  departure_reporter departures_;
  std::map<std::uint64_t, reply<duration>> departure_answers_;  ///< by the id of the report
  bool departures_confirmed_ = false;                           ///< "announcements" has got the recorded departures
  subscription tick_;
  subscription wake_;
  std::optional<time_point> armed_deadline_;  ///< of `wake_`
};

}  // namespace heatherdeck

/// @file
/// The service "subscriber" of a node: holds the accepted document and keeps it current.
///
/// Finds: "mesh" (streams to control hosts), "traffic" (is given each document), both required. Publishes
/// address<subscriber_message>; "traffic" posts evidence there, which goes to the control host on the same stream.
/// Not ready until the first confirmed document is in force.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "model/publisher_messages.h"
#include "model/settings.h"
#include "model/traffic_messages.h"
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
  explicit subscriber_service(const settings& s) : core_(subscriber_core::make(s)) {}

  awaitable<void> run();
  awaitable<void> connect(subscriber_core::attempt next, std::uint64_t generation);

  awaitable<void> handle(subscriber_tick m);
  awaitable<void> handle(directory_view m);
  awaitable<void> handle(send_evidence m);
  awaitable<void> handle(source_frame m);
  awaitable<void> handle(source_closed m);
  awaitable<void> handle(source_opened m);
  awaitable<void> handle(source_due m);
  awaitable<void> write(node_message message);
  void leave(const std::string& reason, std::optional<milliseconds> retry_after);
  void schedule_attempt(std::optional<milliseconds> retry_after);

  kernel* kernel_ = nullptr;
  subscriber_core core_;
  std::unique_ptr<mailbox<subscriber_message>> inbox_;
  address<mesh_message> mesh_;
  address<traffic_message> traffic_;
  std::shared_ptr<h2_stream> stream_;  ///< shared with the task that reads it; null when not subscribed
  std::uint64_t generation_ = 0;       ///< number of the present attempt
  subscription tick_;
  subscription retry_;
};

}  // namespace heatherdeck

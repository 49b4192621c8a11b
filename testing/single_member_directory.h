/// @file
/// A directory with one member, this process, which has at most one endpoint: it returns each `local_endpoint_changed`
/// to the traffic service, and confirms departures.
///
///     ASSERT_TRUE(k.add(std::make_unique<single_member_directory>()));
#pragma once

#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/kernel.h"
#include "model/service_names.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

class single_member_directory : public service {
 public:
  std::string_view name() const override { return to_name(service_name::directory); }
  void publish(kernel& k) override {
    inbox_ = std::make_unique<mailbox<directory_message>>(k.executor(), 16);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    BOOST_LEAF_ASSIGN(traffic_, k.find<traffic_message>(to_name(service_name::traffic)));
    boost::asio::co_spawn(k.executor(), serve(), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

 private:
  awaitable<void> serve() {
    for (;;) {
      auto message = co_await inbox_->receive();
      if (!message) co_return;
      if (const auto* asked = std::get_if<keep_departure>(&*message)) asked->answer(0);
      const auto* changed = std::get_if<local_endpoint_changed>(&*message);
      if (changed == nullptr) continue;
      member_record own{.node_id = "n1", .availability_zone = "dar-1", .region = "dar"};
      own.endpoints = {changed->endpoint};
      traffic_.post(directory_changed{std::make_shared<const std::vector<member_record>>(1, std::move(own))});
    }
  }

  std::unique_ptr<mailbox<directory_message>> inbox_;
  address<traffic_message> traffic_;
};

}  // namespace heatherdeck

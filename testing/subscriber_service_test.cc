// The service "subscriber" beside a mesh that records its requests.
#include "node/subscriber_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "model/service_names.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

/// A service whose messages are counted and dropped.
template <class Message>
class counting_service : public service {
 public:
  explicit counting_service(service_name name) : name_(to_name(name)) {}

  std::string_view name() const override { return name_; }
  void publish(kernel& k) override {
    inbox_ = std::make_unique<mailbox<Message>>(k.executor(), 1024);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    boost::asio::co_spawn(k.executor(), count_messages(), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

  std::size_t count = 0;

 private:
  awaitable<void> count_messages() {
    while (true) {
      const auto message = co_await inbox_->receive();
      if (!message) co_return;
      ++count;
    }
  }

  std::string_view name_;
  std::unique_ptr<mailbox<Message>> inbox_;
};

settings node_settings() {
  settings s;
  s.id = "n1";
  s.availability_zone = "dar-1";
  s.region = "dar";
  s.seed = 1;
  s.control_hosts.push_back({"c1", "dar-1", "dar", "127.0.0.1:1", {}});
  return s;
}

// Guards against a node that never looks for a control host again because the message of a timer met a full mailbox.
TEST(subscriber_service, attempt_begins_although_its_timer_met_a_full_mailbox) {
  kernel k;
  auto mesh = std::make_unique<counting_service<mesh_message>>(service_name::mesh);
  const auto* requests = mesh.get();
  ASSERT_TRUE(capture([&] { return k.add(std::move(mesh)); }));
  ASSERT_TRUE(
      capture([&] { return k.add(std::make_unique<counting_service<traffic_message>>(service_name::traffic)); }));
  ASSERT_TRUE(capture([&]() -> result<void> {
    BOOST_LEAF_AUTO(made, subscriber_service::make(node_settings()));
    return k.add(std::move(made));
  }));
  ASSERT_TRUE(capture([&] { return k.start(); }));
  const auto inbox = capture([&] { return k.find<subscriber_message>(to_name(service_name::subscriber)); });
  const time_point flood_end = timer_service::now() + 700ms;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        while (timer_service::now() < flood_end) {
          while (inbox->post(send_evidence{})) {
          }
          co_await boost::asio::post(k.executor(), boost::asio::use_awaitable);
        }
      },
      boost::asio::detached);
  k.io().run_until(flood_end);
  EXPECT_EQ(requests->count, 0U) << "the mailbox was not full when the timer was due";
  // The next periodic tick, and a little for a busy machine.
  const time_point limit = flood_end + 5s;
  while (requests->count == 0 && timer_service::now() < limit) k.io().run_one_for(10ms);
  EXPECT_GT(requests->count, 0U);
}

}  // namespace
}  // namespace heatherdeck

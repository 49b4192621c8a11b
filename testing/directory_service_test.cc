// Tests the directory service over loopback UDP: members discover each other, a drain is propagated, and datagrams that
// are signed with another key are rejected.
#include "node/directory_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json/array.hpp>
#include <gtest/gtest.h>

#include "model/service_names.h"
#include "model/traffic_messages.h"
#include "wire/codec.h"
#include "wire/datagram_socket.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

std::string free_address() {
  boost::asio::io_context io;
  boost::asio::ip::udp::socket socket(io, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

// Replaces the service "traffic" and keeps the last list of members that was posted to it.
class fake_traffic : public service {
 public:
  std::string_view name() const override { return to_name(service_name::traffic); }
  void publish(kernel& k) override {
    inbox_ = std::make_shared<mailbox<traffic_message>>(k.executor(), 16);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    boost::asio::co_spawn(
        k.executor(),
        [this, inbox = inbox_]() -> awaitable<void> {
          while (true) {
            auto message = co_await inbox->receive();
            if (!message) co_return;
            latest_members = std::get<directory_changed>(*message).members;
          }
        },
        boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

  member_list_ptr latest_members = std::make_shared<std::vector<member_record>>();

 private:
  std::shared_ptr<mailbox<traffic_message>> inbox_;
};

struct process {
  kernel k;
  fake_traffic* traffic = nullptr;
  directory_service* directory = nullptr;
  address<directory_message> inbox;

  process(const std::string& id, const std::string& listen, const std::string& seed, const std::string& key) {
    settings s;
    s.id = id;
    s.is_node = true;
    s.availability_zone = "dar-1";
    s.region = "dar";
    s.mesh_key = key;
    s.mesh_listen = listen;
    s.seeds = {seed};
    s.seed = 5;
    auto made = capture([&] { return directory_service::make(s); });
    directory = made->get();
    auto fake = std::make_unique<fake_traffic>();
    traffic = fake.get();
    EXPECT_TRUE(k.add(std::move(*made)));
    EXPECT_TRUE(k.add(std::move(fake)));
    EXPECT_TRUE(capture([&] { return k.start(); }));
    inbox = *capture([&] { return k.find<directory_message>(to_name(service_name::directory)); });
  }
};

bool run_until(const std::vector<std::unique_ptr<process>>& processes, const std::function<bool()>& done,
               duration limit) {
  const time_point until = timer_service::now() + limit;
  while (!done() && timer_service::now() < until) {
    for (const auto& p : processes) p->k.io().run_one_for(1ms);
  }
  return done();
}

bool all_have_member(const std::vector<std::unique_ptr<process>>& processes,
                     const std::function<bool(const member_record&)>& matches) {
  for (const auto& p : processes) {
    if (std::none_of(p->traffic->latest_members->begin(), p->traffic->latest_members->end(), matches)) return false;
  }
  return true;
}

TEST(directory_service, members_discover_each_other_and_learn_of_endpoints_drain_and_leave) {
  const std::string seed = free_address();
  std::vector<std::unique_ptr<process>> all;
  all.push_back(std::make_unique<process>("n0", seed, seed, "key"));
  for (int i = 1; i < 4; ++i)
    all.push_back(std::make_unique<process>("n" + std::to_string(i), free_address(), seed, "key"));
  EXPECT_TRUE(run_until(
      all,
      [&] {
        return std::all_of(all.begin(), all.end(),
                           [](const auto& p) { return p->traffic->latest_members->size() == 4; });
      },
      10s));

  all[2]->inbox.post(local_endpoint_changed{{"certdesk", "v2", "up", "127.0.0.1:9", upstream_state::ready, 20, 130}});
  EXPECT_TRUE(run_until(
      all,
      [&] {
        return all_have_member(all,
                               [](const member_record& m) { return m.node_id == "n2" && m.endpoints.size() == 1; });
      },
      5s));
  all[2]->inbox.post(announce_draining{});
  EXPECT_TRUE(run_until(
      all, [&] { return all_have_member(all, [](const member_record& m) { return m.node_id == "n2" && m.draining; }); },
      5s));

  boost::asio::co_spawn(all[3]->k.io(), all[3]->directory->drain(), boost::asio::detached);
  EXPECT_TRUE(run_until(
      all, [&] { return all[0]->traffic->latest_members->size() == 3; }, 5s));
}

// A process without the mesh key must not be able to add a member or to read the list of members.
TEST(directory_service, datagrams_signed_with_another_key_are_rejected) {
  const std::string seed = free_address();
  std::vector<std::unique_ptr<process>> all;
  all.push_back(std::make_unique<process>("n0", seed, seed, "key"));
  all.push_back(std::make_unique<process>("n1", free_address(), seed, "other"));
  const auto refused = [&] {
    return all[0]->k.dump().at("services").at("directory").at("datagrams_refused").to_number<int>();
  };
  EXPECT_TRUE(run_until(
      all, [&] { return refused() >= 3; }, 10s));
  EXPECT_EQ(all[0]->traffic->latest_members->size(), 1U);
  EXPECT_EQ(all[1]->traffic->latest_members->size(), 1U);
}

TEST(datagram_socket, oversized_payloads_are_dropped_and_unauthenticated_datagrams_counted) {
  kernel k;
  const auto make = [&] {
    return std::move(*capture([&] { return datagram_socket::make(k.executor(), "127.0.0.1:0", "k"); }));
  };
  const std::unique_ptr<datagram_socket> left = make();
  const std::unique_ptr<datagram_socket> right = make();
  const std::string to = "127.0.0.1:" + std::to_string(right->port());
  left->send(to, std::string(max_datagram_bytes - datagram_mac_bytes + 1, 'x'));
  EXPECT_EQ(left->counts().dropped, 1U);
  boost::asio::ip::udp::socket raw(k.io(), {boost::asio::ip::address_v4::loopback(), 0});
  for (const std::size_t size : {1UL, 16UL, 17UL, 1'200UL, 1'400UL}) {
    raw.send_to(boost::asio::buffer(std::string(size, 'g')), {boost::asio::ip::address_v4::loopback(), right->port()});
  }
  left->send(to, std::string(max_datagram_bytes - datagram_mac_bytes, 'y'));
  outcome<datagram> got;
  boost::asio::co_spawn(
      k.io(), [&]() -> awaitable<void> { got = co_await right->receive(); }, boost::asio::detached);
  k.io().run_for(5s);
  ASSERT_TRUE(got);
  EXPECT_EQ(got->payload.size(), max_datagram_bytes - datagram_mac_bytes);
  EXPECT_EQ(right->counts().refused, 5U);
}

}  // namespace
}  // namespace heatherdeck

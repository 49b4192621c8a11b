// Tests that a target which has left stays away when the process of its host is started again: the departure is kept by
// other members, on a simulated network and with the services "announcements" and "directory" of several processes.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "model/service_names.h"
#include "node/announcement_service.h"
#include "node/directory_service.h"
#include "testing/directory_network.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t first_seed = 300;
constexpr std::uint64_t seed_count = 40;
constexpr std::size_t member_count = 22;
const std::string restarted_host = "10.n1010";
const target_departure departure{"i-1", {100, 7}};

/// Starts members in three regions; the first three are the seeds.
void add_members(directory_network& net) {
  std::vector<member_record> records;
  for (std::size_t i = 0; i < member_count; ++i) {
    const std::string region = i % 3 == 0 ? "dar" : i % 3 == 1 ? "mwanza" : "kigoma";
    records.push_back(directory_network::make_record("n" + std::to_string(1000 + i), region + "-1", region));
    if (i < 3) net.seeds.push_back(records.back().mesh_address);
  }
  for (const member_record& record : records) net.start(record);
  net.fill_tables();
  net.run_for(10s);
}

/// Lets the host record the departure. @return whether other members have confirmed it.
bool keep(directory_network& net) {
  net.apply(restarted_host, [&](directory_core& core) { return core.keep_departure(net.now, departure, 1); });
  const auto& decided = net.processes()[restarted_host].decided_departures;
  net.time_until([&] { return !decided.empty(); }, 2s);
  return !decided.empty() && decided.front().kept;
}

void start_again(directory_network& net) {
  net.run_for(300ms);
  member_record self = net.processes()[restarted_host].self;
  self.incarnation += 1000;
  self.endpoints.clear();
  net.start(self);
}

bool has_adopted(directory_network& net) {
  const auto& adopted = net.processes()[restarted_host].adopted_departures;
  return std::find(adopted.begin(), adopted.end(), departure) != adopted.end();
}

// What a process has acknowledged must reach the next process of its host, even if both the process and a seed end at
// that moment and datagrams are lost.
TEST(departure, reaches_the_next_process_of_the_host) {
  std::uint64_t kept_count = 0;
  for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
    directory_network net(seed);
    add_members(net);
    net.loss_ratio = 0.05;
    if (!keep(net)) continue;
    ++kept_count;
    net.stop(restarted_host);
    net.stop("10.n1000");
    start_again(net);
    EXPECT_LT(net.time_until([&] { return has_adopted(net); }, 5s), 2s) << "seed " << seed;
    EXPECT_TRUE(has_adopted(net)) << "seed " << seed;
    EXPECT_EQ(net.oversized_datagrams, 0U);
  }
  EXPECT_GE(kept_count, seed_count * 9 / 10) << "lost datagrams must not leave departures without a confirmation";
}

// A second restart must not lose what the first one had taken over, and a departure that is already known is confirmed
// at once.
TEST(departure, outlasts_several_restarts) {
  directory_network net(first_seed);
  add_members(net);
  ASSERT_TRUE(keep(net));
  for (int restart = 0; restart < 3; ++restart) {
    net.stop(restarted_host);
    start_again(net);
    net.time_until([&] { return has_adopted(net); }, 5s);
    EXPECT_TRUE(has_adopted(net)) << restart;
    EXPECT_TRUE(keep(net)) << restart;
  }
}

// A process that nobody hears must not report a departure as kept.
TEST(departure, is_not_kept_by_a_host_that_is_cut_off) {
  directory_network net(first_seed);
  add_members(net);
  net.partitioned = [](const member_record& a, const member_record& b) {
    return (a.mesh_address == restarted_host) != (b.mesh_address == restarted_host);
  };
  EXPECT_FALSE(keep(net));
  EXPECT_EQ(net.processes()[restarted_host].decided_departures.size(), 1U);
  net.partitioned = nullptr;
  net.processes()[restarted_host].decided_departures.clear();
  EXPECT_TRUE(keep(net)) << "the same request is confirmed after the partition";
}

// Otherwise the records of all members would grow with each target that has ever left.
TEST(departure, is_discarded_after_a_minute_and_does_not_come_back_from_other_members) {
  directory_network net(first_seed);
  add_members(net);
  ASSERT_TRUE(keep(net));
  net.run_for(departure_retention);
  net.apply(restarted_host, [&](directory_core& core) { return core.set_draining(net.now); });
  net.run_for(30s);
  for (const auto& [address, process] : net.processes()) {
    const member_record_ptr record = process.core->table().find("n1010");
    ASSERT_TRUE(record);
    EXPECT_TRUE(record->draining);
    EXPECT_TRUE(record->departures.empty()) << address;
  }
}

std::string free_address() {
  boost::asio::io_context io;
  boost::asio::ip::udp::socket socket(io, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

/// A process with the services "directory" and "announcements".
struct node_process {
  kernel k;
  announcement_service* announcements = nullptr;
  directory_service* directory = nullptr;

  node_process(const std::string& id, const std::string& mesh_address, const std::string& seed) {
    settings s;
    s.id = id;
    s.is_node = true;
    s.availability_zone = "dar-1";
    s.region = "dar";
    s.mesh_key = "key";
    s.mesh_listen = mesh_address;
    s.seeds = {seed};
    s.seed = 5;
    s.upstream_listen = "127.0.0.1:0";
    s.announcement_period = 1500ms;
    auto directory_made = std::move(*capture([&] { return directory_service::make(s); }));
    directory = directory_made.get();
    auto announcements_made = std::move(*announcement_service::make(s));
    announcements = static_cast<announcement_service*>(announcements_made.get());
    EXPECT_TRUE(k.add(std::move(directory_made)));
    EXPECT_TRUE(k.add(std::move(announcements_made)));
    EXPECT_TRUE(capture([&] { return k.start(); }));
  }

  std::size_t members() const { return directory->dump().at("members").as_array().size(); }
  std::size_t targets() const { return announcements->dump().at("targets").as_object().size(); }
};

class departure_service : public testing::Test {
 protected:
  void SetUp() override {
    seed_address = free_address();
    host_address = free_address();
    others.push_back(std::make_unique<node_process>("n0", seed_address, seed_address));
    for (int i = 1; i < 3; ++i) {
      others.push_back(std::make_unique<node_process>("n" + std::to_string(i), free_address(), seed_address));
    }
    start_host();
  }

  void start_host() {
    host = std::make_unique<node_process>("n3", host_address, seed_address);
    EXPECT_TRUE(run_until([&] {
      return host->members() == 4 &&
             std::all_of(others.begin(), others.end(), [](const auto& p) { return p->members() == 4; });
    }));
  }

  /// Ends the process without a message, as a kill does.
  void kill_host() { host.reset(); }

  bool run_until(const std::function<bool()>& done, duration within = 10s) {
    const time_point limit = timer_service::now() + within;
    while (!done() && timer_service::now() < limit) {
      for (const auto& p : others) p->k.io().run_one_for(1ms);
      if (host) host->k.io().run_one_for(1ms);
    }
    return done();
  }

  /// Sends a request about the target to the process of its host. @return the status of the response.
  unsigned call(const std::string& method, const std::string& body) {
    unsigned status = 0;
    bool done = false;
    boost::asio::co_spawn(
        host->k.io(),
        [&]() -> awaitable<void> {
          const http_request request{.method = method, .path = "/v1/announcement/i-1", .body = body};
          const std::string address = "127.0.0.1:" + std::to_string(host->announcements->port());
          const auto response = co_await http_call(host->k.timers(), host->k.executor(), address, request, 5s);
          status = response ? response->status : 0;
          done = true;
        },
        boost::asio::detached);
    EXPECT_TRUE(run_until([&] { return done; }));
    return status;
  }

  unsigned announce(const std::string& state, std::uint64_t sequence, std::uint64_t born = 100) {
    return call("PUT", R"({"service":"certdesk","version":"v1","address":"127.0.0.1:9","slots":4,"state":")" + state +
                           R"(","born":)" + std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) + "}");
  }

  std::string seed_address;
  std::string host_address;
  std::vector<std::unique_ptr<node_process>> others;
  std::unique_ptr<node_process> host;
};

// A process that was started again used a target whose deregistration its predecessor had acknowledged, because the
// target's last announcement arrived late.
TEST_F(departure_service, target_that_has_left_is_not_used_by_a_process_that_is_started_again) {
  ASSERT_EQ(announce("ready", 4), 200U);
  EXPECT_EQ(host->targets(), 1U);
  ASSERT_EQ(call("DELETE", {}), 200U);
  kill_host();
  start_host();
  EXPECT_EQ(announce("ready", 5), 200U);
  EXPECT_EQ(host->targets(), 0U) << "sent before the deregistration";
  EXPECT_EQ(announce("ready", 1, 200), 200U);
  EXPECT_EQ(host->targets(), 1U) << "a new start under the same name";
}

// The same for a target that had only reported that it drains.
TEST_F(departure_service, draining_target_is_not_taken_for_ready_by_a_process_that_is_started_again) {
  ASSERT_EQ(announce("ready", 4), 200U);
  ASSERT_EQ(announce("draining", 6), 200U);
  ASSERT_EQ(announce("draining", 7), 200U);
  kill_host();
  start_host();
  EXPECT_EQ(announce("ready", 5), 200U);
  EXPECT_EQ(host->targets(), 0U) << "sent before the target began to drain";
  EXPECT_EQ(announce("draining", 8), 200U);
  EXPECT_EQ(host->targets(), 1U);
}

// The late announcement may arrive before the new process has heard from the others.
TEST_F(departure_service, late_announcement_that_comes_first_is_undone) {
  ASSERT_EQ(announce("ready", 4), 200U);
  ASSERT_EQ(call("DELETE", {}), 200U);
  kill_host();
  host = std::make_unique<node_process>("n3", host_address, seed_address);
  const std::string body =
      R"({"service":"certdesk","version":"v1","address":"127.0.0.1:9","slots":4,"state":"ready","born":100,"sequence":5})";
  EXPECT_EQ(call("PUT", body), 200U);
  // Sooner than the lease of 6 s would end.
  EXPECT_TRUE(run_until([&] { return host->members() == 4 && host->targets() == 0; }, 3s));
}

// An acknowledgement that no other host has confirmed would be forgotten with this process.
TEST_F(departure_service, departure_that_nobody_confirms_is_not_acknowledged) {
  ASSERT_EQ(announce("ready", 4), 200U);
  others.clear();
  EXPECT_EQ(call("DELETE", {}), 503U);
  EXPECT_EQ(host->targets(), 0U) << "the target is not used any more all the same";
}

}  // namespace
}  // namespace heatherdeck

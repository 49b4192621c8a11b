// Control hosts and nodes as processes, and an upstream beside one of them that leaves. Guards against the use of an
// upstream whose departure was acknowledged, after the end of all processes.
#include <csignal>
#include <filesystem>
#include <thread>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "testing/early_upstream.h"
#include "testing/proxy_harness.h"
#include "testing/soak_deployment.h"
#include "wire/endpoint.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

constexpr auto ready_limit = 30s;
constexpr auto request_limit = 1s;
constexpr auto retry_period = 50ms;
// How long callers try to reach the upstream after its late announcement: several keep-alive and gossip periods.
constexpr auto watch_time = 1500ms;
constexpr const char* configuration =
    R"({"version":"00000001","routes":{"a":{"host":"a","path_prefix":"/a/","kind":"safe","timeout_ms":1000,)"
    R"("objective_ms":300,"priority":0,"service":"desk","attempts":1}},"services":{"desk":{},"front":{}},"limits":{}})";

/// How the upstream leaves, and what happens to the processes afterwards.
struct departure_case {
  std::string name;
  bool drains = false;      ///< it announces `draining`; otherwise it deregisters
  milliseconds delay{0};    ///< from the acknowledgement to the end of all processes
  unsigned ends = 1;        ///< how many times all processes are killed and started again
  bool loses_disk = false;  ///< the first control host starts again with an empty data folder
};

std::ostream& operator<<(std::ostream& out, const departure_case& c) { return out << c.name; }

class departure_deployment : public testing::TestWithParam<departure_case> {
 protected:
  void SetUp() override {
    work = (std::filesystem::temp_directory_path() / fmt::format("hd_departures_{}", ::getpid())).string();
    auto made = capture([&] {
      return soak_deployment::make({.bin = HD_BUILD_FOLDER, .work = work, .services = {"desk", "front"}});
    });
    ASSERT_TRUE(made) << made.failure().message();
    deployment = std::move(*made);
    for (const std::string& name : all_names()) ASSERT_TRUE(capture([&] { return deployment->start(name); })) << name;
    ASSERT_TRUE(deployment->put_configuration("00000000", configuration, ready_limit));
    await_ready();
    const auto parts = capture([&] { return parse_endpoint(deployment->address("n1", soak_port::upstream)); });
    acceptor = std::make_unique<tcp::acceptor>(k.io(), tcp::endpoint(parts->ip, parts->port));
    boost::asio::co_spawn(k.io(), accept(), boost::asio::detached);
  }
  void TearDown() override {
    deployment.reset();
    std::error_code ignored;
    std::filesystem::remove_all(work, ignored);
  }

  std::vector<std::string> all_names() const {
    std::vector<std::string> names = deployment->names('c');
    for (const std::string& node : deployment->names('n')) names.push_back(node);
    return names;
  }

  void await_ready() const {
    const time_point limit = steady_clock::now() + ready_limit;
    for (const std::string& name : all_names()) {
      while (!deployment->ready(name) && steady_clock::now() < limit) std::this_thread::sleep_for(20ms);
      ASSERT_TRUE(deployment->ready(name)) << name;
    }
  }

  void kill_all() const {
    for (const std::string& name : all_names()) deployment->send_signal(name, SIGKILL);
    for (const std::string& name : all_names()) {
      while (!deployment->try_wait(name)) std::this_thread::sleep_for(1ms);
    }
  }

  void start_all() const {
    for (const std::string& name : all_names()) ASSERT_TRUE(capture([&] { return deployment->start(name); })) << name;
  }

  awaitable<void> accept() {
    while (true) {
      auto [ec, socket] = co_await acceptor->async_accept(use_tuple);
      if (ec) co_return;
      boost::asio::co_spawn(k.io(), respond(std::move(socket)), boost::asio::detached);
    }
  }

  awaitable<void> respond(tcp::socket socket) {
    h1_stream stream{tcp_socket(std::move(socket))};
    while (true) {
      h1_reader<true> request(stream);
      const auto ec = co_await request.read_head();
      if (ec) co_return;
      co_await proxy_harness::send(stream, response_head_text(request, "Content-Length: 0\r\n"));
    }
  }

  /// @return the status of the response, or 0 if there is none.
  unsigned call(const std::string& address, http_request request) {
    unsigned status = 0;
    bool done = false;
    boost::asio::co_spawn(
        k.io(),
        [&]() -> awaitable<void> {
          auto calling = http_call(k.timers(), k.executor(), address, std::move(request), request_limit);
          const outcome<http_response> response = co_await std::move(calling);
          status = response ? response->status : 0;
          done = true;
        },
        boost::asio::detached);
    while (!done) k.io().run_one();
    return status;
  }

  /// @return the status of a caller's request to the service of the upstream.
  unsigned request_status(const std::string& node) {
    unsigned status = 0;
    bool done = false;
    const auto parts = capture([&] { return parse_endpoint(deployment->address(node, soak_port::caller)); });
    boost::asio::co_spawn(
        k.io(),
        [&]() -> awaitable<void> {
          h1_stream stream{tcp_socket(k.io())};
          (void)co_await stream.socket.async_connect(tcp::endpoint(parts->ip, parts->port), use_tuple);
          co_await proxy_harness::send(
              stream, fmt::format("GET /a/b HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{}\r\n\r\n", ++requests));
          const auto response = co_await proxy_harness::read_response(stream);
          status = response.result_int();
          done = true;
        },
        boost::asio::detached);
    while (!done) k.io().run_one();
    return status;
  }

  unsigned announce(const std::string& state, std::uint64_t sequence, std::uint64_t born = 1) {
    const boost::json::object body{{"service", "desk"},
                                   {"address", deployment->address("n1", soak_port::upstream)},
                                   {"zone", "dar-kivukoni"},
                                   {"version", "v1"},
                                   {"slots", 50},
                                   {"state", state},
                                   {"warmup_left_ms", 0},
                                   {"sequence", sequence},
                                   {"born", born}};
    http_request request{.method = "PUT", .path = "/v1/announcement/u1", .body = boost::json::serialize(body)};
    request.headers["content-type"] = "application/json";
    return call(deployment->address("n1", soak_port::announcements), std::move(request));
  }

  unsigned leave(const departure_case& c) {
    if (c.drains) return announce("draining", 5);
    return call(deployment->address("n1", soak_port::announcements),
                {.method = "DELETE", .path = "/v1/announcement/u1"});
  }

  template <class Condition>
  bool eventually(Condition condition, duration limit) {
    const time_point end = steady_clock::now() + limit;
    while (steady_clock::now() < end) {
      if (condition()) return true;
      std::this_thread::sleep_for(retry_period);
    }
    return false;
  }

  kernel k;
  std::unique_ptr<tcp::acceptor> acceptor;
  std::unique_ptr<soak_deployment> deployment;
  std::string work;
  unsigned requests = 0;
};

TEST_P(departure_deployment, upstream_that_has_left_is_not_used_after_all_processes_ended) {
  const departure_case& c = GetParam();
  const auto served = [&](const std::string& node) { return request_status(node) == 200; };
  ASSERT_TRUE(eventually([&] { return announce("ready", 1) == 200; }, ready_limit));
  for (const std::string node : {"n1", "n2"})
    ASSERT_TRUE(eventually([&] { return served(node); }, ready_limit)) << node;

  ASSERT_TRUE(eventually([&] { return leave(c) == 200; }, ready_limit));
  std::this_thread::sleep_for(c.delay);
  for (unsigned end = 0; end < c.ends; ++end) {
    kill_all();
    if (c.loses_disk && end == 0) std::filesystem::remove_all(work + "/data-c1");
    start_all();
    // The late announcement may come before the process knows anything, and again afterwards.
    ASSERT_TRUE(eventually([&] { return announce("ready", 2) == 200; }, ready_limit));
    await_ready();
  }
  EXPECT_EQ(announce("ready", 3), 200U);
  EXPECT_FALSE(eventually([&] { return served("n1") || served("n2"); }, watch_time))
      << "a request reached the upstream that had left";

  EXPECT_EQ(announce("ready", 1, 2), 200U);
  for (const std::string node : {"n1", "n2"})
    EXPECT_TRUE(eventually([&] { return served(node); }, ready_limit))
        << "a later start of the upstream, over " << node;
}

INSTANTIATE_TEST_SUITE_P(
    ends, departure_deployment,
    testing::Values(
        departure_case{.name = "at_once"}, departure_case{.name = "seconds_later", .delay = 3s},
        departure_case{.name = "twice", .ends = 2}, departure_case{.name = "beside_a_lost_disk", .loses_disk = true},
        departure_case{.name = "draining", .drains = true},
        departure_case{
            .name = "draining_twice_beside_a_lost_disk", .drains = true, .delay = 2s, .ends = 2, .loses_disk = true}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace heatherdeck

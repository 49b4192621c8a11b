// Stops a node while its callers go on, with the real services "traffic", "pool" and "proxy". Guards against requests
// that a stopping node accepts and then breaks off.
#include <map>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "model/service_names.h"
#include "node/announcement_service.h"
#include "node/h1_stream.h"
#include "node/pool_service.h"
#include "node/proxy_service.h"
#include "testing/single_member_directory.h"
#include "traffic/traffic_service.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

struct route_times {
  milliseconds work;  ///< time that the upstream takes
  milliseconds objective;
  milliseconds timeout;
  milliseconds body_time{0};  ///< between the head of the response and its last byte
  unsigned status = 200;
  bool streamed = false;  ///< the response has no length
};

constexpr milliseconds stop_grace = 2s;
constexpr milliseconds stop_notice = 450ms;
const std::map<std::string, route_times> routes = {
    {"/lookup", {50ms, 200ms, 300ms}},
    {"/report", {600ms, 1000ms, 6000ms}},
    {"/archive", {1700ms, 5000ms, 6000ms}},
    {"/export", {1800ms, 5000ms, 6000ms}},
    {"/download", {0ms, 200ms, 300ms, 1700ms}},
    {"/flaky", {1300ms, 5000ms, 6000ms, 0ms, 503}},
    {"/plain", {50ms, 0ms, 6000ms}},
    {"/stream", {0ms, 200ms, 300ms, 3000ms, 200, true}},
};

/// Runs the node in a thread of its own, because a stopped kernel runs no callers.
class planned_stop : public testing::Test {
 protected:
  void SetUp() override {
    settings s;
    s.id = "n1";
    s.availability_zone = "dar-1";
    s.region = "dar";
    s.seed = 1;
    s.caller_listen = "127.0.0.1:0";
    s.upstream_listen = "127.0.0.1:0";
    s.stop_grace = stop_grace;
    s.stop_notice = stop_notice;
    node_ = std::make_unique<kernel>();
    node_->set_drain_limit(effective_drain_limit(s));
    // In the order of the daemon's table.
    ASSERT_TRUE(node_->add(std::move(*traffic_service::make(s))));
    ASSERT_TRUE(node_->add(std::move(*pool_service::make(s))));
    auto made = std::move(*proxy_service::make(s));
    const auto* proxy = static_cast<proxy_service*>(made.get());
    ASSERT_TRUE(node_->add(std::move(made)));
    auto announcements = std::move(*announcement_service::make(s));
    const auto* announced_to = static_cast<announcement_service*>(announcements.get());
    ASSERT_TRUE(node_->add(std::move(announcements)));
    ASSERT_TRUE(node_->add(std::make_unique<single_member_directory>()));
    ASSERT_TRUE(capture([this] { return node_->start(); }));
    upstream_listen_ = "127.0.0.1:" + std::to_string(announced_to->port());
    address_ = "127.0.0.1:" + std::to_string(proxy->port());
    set_document_and_upstream();
    thread_ = std::thread([this] {
      node_->io().run();
      node_.reset();  // closes the connections, as the end of the process does
    });
    boost::asio::co_spawn(world_.io(), accept(), boost::asio::detached);
  }

  void TearDown() override {
    if (thread_.joinable()) thread_.join();
  }

  /// Calls `path` at a time after the first call.
  void call(duration at, std::string path) { send(at, address_, {.method = "GET", .path = std::move(path)}); }

  /// Announces the upstream in a state at a time after the first call.
  void announce(duration at, const std::string& state) {
    http_request put{.method = "PUT", .path = "/v1/announcement"};
    put.body = R"({"service":"certdesk","version":"v1","target":"t1","address":"127.0.0.1:9","slots":4,"state":")" +
               state + R"(","born":1000,"sequence":1})";
    send(at, upstream_listen_, std::move(put));
  }

  /// Sends a request at a time after the first one.
  void send(duration at, const std::string& address, http_request request) {
    ++calls_;
    boost::asio::co_spawn(
        world_.io(),
        [this, at, address, request]() -> awaitable<void> {
          co_await sleep(at);
          const auto response = co_await http_call(world_.timers(), world_.executor(), address, request, 5s);
          responses_[request.path].push_back(response ? response->status : 0U);
          if (++answered_ == calls_) world_.io().stop();
        },
        boost::asio::detached);
  }

  /// Sends several requests at once on one connection.
  /// @param received gets all that the node sends on it.
  /// @param end gets how the connection ended.
  void pipeline(std::string requests, std::string& received, boost::system::error_code& end) {
    ++calls_;
    boost::asio::co_spawn(
        world_.io(),
        [this, requests = std::move(requests), &received, &end]() -> awaitable<void> {
          const auto port = static_cast<std::uint16_t>(std::stoi(address_.substr(address_.rfind(':') + 1)));
          tcp_socket socket(world_.executor());
          (void)co_await socket.async_connect({boost::asio::ip::address_v4::loopback(), port}, use_tuple);
          (void)co_await boost::asio::async_write(socket, boost::asio::buffer(requests), use_tuple);
          auto [ec, size] = co_await boost::asio::async_read(socket, boost::asio::dynamic_buffer(received), use_tuple);
          end = ec;
          if (++answered_ == calls_) world_.io().stop();
        },
        boost::asio::detached);
  }

  /// Stops the node while the upstream is at work on the first request, and waits for the end of all calls.
  void stop_node_at_work() {
    stops_at_work_ = true;
    stop_node(10s);
  }

  /// Stops the node at a time after the first call and waits for the end of all calls.
  void stop_node(duration at) {
    boost::asio::co_spawn(
        world_.io(),
        [this, at]() -> awaitable<void> {
          boost::asio::steady_timer timer(world_.io(), at);
          stop_timer_ = &timer;
          (void)co_await timer.async_wait(use_tuple);
          stop_timer_ = nullptr;
          boost::asio::co_spawn(node_->io(), node_->stop(), boost::asio::detached);
        },
        boost::asio::detached);
    world_.io().run_for(20s);
    EXPECT_EQ(answered_, calls_) << "a call did not end";
  }

  /// @return the statuses of the calls of `path`; 0 for a connection that ended without a complete response.
  const std::vector<unsigned>& responses(const std::string& path) { return responses_[path]; }

 private:
  void set_document_and_upstream() {
    auto document = std::make_shared<compiled_document>();
    for (const auto& [path, times] : routes) {
      document->routes.push_back({.name = path, .path_prefix = path, .service = "certdesk"});
      document->routes.back().timeout = times.timeout;
      document->routes.back().objective = times.objective;
    }
    document->services["certdesk"] = {.name = "certdesk", .versions = {"v1"}, .shares = {{"v1", full_share}}};
    node_->find<traffic_message>(to_name(service_name::traffic))->post(update_document{document});
    endpoint_record endpoint{.service = "certdesk", .upstream_version = "v1", .target = "t1"};
    endpoint.address = "127.0.0.1:" + std::to_string(upstream_.local_endpoint().port());
    endpoint.state = upstream_state::ready;
    endpoint.slots = 100;
    endpoint.connections = 100;
    node_->find<directory_message>(to_name(service_name::directory))->post(local_endpoint_changed{endpoint});
  }

  awaitable<void> accept() {
    while (true) {
      auto [ec, socket] = co_await upstream_.async_accept(use_tuple);
      if (ec) co_return;
      boost::asio::co_spawn(world_.io(), serve(std::move(socket)), boost::asio::detached);
    }
  }

  awaitable<void> serve(tcp_socket socket) {
    h1_stream stream(std::move(socket));
    while (true) {
      boost::beast::http::request<boost::beast::http::string_body> request;
      auto [ec, size] = co_await boost::beast::http::async_read(stream.socket, stream.buffer, request, use_tuple);
      if (ec) co_return;
      if (stops_at_work_ && stop_timer_ != nullptr) stop_timer_->cancel();
      const route_times& times = routes.at(std::string(request.target()));
      co_await sleep(times.work);
      const std::string framing =
          times.streamed ? "transfer-encoding: chunked\r\n\r\n2\r\no" : "content-length: 2\r\n\r\no";
      const std::string response = "HTTP/1.1 " + std::to_string(times.status) + " Status\r\n" + framing;
      (void)co_await boost::asio::async_write(stream.socket, boost::asio::buffer(response), use_tuple);
      co_await sleep(times.body_time);
      const std::string rest = times.streamed ? "k\r\n0\r\n\r\n" : "k";
      (void)co_await boost::asio::async_write(stream.socket, boost::asio::buffer(rest), use_tuple);
    }
  }

  awaitable<void> sleep(duration delay) {
    boost::asio::steady_timer timer(world_.io(), delay);
    (void)co_await timer.async_wait(use_tuple);
  }

  std::unique_ptr<kernel> node_;
  kernel world_;  ///< of callers and upstream
  boost::asio::ip::tcp::acceptor upstream_{world_.io(), {boost::asio::ip::address_v4::loopback(), 0}};
  std::thread thread_;
  std::string address_;
  std::string upstream_listen_;
  std::map<std::string, std::vector<unsigned>> responses_;
  boost::asio::steady_timer* stop_timer_ = nullptr;  ///< runs until the stop
  bool stops_at_work_ = false;
  int calls_ = 0;
  int answered_ = 0;
};

TEST_F(planned_stop, breaks_off_no_request_that_came_when_callers_could_know_of_the_stop) {
  for (const duration at : {500ms, 600ms, 700ms, 800ms, 900ms}) {
    call(at, "/lookup");
    call(at, "/archive");
  }
  call(50ms, "/report");
  stop_node(0ms);
  EXPECT_EQ(responses("/lookup"), std::vector<unsigned>(5, 200U)) << "what can end in time is served";
  EXPECT_EQ(responses("/archive"), std::vector<unsigned>(5, 503U)) << "what cannot is refused at once as not executed";
  EXPECT_EQ(responses("/report"), std::vector<unsigned>{200U}) << "its caller could not know of the stop";
}

// The drain ended at five sixths of the time after which the process is killed.
TEST_F(planned_stop, delivers_a_response_that_is_ready_before_the_process_is_killed) {
  call(0ms, "/export");
  stop_node_at_work();
  EXPECT_EQ(responses("/export"), std::vector<unsigned>{200U});
}

// The directory and the announcements ended before the drain began.
TEST_F(planned_stop, hears_its_upstream_while_it_drains) {
  call(0ms, "/export");
  announce(500ms, "draining");
  stop_node_at_work();
  EXPECT_EQ(responses("/v1/announcement"), std::vector<unsigned>{200U});
}

// The deadline bounds the time until the response begins, not the time that its body takes.
TEST_F(planned_stop, breaks_off_no_late_response_whose_body_outlasts_the_drain) {
  call(600ms, "/download");
  stop_node(0ms);
  EXPECT_EQ(responses("/download"), std::vector<unsigned>{503U});
}

// The node has the complete response of the upstream and drops it for a retry that the end of the drain breaks off.
TEST_F(planned_stop, relays_a_failure_instead_of_a_retry_that_outlasts_the_drain) {
  call(0ms, "/flaky");
  stop_node_at_work();
  EXPECT_EQ(responses("/flaky"), std::vector<unsigned>{503U});
}

// Callers that cannot know of the stop yet are served also where the route has no objective.
TEST_F(planned_stop, serves_early_requests_of_routes_without_an_objective) {
  call(50ms, "/plain");
  stop_node(0ms);
  EXPECT_EQ(responses("/plain"), std::vector<unsigned>{200U});
}

// A request that follows another one on its connection and was read before the stop was discarded without a response.
TEST_F(planned_stop, answers_a_pipelined_request_that_was_read_before_the_stop) {
  std::string received;
  boost::system::error_code end;
  pipeline("GET /report HTTP/1.1\r\nhost: a\r\n\r\nGET /lookup HTTP/1.1\r\nhost: a\r\n\r\n", received, end);
  stop_node_at_work();
  const auto first = received.find("HTTP/1.1 200");
  ASSERT_NE(first, std::string::npos) << received;
  EXPECT_NE(received.find("HTTP/1.1", first + 1), std::string::npos) << received;
}

// A response without a length that the end of the drain broke off looked complete.
TEST_F(planned_stop, resets_a_response_that_would_look_complete) {
  std::string received;
  boost::system::error_code end;
  pipeline("GET /stream HTTP/1.0\r\nhost: a\r\n\r\n", received, end);
  stop_node_at_work();
  ASSERT_TRUE(received.ends_with("\r\n\r\no")) << received;
  EXPECT_EQ(end, boost::asio::error::connection_reset) << end.message();
}

}  // namespace
}  // namespace heatherdeck

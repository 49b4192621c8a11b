// Stops a node while its callers go on, with the real services "traffic", "pool" and "proxy". Guards against requests
// that a stopping node accepts and then breaks off.
#include <map>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
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
};

constexpr milliseconds stop_grace = 2s;
constexpr milliseconds stop_notice = 200ms;
const std::map<std::string, route_times> routes = {
    {"/lookup", {50ms, 200ms, 300ms}},
    {"/report", {600ms, 1000ms, 6000ms}},
    {"/archive", {1700ms, 5000ms, 6000ms}},
    {"/export", {1800ms, 5000ms, 6000ms}},
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

  /// Stops the node at a time after the first call and waits for the end of all calls.
  void stop_node(duration at) {
    boost::asio::co_spawn(
        world_.io(),
        [this, at]() -> awaitable<void> {
          co_await sleep(at);
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
      co_await sleep(routes.at(std::string(request.target())).work);
      const std::string response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
      (void)co_await boost::asio::async_write(stream.socket, boost::asio::buffer(response), use_tuple);
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
  stop_node(50ms);
  EXPECT_EQ(responses("/export"), std::vector<unsigned>{200U});
}

// The directory and the announcements ended before the drain began.
TEST_F(planned_stop, hears_its_upstream_while_it_drains) {
  call(0ms, "/export");
  announce(500ms, "draining");
  stop_node(50ms);
  EXPECT_EQ(responses("/v1/announcement"), std::vector<unsigned>{200U});
}

}  // namespace
}  // namespace heatherdeck

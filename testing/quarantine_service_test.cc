// Runs the proxy, pool, traffic and quarantine services of one node with an upstream that crashes on one request, the
// proxy alone with a traffic service that asks for bodies, and the pool and quarantine services with upstreams that
// lose calls. Guards against crashes that are not noticed or are reported of upstreams that run, against verdicts that
// do not reach the proxy, and against bodies that are read for a verdict and then forwarded in part.
#include "node/quarantine_service.h"

#include <set>

#include <sys/resource.h>
#include <unistd.h>

#include "model/request_fingerprint.h"
#include "testing/proxy_harness.h"
#include "testing/single_member_directory.h"
#include "traffic/traffic_service.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

std::string post(const std::string& body) {
  return "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void require_bodies(proxy_harness& h) {
  h.traffic->pick = [&h](const request_attributes& attributes) -> pick_result {
    if (attributes.body_unread) return body_required{};
    return h.choice;
  };
}

std::uint64_t hash_of(const std::string& body) {
  body_hasher hasher;
  hasher.update(body);
  return hasher.value();
}

TEST(quarantine_proxy, body_that_was_read_for_the_verdict_is_forwarded_whole) {
  for (const std::size_t size : {5UL, 60'000UL, 65'536UL, 65'537UL, 300'000UL}) {
    proxy_harness h(echo_upstream);
    require_bodies(h);
    std::string body;
    while (body.size() < size) body += std::to_string(body.size()) + ",";
    body.resize(size);
    h.run([&]() -> awaitable<void> {
      auto stream = co_await h.connect();
      const std::string text = post(body);
      // Two parts, so that the whole body is not there when the head is read.
      const std::size_t first = text.size() - size / 2;
      co_await proxy_harness::send(*stream, text.substr(0, first));
      EXPECT_TRUE(co_await eventually(h.k, [&] { return !h.traffic->requests.empty(); }));
      co_await proxy_harness::send(*stream, text.substr(first));
      const auto response = co_await proxy_harness::read_response(*stream);
      EXPECT_EQ(response.result_int(), 200U);
      EXPECT_TRUE(response.body() == "POST /a " + body) << "size " << size;
    });
    ASSERT_EQ(h.traffic->requests.size(), 2U);
    EXPECT_EQ(h.traffic->requests[1].fingerprint.body, hash_of(body));
    ASSERT_EQ(h.traffic->finished.size(), 1U);
    EXPECT_EQ(h.traffic->finished[0].ending, call_ending::answered);
    EXPECT_EQ(h.traffic->finished[0].request, h.traffic->requests[1].fingerprint);
  }
}

TEST(quarantine_proxy, body_that_never_comes_whole_reaches_no_upstream) {
  const std::string sized = "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nabc";
  const std::string bad_chunk = "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n";
  for (const std::string& text : {sized, bad_chunk}) {
    proxy_harness h(echo_upstream);
    require_bodies(h);
    h.run([&]() -> awaitable<void> {
      auto stream = co_await h.connect();
      co_await proxy_harness::send(*stream, text);
      EXPECT_TRUE(co_await eventually(h.k, [&] { return h.traffic->requests.size() == 1; }));
      boost::system::error_code ignored;
      stream->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
      const auto response = co_await proxy_harness::read_response(*stream);
      EXPECT_EQ(response.result_int(), text == sized ? 0U : 400U);
    });
    EXPECT_EQ(h.upstream_connections, 0U);
    EXPECT_EQ(h.traffic->requests.size(), 1U);
  }
}

// An upstream that closes its listener and all connections when it gets a request to /crash.
class crashing_upstream {
 public:
  explicit crashing_upstream(boost::asio::io_context& io) : io_(io) { listen(0); }

  void listen(std::uint16_t port) {
    listener_ = std::make_unique<tcp::acceptor>(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    port_ = listener_->local_endpoint().port();
    boost::asio::co_spawn(io_, accept(), boost::asio::detached);
  }
  std::uint16_t port() const { return port_; }

  std::size_t requests = 0;
  std::size_t crashes = 0;

 private:
  using tcp = boost::asio::ip::tcp;

  awaitable<void> accept() {
    while (true) {
      auto [ec, socket] = co_await listener_->async_accept(use_tuple);
      if (ec) co_return;
      boost::asio::co_spawn(io_, serve(std::make_shared<h1_stream>(std::move(socket))), boost::asio::detached);
    }
  }
  awaitable<void> serve(std::shared_ptr<h1_stream> stream) {
    connections_.insert(stream);
    while (true) {
      boost::beast::http::request<boost::beast::http::string_body> request;
      auto [ec, size] = co_await boost::beast::http::async_read(stream->socket, stream->buffer, request, use_tuple);
      if (ec) break;
      ++requests;
      if (request.target() == "/crash") {
        ++crashes;
        listener_->close();
        for (const auto& connection : connections_) connection->close();
        break;
      }
      co_await proxy_harness::send(*stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    }
    connections_.erase(stream);
  }

  boost::asio::io_context& io_;
  std::unique_ptr<tcp::acceptor> listener_;
  std::uint16_t port_ = 0;
  std::set<std::shared_ptr<h1_stream>> connections_;
};

// The services "pool" and "quarantine" of a node, and an upstream that has lost a call.
class crash_check {
 public:
  crash_check() : listener_(k_.io()) {
    settings s;
    s.id = "n1";
    s.seed = 1;
    s.mesh_listen = "127.0.0.1:0";
    EXPECT_TRUE(k_.add(std::move(*pool_service::make(s))));
    EXPECT_TRUE(k_.add(std::move(*quarantine_service::make(s))));
    EXPECT_TRUE(capture([this] { return k_.start(); }));
    listener_.open(tcp::v4());
    listener_.bind({boost::asio::ip::address_v4::loopback(), 0});
    listener_.non_blocking(true);
    address_ = "127.0.0.1:" + std::to_string(listener_.local_endpoint().port());
  }

  void listen(int backlog = 16) { listener_.listen(backlog); }
  void set_address(std::string address) { address_ = std::move(address); }

  // Connects without waiting for the upstream to accept.
  void connect() {
    clients_.emplace_back(k_.io(), tcp::v4());
    clients_.back().async_connect(listener_.local_endpoint(), [](const boost::system::error_code&) {});
  }

  void take_connections(std::uint32_t limit) {
    const auto pool = k_.find<pool_message>(to_name(service_name::pool));
    pool->post(set_connection_limit{address_, limit});
    for (std::uint32_t i = 0; i < limit; ++i) {
      boost::asio::co_spawn(
          k_.io(),
          [this, pool = *pool]() -> awaitable<void> {
            auto make = [this](reply<upstream_connection_ptr> answer) {
              return acquire_connection{address_, true, 5s, std::move(answer)};
            };
            auto asking = ask<upstream_connection_ptr>(k_.timers(), k_.executor(), pool, 5s, make);
            auto connection = co_await std::move(asking);
            EXPECT_TRUE(connection);
            if (connection) taken_.push_back(*connection);
          },
          boost::asio::detached);
    }
    while (taken_.size() < limit && k_.io().run_one_for(5s) != 0) {
    }
    ASSERT_EQ(taken_.size(), limit);
  }

  // Resets each connection as soon as it is established, before the node has seen that it is.
  void reset_connections() {
    tcp::socket accepted(k_.io());
    boost::system::error_code none;
    listener_.accept(accepted, none);
    if (none) return;
    accepted.set_option(boost::asio::socket_base::linger(true, 0));
    accepted.close();
  }

  // Reports the lost call and runs the services until the check is over.
  void lose_call(const std::function<void()>& after_each_handler = [] {}) {
    k_.find<quarantine_message>(to_name(service_name::quarantine))
        ->post(call_lost{"certdesk", "t1", address_, {.head = 7}});
    // Longer than the check's timeout.
    const time_point limit = timer_service::now() + 800ms;
    while (crashes() == 0 && timer_service::now() < limit) {
      k_.io().run_one_for(5ms);
      after_each_handler();
    }
  }

  std::int64_t crashes() const { return number_of(service_name::quarantine, "crashes"); }
  std::int64_t failed_connections() const { return number_of(service_name::pool, "failures"); }

 private:
  using tcp = boost::asio::ip::tcp;

  std::int64_t number_of(service_name service, std::string_view member) const {
    return k_.dump().at("services").at(to_name(service)).at(member).to_number<std::int64_t>();
  }

  kernel k_;
  tcp::acceptor listener_;
  std::string address_;
  std::vector<tcp::socket> clients_;
  std::vector<upstream_connection_ptr> taken_;
};

TEST(quarantine_service, upstream_that_refuses_connections_has_crashed) {
  crash_check check;
  check.lose_call();
  EXPECT_EQ(check.failed_connections(), 1);
  EXPECT_EQ(check.crashes(), 1);
}

TEST(quarantine_service, upstream_that_accepts_connections_has_not_crashed) {
  crash_check check;
  check.listen();
  check.lose_call();
  EXPECT_EQ(check.failed_connections(), 0);
  EXPECT_EQ(check.crashes(), 0);
}

TEST(quarantine_service, upstream_that_resets_a_new_connection_has_not_crashed) {
  crash_check check;
  check.listen();
  check.lose_call([&check] { check.reset_connections(); });
  EXPECT_EQ(check.failed_connections(), 1);
  EXPECT_EQ(check.crashes(), 0);
}

TEST(quarantine_service, upstream_with_a_full_backlog_has_not_crashed) {
  crash_check check;
  check.listen(0);
  for (int i = 0; i < 3; ++i) check.connect();
  check.lose_call();
  EXPECT_EQ(check.failed_connections(), 1);
  EXPECT_EQ(check.crashes(), 0);
}

TEST(quarantine_service, upstream_at_its_limit_of_connections_has_not_crashed) {
  crash_check check;
  check.listen();
  check.take_connections(1);
  check.lose_call();
  EXPECT_EQ(check.failed_connections(), 1);
  EXPECT_EQ(check.crashes(), 0);
}

TEST(quarantine_service, node_without_file_descriptors_reports_no_crash) {
  crash_check check;
  check.listen();
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  // The lowest free descriptor is the first one that may not be opened.
  const int lowest_free = dup(0);
  ASSERT_GE(lowest_free, 0);
  close(lowest_free);
  rlimit lowered = before;
  lowered.rlim_cur = static_cast<rlim_t>(lowest_free);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
  check.lose_call();
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_EQ(check.failed_connections(), 1);
  EXPECT_EQ(check.crashes(), 0);
}

TEST(quarantine_service, address_that_cannot_be_used_is_no_crash) {
  crash_check check;
  check.set_address("not an address");
  check.lose_call();
  EXPECT_EQ(check.crashes(), 0);
}

TEST(quarantine_service, request_that_has_crashed_the_upstream_twice_is_refused) {
  kernel k;
  crashing_upstream upstream(k.io());
  settings s;
  s.id = "n1";
  s.availability_zone = "dar-1";
  s.region = "dar";
  s.seed = 1;
  s.caller_listen = "127.0.0.1:0";
  s.mesh_listen = "127.0.0.1:0";
  ASSERT_TRUE(k.add(std::make_unique<single_member_directory>()));
  ASSERT_TRUE(k.add(std::move(*traffic_service::make(s))));
  ASSERT_TRUE(k.add(std::move(*pool_service::make(s))));
  ASSERT_TRUE(k.add(std::move(*quarantine_service::make(s))));
  auto made = std::move(*proxy_service::make(s));
  auto* proxy = static_cast<proxy_service*>(made.get());
  ASSERT_TRUE(k.add(std::move(made)));
  ASSERT_TRUE(k.start());
  k.find<directory_message>(to_name(service_name::directory))
      ->post(local_endpoint_changed{{.service = "certdesk",
                                     .upstream_version = "v1",
                                     .target = "t1",
                                     .address = "127.0.0.1:" + std::to_string(upstream.port()),
                                     .state = upstream_state::ready,
                                     .slots = 4,
                                     .connections = 40}});
  auto document = std::make_shared<compiled_document>();
  document->routes.push_back(
      {.name = "all", .path_prefix = "/", .service = "certdesk", .timeout = 2s, .idempotent = false});
  document->services["certdesk"] = {.name = "certdesk", .versions = {"v1"}, .shares = {{"v1", full_share}}};
  k.find<traffic_message>(to_name(service_name::traffic))->post(update_document{document});
  auto call = [&](std::string path) -> awaitable<h1_response> {
    h1_stream stream{tcp_socket(k.io())};
    const boost::asio::ip::tcp::endpoint where(boost::asio::ip::address_v4::loopback(), proxy->port());
    (void)co_await stream.socket.async_connect(where, use_tuple);
    co_await proxy_harness::send(stream, "GET " + path + " HTTP/1.1\r\nhost: h\r\n\r\n");
    co_return co_await proxy_harness::read_response(stream);
  };
  bool done = false;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        for (std::size_t crash = 1; crash <= 2; ++crash) {
          const auto failed = co_await call("/crash");
          EXPECT_EQ(failed.result_int(), 502U) << "crash " << crash;
          EXPECT_EQ(upstream.crashes, crash);
          // Calls that are lost within a second count as one crash.
          boost::asio::steady_timer pause(k.io(), 1200ms);
          (void)co_await pause.async_wait(use_tuple);
          upstream.listen(upstream.port());
        }
        const std::size_t before = upstream.requests;
        const auto refused = co_await call("/crash");
        EXPECT_EQ(refused.result_int(), 503U);
        EXPECT_EQ(refused["hd-refused"], "quarantined");
        EXPECT_EQ(refused["hd-outcome"], "not-run");
        EXPECT_EQ(upstream.requests, before);
        EXPECT_EQ((co_await call("/other")).result_int(), 200U);
        done = true;
        k.io().stop();
      },
      boost::asio::detached);
  k.io().run_for(30s);
  EXPECT_TRUE(done);
}

}  // namespace
}  // namespace heatherdeck

// Control hosts and nodes as processes, and an upstream in trouble beside one of them. Shows what callers get over one
// and two nodes. Guards against broken responses that reach callers.
#include <filesystem>
#include <thread>

#include <boost/json/serialize.hpp>
#include <unistd.h>

#include "testing/early_upstream.h"
#include "testing/soak_deployment.h"
#include "wire/endpoint.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

constexpr auto ready_limit = 30s;
constexpr const char* configuration =
    R"({"version":"00000001","routes":{"a":{"host":"a","path_prefix":"/a/","kind":"safe","timeout_ms":5000,)"
    R"("objective_ms":300,"priority":0,"service":"desk","attempts":1}},"services":{"desk":{},"front":{}},"limits":{}})";

struct broken_head {
  std::string path;
  std::string status_line;
  std::string invalid_line;  ///< with its line end; may be empty
};

const std::vector<broken_head>& broken_heads() {
  static const std::vector<broken_head> all{
      {"/a/000", "HTTP/1.1 000 Broken", ""},
      {"/a/blank-in-name", "HTTP/1.1 200 OK", "X Detail: 1\r\n"},
      {"/a/blank-after-name", "HTTP/1.1 200 OK", "X-Detail : 1\r\n"},
      {"/a/blank-before-name", "HTTP/1.1 200 OK", " X-Detail: 1\r\n"},
      {"/a/blank-before-coding", "HTTP/1.1 200 OK", " Transfer-Encoding: chunked\r\n"},
      {"/a/control-byte-in-name", "HTTP/1.1 200 OK", "X\x01: 1\r\n"},
  };
  return all;
}

std::string broken_response(h1_reader<true>& request) {
  const std::string path(request.message().target());
  for (const broken_head& head : broken_heads()) {
    if (head.path != path) continue;
    return fmt::format("{}\r\nX-Request-Id: {}\r\nX-Response-Seal: s\r\n{}Content-Length: 2\r\n\r\nok",
                       head.status_line, std::string(request.message()["X-Request-Id"]), head.invalid_line);
  }
  return response_head_text(request, "Content-Length: 0\r\n");
}

class broken_response_deployment : public testing::Test {
 protected:
  void SetUp() override {
    work = (std::filesystem::temp_directory_path() / fmt::format("hd_broken_responses_{}", ::getpid())).string();
    auto made = capture([&] {
      return soak_deployment::make({.bin = HD_BUILD_FOLDER, .work = work, .services = {"desk", "front"}});
    });
    ASSERT_TRUE(made) << made.failure().message();
    deployment = std::move(*made);
    for (const char kind : {'c', 'n'}) {
      for (const std::string& name : deployment->names(kind))
        ASSERT_TRUE(capture([&] { return deployment->start(name); }));
    }
    ASSERT_TRUE(deployment->put_configuration("00000000", configuration, ready_limit));
    const time_point limit = steady_clock::now() + ready_limit;
    for (const std::string& name : deployment->names('n')) {
      while (!deployment->ready(name) && steady_clock::now() < limit) std::this_thread::sleep_for(20ms);
      ASSERT_TRUE(deployment->ready(name)) << name;
    }
    acceptor = std::make_unique<tcp::acceptor>(k.io(), endpoint("n1", soak_port::upstream));
    boost::asio::co_spawn(k.io(), accept(), boost::asio::detached);
    boost::asio::co_spawn(k.io(), announce(), boost::asio::detached);
  }
  void TearDown() override {
    deployment.reset();
    std::error_code ignored;
    std::filesystem::remove_all(work, ignored);
  }

  tcp::endpoint endpoint(const std::string& name, soak_port port) const {
    const auto parts = capture([&] { return parse_endpoint(deployment->address(name, port)); });
    return {parts->ip, parts->port};
  }

  awaitable<void> accept() {
    while (true) {
      auto [ec, socket] = co_await acceptor->async_accept(use_tuple);
      if (ec) co_return;
      boost::asio::co_spawn(k.io(), upstream.script()(std::move(socket)), boost::asio::detached);
    }
  }

  awaitable<void> announce() {
    boost::asio::steady_timer timer(k.io());
    for (std::uint64_t sequence = 1;; ++sequence) {
      const boost::json::object body{{"service", "desk"},
                                     {"address", deployment->address("n1", soak_port::upstream)},
                                     {"zone", "dar-kivukoni"},
                                     {"version", "v1"},
                                     {"slots", 50},
                                     {"state", "ready"},
                                     {"warmup_left_ms", 0},
                                     {"sequence", sequence},
                                     {"born", 1}};
      http_request request{.method = "PUT", .path = "/v1/announcement/u1", .body = boost::json::serialize(body)};
      request.headers["content-type"] = "application/json";
      const std::string at = deployment->address("n1", soak_port::announcements);
      auto calling = http_call(k.timers(), k.executor(), at, std::move(request), 1s);
      (void)co_await std::move(calling);
      timer.expires_after(500ms);
      (void)co_await timer.async_wait(use_tuple);
    }
  }

  /// @return the response of the node; status 0 if it is incomplete.
  awaitable<h1_response> call(const std::string& node, const std::string& path) {
    h1_stream stream{tcp_socket(k.io())};
    (void)co_await stream.socket.async_connect(endpoint(node, soak_port::caller), use_tuple);
    co_await proxy_harness::send(stream, "GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n\r\n");
    auto response = co_await proxy_harness::read_response(stream);
    co_return response;
  }

  /// Waits until the node serves requests, which it also does again after it has turned away some for a failed
  /// upstream.
  awaitable<void> wait_until_served(const std::string& node) {
    boost::asio::steady_timer timer(k.io());
    const time_point limit = timer_service::now() + ready_limit;
    unsigned status = 0;
    while (status != 200 && timer_service::now() < limit) {
      const auto response = co_await call(node, "/a/whole");
      status = response.result_int();
      if (status == 200) co_return;
      timer.expires_after(50ms);
      (void)co_await timer.async_wait(use_tuple);
    }
    ADD_FAILURE() << node << " does not serve requests";
  }

  template <class Body>
  void run(Body body) {
    boost::asio::co_spawn(k.io(), std::move(body), [this](std::exception_ptr failure) {
      k.io().stop();
      if (failure) std::rethrow_exception(failure);
    });
    k.io().run();
  }

  kernel k;
  early_upstream upstream{.response = &broken_response};
  std::unique_ptr<tcp::acceptor> acceptor;
  std::unique_ptr<soak_deployment> deployment;
  std::string work;
};

TEST_F(broken_response_deployment, no_broken_response_reaches_a_caller_over_one_and_two_nodes) {
  run([&]() -> awaitable<void> {
    for (const std::string node : {"n1", "n2"}) {
      for (const broken_head& head : broken_heads()) {
        co_await wait_until_served(node);
        const auto response = co_await call(node, head.path);
        fmt::print("{} {}: {} with {} bytes\n", node, head.path, response.result_int(), response.body().size());
        EXPECT_EQ(response.result_int(), 502U) << node << " " << head.path;
      }
      for (const upload_case& c : upload_cases()) {
        if (!c.reused) continue;
        co_await wait_until_served(node);
        upstream.on_reused = 0;
        upstream.tested = c;
        upstream.relayed = false;
        const auto on_part = [&](std::size_t size) { upstream.relayed = upstream.relayed || size >= c.relayed; };
        const upload_result result = co_await upload(k, endpoint(node, soak_port::caller), c, on_part);
        fmt::print("{} {}: {}, {} bytes, {}\n", node, describe(c), result.status, result.size,
                   result.complete ? "complete" : "incomplete");
        EXPECT_EQ(result.status, 200U) << node << " " << describe(c);
        EXPECT_FALSE(result.complete) << node << " " << describe(c);
        EXPECT_EQ(upstream.on_reused, 1U) << node << " " << describe(c);
      }
    }
  });
}

}  // namespace
}  // namespace heatherdeck

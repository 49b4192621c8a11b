// Tests the operators' client of the control hosts while hosts are frozen: they accept connections and never respond.
#include "cli/control_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "wire/http_listener.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t frozen_hosts = 5;
constexpr auto call_timeout = 10s;
constexpr auto response_bound = 2s;

class control_client_test : public testing::Test {
 protected:
  control_client_test() {
    // The kernel accepts connections on behalf of a listening socket that nobody serves.
    for (std::size_t i = 0; i < frozen_hosts; ++i) {
      frozen.emplace_back(k.io(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
      hosts.push_back("127.0.0.1:" + std::to_string(frozen.back().local_endpoint().port()));
    }
    auto serve = [](http_request request) -> awaitable<http_response> {
      submission_result accepted;
      accepted.answer.accepted_version = {1, 7};
      if (request.method == "POST") co_return json_response(200, to_json(accepted));
      co_return json_response(200, boost::json::object{{"version", "1.7"}});
    };
    auto made = capture([&] { return http_listener::make(k, "127.0.0.1:0", serve); });
    EXPECT_TRUE(made);
    listener = std::move(*made);
    hosts.push_back("127.0.0.1:" + std::to_string(listener->port()));
  }

  template <class Body>
  duration run(Body body) {
    const time_point begin = timer_service::now();
    boost::asio::co_spawn(k.io(), body(), [this](std::exception_ptr) { k.io().stop(); });
    k.io().run();
    k.io().restart();
    return timer_service::now() - begin;
  }

  kernel k;
  std::vector<tcp::acceptor> frozen;
  std::vector<std::string> hosts;
  std::unique_ptr<http_listener> listener;
};

// Guards against a wait for each frozen host before the first one that responds.
TEST_F(control_client_test, read_takes_no_time_for_each_frozen_host) {
  control_client client(k.timers(), k.executor(), hosts);
  outcome<boost::json::value> body = error{error_kind::internal, "not called", {}, {}};
  const duration taken = run([&]() -> awaitable<void> {
    http_request request{"GET", "/v1/document", {}, {}, {}};
    auto calling = client.get(std::move(request), call_timeout);
    body = co_await std::move(calling);
  });
  EXPECT_TRUE(body);
  EXPECT_LT(taken, response_bound);
}

TEST_F(control_client_test, submission_takes_no_time_for_each_frozen_host) {
  control_client client(k.timers(), k.executor(), hosts);
  outcome<submission_result> result = error{error_kind::internal, "not called", {}, {}};
  const duration taken = run([&]() -> awaitable<void> {
    submission change{"id-1", "amina", {{"shares", "a: { v1: 100 }", {}}}, "s"};
    auto submitting = client.submit(std::move(change), 60s);
    result = co_await std::move(submitting);
  });
  EXPECT_TRUE(result);
  EXPECT_LT(taken, response_bound);
}

}  // namespace
}  // namespace heatherdeck

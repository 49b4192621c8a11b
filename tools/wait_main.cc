// heatherdeck_wait: polls an HTTP address until it answers 200, with a delay that doubles from 10 ms to 200 ms. For
// scripts that start processes. Exit code 0 on success, 1 on timeout.
#include <algorithm>
#include <cstdio>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

#include "kernel/kernel.h"
#include "wire/http_client.h"

DEFINE_string(address, "", "ip:port to poll");
DEFINE_string(path, "/ready", "request path");
DEFINE_string(contains, "", "text that the response body must contain; empty: any body");
DEFINE_uint32(limit_s, 30, "timeout, seconds");

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr auto initial_delay = 10ms;
constexpr auto max_delay = 200ms;

awaitable<void> poll_until_ok(kernel& k, int& exit_code) {
  const time_point deadline = timer_service::now() + std::chrono::seconds(FLAGS_limit_s);
  milliseconds delay = initial_delay;
  std::string last_result = "no request was sent; --limit_s must be above zero";
  while (timer_service::now() < deadline) {
    http_request request{.method = "GET", .path = FLAGS_path};
    outcome<http_response> answer = co_await http_call(k.timers(), k.executor(), FLAGS_address, std::move(request), 2s);
    if (answer && answer->status == 200 && answer->body.find(FLAGS_contains) != std::string::npos) {
      exit_code = 0;
      break;
    }
    last_result = answer ? answer->body : answer.failure().message();
    boost::asio::experimental::channel<void(boost::system::error_code)> timer_fired(k.executor(), 1);
    const subscription wait =
        k.timers().after(delay, [&timer_fired] { timer_fired.try_send(boost::system::error_code{}); });
    (void)co_await timer_fired.async_receive(use_tuple);
    delay = std::min<milliseconds>(delay * 2, max_delay);
  }
  if (exit_code != 0)
    std::fprintf(stderr, "heatherdeck_wait: timed out; last response or error: %s\n", last_result.c_str());
  k.io().stop();
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  heatherdeck::kernel k;
  int exit_code = 1;
  boost::asio::co_spawn(k.io(), heatherdeck::poll_until_ok(k, exit_code), boost::asio::detached);
  k.io().run();
  return exit_code;
}

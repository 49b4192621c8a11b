// heatherdeck_wait: waits until an HTTP address answers 200, with growing pauses; for scripts that start processes.
#include <algorithm>
#include <cstdio>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

#include "kernel/kernel.h"
#include "wire/http_client.h"

DEFINE_string(address, "", "ip:port");
DEFINE_string(path, "/ready", "path to ask for");
DEFINE_string(contains, "", "text that the answer must contain; empty: any");
DEFINE_uint32(limit_s, 30, "longest wait, seconds");

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr auto first_pause = 10ms;
constexpr auto longest_pause = 200ms;

awaitable<void> wait_for_answer(kernel& k, int& code) {
  const time_point limit = timer_service::now() + std::chrono::seconds(FLAGS_limit_s);
  milliseconds pause = first_pause;
  std::string last = "nothing was asked";
  while (timer_service::now() < limit) {
    http_request request{.method = "GET", .path = FLAGS_path};
    outcome<http_response> answer = co_await http_call(k.timers(), k.executor(), FLAGS_address, std::move(request), 2s);
    if (answer && answer->status == 200 && answer->body.find(FLAGS_contains) != std::string::npos) {
      code = 0;
      break;
    }
    last = answer ? answer->body : answer.failure().message();
    boost::asio::experimental::channel<void(boost::system::error_code)> over(k.executor(), 1);
    const subscription wait = k.timers().after(pause, [&over] { over.try_send(boost::system::error_code{}); });
    (void)co_await over.async_receive(use_tuple);
    pause = std::min<milliseconds>(pause * 2, longest_pause);
  }
  if (code != 0) std::fprintf(stderr, "heatherdeck_wait: %s\n", last.c_str());
  k.io().stop();
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  heatherdeck::kernel k;
  int code = 1;
  boost::asio::co_spawn(k.io(), heatherdeck::wait_for_answer(k, code), boost::asio::detached);
  k.io().run();
  return code;
}

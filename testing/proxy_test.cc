// Guards the proxy's path from caller to the upstream on the same host: streaming, limits, refusals, cancellation.
#include "testing/proxy_harness.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

TEST(proxy, serves_get_and_post_on_one_connection_and_reuses_the_upstream_connection) {
  proxy_harness h(echo_upstream);
  h.run([&]() -> awaitable<void> {
    auto caller = co_await h.connect();
    for (int i = 0; i < 3; ++i) {
      co_await h.send(*caller, "GET /certificates/7 HTTP/1.1\r\nHost: certdesk.pwani\r\n\r\n");
      auto answer = co_await h.read_answer(*caller);
      EXPECT_EQ(answer.result_int(), 200U);
      EXPECT_EQ(answer.body(), "GET /certificates/7 ");
      EXPECT_EQ(answer["hd-served-by"], "certdesk-1; version=v1; zone=dar-1; reason=local");
      EXPECT_FALSE(answer["hd-request-id"].empty());
    }
    co_await h.send(*caller, "POST /bookings HTTP/1.1\r\nHost: certdesk.pwani\r\nContent-Length: 5\r\n\r\nhello");
    auto answer = co_await h.read_answer(*caller);
    EXPECT_EQ(answer.body(), "POST /bookings hello");
    EXPECT_EQ(answer["x-kept"], "1");
  });
  EXPECT_EQ(h.upstream_connections, 1U);
  EXPECT_EQ(h.traffic->open_tickets, 0U);
  ASSERT_EQ(h.traffic->finished.size(), 4U);
  EXPECT_EQ(h.traffic->finished[0].outcome, call_outcome::ok);
}

}  // namespace
}  // namespace heatherdeck

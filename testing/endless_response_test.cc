// An upstream in trouble may send bytes that never become a complete answer, until its connection is closed: an endless
// head, endless interim responses, an endless body, or a body of which a byte drips now and then. Guards against
// exchanges that stay open for good and hold a slot, memory or the caller's connection, and against callers that get
// such an answer as a complete one.
#include <gtest/gtest.h>

#include "node/exchange_core.h"
#include "testing/proxy_harness.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

// Sends `head` once and then `part` until the node closes the connection.
upstream_script endless(std::string head, std::string part, milliseconds pause, bool* closed) {
  return [=](tcp_socket s) -> awaitable<void> {
    h1_stream stream(std::move(s));
    h1_reader<true> reader(stream);
    (void)co_await reader.read_head();
    boost::asio::steady_timer timer(stream.socket.get_executor());
    auto [ec, written] = co_await boost::asio::async_write(stream.socket, boost::asio::buffer(head), use_tuple);
    while (!ec) {
      auto [failed, size] = co_await boost::asio::async_write(stream.socket, boost::asio::buffer(part), use_tuple);
      ec = failed;
      if (pause.count() == 0) continue;
      timer.expires_after(pause);
      (void)co_await timer.async_wait(use_tuple);
    }
    *closed = true;
  };
}

struct endless_case {
  std::string name;
  std::string head;
  std::string part;
};

class endless_head : public testing::TestWithParam<endless_case> {};

// Such an upstream counts as faulty, and the caller is told at once that the request may have run.
TEST_P(endless_head, is_answered_as_invalid_and_the_connection_is_closed) {
  bool closed = false;
  proxy_harness h(endless(GetParam().head, GetParam().part, 0ms, &closed));
  h.run([&]() -> awaitable<void> {
    auto caller = co_await h.connect();
    co_await h.send(*caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    auto response = co_await h.read_response(*caller);
    EXPECT_EQ(response.result_int(), 502U);
    EXPECT_EQ(response["hd-outcome"], "unknown");
    EXPECT_TRUE(co_await eventually(h.k, [&] { return closed; }));
  });
  EXPECT_EQ(h.traffic->finished[0].outcome, call_outcome::upstream_error);
}

INSTANTIATE_TEST_SUITE_P(heads, endless_head,
                         testing::Values(endless_case{"status_line", "HTTP/1.1 200 ", std::string(4096, 'a')},
                                         endless_case{"no_http_at_all", "", std::string(4096, '\0')},
                                         endless_case{"header_lines", "HTTP/1.1 200 OK\r\n", "x-more: of the same\r\n"},
                                         endless_case{"one_header_value",
                                                      "HTTP/1.1 200 OK\r\nx-long: ", std::string(4096, 'a')},
                                         endless_case{"interim_responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"}),
                         [](const auto& info) { return info.param.name; });

class endless_body : public testing::TestWithParam<endless_case> {};

// The head has reached the caller, so the end of its connection must show that the answer is incomplete.
TEST_P(endless_body, never_looks_complete_and_ends_soon_after_the_deadline) {
  bool closed = false;
  proxy_harness h(endless(GetParam().head, GetParam().part, 0ms, &closed));
  bool complete = true;
  const time_point begin = timer_service::now();
  time_point end{};
  h.run([&]() -> awaitable<void> {
    auto caller = co_await h.connect();
    co_await h.send(*caller, "GET / HTTP/1.1\r\nHost: a\r\nhd-deadline-ms: 700\r\n\r\n");
    h1_reader<false> reader(*caller);
    (void)co_await reader.read_head();
    for (;;) {
      auto data = co_await reader.read_body();
      if (!data) complete = false;
      if (!data || data->empty()) break;
    }
    end = timer_service::now();
    EXPECT_TRUE(co_await eventually(h.k, [&] { return closed; }));
  });
  EXPECT_FALSE(complete);
  EXPECT_LT(end - begin, 700ms + max_response_overrun + 2s) << "a generous margin for a busy machine";
}

INSTANTIATE_TEST_SUITE_P(
    bodies, endless_body,
    testing::Values(endless_case{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                 "1000\r\n" + std::string(4096, 'a') + "\r\n"},
                    endless_case{"until_close", "HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'a')},
                    endless_case{"chunk_extension",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5;",
                                 std::string(4096, 'a')},
                    endless_case{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
                                 "x-more: of the same\r\n"}),
    [](const auto& info) { return info.param.name; });

// A byte now and then was progress enough to keep the exchange open for good.
TEST(endless_response, dripping_body_is_given_up_without_sufficient_progress) {
  bool closed = false;
  proxy_harness h(endless("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "a", 100ms, &closed));
  h.choice.timeout = 500ms;
  const time_point begin = timer_service::now();
  h.run([&]() -> awaitable<void> {
    auto caller = co_await h.connect();
    co_await h.send(*caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    h1_reader<false> reader(*caller);
    (void)co_await reader.read_head();
    bool failed = false;
    while (!failed) failed = !(co_await reader.read_body());
    EXPECT_TRUE(co_await eventually(h.k, [&] { return closed; }));
  });
  const duration lasted = timer_service::now() - begin;
  EXPECT_GE(lasted, min_body_period - 100ms);
  EXPECT_LT(lasted, min_body_period + 3s);
}

// Callers beside it get their own answers while one upstream sends without end.
TEST(endless_response, other_calls_are_answered_meanwhile) {
  constexpr int calls = 2000;
  bool closed = false;
  const upstream_script flood = endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                        "1000\r\n" + std::string(4096, 'a') + "\r\n", 0ms, &closed);
  bool first = true;
  proxy_harness h([&](tcp_socket s) -> awaitable<void> {
    if (std::exchange(first, false)) {
      co_await flood(std::move(s));
      co_return;
    }
    h1_stream stream(std::move(s));
    for (;;) {
      h1_reader<true> reader(stream);
      if (const auto ec = co_await reader.read_head()) co_return;
      const std::string body(reader.message().target());
      co_await proxy_harness::send(
          stream, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  });
  int right = 0;
  h.run([&]() -> awaitable<void> {
    auto stuck = co_await h.connect();
    co_await h.send(*stuck, "GET /flood HTTP/1.1\r\nHost: a\r\nhd-deadline-ms: 20000\r\n\r\n");
    EXPECT_TRUE(co_await eventually(h.k, [&] { return !first; }));
    auto caller = co_await h.connect();
    for (int i = 0; i < calls; ++i) {
      const std::string path = "/" + std::to_string(i);
      co_await h.send(*caller, "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
      auto response = co_await h.read_response(*caller);
      right += response.body() == path ? 1 : 0;
    }
    stuck->close();
    EXPECT_TRUE(co_await eventually(h.k, [&] { return closed; }));
  });
  EXPECT_EQ(right, calls);
}

TEST(endless_response, body_progress_restarts_the_period_and_waiting_for_the_caller_does_not_count) {
  const time_point start = time_point{} + 1h;
  exchange_core core({.deadline = 60s}, start);
  core.begin_attempt(true, 2s, start);
  core.mark_sent();
  core.mark_response_started();
  EXPECT_EQ(core.body_due(start, 60s), start + min_body_period);
  core.on_body_read(1, 3s);
  EXPECT_EQ(core.body_due(start + 30s, 60s), start + 30s + min_body_period - 3s) << "27 s were spent on the caller";
  core.on_body_read(min_body_progress, 1s);
  EXPECT_EQ(core.body_due(start + 40s, 60s), start + 40s + min_body_period);
  EXPECT_EQ(core.body_due(start + 40s, 1s), start + 41s) << "the idle timeout";
  EXPECT_EQ(core.body_due(start + 59s, 60s), start + 60s + max_response_overrun);
}

}  // namespace
}  // namespace heatherdeck

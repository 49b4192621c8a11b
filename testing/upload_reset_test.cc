// An upstream responds to an upload before it has read it, without a length, and resets the connection within its
// response. The kernel reports a reset once, to the operation that comes first: if that is a write of the upload,
// reading ends as if the response were complete. Guards against callers that get a part of a response as a complete
// one.
#include "platform/dialect.h"
#include "testing/early_upstream.h"
#include "testing/scripted_peer.h"
#include "testing/second_node.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

awaitable<void> use_upstream_connection(proxy_harness& node) {
  const auto response = co_await node.call("GET /first HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n\r\n");
  EXPECT_EQ(response.result_int(), 200U);
}

/// Runs one case and checks what its caller gets.
void expect_incomplete(proxy_harness& node, early_upstream& upstream) {
  const upload_case& c = upstream.tested;
  SCOPED_TRACE(describe(c));
  upstream.relayed = false;
  upstream.on_reused = 0;
  node.run([&]() -> awaitable<void> {
    if (c.reused) co_await use_upstream_connection(node);
    const auto on_part = [&](std::size_t size) { upstream.relayed = upstream.relayed || size >= c.relayed; };
    const upload_result result = co_await upload(node.k, node.address(), c, on_part);
    EXPECT_EQ(result.status, 200U) << "the head was relayed before the reset";
    EXPECT_GE(result.size, c.relayed);
    EXPECT_FALSE(result.complete) << result.size << " bytes";
  });
  EXPECT_EQ(upstream.on_reused, c.reused ? 1U : 0U);
}

TEST(upload_reset, response_of_an_upstream_on_this_host_is_incomplete) {
  for (const upload_case& c : upload_cases()) {
    early_upstream upstream{.tested = c};
    proxy_harness node(upstream.script(), 60s, false, dialect_of(dialect_name::platform));
    expect_incomplete(node, upstream);
    EXPECT_EQ(node.upstream_connections, 1U) << "the request must not be repeated: its response had begun";
    ASSERT_FALSE(node.traffic->finished.empty());
    EXPECT_EQ(node.traffic->finished.back().outcome, call_outcome::connection_failed) << describe(c);
  }
}

TEST(upload_reset, response_of_an_upstream_behind_another_node_is_incomplete) {
  for (const upload_case& c : upload_cases()) {
    early_upstream upstream{.tested = c};
    second_node second(upstream.script(), dialect_of(dialect_name::platform));
    proxy_harness first(echo_upstream, 60s, true, dialect_of(dialect_name::platform));
    route_to(first, second);
    expect_incomplete(first, upstream);
  }
}

struct response_end {
  std::string status;
  std::string fields;
  std::size_t sent;  ///< bytes of the body
  bool complete;
};

// A response whose head tells its end is judged by that alone, also if the upload is reset after it.
TEST(upload_reset, response_with_a_declared_end_is_complete_if_all_of_it_has_arrived) {
  const response_end ends[] = {
      {"200 OK", "Content-Length: 100\r\n", 100, true},
      {"200 OK", "Content-Length: 101\r\n", 100, false},
      {"200 OK", "Transfer-Encoding: chunked\r\n", 0, false},
      {"200 OK", "Content-Length: 0\r\n", 0, true},
      {"204 No Content", "", 0, true},
      {"304 Not Modified", "", 0, true},
  };
  for (const response_end& end : ends) {
    for (const bool fast : {false, true}) {
      SCOPED_TRACE(fmt::format("{}, {}, {} upload", end.status, end.fields, fast ? "fast" : "slow"));
      early_upstream upstream{
          .tested = {.fast = fast, .relayed = end.sent}, .status = end.status, .fields = end.fields};
      proxy_harness node(upstream.script(), 60s, false, dialect_of(dialect_name::platform));
      node.run([&]() -> awaitable<void> {
        const auto on_part = [&](std::size_t size) { upstream.relayed = upstream.relayed || size >= end.sent; };
        const upload_result result = co_await upload(node.k, node.address(), upstream.tested, on_part);
        EXPECT_EQ(result.status, static_cast<unsigned>(std::stoul(end.status)));
        EXPECT_EQ(result.size, end.sent);
        EXPECT_EQ(result.complete, end.complete);
      });
    }
  }
}

struct early_stream_end {
  const char* name;
  std::uint32_t reset_code;  ///< HTTP/2 error code; `ends` instead of a reset
  bool sized = false;        ///< the response declares a length, which it does not reach
};

constexpr std::uint32_t ends = 0xFFFF;  ///< END_STREAM
constexpr std::uint32_t code_no_error = 0;
constexpr std::uint32_t code_internal_error = 2;
constexpr std::uint32_t code_refused_stream = 7;
constexpr std::uint32_t code_cancel = 8;

/// Another node that responds to an upload early and ends the stream within its response.
awaitable<void> respond_on_stream(incoming_stream incoming, early_stream_end end, std::atomic<bool>& relayed) {
  header_list fields{{":status", "200"}, {"x-response-seal", "s"}};
  if (end.sized) fields.emplace_back("content-length", "1000");
  auto sending_head = incoming.stream->send_headers(std::move(fields), false);
  (void)co_await std::move(sending_head);
  auto sending = incoming.stream->write(std::string(100, 'a'), false);
  (void)co_await std::move(sending);
  const auto executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer timer(executor);
  const time_point limit = timer_service::now() + 10s;
  while (!relayed && timer_service::now() < limit) {
    timer.expires_after(1ms);
    (void)co_await timer.async_wait(use_tuple);
  }
  if (end.reset_code != ends) {
    incoming.stream->reset(end.reset_code);
    co_return;
  }
  auto ending = incoming.stream->write({}, true);
  (void)co_await std::move(ending);
  auto closing = incoming.stream->wait_closed();
  (void)co_await std::move(closing);
}

// The same between nodes: a stream that is reset, or ends before the declared length, is no complete response.
TEST(upload_reset, response_of_a_stream_that_ends_early_is_incomplete) {
  const early_stream_end ends_early[] = {
      {"no error", code_no_error}, {"internal error", code_internal_error}, {"refused", code_refused_stream},
      {"cancelled", code_cancel},  {"cancelled, sized", code_cancel, true}, {"ended, sized", ends, true},
  };
  for (const early_stream_end& end : ends_early) {
    for (const bool fast : {false, true}) {
      SCOPED_TRACE(fmt::format("{}, {} upload", end.name, fast ? "fast" : "slow"));
      std::atomic<bool> relayed = false;
      scripted_peer peer(
          [&](incoming_stream incoming) { return respond_on_stream(std::move(incoming), end, relayed); });
      proxy_harness node(echo_upstream, 60s, true, dialect_of(dialect_name::platform));
      node.choice.local = false;
      node.choice.mesh_address = peer.address();
      node.run([&]() -> awaitable<void> {
        const upload_case c{.fast = fast};
        const auto on_part = [&](std::size_t size) { relayed = relayed || size >= 100; };
        const upload_result result = co_await upload(node.k, node.address(), c, on_part);
        EXPECT_EQ(result.status, 200U);
        EXPECT_EQ(result.size, 100U);
        EXPECT_FALSE(result.complete);
      });
      EXPECT_EQ(node.traffic->requests.size(), 1U) << "a response had begun, so the request must not be repeated";
    }
  }
}

// The other side of it: a response without a length that ends cleanly is complete, also while a write of the upload
// waits.
TEST(upload_reset, response_that_ends_cleanly_during_the_upload_is_complete) {
  for (const upload_case& c : upload_cases()) {
    if (c.unread > 0) continue;
    SCOPED_TRACE(describe(c));
    early_upstream upstream{.tested = c, .resets = false};
    proxy_harness node(upstream.script(), 60s, false, dialect_of(dialect_name::platform));
    node.run([&]() -> awaitable<void> {
      if (c.reused) co_await use_upstream_connection(node);
      const auto on_part = [&](std::size_t size) { upstream.relayed = upstream.relayed || size >= c.relayed; };
      const upload_result result = co_await upload(node.k, node.address(), c, on_part);
      EXPECT_EQ(result.status, 200U);
      EXPECT_EQ(result.size, c.relayed);
      EXPECT_TRUE(result.complete);
    });
  }
}

}  // namespace
}  // namespace heatherdeck

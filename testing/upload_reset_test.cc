// An upstream answers an upload before it has read it, without a length, and resets the connection within its answer.
// The kernel reports a reset once, to the operation that comes first: if that is a write of the upload, reading ends as
// if the answer were complete. Guards against callers that get a part of an answer as a complete one.
#include "platform/dialect.h"
#include "testing/early_upstream.h"
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

TEST(upload_reset, answer_of_an_upstream_on_this_host_is_incomplete) {
  for (const upload_case& c : upload_cases()) {
    early_upstream upstream{.tested = c};
    proxy_harness node(upstream.script(), 60s, false, dialect_of(dialect_name::platform));
    expect_incomplete(node, upstream);
    EXPECT_EQ(node.upstream_connections, 1U) << "the request must not be repeated: its answer had begun";
    ASSERT_FALSE(node.traffic->finished.empty());
    EXPECT_EQ(node.traffic->finished.back().outcome, call_outcome::connection_failed) << describe(c);
  }
}

TEST(upload_reset, answer_of_an_upstream_behind_another_node_is_incomplete) {
  for (const upload_case& c : upload_cases()) {
    early_upstream upstream{.tested = c};
    second_node second(upstream.script(), dialect_of(dialect_name::platform));
    proxy_harness first(echo_upstream, 60s, true, dialect_of(dialect_name::platform));
    route_to(first, second);
    expect_incomplete(first, upstream);
  }
}

// The other side of it: an answer without a length that ends orderly is complete, also while a write of the upload
// waits.
TEST(upload_reset, answer_that_ends_orderly_during_the_upload_is_complete) {
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

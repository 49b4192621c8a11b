// Tests calls over two nodes with the real mesh between them: bodies, forwarded limits, hd-outcome, cancellation.
#include <atomic>
#include <thread>

#include "testing/second_node.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

TEST(proxy_peer, bodies_and_limits_are_forwarded_over_two_nodes) {
  second_node second(echo_upstream);
  second.harness.choice.target_load = load_report{7, 2};
  {
    proxy_harness first(echo_upstream, 60s, true);
    route_to(first, second);
    first.run([&]() -> awaitable<void> {
      auto caller = co_await first.connect();
      const std::string big(3'000'000, 'b');
      const std::pair<std::string, std::string> cases[] = {
          {"GET /a HTTP/1.1\r\nHost: h\r\nX-Team: ferry\r\nhd-deadline-ms: 4000\r\n\r\n", "GET /a "},
          {"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "POST /b abc"},
          {"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
           "PUT /c abc"},
          {"POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n" + big, "POST /d " + big}};
      for (const auto& [request, body] : cases) {
        co_await first.send(*caller, request);
        auto response = co_await first.read_response(*caller);
        EXPECT_EQ(response.result_int(), 200U) << body.substr(0, 10);
        EXPECT_TRUE(response.body() == body) << body.substr(0, 10);
        EXPECT_EQ(response["hd-served-by"], "certdesk-1; version=v1; zone=dar-1; reason=zone");
        EXPECT_EQ(response.count("hd-load"), 0U);
      }
    });
    ASSERT_EQ(first.traffic->finished.size(), 4U);
    ASSERT_TRUE(first.traffic->finished[0].load) << "the load must be forwarded with the response";
    EXPECT_EQ(first.traffic->finished[0].load->in_flight, 7U);
  }
  second.join();
  const request_attributes& request = second.harness.traffic->requests.at(0);
  EXPECT_TRUE(request.from_peer);
  EXPECT_EQ(request.service, "certdesk");
  EXPECT_EQ(request.upstream_version, "v1");
  EXPECT_EQ(request.host, "h");
  EXPECT_EQ(request.headers.at("x-team"), "ferry");
  EXPECT_LE(request.deadline, 4000ms);
  EXPECT_EQ(second.harness.traffic->open_picks, 0U);
}

// If a draining node rejects a request, the request must be retried elsewhere, and the last rejection must reach the
// caller as "not-run".
TEST(proxy_peer, rejection_by_the_second_node_is_retried_and_relayed) {
  second_node second(echo_upstream);
  second.post([&] {
    second.harness.traffic->pick = [](const request_attributes&) { return refusal{refusal_reason::draining}; };
  });
  proxy_harness first(echo_upstream, 60s, true);
  route_to(first, second);
  first.run([&]() -> awaitable<void> {
    auto response = co_await first.call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_EQ(response["hd-outcome"], "not-run");
    EXPECT_EQ(response["hd-refused"], "draining");
  });
  EXPECT_EQ(first.traffic->requests.size(), max_attempts);
  EXPECT_EQ(first.traffic->finished[0].outcome, call_outcome::not_executed);
  // If another upstream can be chosen, the buffered body is sent again.
  first.traffic->pick = [&first](const request_attributes& attributes) {
    upstream_choice picked = first.choice;
    picked.local = attributes.attempt > 0;
    return picked;
  };
  first.run([&]() -> awaitable<void> {
    auto response = co_await first.call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
    EXPECT_EQ(response.body(), "POST / abc");
  });
}

TEST(proxy_peer, failure_of_the_second_node_or_its_upstream_is_unknown_and_executed_once) {
  for (const bool stop_node : {false, true}) {
    std::atomic<int> runs = 0;
    second_node* node = nullptr;
    second_node second([&](tcp_socket s) -> awaitable<void> {
      h1_stream stream(std::move(s));
      (void)co_await read_whole_request(stream);
      ++runs;
      if (stop_node) node->harness.mesh->stop();
    });
    node = &second;
    proxy_harness first(echo_upstream, 60s, true);
    route_to(first, second);
    first.run([&]() -> awaitable<void> {
      auto response = co_await first.call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
      EXPECT_EQ(response.result_int(), 502U);
      EXPECT_EQ(response["hd-outcome"], "unknown");
    });
    EXPECT_EQ(runs, 1);
  }
}

TEST(proxy_peer, unreachable_second_node_is_reported_as_not_executed) {
  proxy_harness first(echo_upstream, 60s, true);
  boost::asio::ip::tcp::acceptor unused(first.k.io(), {boost::asio::ip::address_v4::loopback(), 0});
  first.choice.local = false;
  first.choice.mesh_address = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
  unused.close();
  first.run([&]() -> awaitable<void> {
    auto response = co_await first.call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_EQ(response["hd-outcome"], "not-run");
  });
}

// If a caller disconnects, the connection to the upstream behind the second node must be closed.
TEST(proxy_peer, cancellation_reaches_the_upstream_behind_the_second_node) {
  std::atomic<bool> started = false;
  std::atomic<bool> closed = false;
  second_node second([&](tcp_socket s) -> awaitable<void> {
    h1_stream stream(std::move(s));
    (void)co_await read_whole_request(stream);
    started = true;
    char byte = 0;
    auto [ec, size] = co_await stream.socket.async_read_some(boost::asio::buffer(&byte, 1), use_tuple);
    closed = bool(ec);
  });
  proxy_harness first(echo_upstream, 60s, true);
  route_to(first, second);
  first.run([&]() -> awaitable<void> {
    auto caller = co_await first.connect();
    co_await first.send(*caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_TRUE(co_await eventually(first.k, [&] { return started.load(); }));
    caller->close();
    EXPECT_TRUE(co_await eventually(first.k, [&] { return closed.load(); }));
  });
}

// If the deadline passes while the second node waits for its upstream, the caller gets hd-outcome "unknown" and the
// request is cancelled.
TEST(proxy_peer, deadline_is_enforced_over_two_nodes) {
  std::atomic<bool> started = false;
  std::atomic<bool> closed = false;
  second_node second([&](tcp_socket s) -> awaitable<void> {
    h1_stream stream(std::move(s));
    (void)co_await read_whole_request(stream);
    started = true;
    char byte = 0;
    auto [ec, size] = co_await stream.socket.async_read_some(boost::asio::buffer(&byte, 1), use_tuple);
    closed = bool(ec);
  });
  proxy_harness first(echo_upstream, 60s, true);
  route_to(first, second);
  // On a busy machine the mesh connection alone can take more than 100 ms.
  constexpr milliseconds deadline = 1s;
  first.run([&]() -> awaitable<void> {
    const time_point start = timer_service::now();
    auto response =
        co_await first.call("POST / HTTP/1.1\r\nHost: a\r\nhd-deadline-ms: " + std::to_string(deadline.count()) +
                            "\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_TRUE(started) << "the request did not reach the upstream within its deadline";
    EXPECT_EQ(response.result_int(), 504U);
    EXPECT_EQ(response["hd-outcome"], "unknown");
    EXPECT_LT(timer_service::now() - start, deadline + 1900ms);
    EXPECT_TRUE(co_await eventually(first.k, [&] { return closed.load(); }));
  });
}

// Stops the whole second node while its upstream is at work, as on a host whose processor is taken.
void block_event_loop(duration time) { std::this_thread::sleep_for(time); }

constexpr duration longer_than_a_ping_check = 3s;

// Responds to one request after its node has been stopped for a while.
awaitable<void> pausing_upstream(tcp_socket socket) {
  h1_stream stream(std::move(socket));
  (void)co_await read_whole_request(stream);
  block_event_loop(longer_than_a_ping_check);
  co_await proxy_harness::send(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

// A node that was slow for more than 1 s lost every call on its connections; those that cannot be sent again got 504
// although their upstream answered them.
TEST(proxy_peer, call_that_cannot_be_sent_again_survives_a_slow_second_node) {
  second_node second(pausing_upstream);
  proxy_harness first(echo_upstream, 60s, true);
  route_to(first, second);
  first.run([&]() -> awaitable<void> {
    auto response = co_await first.call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_EQ(response.result_int(), 200U);
    EXPECT_EQ(response.body(), "ok");
  });
}

// An upload of an idempotent request was given up with 502 when the second node was slow, as if it could be sent again,
// although more of it had been forwarded than is buffered.
TEST(proxy_peer, upload_that_has_outgrown_its_buffer_survives_a_slow_second_node) {
  second_node second(pausing_upstream);
  proxy_harness first(echo_upstream, 60s, true);
  route_to(first, second);
  first.run([&]() -> awaitable<void> {
    auto response =
        co_await first.call("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'x'));
    EXPECT_EQ(response.result_int(), 200U);
    EXPECT_EQ(response.body(), "ok");
  });
}

// Its caller saw the connection closed within the answer.
TEST(proxy_peer, answer_that_has_begun_survives_a_slow_second_node) {
  second_node second([](tcp_socket s) -> awaitable<void> {
    h1_stream stream(std::move(s));
    (void)co_await read_whole_request(stream);
    co_await proxy_harness::send(stream, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
    boost::asio::steady_timer relayed(stream.socket.get_executor(), 200ms);
    (void)co_await relayed.async_wait(use_tuple);
    block_event_loop(longer_than_a_ping_check);
    co_await proxy_harness::send(stream, "lf");
  });
  proxy_harness first(echo_upstream, 60s, true);
  route_to(first, second);
  first.run([&]() -> awaitable<void> {
    auto response = co_await first.call("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(response.result_int(), 200U);
    EXPECT_EQ(response.body(), "half");
  });
}

// A call that can be sent again must not wait for its deadline at a node that is stopped, and later calls must not be
// sent on the connection to it, even if another call still waits there.
TEST(proxy_peer, repeatable_call_leaves_a_second_node_that_does_not_respond) {
  std::atomic<bool> started = false;
  second_node second([&](tcp_socket s) -> awaitable<void> {
    h1_stream stream(std::move(s));
    (void)co_await read_whole_request(stream);
    started = true;
    block_event_loop(longer_than_a_ping_check + 1s);
    co_await proxy_harness::send(stream, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  });
  proxy_harness first(echo_upstream, 60s, true);
  route_to(first, second);
  first.traffic->pick = [&first](const request_attributes& attributes) {
    upstream_choice picked = first.choice;
    picked.local = attributes.attempt > 0;
    picked.idempotent = attributes.method != "POST";
    return picked;
  };
  first.run([&]() -> awaitable<void> {
    std::string waiting_body;
    bool ended = false;
    boost::asio::co_spawn(
        first.k.io(),
        [&]() -> awaitable<void> {
          auto response = co_await first.call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
          waiting_body = response.body();
          ended = true;
        },
        boost::asio::detached);
    EXPECT_TRUE(co_await eventually(first.k, [&] { return started.load(); }));
    const time_point start = timer_service::now();
    auto response = co_await first.call("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(response.body(), "GET /elsewhere ");
    EXPECT_LT(timer_service::now() - start, 2900ms);
    EXPECT_TRUE(co_await eventually(first.k, [&] { return ended; }));
    EXPECT_EQ(waiting_body, "late");
  });
}

struct broken_answer {
  const char* name;
  std::string sent;
  bool reset;  ///< the connection is reset instead of closed
};

const broken_answer broken_answers[] = {
    {"fixed length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", false},
    {"fixed length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", true},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
    {"within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nhalf", false},
    {"before the end of the trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
     false},
    {"until close, reset", "HTTP/1.1 200 OK\r\n\r\nhalf", true},
    {"compressed", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 100\r\n\r\nhalf", false},
};

upstream_script breaks_off(const broken_answer& answer) {
  return [answer](tcp_socket s) -> awaitable<void> {
    h1_stream stream(std::move(s));
    if (!co_await read_whole_request(stream)) co_return;
    co_await proxy_harness::send(stream, answer.sent);
    // The node reads the first part before the connection ends.
    boost::asio::steady_timer timer(stream.socket.get_executor(), 50ms);
    (void)co_await timer.async_wait(use_tuple);
    boost::system::error_code ignored;
    if (answer.reset) stream.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    stream.close();
  };
}

// Reads everything that the caller gets; an answer that ends with its connection is complete only if the end is
// orderly.
awaitable<bool> gets_complete_answer(proxy_harness& h, std::string request) {
  auto caller = co_await h.connect();
  co_await h.send(*caller, std::move(request));
  h1_reader<false> reader(*caller);
  if (co_await reader.read_head()) co_return false;
  if (reader.message().result_int() != 200) co_return false;
  for (;;) {
    auto data = co_await reader.read_body();
    if (!data) co_return false;
    if (data->empty()) co_return true;
  }
}

// An answer that broke off halfway reached callers as a complete success in similar systems.
TEST(proxy_peer, answer_that_breaks_off_never_looks_complete) {
  const std::string request = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  const std::string old_request = "POST /a HTTP/1.0\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  for (const broken_answer& answer : broken_answers) {
    proxy_harness one(breaks_off(answer));
    one.run([&]() -> awaitable<void> {
      EXPECT_FALSE(co_await gets_complete_answer(one, request)) << answer.name;
      EXPECT_FALSE(co_await gets_complete_answer(one, old_request)) << answer.name << ", HTTP/1.0";
    });
    second_node second(breaks_off(answer));
    proxy_harness first([](tcp_socket) -> awaitable<void> { co_return; }, 60s, true);
    route_to(first, second);
    first.run([&]() -> awaitable<void> {
      EXPECT_FALSE(co_await gets_complete_answer(first, request)) << answer.name << ", two nodes";
      EXPECT_FALSE(co_await gets_complete_answer(first, old_request)) << answer.name << ", two nodes, HTTP/1.0";
    });
  }
}

// The other side of it: a body that ends with its connection in order is complete.
TEST(proxy_peer, body_that_ends_with_its_connection_is_complete) {
  const broken_answer whole{"until close", "HTTP/1.1 200 OK\r\n\r\nwhole", false};
  proxy_harness one(breaks_off(whole));
  one.run([&]() -> awaitable<void> {
    EXPECT_TRUE(co_await gets_complete_answer(one, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"));
    EXPECT_TRUE(co_await gets_complete_answer(one, "GET /a HTTP/1.0\r\nHost: a\r\n\r\n"));
  });
}

}  // namespace
}  // namespace heatherdeck

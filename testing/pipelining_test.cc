// Tests pipelined requests with real sockets: concurrency, order, bounds, and what runs and what is answered when a
// pipeline is cut at any point.
#include <map>
#include <random>
#include <set>

#include "testing/proxy_harness.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

std::string request_of(const std::string& path, const std::string& fields = {}) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

std::string post_of(const std::string& path, const std::string& fields = {}) {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n" + fields + "\r\nabc";
}

/// Holds each request until the test lets its path go. The response's body is the path, at least `body_size` long.
struct gated_upstream {
  proxy_harness* harness = nullptr;
  std::vector<std::string> seen;
  std::set<std::string> gone;      ///< paths whose connection ended before their response
  std::set<std::string> released;  ///< paths that are answered
  std::set<std::string> broken;    ///< paths whose response is broken off in its body
  std::set<std::string> answered;
  bool all = false;  ///< releases everything
  std::size_t body_size = 0;
  std::size_t sent = 0;

  bool has_seen(const std::string& path) const { return std::find(seen.begin(), seen.end(), path) != seen.end(); }

  std::string body_of(const std::string& path) const {
    return path + std::string(body_size > path.size() ? body_size - path.size() : 0, '.');
  }

  upstream_script script() {
    return [this](tcp_socket s) -> awaitable<void> {
      h1_stream stream(std::move(s));
      boost::asio::steady_timer timer(harness->k.io());
      for (;;) {
        h1_reader<true> reader(stream);
        if (co_await reader.read_head()) co_return;
        const std::string path(reader.message().target());
        while (!reader.done()) (void)co_await reader.read_body();
        seen.push_back(path);
        while (!all && !released.contains(path) && !broken.contains(path)) {
          timer.expires_after(1ms);
          (void)co_await timer.async_wait(use_tuple);
          if (!stream.remote_end_connected()) {
            gone.insert(path);
            co_return;
          }
        }
        const std::string body = body_of(path);
        std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (broken.contains(path)) {
          co_await proxy_harness::send(stream, head + body.substr(0, body.size() / 2));
          co_return;
        }
        co_await proxy_harness::send(stream, std::move(head));
        for (std::size_t done = 0; done < body.size();) {
          const std::size_t size = std::min<std::size_t>(body.size() - done, 65'536);
          auto [ec, written] = co_await boost::asio::async_write(
              stream.socket, boost::asio::buffer(body.data() + done, size), use_tuple);
          if (ec) co_return;
          done += written;
          sent += written;
        }
        answered.insert(path);
      }
    };
  }
};

/// A proxy with a gated upstream, and a caller.
struct pipelining : testing::Test {
  gated_upstream upstream;
  proxy_harness h{upstream.script()};
  std::unique_ptr<h1_stream> caller;

  pipelining() { upstream.harness = &h; }
  ~pipelining() override { caller.reset(); }

  awaitable<void> send(std::string text) {
    if (!caller) caller = co_await h.connect();
    co_await proxy_harness::send(*caller, std::move(text));
  }
  awaitable<bool> sees(std::size_t count) {
    return eventually(h.k, [this, count] { return upstream.seen.size() >= count; });
  }
  /// Lets everything that can happen without a further event happen.
  awaitable<void> settle() {
    (void)co_await eventually(h.k, [turn = 0]() mutable { return ++turn > 30; });
  }
  awaitable<void> expect_response(std::string path) {
    auto response = co_await h.read_response(*caller);
    EXPECT_EQ(response.result_int(), 200U) << path;
    EXPECT_EQ(response.body(), upstream.body_of(path));
  }
  awaitable<void> expect_end() {
    auto response = co_await h.read_response(*caller);
    EXPECT_EQ(response.result_int(), 0U);
  }
};

std::string path_of(int i) { return "/" + std::to_string(i); }

std::string eight() {
  std::string text;
  for (int i = 0; i < 8; ++i) text += request_of(path_of(i));
  return text;
}

// Each request waited for the response to the one ahead of it, so a pipeline took the sum of their times.
TEST_F(pipelining, eight_requests_run_at_the_same_time_and_are_answered_in_order) {
  h.run([&]() -> awaitable<void> {
    co_await send(eight());
    EXPECT_TRUE(co_await sees(8)) << "the others run while the first one is not answered";
    for (int i = 7; i >= 0; --i) {
      upstream.released.insert(path_of(i));
      EXPECT_TRUE(co_await eventually(h.k, [&] { return upstream.answered.contains(path_of(i)); }));
    }
    for (int i = 0; i < 8; ++i) co_await expect_response(path_of(i));
    // The connection is reused.
    upstream.all = true;
    co_await send(request_of("/later"));
    co_await expect_response("/later");
  });
  EXPECT_EQ(upstream.seen.size(), 9U);
}

TEST_F(pipelining, requests_that_arrive_one_by_one_run_beside_a_slow_one) {
  h.run([&]() -> awaitable<void> {
    for (int i = 0; i < 8; ++i) {
      co_await send(request_of(path_of(i)));
      EXPECT_TRUE(co_await sees(static_cast<std::size_t>(i) + 1));
    }
    upstream.all = true;
    for (int i = 0; i < 8; ++i) co_await expect_response(path_of(i));
  });
}

// The first request waits for a slot of its upstream, in "traffic"; the others must not wait with it.
TEST_F(pipelining, request_that_waits_for_a_slot_does_not_delay_the_others) {
  h.traffic->hold = [](const request_attributes& attributes) { return attributes.path == "/0"; };
  h.run([&]() -> awaitable<void> {
    co_await send(eight());
    EXPECT_TRUE(co_await sees(7));
    upstream.all = true;
    h.traffic->answer_held();
    for (int i = 0; i < 8; ++i) co_await expect_response(path_of(i));
  });
}

TEST_F(pipelining, ninth_request_waits_until_a_response_was_delivered) {
  h.run([&]() -> awaitable<void> {
    co_await send(eight() + request_of("/8") + request_of("/9"));
    EXPECT_TRUE(co_await sees(8));
    for (int i = 1; i < 8; ++i) upstream.released.insert(path_of(i));
    co_await settle();
    EXPECT_EQ(upstream.seen.size(), 8U);
    upstream.all = true;
    for (int i = 0; i < 10; ++i) co_await expect_response(path_of(i));
  });
}

TEST_F(pipelining, post_begins_after_all_ahead_of_it_ended_and_nothing_begins_beside_it) {
  h.run([&]() -> awaitable<void> {
    co_await send(request_of("/0") + request_of("/1") + post_of("/post") + request_of("/2"));
    EXPECT_TRUE(co_await sees(2));
    upstream.released.insert("/1");
    co_await settle();
    EXPECT_EQ(upstream.seen.size(), 2U);
    EXPECT_EQ(h.traffic->requests.size(), 2U);
    upstream.released.insert("/0");
    EXPECT_TRUE(co_await sees(3));
    co_await settle();
    EXPECT_EQ(upstream.seen.size(), 3U);
    EXPECT_TRUE(upstream.has_seen("/post"));
    upstream.all = true;
    for (const char* path : {"/0", "/1", "/post", "/2"}) co_await expect_response(path);
  });
}

// A GET of a route that is not idempotent is known only after an upstream was chosen.
TEST_F(pipelining, get_that_is_not_idempotent_is_not_sent_before_those_ahead_ended) {
  h.traffic->pick = [this](const request_attributes& attributes) {
    upstream_choice choice = h.choice;
    choice.idempotent = attributes.path != "/once";
    return choice;
  };
  for (const bool breaks_off : {false, true}) {
    h.run([&]() -> awaitable<void> {
      caller.reset();
      upstream.seen.clear();
      upstream.released.clear();
      co_await send(request_of("/0") + request_of("/once") + request_of("/2"));
      EXPECT_TRUE(co_await sees(2));
      upstream.released.insert("/2");
      co_await settle();
      EXPECT_FALSE(upstream.has_seen("/once"));
      EXPECT_LE(h.traffic->open_picks, 1U) << "no capacity is reserved while it waits";
      (breaks_off ? upstream.broken : upstream.released).insert("/0");
      if (breaks_off) {
        co_await expect_end();
      } else {
        upstream.released.insert("/once");
        for (const char* path : {"/0", "/once", "/2"}) co_await expect_response(path);
      }
    });
    EXPECT_EQ(upstream.has_seen("/once"), !breaks_off);
  }
}

// Callers send again everything behind a response that closes the connection.
TEST_F(pipelining, nothing_behind_a_closing_response_reaches_an_upstream) {
  upstream.all = true;
  h.run([&]() -> awaitable<void> {
    co_await send(request_of("/0") + request_of("/1", "Connection: close\r\n") + request_of("/2") + post_of("/post"));
    co_await expect_response("/0");
    co_await expect_response("/1");
    co_await expect_end();
  });
  EXPECT_EQ(upstream.seen.size(), 2U);
}

TEST_F(pipelining, malformed_request_is_refused_after_the_responses_ahead) {
  h.run([&]() -> awaitable<void> {
    co_await send(request_of("/0") + request_of("/1") + "GET / HTTP/1.1\r\nbad\r\n\r\n" + post_of("/post"));
    EXPECT_TRUE(co_await sees(2));
    upstream.all = true;
    co_await expect_response("/0");
    co_await expect_response("/1");
    auto refused = co_await h.read_response(*caller);
    EXPECT_EQ(refused.result_int(), 400U);
    co_await expect_end();
  });
  EXPECT_EQ(upstream.seen.size(), 2U);
}

// A response that was not begun is replaced by an error response, and those behind it are still delivered.
TEST_F(pipelining, response_that_breaks_off_while_it_waits_is_reported_as_failed) {
  h.run([&]() -> awaitable<void> {
    co_await send(request_of("/0") + request_of("/1") + request_of("/2"));
    EXPECT_TRUE(co_await sees(3));
    upstream.broken.insert("/1");
    upstream.released.insert("/2");
    co_await settle();
    upstream.all = true;
    co_await expect_response("/0");
    auto failed = co_await h.read_response(*caller);
    EXPECT_EQ(failed.result_int(), 502U);
    EXPECT_EQ(failed["hd-outcome"], "unknown");
    co_await expect_response("/2");
  });
}

TEST_F(pipelining, caller_that_disconnects_cancels_all) {
  h.run([&]() -> awaitable<void> {
    co_await send(eight());
    EXPECT_TRUE(co_await sees(8));
    caller->close();
    EXPECT_TRUE(co_await eventually(h.k, [&] { return upstream.gone.size() == 8; }));
  });
}

TEST_F(pipelining, stopping_process_answers_what_it_has_read) {
  bool drained = false;
  h.run([&]() -> awaitable<void> {
    co_await send(eight() + post_of("/post"));
    EXPECT_TRUE(co_await sees(8));
    boost::asio::co_spawn(
        h.k.io(),
        [&]() -> awaitable<void> {
          co_await h.proxy->drain();
          drained = true;
        },
        boost::asio::detached);
    co_await settle();
    upstream.all = true;
    for (int i = 0; i < 8; ++i) {
      auto response = co_await h.read_response(*caller);
      EXPECT_EQ(response.body(), path_of(i));
      EXPECT_TRUE(response.keep_alive()) << "the caller would not wait for the responses behind it";
    }
    auto last = co_await h.read_response(*caller);
    EXPECT_EQ(last.body(), "/post");
    EXPECT_FALSE(last.keep_alive());
    caller->close();
    EXPECT_TRUE(co_await eventually(h.k, [&] { return drained; }));
  });
}

TEST_F(pipelining, deadline_of_each_request_counts_from_when_it_was_read) {
  h.run([&]() -> awaitable<void> {
    co_await send(request_of("/0") + request_of("/1", "hd-deadline-ms: 40\r\n") +
                  post_of("/post", "hd-deadline-ms: 40\r\n") + request_of("/2"));
    EXPECT_TRUE(co_await sees(2));
    EXPECT_TRUE(co_await eventually(h.k, [&] { return upstream.gone.contains("/1"); }));
    EXPECT_TRUE(co_await eventually(h.k, [turn = 0]() mutable { return ++turn > 60; }));
    upstream.all = true;
    co_await expect_response("/0");
    auto late = co_await h.read_response(*caller);
    EXPECT_EQ(late.result_int(), 504U);
    auto refused = co_await h.read_response(*caller);
    EXPECT_EQ(refused.result_int(), 504U);
    EXPECT_EQ(refused["hd-outcome"], "not-run");
  });
  EXPECT_FALSE(upstream.has_seen("/post"));
}

// A connection whose requests run must not be closed as idle.
TEST(pipelining_idle, begins_after_the_last_response) {
  gated_upstream upstream;
  proxy_harness h(upstream.script(), 100ms);
  upstream.harness = &h;
  h.run([&]() -> awaitable<void> {
    auto caller = co_await h.connect();
    co_await h.send(*caller, request_of("/0") + request_of("/1"));
    EXPECT_TRUE(co_await eventually(h.k, [&] { return upstream.seen.size() == 2; }));
    upstream.released.insert("/1");
    EXPECT_TRUE(co_await eventually(h.k, [turn = 0]() mutable { return ++turn > 300; }));
    upstream.all = true;
    for (const char* path : {"/0", "/1"}) {
      auto response = co_await h.read_response(*caller);
      EXPECT_EQ(response.body(), path);
    }
    auto idle = co_await h.read_response(*caller);
    EXPECT_EQ(idle.result_int(), 408U);
    EXPECT_EQ(idle["hd-outcome"], "not-run");
  });
}

// Responses behind a slow one must not fill the memory of the node.
TEST_F(pipelining, large_responses_that_wait_are_bounded) {
  constexpr std::size_t total = 48UL * 1024 * 1024;
  constexpr std::size_t count = 4;
  upstream.body_size = total;
  h.run([&]() -> awaitable<void> {
    std::string text;
    for (std::size_t i = 0; i < count; ++i) text += request_of(path_of(static_cast<int>(i)));
    co_await send(text);
    EXPECT_TRUE(co_await sees(count));
    for (std::size_t i = 1; i < count; ++i) upstream.released.insert(path_of(static_cast<int>(i)));
    for (std::size_t before = 1; before != upstream.sent;) {
      before = upstream.sent;
      co_await settle();
    }
    EXPECT_LT(upstream.sent, (count - 1) * 12UL * 1024 * 1024) << "exceeds the kernel buffers of two sockets each";
    upstream.all = true;
    for (std::size_t i = 0; i < count; ++i) {
      auto response = co_await h.read_response(*caller);
      EXPECT_EQ(response.body().size(), total);
      EXPECT_TRUE(response.body().starts_with(path_of(static_cast<int>(i)) + "."));
    }
  });
}

enum class cut { caller_closes, upstream_breaks_off, closing_request, drain, deadline, count };

/// What a caller receives before its connection ends.
struct received_responses {
  int complete = 0;
  std::vector<unsigned> statuses;
};

// Cuts a pipeline of eight at each point: what the caller gets is a prefix in order, and a request that may not be
// repeated has run only if everything ahead of it was delivered.
void cut_pipeline(unsigned seed) {
  std::mt19937 random(seed);
  const auto kind = static_cast<cut>(random() % static_cast<unsigned>(cut::count));
  const int at = static_cast<int>(random() % 8);
  const int post_at = random() % 3 == 0 ? static_cast<int>(random() % 8) : 8;
  SCOPED_TRACE("seed " + std::to_string(seed) + " kind " + std::to_string(static_cast<int>(kind)) + " at " +
               std::to_string(at) + " post " + std::to_string(post_at));
  gated_upstream upstream;
  upstream.body_size = random() % 4 == 0 ? 200'000 : 0;
  proxy_harness h(upstream.script());
  upstream.harness = &h;
  received_responses received;
  bool drained = kind != cut::drain;
  h.run([&]() -> awaitable<void> {
    auto caller = co_await h.connect();
    std::string text;
    for (int i = 0; i < 8; ++i) {
      std::string fields;
      if (i == at && kind == cut::closing_request) fields = "Connection: close\r\n";
      if (i == at && kind == cut::deadline) fields = "hd-deadline-ms: 30\r\n";
      text += i == post_at ? post_of(path_of(i), fields) : request_of(path_of(i), fields);
    }
    const std::size_t first_part = random() % text.size();
    co_await h.send(*caller, text.substr(0, first_part));
    if (random() % 2 == 0) (void)co_await eventually(h.k, [turn = 0]() mutable { return ++turn > 3; });
    co_await h.send(*caller, text.substr(first_part));
    std::vector<int> order{0, 1, 2, 3, 4, 5, 6, 7};
    std::shuffle(order.begin(), order.end(), random);
    bool ended = false;
    boost::asio::co_spawn(
        h.k.io(),
        [&]() -> awaitable<void> {
          for (int i = 0; i < 8; ++i) {
            auto response = co_await h.read_response(*caller);
            if (response.result_int() == 0) break;
            received.statuses.push_back(response.result_int());
            if (response.result_int() == 200) {
              EXPECT_EQ(response.body(), upstream.body_of(path_of(i)));
            }
            ++received.complete;
            if (!response.keep_alive()) break;
          }
          ended = true;
        },
        boost::asio::detached);
    for (int turn = 0; turn < 8; ++turn) {
      if (turn == at && kind == cut::caller_closes) caller->close();
      if (turn == at && kind == cut::drain) {
        boost::asio::co_spawn(
            h.k.io(),
            [&]() -> awaitable<void> {
              co_await h.proxy->drain();
              drained = true;
            },
            boost::asio::detached);
      }
      const int i = order[static_cast<std::size_t>(turn)];
      const bool held = kind == cut::deadline && i == at;
      if (!held) (kind == cut::upstream_breaks_off && i == at ? upstream.broken : upstream.released).insert(path_of(i));
      if (random() % 2 == 0) (void)co_await eventually(h.k, [n = 0]() mutable { return ++n > 2; });
    }
    EXPECT_TRUE(co_await eventually(h.k, [&] { return ended; }));
    caller->close();
    EXPECT_TRUE(co_await eventually(h.k, [&] { return drained && h.traffic->open_picks == 0; }));
  });
  const int posts = static_cast<int>(std::count(upstream.seen.begin(), upstream.seen.end(), path_of(post_at)));
  EXPECT_LE(posts, 1) << "a request that may not be repeated has run twice";
  if (post_at < 8 && kind != cut::caller_closes) {
    EXPECT_TRUE(posts == 0 || received.complete >= post_at);
  }
  if (kind == cut::closing_request) {
    EXPECT_EQ(received.complete, at + 1);
    for (int i = at + 1; i < 8; ++i) EXPECT_FALSE(upstream.has_seen(path_of(i)));
  }
  if (kind == cut::drain) {
    EXPECT_EQ(received.complete, 8);
  }
  if (kind == cut::deadline) {
    EXPECT_EQ(received.complete, 8);
    EXPECT_TRUE(received.statuses.size() == 8 && received.statuses[static_cast<std::size_t>(at)] == 504U);
  }
  if (kind == cut::upstream_breaks_off) {
    EXPECT_TRUE(received.complete == at || received.complete == 8) << received.complete;
  }
}

TEST(pipelining_cut, at_any_point_keeps_order_and_runs_nothing_twice) {
  for (unsigned seed = 1; seed <= 150; ++seed) {
    cut_pipeline(seed);
    if (testing::Test::HasFailure()) return;
  }
}

}  // namespace
}  // namespace heatherdeck

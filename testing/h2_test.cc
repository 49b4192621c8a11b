// Tests of HTTP/2 connections over loopback: parallel streams, flow control, resets, GOAWAY and an unresponsive peer.
#include <optional>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "wire/h2_connection.h"

namespace heatherdeck {
namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::uint32_t body_seed = 7;
constexpr std::uint32_t garbage_seed = 11;

const header_list request_headers = {
    {":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {":authority", "a"}, {"hd-stream", "call"}};

struct request {
  header_list headers;
  std::shared_ptr<h2_stream> stream;
};

// A client and a server connection in one kernel; the server's requests are posted to a mailbox.
struct connected_pair {
  kernel k;
  mailbox<request> requests{k.executor(), 1024};
  h2_connection client;
  h2_connection server;
  std::vector<h2_event> client_events;
  std::vector<h2_event> server_events;

  tcp::socket raw_client{k.executor()};

  explicit connected_pair(bool raw = false) {
    tcp::acceptor acceptor(k.executor(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    raw_client.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept();
    h2_connection_options options;
    options.side = h2_side::server;
    options.peer = "client";
    options.on_request = [inbox = requests.address()](std::shared_ptr<h2_stream_state> state, header_list headers) {
      inbox.post({std::move(headers), std::make_shared<h2_stream>(std::move(state))});
    };
    options.on_event = [this](h2_event e) { server_events.push_back(e); };
    server = h2_connection::start(std::move(accepted), k.timers(), std::move(options));
    if (raw) return;
    options = {};
    options.peer = "server";
    options.on_event = [this](h2_event e) { client_events.push_back(e); };
    client = h2_connection::start(std::move(raw_client), k.timers(), std::move(options));
  }

  void run(std::function<awaitable<void>()> body) {
    bool finished = false;
    boost::asio::co_spawn(k.io(), std::move(body), [&](std::exception_ptr failure) {
      if (failure) std::rethrow_exception(failure);
      finished = true;
      k.io().stop();
    });
    k.io().run_for(20s);
    EXPECT_TRUE(finished) << "the task of the test did not finish";
    k.io().restart();
  }

  void spawn(std::function<awaitable<void>()> body) {
    boost::asio::co_spawn(k.io(), std::move(body), boost::asio::detached);
  }
};

awaitable<std::string> read_all(std::shared_ptr<h2_stream> stream) {
  std::string body;
  while (true) {
    auto chunk = co_await stream->read();
    if (!chunk || chunk->empty()) co_return body;
    body += *chunk;
  }
}

awaitable<void> echo(std::shared_ptr<h2_stream> stream) {
  const header_list headers = {{":status", "200"}};
  auto sent = co_await stream->send_headers(headers, false);
  while (sent) {
    auto chunk = co_await stream->read();
    if (!chunk) co_return;
    const bool last = chunk->empty();
    sent = co_await stream->write(std::move(*chunk), last);
    if (last) co_return;
  }
}

awaitable<void> serve_echo(connected_pair& pair) {
  while (true) {
    auto arrived = co_await pair.requests.receive();
    if (!arrived) co_return;
    auto stream = arrived->stream;
    pair.spawn([stream] { return echo(stream); });
  }
}

std::string random_body(std::mt19937& random, std::size_t size) {
  std::string body(size, '\0');
  for (char& c : body) c = static_cast<char>(random());
  return body;
}

// If streams were mixed up, a caller would get the response to another caller's request.
TEST(h2, many_streams_get_their_own_whole_bodies) {
  connected_pair pair;
  std::mt19937 random(body_seed);
  std::size_t done = 0;
  constexpr std::size_t streams = 400;
  pair.spawn([&] { return serve_echo(pair); });
  wake_signal all(pair.k.executor());
  for (std::size_t i = 0; i < streams; ++i) {
    auto body = random_body(random, random() % 200'000);
    pair.spawn([&, body]() -> awaitable<void> {
      auto stream = pair.client.open(stream_kind::call, request_headers, false);
      pair.spawn([stream, body]() -> awaitable<void> { (void)co_await stream->write(body, true); });
      auto headers = co_await stream->read_headers();
      EXPECT_TRUE(headers) << headers.failure().message();
      const std::string got = co_await read_all(stream);
      EXPECT_TRUE(got == body);
      if (++done == streams) all.set();
    });
  }
  pair.run([&]() -> awaitable<void> { co_await all.wait(); });
  EXPECT_EQ(done, streams);
}

// A reader that stops must block only its own stream, and must not make the sender buffer without limit.
TEST(h2, slow_reader_blocks_only_its_own_stream) {
  connected_pair pair;
  std::size_t accepted = 0;
  pair.run([&]() -> awaitable<void> {
    auto slow = pair.client.open(stream_kind::call, request_headers, true);
    auto arrived = co_await pair.requests.receive();
    auto server_stream = arrived->stream;
    pair.spawn([&accepted, server_stream]() -> awaitable<void> {
      const header_list headers = {{":status", "200"}};
      (void)co_await server_stream->send_headers(headers, false);
      for (int i = 0; i < 1024; ++i) {
        std::string chunk(16'384, 'x');
        auto sent = co_await server_stream->write(std::move(chunk), false);
        if (!sent) co_return;
        accepted += 16'384;
      }
      (void)co_await server_stream->write({}, true);
    });
    pair.spawn([&] { return serve_echo(pair); });
    for (int i = 0; i < 20; ++i) {
      auto other = pair.client.open(stream_kind::call, request_headers, false);
      std::string body(100'000, 'y');
      pair.spawn([other, body]() -> awaitable<void> { (void)co_await other->write(body, true); });
      const std::string got = co_await read_all(other);
      EXPECT_EQ(got.size(), body.size());
    }
    EXPECT_LE(accepted, 2 * stream_buffer_bytes + 2 * 16'384UL);
    const std::string rest = co_await read_all(slow);
    EXPECT_EQ(rest.size(), 1024UL * 16'384);
  });
}

TEST(h2, reset_code_decides_the_error_at_the_peer) {
  connected_pair pair;
  pair.run([&]() -> awaitable<void> {
    auto cancelled = pair.client.open(stream_kind::call, request_headers, true);
    auto first = co_await pair.requests.receive();
    EXPECT_TRUE(cancelled->may_have_been_sent());
    cancelled.reset();  // drops the handle, as when the caller disconnects
    auto seen = co_await first->stream->wait_closed();
    EXPECT_FALSE(seen);
    EXPECT_EQ(seen.failure().kind, error_kind::closed);

    auto refused = pair.client.open(stream_kind::call, request_headers, false);
    auto second = co_await pair.requests.receive();
    second->stream->reset(7);
    auto headers = co_await refused->read_headers();
    EXPECT_EQ(headers.failure().kind, error_kind::not_processed);
    auto written = co_await refused->write("late", true);
    EXPECT_EQ(written.failure().kind, error_kind::not_processed);

    auto failed = pair.client.open(stream_kind::call, request_headers, false);
    auto third = co_await pair.requests.receive();
    third->stream.reset();  // dropped without a response: the request may have been processed
    auto answer = co_await failed->read_headers();
    EXPECT_EQ(answer.failure().kind, error_kind::closed);
  });
}

// A planned stop must not lose a request: open streams finish, and later ones are known not to be processed.
TEST(h2, goaway_finishes_open_streams_and_marks_later_ones_not_processed) {
  connected_pair pair;
  pair.run([&]() -> awaitable<void> {
    auto in_flight = pair.client.open(stream_kind::call, request_headers, false);
    auto arrived = co_await pair.requests.receive();
    auto server_stream = arrived->stream;
    pair.server.refuse_new_streams();
    auto late = pair.client.open(stream_kind::call, request_headers, true);
    auto refused = co_await late->read_headers();
    EXPECT_EQ(refused.failure().kind, error_kind::not_processed);
    EXPECT_EQ(pair.client_events, std::vector{h2_event::goaway_received});
    auto later = pair.client.open(stream_kind::call, request_headers, true);
    auto refused_again = co_await later->read_headers();
    EXPECT_EQ(refused_again.failure().kind, error_kind::not_processed);
    EXPECT_FALSE(later->may_have_been_sent());

    pair.spawn([server_stream] { return echo(server_stream); });
    auto sent = co_await in_flight->write("body", true);
    EXPECT_TRUE(sent);
    const std::string got = co_await read_all(in_flight);
    EXPECT_EQ(got, "body");
  });
  pair.run([&]() -> awaitable<void> {
    while (!pair.client.closed() || !pair.server.closed()) {
      wake_signal soon(pair.k.executor());
      const subscription after = pair.k.timers().after(1ms, [&] { soon.set(); });
      co_await soon.wait();
    }
  });
  EXPECT_EQ(pair.server_events, (std::vector{h2_event::calls_finished, h2_event::closed}));
}

// The PONG came right after a PING, and the next check, a little late, found it older than one check period and kept on
// counting: calls that took longer than 2 s were cut although the peer was well.
TEST(h2, long_silent_calls_to_a_responsive_peer_are_not_cut) {
  connected_pair pair;
  // Delays the event loop now and then, as on a busy host, so that timers fire late.
  const subscription busy = pair.k.timers().every(70ms, [] {
    const time_point until = timer_service::now() + 6ms;
    while (timer_service::now() < until) {
    }
  });
  outcome<header_list> answer;
  pair.spawn([&]() -> awaitable<void> {
    auto arrived = co_await pair.requests.receive();
    if (!arrived) co_return;
    boost::asio::steady_timer timer(pair.k.io(), 6s);
    (void)co_await timer.async_wait(use_tuple);
    const header_list headers = {{":status", "200"}};
    (void)co_await arrived->stream->send_headers(headers, true);
  });
  pair.run([&]() -> awaitable<void> {
    auto stream = pair.client.open(stream_kind::call, request_headers, true);
    answer = co_await stream->read_headers();
  });
  EXPECT_TRUE(answer) << answer.failure().message();
  EXPECT_TRUE(pair.client_events.empty());
}

// A process that is stopped by a signal keeps its sockets open; requests to it must not wait until their deadline.
TEST(h2, unresponsive_peer_is_detected_by_ping) {
  kernel k;
  tcp::acceptor acceptor(k.executor(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  tcp::socket socket(k.executor());
  socket.connect(acceptor.local_endpoint());
  const tcp::socket frozen = acceptor.accept();
  h2_connection_options options;
  options.peer = "frozen";
  const h2_connection client = h2_connection::start(std::move(socket), k.timers(), std::move(options));
  const time_point begun = timer_service::now();
  outcome<header_list> answer;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        auto stream = client.open(stream_kind::call, request_headers, true);
        answer = co_await stream->read_headers();
      },
      boost::asio::detached);
  k.io().run_for(10s);
  const duration taken = timer_service::now() - begun;
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.failure().kind, error_kind::timeout);
  EXPECT_GT(taken, 1900ms);
  EXPECT_LT(taken, 4s);
  EXPECT_TRUE(client.closed());
}

// A stream that waits for a stopped process must not keep the connection for good, and new streams go elsewhere at
// once.
TEST(h2, connection_to_an_unresponsive_peer_ends_with_the_last_stream_that_waits) {
  kernel k;
  tcp::acceptor acceptor(k.executor(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  tcp::socket socket(k.executor());
  socket.connect(acceptor.local_endpoint());
  const tcp::socket frozen = acceptor.accept();
  std::vector<h2_event> events;
  h2_connection_options options;
  options.peer = "frozen";
  options.on_event = [&](h2_event e) { events.push_back(e); };
  const h2_connection client = h2_connection::start(std::move(socket), k.timers(), std::move(options));
  const auto ready = std::make_shared<reply<std::shared_ptr<h2_stream>>::channel_type>(k.executor(), 1);
  const reply<std::shared_ptr<h2_stream>> answer(ready);
  client.open(stream_kind::call, request_headers, true, answer, silence_action::wait);
  std::shared_ptr<h2_stream> waiting;
  boost::asio::co_spawn(
      k.io(),
      [&, ready]() -> awaitable<void> {
        auto [ec, stream] = co_await ready->async_receive(use_tuple);
        waiting = *stream;
      },
      boost::asio::detached);
  k.io().run_for(3s);
  EXPECT_EQ(events, std::vector{h2_event::unresponsive});
  EXPECT_FALSE(client.closed());
  ASSERT_TRUE(waiting);
  EXPECT_FALSE(waiting->closed());
  waiting.reset();
  k.io().run_for(100ms);
  EXPECT_TRUE(client.closed());
}

// Guards against messages that vanish on a connection that has gone silent: a control stream whose response had begun
// was kept, and its holder, which has no deadline, went on writing to it.
TEST(h2, control_stream_fails_when_its_connection_goes_silent) {
  kernel k;
  kernel peer;
  tcp::acceptor acceptor(peer.executor(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  tcp::socket socket(k.executor());
  socket.connect(acceptor.local_endpoint());
  mailbox<request> requests{peer.executor(), 16};
  h2_connection_options server_options;
  server_options.side = h2_side::server;
  server_options.peer = "client";
  server_options.on_request = [inbox = requests.address()](std::shared_ptr<h2_stream_state> state,
                                                           header_list headers) {
    inbox.post({std::move(headers), std::make_shared<h2_stream>(std::move(state))});
  };
  const h2_connection server = h2_connection::start(acceptor.accept(), peer.timers(), std::move(server_options));
  h2_connection_options options;
  options.peer = "server";
  const h2_connection client = h2_connection::start(std::move(socket), k.timers(), std::move(options));
  std::shared_ptr<h2_stream> accepted;
  boost::asio::co_spawn(
      peer.io(),
      [&]() -> awaitable<void> {
        auto arrived = co_await requests.receive();
        accepted = arrived->stream;
        header_list headers{{":status", "200"}};
        (void)co_await accepted->send_headers(std::move(headers), false);
      },
      boost::asio::detached);
  auto stream = client.open(stream_kind::raft, request_headers, false);
  bool responded = false;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        auto headers = co_await stream->read_headers();
        responded = headers.has_value();
      },
      boost::asio::detached);
  const time_point begun = timer_service::now();
  while (!responded && timer_service::now() < begun + 10s) {
    k.io().run_one_for(1ms);
    peer.io().run_one_for(1ms);
  }
  ASSERT_TRUE(responded);
  // From here on the peer's kernel doesn't run, as if the connection carried nothing.
  k.io().run_for(4s);
  EXPECT_TRUE(stream->closed());
  EXPECT_TRUE(client.closed());
}

// A client that was slow for more than 1 s lost the calls that it had waited 5 s for: the server closed the connection.
TEST(h2, server_keeps_the_calls_of_a_slow_client) {
  kernel slow;
  kernel k;
  tcp::acceptor acceptor(k.executor(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  tcp::socket socket(slow.executor());
  socket.connect(acceptor.local_endpoint());
  mailbox<request> requests{k.executor(), 16};
  h2_connection_options options;
  options.side = h2_side::server;
  options.peer = "slow";
  options.on_request = [inbox = requests.address()](std::shared_ptr<h2_stream_state> state, header_list headers) {
    inbox.post({std::move(headers), std::make_shared<h2_stream>(std::move(state))});
  };
  const h2_connection server = h2_connection::start(acceptor.accept(), k.timers(), std::move(options));
  options = {};
  options.peer = "server";
  const h2_connection client = h2_connection::start(std::move(socket), slow.timers(), std::move(options));
  bool begun = false;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        auto arrived = co_await requests.receive();
        begun = true;
        boost::asio::steady_timer timer(k.io(), 7s);
        (void)co_await timer.async_wait(use_tuple);
        const header_list headers = {{":status", "200"}};
        (void)co_await arrived->stream->send_headers(headers, true);
      },
      boost::asio::detached);
  std::optional<outcome<header_list>> answer;
  boost::asio::co_spawn(
      slow.io(),
      [&]() -> awaitable<void> {
        auto stream = client.open(stream_kind::call, request_headers, true);
        answer = co_await stream->read_headers();
      },
      boost::asio::detached);
  const time_point limit = timer_service::now() + 20s;
  while (!begun && timer_service::now() < limit) {
    slow.io().run_one_for(1ms);
    k.io().run_one_for(1ms);
  }
  k.io().run_for(8s);  // the client's process does not run
  slow.io().run_for(500ms);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(*answer) << answer->failure().message();
}

TEST(h2, headers_beyond_the_limits_fail_only_their_own_stream) {
  connected_pair pair;
  pair.spawn([&] { return serve_echo(pair); });
  pair.run([&]() -> awaitable<void> {
    header_list many = request_headers;
    for (std::size_t i = 0; i < max_header_fields; ++i) many.emplace_back("x-" + std::to_string(i), "v");
    header_list large = request_headers;
    large.emplace_back("x-large", std::string(max_header_bytes, 'v'));
    auto first = pair.client.open(stream_kind::call, many, true);
    auto first_answer = co_await first->read_headers();
    EXPECT_FALSE(first_answer);
    auto second = pair.client.open(stream_kind::call, large, true);
    auto second_answer = co_await second->read_headers();
    EXPECT_FALSE(second_answer);
    auto good = pair.client.open(stream_kind::call, request_headers, true);
    auto good_answer = co_await good->read_headers();
    EXPECT_TRUE(good_answer);
  });
}

TEST(h2, length_prefixed_messages_of_any_size_arrive_complete) {
  connected_pair pair;
  pair.spawn([&] { return serve_echo(pair); });
  pair.run([&]() -> awaitable<void> {
    auto stream = pair.client.open(stream_kind::subscribe, request_headers, false);
    for (const std::size_t size : {0UL, 1UL, 300UL, 65'536UL, 3'000'000UL}) {
      const std::string message(size, 'm');
      pair.spawn([stream, message]() -> awaitable<void> { (void)co_await stream->write_frame(message); });
      auto got = co_await stream->read_frame();
      EXPECT_TRUE(got) << got.failure().message();
      if (!got) co_return;
      EXPECT_EQ(got->size(), size);
    }
    std::string large(max_frame_bytes + 1, 'm');
    auto refused = co_await stream->write_frame(std::move(large));
    EXPECT_EQ(refused.failure().kind, error_kind::limit);
    std::string false_size = "\xff\xff\xff\xff";
    (void)co_await stream->write(std::move(false_size), false);
    auto bad = co_await stream->read_frame();
    EXPECT_EQ(bad.failure().kind, error_kind::bad_message);
  });
}

// The message of a peer that stops within it must not be read as a shorter one.
TEST(h2, length_prefixed_message_that_breaks_off_is_not_delivered) {
  const std::string message = std::string("\0\0\0\x0a", 4) + "0123456789";
  for (const bool reset : {false, true}) {
    for (std::size_t size = 0; size < message.size(); ++size) {
      connected_pair pair;
      pair.spawn([&]() -> awaitable<void> {
        auto arrived = co_await pair.requests.receive();
        const header_list headers = {{":status", "200"}};
        (void)co_await arrived->stream->send_headers(headers, false);
        std::string sent = message.substr(0, size);
        (void)co_await arrived->stream->write(std::move(sent), !reset);
        if (reset) arrived->stream->reset(8);
        (void)co_await arrived->stream->wait_closed();
      });
      pair.run([&]() -> awaitable<void> {
        auto stream = pair.client.open(stream_kind::subscribe, request_headers, false);
        auto got = co_await stream->read_frame();
        EXPECT_FALSE(got) << size << (reset ? " bytes, reset" : " bytes, ended");
        if (got) co_return;
        EXPECT_EQ(got.failure().kind, error_kind::closed);
      });
    }
  }
}

// Streams of which nothing was sent may be retried; the others may have been processed.
TEST(h2, lost_connection_reports_whether_a_stream_was_sent) {
  connected_pair pair;
  pair.run([&]() -> awaitable<void> {
    auto sent = pair.client.open(stream_kind::call, request_headers, true);
    // The server keeps its stream: dropping it would send a reset, which can arrive before the connection closes.
    auto arrived = co_await pair.requests.receive();
    EXPECT_TRUE(arrived);
    pair.server.close();
    auto lost = co_await sent->read_headers();
    EXPECT_EQ(lost.failure().kind, error_kind::closed);
    EXPECT_TRUE(pair.client.closed());
    auto unsent = pair.client.open(stream_kind::call, request_headers, true);
    auto refused = co_await unsent->read_headers();
    EXPECT_EQ(refused.failure().kind, error_kind::not_processed);
    EXPECT_FALSE(unsent->may_have_been_sent());
  });
}

TEST(h2, random_bytes_only_close_the_connection) {
  std::mt19937 random(garbage_seed);
  for (int round = 0; round < 50; ++round) {
    connected_pair pair(/*raw=*/true);
    std::string bytes = round % 2 == 0 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
    bytes += random_body(random, 4096);
    boost::system::error_code ignored;
    boost::asio::write(pair.raw_client, boost::asio::buffer(bytes), ignored);
    pair.raw_client.shutdown(tcp::socket::shutdown_send, ignored);
    pair.k.io().run_for(5s);
    EXPECT_TRUE(pair.server.closed());
  }
}

}  // namespace
}  // namespace heatherdeck

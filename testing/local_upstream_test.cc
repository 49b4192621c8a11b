// Tests of a link to an upstream. `may_have_been_sent` decides whether a request is sent again and what its caller is
// told, so it must be false only if no byte of the request can have left the process. The end of a response without a
// length is complete only if the connection has not failed.
#include "node/local_upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "node/upstream_connection.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

constexpr int small_buffer = 4'096;

/// A node that holds one end of a TCP connection; the test is its pool and its upstream.
struct connected_upstream {
  kernel k;
  mailbox<pool_message> pool{k.executor(), 16};
  std::shared_ptr<proxy_context> context = std::make_shared<proxy_context>();
  tcp_socket upstream{k.executor()};
  upstream_connection_ptr connection;

  connected_upstream() {
    context->executor = k.executor();
    context->timers = &k.timers();
    context->pool = pool.address();
    tcp::acceptor acceptor(k.executor(), tcp::v4());
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(small_buffer));
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    tcp_socket node(k.executor());
    node.connect({boost::asio::ip::address_v4::loopback(), acceptor.local_endpoint().port()});
    node.set_option(boost::asio::socket_base::send_buffer_size(small_buffer));
    upstream = acceptor.accept();
    connection = std::make_shared<upstream_connection>(std::move(node), "127.0.0.1:1");
  }

  awaitable<outcome<upstream_link_ptr>> open(duration timeout = 5s) {
    request_head head;
    head.method = "POST";
    head.target = "/";
    head.body = body_framing::streamed;
    auto opening = open_local_upstream(context, {}, head, {}, timeout);
    co_return co_await std::move(opening);
  }

  /// Answers the next request for a connection.
  awaitable<void> give_connection() {
    auto message = co_await pool.receive();
    std::get<acquire_connection>(*message).answer(std::move(connection));
  }

  void reset() {
    upstream.set_option(boost::asio::socket_base::linger(true, 0));
    upstream.close();
  }

  /// @return what the upstream can read until the connection ends.
  std::string read_all() {
    std::string all;
    boost::system::error_code ec;
    while (!ec) {
      char part[4096];
      const std::size_t size = upstream.read_some(boost::asio::buffer(part), ec);
      all.append(part, size);
    }
    return all;
  }

  void spawn(std::function<awaitable<void>()> body) {
    boost::asio::co_spawn(k.io(), std::move(body), boost::asio::detached);
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
};

awaitable<void> pause(kernel& k, duration time) {
  boost::asio::steady_timer timer(k.io(), time);
  (void)co_await timer.async_wait(use_tuple);
}

// An upstream that closes an idle connection just before the request is written: nothing has left, so it may be
// repeated.
TEST(local_upstream, write_on_a_reset_connection_has_not_been_sent) {
  connected_upstream c;
  c.reset();
  c.spawn([&] { return c.give_connection(); });
  c.run([&]() -> awaitable<void> {
    auto link = co_await c.open();
    EXPECT_TRUE(link);
    EXPECT_FALSE((*link)->may_have_been_sent());
    auto sending = (*link)->send("body", false);
    EXPECT_FALSE(co_await std::move(sending));
    EXPECT_FALSE((*link)->may_have_been_sent());
  });
}

// A first write that is broken off after a part of it: the upstream may act on that part.
TEST(local_upstream, write_that_is_broken_off_in_the_middle_may_have_been_sent) {
  connected_upstream c;
  c.spawn([&] { return c.give_connection(); });
  c.run([&]() -> awaitable<void> {
    auto link = co_await c.open();
    upstream_link& opened = **link;
    bool ended = false;
    c.spawn([&]() -> awaitable<void> {
      auto sending = opened.send(std::string(4'000'000, 'x'), false);
      EXPECT_FALSE(co_await std::move(sending));
      ended = true;
    });
    co_await pause(c.k, 50ms);
    EXPECT_FALSE(ended);
    opened.abort();
    co_await pause(c.k, 50ms);
    EXPECT_TRUE(ended);
    EXPECT_TRUE(opened.may_have_been_sent());
    EXPECT_TRUE(c.read_all().starts_with("POST / HTTP/1.1\r\n"));
  });
}

// A first write that waits for room and is given up: the rest of it must not leave afterwards.
TEST(local_upstream, write_that_is_given_up_while_it_waits_has_not_been_sent_and_never_leaves) {
  connected_upstream c;
  boost::system::error_code ec;
  std::string fill(1'000'000, '-');
  tcp_socket& socket = c.connection->stream.socket;
  socket.non_blocking(true, ec);
  while (!ec) socket.write_some(boost::asio::buffer(fill), ec);
  c.spawn([&] { return c.give_connection(); });
  c.run([&]() -> awaitable<void> {
    auto link = co_await c.open();
    upstream_link& opened = **link;
    bool ended = false;
    c.spawn([&]() -> awaitable<void> {
      auto sending = opened.send("body", true);
      EXPECT_FALSE(co_await std::move(sending));
      ended = true;
    });
    co_await pause(c.k, 50ms);
    EXPECT_TRUE(opened.may_have_been_sent()) << "a write under way counts as sent";
    opened.abort();
    co_await pause(c.k, 50ms);
    EXPECT_TRUE(ended);
    EXPECT_FALSE(opened.may_have_been_sent());
    const std::string received = c.read_all();
    EXPECT_EQ(received.find_first_not_of('-'), std::string::npos) << "a part of the request has left";
  });
}

// A second write that fails does not undo the first.
TEST(local_upstream, failed_later_write_leaves_the_request_sent) {
  connected_upstream c;
  c.spawn([&] { return c.give_connection(); });
  c.run([&]() -> awaitable<void> {
    auto link = co_await c.open();
    auto first = (*link)->send("body", false);
    EXPECT_TRUE(co_await std::move(first));
    c.reset();
    co_await pause(c.k, 20ms);
    auto second = (*link)->send("more", true);
    EXPECT_FALSE(co_await std::move(second));
    EXPECT_TRUE((*link)->may_have_been_sent());
  });
}

// A pool that answers after its requester has given up: the connection is closed without a byte of the request.
TEST(local_upstream, connection_that_comes_too_late_carries_nothing) {
  connected_upstream c;
  c.run([&]() -> awaitable<void> {
    auto link = co_await c.open(1ms);  // and the extra second for the pool
    EXPECT_FALSE(link);
    EXPECT_EQ(link.failure().kind, error_kind::timeout);
    auto giving = c.give_connection();
    co_await std::move(giving);
    EXPECT_EQ(c.read_all(), "");
  });
}

/// Which operation the reset of a connection is reported to. The kernel reports it once; after that, reads end as if
/// the upstream had closed the connection.
enum class reset_report {
  to_waiting_write,  ///< a read and a write wait when the connection is reset
  to_next_write,     ///< a write begins after the reset, before any read
  to_waiting_read,   ///< only a read waits when the connection is reset
  to_next_read,      ///< a read begins after the reset, before any write
};

template <class Waiting>
awaitable<std::string> read_until_failure(upstream_link& link, Waiting on_data, bool& complete) {
  std::string received;
  while (true) {
    auto reading = link.read_body();
    const auto data = co_await std::move(reading);
    complete = data && data->empty();
    if (!data || data->empty()) co_return received;
    received += *data;
    on_data();
  }
}

class reset_response : public testing::TestWithParam<reset_report> {};

// The part of a response without a length that preceded a reset was taken for the complete response if the reset was
// reported to a write of the request's body.
TEST_P(reset_response, without_a_length_is_incomplete) {
  const reset_report report = GetParam();
  connected_upstream c;
  c.spawn([&] { return c.give_connection(); });
  c.run([&]() -> awaitable<void> {
    auto link = co_await c.open();
    upstream_link& opened = **link;
    bool write_ended = true;
    const auto write = [&](std::size_t size) -> awaitable<void> {
      write_ended = false;
      auto sending = opened.send(std::string(size, 'x'), false);
      (void)co_await std::move(sending);
      write_ended = true;
    };
    co_await write(1);
    boost::asio::write(c.upstream, boost::asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\npart")));
    auto heading = opened.read_head();
    const auto head = co_await std::move(heading);
    EXPECT_TRUE(head && head->body == body_framing::streamed);
    if (report == reset_report::to_waiting_write) {
      c.spawn([&] { return write(4'000'000); });
      co_await pause(c.k, 50ms);
      EXPECT_FALSE(write_ended);
    }
    const bool reads_first = report != reset_report::to_next_write && report != reset_report::to_next_read;
    if (!reads_first) {
      c.reset();
      co_await pause(c.k, 20ms);
    }
    if (report == reset_report::to_next_write) co_await write(1);
    bool complete = false;
    auto reading = read_until_failure(
        opened,
        [&] {
          if (reads_first) boost::asio::post(c.k.io(), [&] { c.reset(); });
        },
        complete);
    EXPECT_EQ(co_await std::move(reading), "part");
    EXPECT_FALSE(complete);
    opened.abort();
    co_await pause(c.k, 20ms);
    EXPECT_TRUE(write_ended);
  });
}

// A write that fails at once is resumed later than a read that was waiting when the reset was processed. Which of them
// the reset is reported to, and which is resumed first, depends on the handlers that run between the reset and the
// write.
TEST(reset_response_order, is_incomplete_whatever_runs_between_the_reset_and_the_write) {
  constexpr int most_handlers_between = 8;
  for (int handlers_between = 0; handlers_between <= most_handlers_between; ++handlers_between) {
    SCOPED_TRACE(handlers_between);
    connected_upstream c;
    c.spawn([&] { return c.give_connection(); });
    c.run([&]() -> awaitable<void> {
      auto link = co_await c.open();
      upstream_link& opened = **link;
      auto sending = opened.send("x", false);
      EXPECT_TRUE(co_await std::move(sending));
      boost::asio::write(c.upstream, boost::asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\npart")));
      auto heading = opened.read_head();
      EXPECT_TRUE(co_await std::move(heading));
      bool write_ended = false;
      const auto write = [&]() -> awaitable<void> {
        auto more = opened.send("x", false);
        (void)co_await std::move(more);
        write_ended = true;
      };
      std::function<void(int)> write_after = [&](int handlers) {
        if (handlers == 0) return c.spawn(write);
        boost::asio::post(c.k.io(), [&, handlers] { write_after(handlers - 1); });
      };
      bool complete = false;
      auto reading = read_until_failure(
          opened,
          [&] {
            boost::asio::post(c.k.io(), [&] {
              c.reset();
              write_after(handlers_between);
            });
          },
          complete);
      EXPECT_EQ(co_await std::move(reading), "part");
      EXPECT_FALSE(complete);
      co_await pause(c.k, 20ms);
      EXPECT_TRUE(write_ended);
    });
  }
}

INSTANTIATE_TEST_SUITE_P(reports, reset_response,
                         testing::Values(reset_report::to_waiting_write, reset_report::to_next_write,
                                         reset_report::to_waiting_read, reset_report::to_next_read));

}  // namespace
}  // namespace heatherdeck

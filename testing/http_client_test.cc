// Responses to the clients of control hosts and of operators (`http_call`, also used by the command-line tool). Guards
// against a broken response that is taken for the result of the request.
#include "wire/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "wire/http_status.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

struct scripted_response {
  const char* name;
  std::string text;
  bool reset = false;    ///< the connection is reset after the text instead of closed
  bool read_all = true;  ///< the whole request is read before the text is sent
};

/// Responds to one request of `body_bytes`.
outcome<http_response> call(const scripted_response& response, std::size_t body_bytes = 10) {
  kernel k;
  tcp::acceptor acceptor(k.executor(), {boost::asio::ip::address_v4::loopback(), 0});
  outcome<http_response> received = error{error_kind::internal, "the call has not ended", {}, {}};
  auto respond = [&]() -> awaitable<void> {
    auto [accept_error, socket] = co_await acceptor.async_accept(use_tuple);
    std::string request;
    auto [head_error, head_size] =
        co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", use_tuple);
    while (response.read_all && request.size() < head_size + body_bytes) {
      std::string part(65'536, '\0');
      auto [ec, size] = co_await socket.async_read_some(boost::asio::buffer(part), use_tuple);
      if (ec) co_return;
      request.append(part, 0, size);
    }
    (void)co_await boost::asio::async_write(socket, boost::asio::buffer(response.text), use_tuple);
    boost::system::error_code ignored;
    if (response.reset) socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  };
  auto request = [&]() -> awaitable<void> {
    http_request change{.method = "PUT", .path = "/v1/configuration", .body = std::string(body_bytes, 'x')};
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    auto calling = http_call(k.timers(), k.executor(), address, std::move(change), 10s);
    received = co_await std::move(calling);
  };
  boost::asio::co_spawn(k.io(), respond, boost::asio::detached);
  boost::asio::co_spawn(k.io(), request, boost::asio::detached);
  k.io().run_for(20s);
  return received;
}

const scripted_response broken_responses[] = {
    {"000", "HTTP/1.1 000 Broken\r\nContent-Length: 2\r\n\r\nok"},
    {"099", "HTTP/1.1 099 Broken\r\nContent-Length: 2\r\n\r\nok"},
    {"600", "HTTP/1.1 600 Broken\r\nContent-Length: 2\r\n\r\nok"},
    {"999", "HTTP/1.1 999 Broken\r\nContent-Length: 2\r\n\r\nok"},
    {"2x0", "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok"},
    {"101", "HTTP/1.1 101 Switching\r\n\r\n"},
    {"interim response alone", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"000 after an interim response",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Broken\r\nContent-Length: 2\r\n\r\nok"},
    {"blank before a name", "HTTP/1.1 200 OK\r\nX-Detail: 1\r\n Content-Length: 2\r\n\r\nok"},
    {"tab before a name", "HTTP/1.1 200 OK\r\nX-Detail: 1\r\n\tContent-Length: 2\r\n\r\nok"},
    {"blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"},
    {"blank within a name", "HTTP/1.1 200 OK\r\nX Detail: 1\r\nContent-Length: 2\r\n\r\nok"},
    {"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 2\r\n\r\nok"},
    {"cut within the head", "HTTP/1.1 200 OK\r\nContent-Le"},
    {"cut within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
    {"cut within the chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
    {"cut within the trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n"},
    {"reset without a length", "HTTP/1.1 200 OK\r\n\r\nok", true},
    {"nothing", ""},
};

TEST(http_client, broken_response_leaves_the_outcome_unknown) {
  for (const scripted_response& response : broken_responses) {
    const auto received = call(response);
    EXPECT_FALSE(received) << response.name;
    if (received) continue;
    EXPECT_EQ(received.failure().kind, error_kind::unknown_outcome) << response.name;
  }
}

// The request is still being written when the connection is reset.
TEST(http_client, reset_during_a_long_request_leaves_the_outcome_unknown) {
  for (const char* head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"}) {
    const auto received = call({"reset", std::string(head) + "ok", true, false}, 32'000'000);
    ASSERT_FALSE(received) << head;
    EXPECT_EQ(received.failure().kind, error_kind::unknown_outcome) << head;
  }
}

const scripted_response whole_responses[] = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n"},
    {"until close", "HTTP/1.1 200 OK\r\n\r\nok"},
    {"interim responses first",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
     "2\r\n\r\nok"},
};

// Interim responses without end.
TEST(http_client, too_many_interim_responses_leave_the_outcome_unknown) {
  std::string text;
  for (int i = 0; i <= max_interim_responses; ++i) text += "HTTP/1.1 103 Early Hints\r\n\r\n";
  text += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const auto received = call({"many", text});
  ASSERT_FALSE(received);
  EXPECT_EQ(received.failure().kind, error_kind::unknown_outcome);
}

TEST(http_client, whole_response_is_returned) {
  for (const scripted_response& response : whole_responses) {
    const auto received = call(response);
    EXPECT_TRUE(received) << response.name;
    if (!received) continue;
    EXPECT_EQ(received->status, 200U) << response.name;
    EXPECT_EQ(received->body, "ok") << response.name;
  }
}

}  // namespace
}  // namespace heatherdeck

// Response heads with an invalid status code, on connections to the upstream and between nodes. They reached callers as
// responses, or held the request until its deadline; the attempt has failed, and its outcome is unknown.
#include <atomic>

#include "platform/dialect.h"
#include "testing/second_node.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

struct invalid_response {
  const char* name;
  std::string status_line;
  std::size_t repeat = 1;
  bool interim = false;  ///< without the fields of a final response
};

const std::vector<invalid_response>& invalid_responses() {
  static const std::vector<invalid_response> all{
      {"000", "HTTP/1.1 000 Broken"},
      {"099", "HTTP/1.1 099 Broken"},
      {"1000", "HTTP/1.1 1000 OK"},
      {"2x0", "HTTP/1.1 2x0 OK"},
      {"0200", "HTTP/1.1 0200 OK"},
      {"empty", "HTTP/1.1  OK"},
      {"nothing", "HTTP/1.1 "},
      {"negative", "HTTP/1.1 -20 OK"},
      {"600", "HTTP/1.1 600 Broken"},
      {"999", "HTTP/1.1 999 Broken"},
      {"101", "HTTP/1.1 101 Switching"},
      {"101 alone", "HTTP/1.1 101 Switching", 1, true},
      {"000 alone", "HTTP/1.1 000 X", 1, true},
      {"interim", "HTTP/1.1 103 Early Hints", 200, true},
  };
  return all;
}

struct response_variant {
  bool vouched = false;  ///< carries the field that is required on success
  std::string body;
};

std::string text_of(const invalid_response& c, const response_variant& variant, const std::string& id) {
  std::string text = c.status_line + "\r\n";
  if (!c.interim) {
    text += "X-Request-Id: " + id + "\r\nContent-Length: " + std::to_string(variant.body.size()) + "\r\n";
    if (variant.vouched) text += "X-Response-Seal: s\r\n";
  }
  text += "\r\n";
  std::string all;
  for (std::size_t i = 0; i < c.repeat; ++i) all += text;
  return c.interim ? all : all + variant.body;
}

/// Answers the first request of each connection with an invalid head, and then waits for the end of the connection.
struct faulty_upstream {
  const invalid_response* response = nullptr;
  response_variant variant;
  std::atomic<int> requests = 0;
  std::atomic<int> closed = 0;

  upstream_script script() {
    return [this](tcp_socket s) -> awaitable<void> {
      h1_stream stream(std::move(s));
      h1_reader<true> reader(stream);
      if (co_await reader.read_head()) co_return;
      ++requests;
      co_await proxy_harness::send(stream, text_of(*response, variant, std::string(reader.message()["X-Request-Id"])));
      h1_reader<true> next(stream);
      if (co_await next.read_head()) ++closed;
    };
  }
};

const std::vector<response_variant>& variants() {
  static const std::vector<response_variant> all{{false, ""}, {true, ""}, {false, "ok"}, {true, "ok"}};
  return all;
}

std::string request_of(const std::string& method) {
  return method + " /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n";
}

class invalid_status : public testing::TestWithParam<const char*> {};

TEST_P(invalid_status, of_the_upstream_on_this_host_fails_the_attempt) {
  for (const invalid_response& c : invalid_responses()) {
    for (const response_variant& variant : variants()) {
      SCOPED_TRACE(c.name + std::string(variant.vouched ? " vouched " : " ") + variant.body);
      faulty_upstream upstream{.response = &c, .variant = variant};
      proxy_harness h(upstream.script(), 60s, false, dialect_of(dialect_name::platform));
      h.choice.attempts = 2;
      h.run([&]() -> awaitable<void> {
        const auto response = co_await h.call(request_of(GetParam()));
        EXPECT_EQ(response.result_int(), 502U);
        EXPECT_EQ(response.count("X-Response-Seal"), 0U);
        EXPECT_TRUE(co_await eventually(h.k, [&] { return upstream.closed == upstream.requests; }));
      });
      EXPECT_EQ(upstream.requests, std::string(GetParam()) == "POST" ? 1 : 2);
      ASSERT_FALSE(h.traffic->finished.empty());
      EXPECT_EQ(h.traffic->finished[0].outcome, call_outcome::upstream_error);
    }
  }
}

TEST_P(invalid_status, of_an_upstream_behind_another_node_fails_the_attempt) {
  for (const invalid_response& c : invalid_responses()) {
    SCOPED_TRACE(c.name);
    faulty_upstream upstream{.response = &c, .variant = {true, ""}};
    second_node second(upstream.script(), dialect_of(dialect_name::platform));
    proxy_harness first(echo_upstream, 60s, true, dialect_of(dialect_name::platform));
    route_to(first, second);
    first.run([&]() -> awaitable<void> {
      const auto response = co_await first.call(request_of(GetParam()));
      EXPECT_EQ(response.result_int(), 502U);
    });
  }
}

INSTANTIATE_TEST_SUITE_P(methods, invalid_status, testing::Values("GET", "POST"),
                         [](const auto& tested) { return std::string(tested.param); });

// A node of another version may relay what its upstream sent.
TEST(invalid_status_of_a_peer, is_an_invalid_head) {
  for (const char* status : {"", "0", "000", "099", "99", "100", "101", "103", "199", "1000", "2x0", "0200", "+200",
                             " 200", "200 ", "-20", "600", "999", "18446744073709551816"}) {
    const auto head = parse_h2_response({{":status", status}, {"content-length", "0"}}, "GET");
    ASSERT_FALSE(head) << "'" << status << "'";
    EXPECT_EQ(head.failure().kind, error_kind::bad_message);
  }
  EXPECT_FALSE(parse_h2_response({{"content-length", "0"}}, "GET"));
  EXPECT_FALSE(parse_h2_response({{":status", "200"}, {":status", "503"}}, "GET"));
  for (const char* status : {"200", "204", "304", "404", "503", "599"})
    EXPECT_TRUE(parse_h2_response({{":status", status}}, "GET")) << status;
}

}  // namespace
}  // namespace heatherdeck

// Tests of the statuses by which callers of the platform take a request as not executed: they must not leave the node
// unless that is proved for every attempt, whatever another node has answered.
#include <atomic>

#include <fmt/format.h>

#include "platform/dialect.h"
#include "testing/proxy_harness.h"
#include "testing/scripted_peer.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr unsigned promising_statuses[] = {408, 421, 429, 503};

/// Answers each call with the next of its responses, and the last one from then on.
struct fixed_peer {
  std::vector<header_list> responses;
  std::atomic<std::size_t> calls = 0;

  scripted_receiver::call_script script() {
    return [this](incoming_stream incoming) -> awaitable<void> {
      const auto stream = incoming.stream;
      const std::size_t call = calls++;
      const header_list fields = responses[std::min(call, responses.size() - 1)];
      auto sending = stream->send_headers(fields, true);
      (void)co_await std::move(sending);
      auto reading = stream->read();
      (void)co_await std::move(reading);
    };
  }
};

header_list response_of(unsigned status, const std::string& execution) {
  header_list fields{{":status", std::to_string(status)}, {"x-response-seal", "s"}, {"content-length", "0"}};
  if (!execution.empty()) fields.emplace_back("hd-outcome", execution);
  return fields;
}

h1_response call_through(fixed_peer& answers, const std::string& method, std::uint32_t upstreams = 3) {
  scripted_peer peer(answers.script());
  proxy_harness first(echo_upstream, 60s, true, dialect_of(dialect_name::platform));
  first.choice.local = false;
  first.choice.mesh_address = peer.address();
  const auto pick_peer = first.traffic->pick;
  first.traffic->pick = [&](const request_attributes& attributes) -> pick_result {
    if (attributes.attempt >= upstreams) return refusal{refusal_reason::overloaded};
    return pick_peer(attributes);
  };
  h1_response response;
  first.run([&]() -> awaitable<void> {
    response = co_await first.call(method + " /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
  });
  return response;
}

// A node with another dialect, or of another release, relays an upstream's own 503: its caller would send it again.
TEST(not_executed, status_of_another_node_without_proof_becomes_502) {
  for (const unsigned status : promising_statuses) {
    for (const char* execution : {"", "unknown"}) {
      for (const char* method : {"POST", "GET"}) {
        fixed_peer answers{.responses = {response_of(status, execution)}};
        const h1_response response = call_through(answers, method);
        EXPECT_EQ(response.result_int(), 502U) << status << " " << execution << " " << method;
        EXPECT_EQ(response.count("X-Response-Seal"), 0U) << "a seal with another status than the upstream's";
        EXPECT_EQ(response.count("Retry-After"), 0U);
      }
    }
  }
}

// The status of the first attempt was kept when the second one was refused, also if the first may have been executed.
TEST(not_executed, refused_second_attempt_does_not_make_the_first_one_not_executed) {
  for (const char* execution : {"", "unknown"}) {
    fixed_peer answers{.responses = {response_of(503, execution), response_of(503, "not-run")}};
    EXPECT_EQ(call_through(answers, "GET").result_int(), 502U) << execution;
    EXPECT_GE(answers.calls, 2U) << "the first attempt was not repeated";
    fixed_peer alone{.responses = {response_of(503, execution)}};
    EXPECT_EQ(call_through(alone, "GET", 1).result_int(), 502U) << execution;
  }
}

// A proved refusal must reach the caller as such, or requests that never ran would not be sent again.
TEST(not_executed, proved_refusal_keeps_its_status) {
  for (const unsigned status : promising_statuses) {
    fixed_peer answers{.responses = {response_of(status, "not-run")}};
    EXPECT_EQ(call_through(answers, "POST").result_int(), status);
    EXPECT_EQ(answers.calls, max_attempts);
  }
}

}  // namespace
}  // namespace heatherdeck

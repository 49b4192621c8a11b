// Each caller is a task with its own connection and random numbers.
#include "testing/booking_callers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "testing/booking_upstream.h"
#include "testing/wall_clock.h"
#include "wire/endpoint.h"

namespace heatherdeck {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

struct kind_profile {
  request_kind kind;
  int weight;
  std::string_view method;
  std::string_view path;
  std::size_t request_bytes;
  std::size_t response_bytes;
};

constexpr kind_profile profiles[] = {
    {request_kind::book, 6, "POST", "/book/", 40, 200},
    {request_kind::upload, 1, "POST", "/book/", 150'000, 200},
    {request_kind::read, 2, "GET", "/read/", 0, 200},
    {request_kind::file, 1, "GET", "/file/", 0, 100'000},
};
constexpr int total_weight = 10;

constexpr auto connect_timeout = 1s;
constexpr int max_attempts_of_a_call = 4;
constexpr int least_deadline_ms = 600;
constexpr int most_deadline_ms = 2500;
constexpr auto patience_beyond_deadline = 1s;
constexpr auto default_pause = 50ms;
constexpr std::size_t upload_chunk_bytes = 16UL * 1024;

const kind_profile& profile_of(request_kind kind) {
  return *std::find_if(std::begin(profiles), std::end(profiles), [kind](const auto& p) { return p.kind == kind; });
}

std::string field(const http::response<http::string_body>& response, const char* name) {
  const auto value = response[name];
  return {value.data(), value.size()};
}

}  // namespace

struct booking_caller::link {
  explicit link(asio::io_context& io) : stream(io) {}
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
};

void booking_caller::start() { asio::co_spawn(kernel_.io(), run(), asio::detached); }

awaitable<void> booking_caller::sleep(milliseconds time) {
  asio::steady_timer timer(kernel_.io(), time);
  (void)co_await timer.async_wait(use_tuple);
}

awaitable<void> booking_caller::run() {
  link l(kernel_.io());
  for (std::uint64_t calls = 0; !stopping_; ++calls) {
    int drawn = draw(1, total_weight);
    const kind_profile* profile = std::begin(profiles);
    while (drawn > profile->weight) drawn -= (profile++)->weight;
    co_await call(l, fmt::format("{}-{}", options_.name, calls), profile->kind);
    co_await sleep(milliseconds(pressing_ ? draw(0, 10) : draw(100, 600)));
  }
  ended_ = true;
}

awaitable<void> booking_caller::call(link& l, std::string booking, request_kind kind) {
  const milliseconds deadline(draw(least_deadline_ms, most_deadline_ms));
  const time_point given_up_at = steady_clock::now() + deadline;
  for (int number = 0; number < max_attempts_of_a_call && steady_clock::now() < given_up_at; ++number) {
    if (number > 0 || draw(0, 4) == 0) l.stream.close();
    caller_attempt attempt{.id = fmt::format("{}-{}", booking, number), .booking = booking, .kind = kind};
    attempt.node = options_.node;
    if (!l.stream.socket().is_open()) {
      l.buffer.clear();
      const auto parts = capture([&] { return parse_endpoint(options_.address); });
      l.stream.expires_after(connect_timeout);
      auto [ec] = co_await l.stream.async_connect(asio::ip::tcp::endpoint(parts->ip, parts->port), use_tuple);
      if (ec) {
        l.stream.close();
        co_await sleep(default_pause);
        continue;
      }
    }
    const auto left = std::chrono::duration_cast<milliseconds>(given_up_at - steady_clock::now());
    l.stream.expires_after(left + patience_beyond_deadline);
    attempt.bytes_before = l.buffer.size();
    attempt.sent_at = wall_clock();
    // A response may come before the whole body was sent.
    const bool sent = co_await send(l, attempt, left);
    milliseconds pause = default_pause;
    const bool kept = co_await read_response(l, attempt, pause);
    if (!kept || !sent) l.stream.close();
    attempt.ended_at = wall_clock();
    const bool failed = attempt.status != 200;
    const bool repeats = attempt.unsafe() ? attempt.promised_not_run() : failed;
    attempts_.push_back(std::move(attempt));
    if (!repeats) co_return;
    co_await sleep(std::min(pause, left / 3));
  }
}

awaitable<bool> booking_caller::send(link& l, const caller_attempt& attempt, milliseconds deadline) {
  const kind_profile& profile = profile_of(attempt.kind);
  const std::string body = text_of(attempt.id, profile.request_bytes);
  const bool chunked = body.size() > upload_chunk_bytes;
  std::string text =
      fmt::format("{} {}{} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n", profile.method,
                  profile.path, body.size(), options_.host, attempt.id, deadline.count());
  text +=
      chunked ? "Transfer-Encoding: chunked\r\n\r\n" : fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
  for (std::size_t at = 0; chunked && at < body.size(); at += upload_chunk_bytes) {
    const std::string part = body.substr(at, upload_chunk_bytes);
    text += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
    auto [ec, size] = co_await asio::async_write(l.stream, asio::buffer(text), use_tuple);
    if (ec) co_return false;
    text.clear();
    co_await sleep(1ms);
  }
  if (chunked) text = "0\r\n\r\n";
  auto [ec, size] = co_await asio::async_write(l.stream, asio::buffer(text), use_tuple);
  co_return !ec;
}

// @return whether the connection may carry another call.
awaitable<bool> booking_caller::read_response(link& l, caller_attempt& attempt, milliseconds& retry_after) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  auto [ec, size] = co_await http::async_read(l.stream, l.buffer, parser, use_tuple);
  if (ec) co_return false;
  const auto& response = parser.get();
  attempt.status = response.result_int();
  attempt.seal = field(response, "x-response-seal");
  attempt.answered_id = field(response, "x-request-id");
  attempt.own_answer = attempt.answered_id == attempt.id && attempt.seal == "s-" + attempt.id &&
                       response.body() == text_of("answer to " + attempt.id, profile_of(attempt.kind).response_bytes);
  const std::string pause = field(response, "retry-after");
  if (!pause.empty()) retry_after = milliseconds(static_cast<int>(std::stod(pause) * 1000));
  co_return parser.keep_alive();
}

}  // namespace heatherdeck

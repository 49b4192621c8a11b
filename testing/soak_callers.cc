// Each caller is a task with its own connection and random numbers; the tasks share the thread, the list of calls and
// the misses of the nodes. Invariant: a request is listed if and only if its last byte was written. Cost: one entry a
// call.
#include "testing/soak_callers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "wire/endpoint.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

struct call_profile {
  call_kind kind;
  http::verb method;
  std::string_view path;
  milliseconds least_work;
  milliseconds most_work;
  std::size_t body_bytes;
};

// The longest archive and order calls outlast the rest of a drain from the first second after a SIGTERM on.
constexpr call_profile profiles[] = {
    {call_kind::lookup, http::verb::get, "/certificates/17", 50ms, 50ms, 200},
    {call_kind::archive, http::verb::get, "/archive", 500ms, 5500ms, 200},
    {call_kind::order, http::verb::post, "/orders", 50ms, 4000ms, 200},
    {call_kind::download, http::verb::get, "/downloads", 50ms, 1000ms, 100'000},
};

// Longer than every route's timeout and retries.
constexpr auto call_timeout = 60s;
constexpr auto connect_timeout = 2s;
constexpr std::uint64_t max_response_bytes = 1 << 20;

std::string header(const http::response<http::string_body>& response, std::string_view name) {
  const auto value = response[boost::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

}  // namespace

struct soak_callers::caller {
  std::uint64_t number;
  std::mt19937_64 random;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::uint64_t calls = 0;
};

void soak_callers::start() {
  misses_.assign(options_.nodes.size(), misses_until_out);
  std::uint64_t number = 0;
  for (std::size_t node = 0; node < options_.nodes.size(); ++node) {
    boost::asio::co_spawn(kernel_.io(), watch_readiness(node), boost::asio::detached);
    for (unsigned i = 0; i < options_.bound_per_node; ++i)
      boost::asio::co_spawn(kernel_.io(), run_caller(++number, node, false), boost::asio::detached);
  }
  for (unsigned i = 0; i < options_.roaming; ++i)
    boost::asio::co_spawn(kernel_.io(), run_caller(++number, 0, true), boost::asio::detached);
  thread_ = std::thread([this] { kernel_.io().run(); });
}

const std::vector<call_record>& soak_callers::finish() {
  if (thread_.joinable()) {
    boost::asio::post(kernel_.io(), [this] { stopping_ = true; });
    thread_.join();
  }
  return calls_;
}

awaitable<void> soak_callers::sleep(duration delay) {
  boost::asio::steady_timer timer(kernel_.io(), delay);
  (void)co_await timer.async_wait(use_tuple);
}

awaitable<void> soak_callers::watch_readiness(std::size_t node) {
  while (!stopping_) {
    http_request request{.method = "GET", .path = "/ready"};
    const auto response = co_await http_call(kernel_.timers(), kernel_.executor(), options_.nodes[node].admin_address,
                                             std::move(request), readiness_period);
    misses_[node] = response && response->status == 200 ? 0 : misses_[node] + 1;
    co_await sleep(readiness_period);
  }
}

awaitable<void> soak_callers::run_caller(std::uint64_t number, std::size_t bound_node, bool roaming) {
  caller c{number, std::mt19937_64(options_.seed * 1000 + number), boost::beast::tcp_stream(kernel_.io()), {}};
  while (!stopping_) {
    std::size_t node = bound_node;
    if (roaming) {
      c.stream.close();
      node = std::uniform_int_distribution<std::size_t>(0, options_.nodes.size() - 1)(c.random);
    }
    const bool usable = !roaming || misses_[node] < misses_until_out;
    if (usable && !co_await call(c, options_.nodes[node])) c.stream.close();
    co_await sleep(milliseconds(std::uniform_int_distribution<int>(20, 100)(c.random)));
  }
}

// @return whether the connection may carry another call.
awaitable<bool> soak_callers::call(caller& c, const called_node& node) {
  if (!c.stream.socket().is_open()) {
    c.buffer.clear();
    const auto parts = capture([&] { return parse_endpoint(node.caller_address); });
    c.stream.expires_after(connect_timeout);
    auto [ec] = co_await c.stream.async_connect(boost::asio::ip::tcp::endpoint(parts->ip, parts->port), use_tuple);
    if (ec) co_return false;
  }
  const call_profile& profile =
      profiles[std::uniform_int_distribution<std::size_t>(0, std::size(profiles) - 1)(c.random)];
  const auto work =
      std::uniform_int_distribution<milliseconds::rep>(profile.least_work.count(), profile.most_work.count())(c.random);
  call_record record{.id = fmt::format("soak{}-{}-{}", options_.seed, c.number, ++c.calls), .node = node.name};
  record.kind = profile.kind;
  http::request<http::string_body> request(profile.method, boost::string_view(profile.path.data(), profile.path.size()),
                                           11);
  request.set(http::field::host, options_.host);
  request.set("hd-request-id", record.id);
  request.set("hd-test-id", record.id);
  request.set("hd-test-work-ms", std::to_string(work));
  request.set("hd-test-body-bytes", std::to_string(profile.body_bytes));
  if (profile.method == http::verb::post) request.body() = "order";
  request.prepare_payload();
  c.stream.expires_after(call_timeout);
  auto [write_error, written] = co_await http::async_write(c.stream, request, use_tuple);
  if (write_error) co_return false;
  record.sent_at = wall_clock();
  http::response_parser<http::string_body> parser;
  parser.body_limit(max_response_bytes);
  auto [read_error, size] = co_await http::async_read(c.stream, c.buffer, parser, use_tuple);
  record.ended_at = wall_clock();
  record.response_began = parser.is_header_done();
  if (!read_error) {
    const auto& response = parser.get();
    record.answered = true;
    record.status = response.result_int();
    record.outcome = header(response, "hd-outcome");
    record.answered_id = header(response, "hd-request-id");
    record.upstream_id = header(response, "x-test-id");
    record.body_complete = response.body().size() == profile.body_bytes;
  }
  calls_.push_back(std::move(record));
  co_return !read_error && parser.get().keep_alive();
}

}  // namespace heatherdeck

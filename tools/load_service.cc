// Arrival times are drawn ahead of time, one after the other, so a late wake-up issues all calls that are due and their
// latency counts from their own due time. Invariant: every issued call is reported once. Cost: one message each way per
// call.
#include "tools/load_service.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "wire/endpoint.h"

namespace heatherdeck {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t inbox_capacity = 65'536;
constexpr std::uint64_t max_answer_bytes = 1ULL << 30;

struct connection_parts {
  std::size_t number;
  std::string address;
  load_plan plan;
  std::shared_ptr<mailbox<load_call>> calls;
  heatherdeck::address<load_message> owner;
};

http::request<http::string_body> make_request(const connection_parts& c, const load_call& call) {
  http::request<http::string_body> request;
  request.method_string(c.plan.method);
  request.target(c.plan.paths[call.number % c.plan.paths.size()]);
  request.version(11);
  request.set(http::field::host, c.plan.host);
  if (!c.plan.id_prefix.empty()) request.set("hd-test-id", c.plan.id_prefix + std::to_string(call.number));
  if (c.plan.body_bytes > 0) request.body() = std::string(c.plan.body_bytes, 'b');
  request.prepare_payload();
  return request;
}

std::string text_of(const http::response<http::string_body>& answer, std::string_view name) {
  const auto value = answer[boost::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

/// The upstream version in an answer: from the proxy's hd-served-by ("target; version=v2; ..."), or from the upstream's
/// own header on a direct call.
std::string version_of(const http::response<http::string_body>& answer) {
  constexpr std::string_view key = "version=";
  const std::string served_by = text_of(answer, "hd-served-by");
  const std::size_t begin = served_by.find(key);
  if (begin == std::string::npos) return text_of(answer, "hd-upstream-version");
  const std::size_t end = std::min(served_by.find(';', begin), served_by.size());
  return served_by.substr(begin + key.size(), end - begin - key.size());
}

awaitable<call_result> one_call(beast::tcp_stream& stream, beast::flat_buffer& buffer, const connection_parts& c,
                                const load_call& call) {
  call_result result;
  stream.expires_after(c.plan.timeout);
  if (!stream.socket().is_open()) {
    buffer.clear();
    const auto parts = capture([&] { return parse_endpoint(c.address); });
    const asio::ip::tcp::endpoint peer(parts->ip, parts->port);
    auto [ec] = co_await stream.async_connect(peer, use_tuple);
    if (ec) {
      stream.close();
      co_return result;
    }
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  }
  http::request<http::string_body> request = make_request(c, call);
  auto [write_error, written] = co_await http::async_write(stream, request, use_tuple);
  http::response_parser<http::string_body> parser;
  parser.body_limit(max_answer_bytes);
  auto [read_error, size] = co_await http::async_read(stream, buffer, parser, use_tuple);
  result.latency = std::chrono::duration_cast<std::chrono::microseconds>(timer_service::now() - call.due);
  if (write_error || read_error) {
    stream.close();
    co_return result;
  }
  result.status = parser.get().result_int();
  result.outcome = text_of(parser.get(), "hd-outcome");
  result.upstream_version = version_of(parser.get());
  if (!parser.get().keep_alive()) stream.close();
  co_return result;
}

awaitable<void> serve_connection(kernel& k, connection_parts c) {
  beast::tcp_stream stream(k.io());
  beast::flat_buffer buffer;
  for (;;) {
    outcome<load_call> call = co_await c.calls->receive();
    if (!call) co_return;
    call_result result = co_await one_call(stream, buffer, c, *call);
    call_finished finished{c.number, std::move(result)};
    (void)co_await c.owner.send(std::move(finished));
  }
}

}  // namespace

void load_service::publish(kernel& k) {
  kernel_ = &k;
  inbox_ = std::make_unique<mailbox<load_message>>(k.executor(), inbox_capacity);
}

result<void> load_service::start(kernel& k) {
  for (const std::string& a : plan_.addresses) BOOST_LEAF_CHECK(parse_endpoint(a));
  started_ = next_due_ = timer_service::now();
  asio::co_spawn(k.executor(), run(), asio::detached);
  arm();
  return {};
}

void load_service::stop() {
  next_call_.cancel();
  inbox_->close();
}

awaitable<void> load_service::run() {
  for (;;) {
    outcome<load_message> message = co_await inbox_->receive();
    if (!message) co_return;
    std::visit([this](const auto& m) { handle(m); }, *message);
    if (all_issued_ && report_.calls() == issued_) {
      kernel_->request_stop(0);
      co_return;
    }
  }
}

void load_service::arm() {
  next_call_ = kernel_->timers().after(next_due_ - timer_service::now(),
                                       [inbox = inbox_->address()] { inbox.post(call_due{}); });
}

void load_service::handle(const call_due&) {
  const time_point now = timer_service::now();
  while (next_due_ <= now && !all_issued_) {
    waiting_.push_back({issued_++, next_due_});
    const std::chrono::duration<double> gap(std::exponential_distribution<>(plan_.rate)(random_));
    next_due_ += std::chrono::duration_cast<duration>(gap);
    all_issued_ = next_due_ - started_ > plan_.length || (plan_.max_calls != 0 && issued_ >= plan_.max_calls);
  }
  dispatch();
  if (!all_issued_) arm();
}

void load_service::handle(const call_finished& m) {
  report_.add(m.result);
  idle_.push_back(m.connection);
  dispatch();
}

void load_service::dispatch() {
  while (!waiting_.empty()) {
    if (idle_.empty() && connections_.size() < plan_.max_connections) add_connection();
    if (idle_.empty()) return;
    const std::size_t chosen = idle_.back();
    idle_.pop_back();
    connections_[chosen].post(waiting_.front());
    waiting_.pop_front();
  }
}

void load_service::add_connection() {
  const std::size_t number = connections_.size();
  auto calls = std::make_shared<mailbox<load_call>>(kernel_->executor(), 1);
  connections_.push_back(calls->address());
  idle_.push_back(number);
  connection_parts parts{number, plan_.addresses[number % plan_.addresses.size()], plan_, std::move(calls),
                         inbox_->address()};
  asio::co_spawn(kernel_->executor(), serve_connection(*kernel_, std::move(parts)), asio::detached);
}

boost::json::value load_service::dump() const { return report_.to_json(timer_service::now() - started_); }

}  // namespace heatherdeck

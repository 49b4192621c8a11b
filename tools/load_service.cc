// The send time of each call is the previous one plus an exponential interval, independent of when the timer fires. A
// late timer therefore issues all calls that are due, and each latency is measured from the call's own scheduled time.
// Invariant: every issued call is reported exactly once. Cost per call: one message to the connection and one back.
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
constexpr std::uint64_t max_response_bytes = 1ULL << 30;

struct connection_context {
  std::size_t number;
  std::string address;
  load_options options;
  std::shared_ptr<mailbox<scheduled_call>> calls;
  heatherdeck::address<load_message> service_inbox;
};

http::request<http::string_body> make_request(const connection_context& c, const scheduled_call& call) {
  http::request<http::string_body> request;
  request.method_string(c.options.method);
  request.target(c.options.paths[call.number % c.options.paths.size()]);
  request.version(11);
  request.set(http::field::host, c.options.host);
  if (!c.options.id_prefix.empty()) request.set("hd-test-id", c.options.id_prefix + std::to_string(call.number));
  if (c.options.body_bytes > 0) request.body() = std::string(c.options.body_bytes, 'b');
  request.prepare_payload();
  return request;
}

std::string header_value(const http::response<http::string_body>& answer, std::string_view name) {
  const auto value = answer[boost::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

/// @return the upstream version in a response: from the proxy's hd-served-by ("target; version=v2; ..."), or from the
/// upstream's own header on a direct call.
std::string upstream_version_of(const http::response<http::string_body>& answer) {
  constexpr std::string_view key = "version=";
  const std::string served_by = header_value(answer, "hd-served-by");
  const std::size_t begin = served_by.find(key);
  if (begin == std::string::npos) return header_value(answer, "hd-upstream-version");
  const std::size_t end = std::min(served_by.find(';', begin), served_by.size());
  return served_by.substr(begin + key.size(), end - begin - key.size());
}

awaitable<call_result> perform_call(beast::tcp_stream& stream, beast::flat_buffer& buffer, const connection_context& c,
                                    const scheduled_call& call) {
  call_result result;
  stream.expires_after(c.options.timeout);
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
  parser.body_limit(max_response_bytes);
  auto [read_error, size] = co_await http::async_read(stream, buffer, parser, use_tuple);
  result.latency = std::chrono::duration_cast<std::chrono::microseconds>(timer_service::now() - call.due);
  if (write_error || read_error) {
    stream.close();
    co_return result;
  }
  result.status = parser.get().result_int();
  result.outcome = header_value(parser.get(), "hd-outcome");
  result.upstream_version = upstream_version_of(parser.get());
  if (!parser.get().keep_alive()) stream.close();
  co_return result;
}

awaitable<void> run_connection(kernel& k, connection_context c) {
  beast::tcp_stream stream(k.io());
  beast::flat_buffer buffer;
  for (;;) {
    outcome<scheduled_call> call = co_await c.calls->receive();
    if (!call) co_return;
    call_result result = co_await perform_call(stream, buffer, c, *call);
    call_finished finished{c.number, std::move(result)};
    (void)co_await c.service_inbox.send(std::move(finished));
  }
}

}  // namespace

void load_service::publish(kernel& k) {
  kernel_ = &k;
  inbox_ = std::make_unique<mailbox<load_message>>(k.executor(), inbox_capacity);
}

result<void> load_service::start(kernel& k) {
  for (const std::string& a : options_.addresses) BOOST_LEAF_CHECK(parse_endpoint(a));
  started_ = next_due_ = timer_service::now();
  asio::co_spawn(k.executor(), run(), asio::detached);
  schedule_next_call();
  return {};
}

void load_service::stop() {
  next_call_timer_.cancel();
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

void load_service::schedule_next_call() {
  next_call_timer_ = kernel_->timers().after(next_due_ - timer_service::now(),
                                             [inbox = inbox_->address()] { inbox.post(call_due{}); });
}

void load_service::handle(const call_due&) {
  const time_point now = timer_service::now();
  while (next_due_ <= now && !all_issued_) {
    pending_calls_.push_back({issued_++, next_due_});
    const std::chrono::duration<double> interarrival_time(std::exponential_distribution<>(options_.rate)(random_));
    next_due_ += std::chrono::duration_cast<duration>(interarrival_time);
    all_issued_ = next_due_ - started_ > options_.length || (options_.max_calls != 0 && issued_ >= options_.max_calls);
  }
  dispatch();
  if (!all_issued_) schedule_next_call();
}

void load_service::handle(const call_finished& m) {
  report_.add(m.result);
  idle_connections_.push_back(m.connection);
  dispatch();
}

void load_service::dispatch() {
  while (!pending_calls_.empty()) {
    if (idle_connections_.empty() && connection_inboxes_.size() < options_.max_connections) add_connection();
    if (idle_connections_.empty()) return;
    const std::size_t connection = idle_connections_.back();
    idle_connections_.pop_back();
    connection_inboxes_[connection].post(pending_calls_.front());
    pending_calls_.pop_front();
  }
}

void load_service::add_connection() {
  const std::size_t number = connection_inboxes_.size();
  auto calls = std::make_shared<mailbox<scheduled_call>>(kernel_->executor(), 1);
  connection_inboxes_.push_back(calls->address());
  idle_connections_.push_back(number);
  connection_context parts{number, options_.addresses[number % options_.addresses.size()], options_, std::move(calls),
                           inbox_->address()};
  asio::co_spawn(kernel_->executor(), run_connection(*kernel_, std::move(parts)), asio::detached);
}

boost::json::value load_service::dump() const { return report_.to_json(timer_service::now() - started_); }

}  // namespace heatherdeck

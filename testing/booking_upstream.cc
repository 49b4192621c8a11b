// Each connection is a task that answers one request after the other. Late messages are written by that task, before
// the connection's next request arrives or while it is under way, so that they never fall into an answer's body.
#include "testing/booking_upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "testing/wall_clock.h"
#include "wire/endpoint.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto announce_period = 500ms;
constexpr auto announce_timeout = 1s;
// The target before deregisters late, so that calls for it still come to the address that its successor uses.
constexpr std::uint64_t deregister_at_sequence = 2;
constexpr auto max_time_in_queue = 400ms;
constexpr int least_work_ms = 10;
constexpr int most_work_ms = 60;
constexpr int least_slow_ms = 300;
constexpr int most_slow_ms = 1500;
constexpr int most_lateness_ms = 15;
constexpr std::size_t answer_bytes = 200;
constexpr std::size_t download_bytes = 100'000;

struct fault_rate {
  upstream_fault fault;
  double rate;  ///< of the occasions: runs, arrivals or rejections
};

constexpr fault_rate fault_rates[] = {
    {upstream_fault::lost_answer, 0.01},        {upstream_fault::cut_answer, 0.01},
    {upstream_fault::slow_answer, 0.02},        {upstream_fault::failed_answer, 0.01},
    {upstream_fault::answer_copy, 0.05},        {upstream_fault::refusal, 0.1},
    {upstream_fault::silent_refusal, 0.003},    {upstream_fault::refusal_copy, 0.1},
    {upstream_fault::refusal_copy_return, 0.9}, {upstream_fault::extra_rejection, 0.04},
};

std::string field(const http::request<http::string_body>& request, const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}

}  // namespace

std::string text_of(const std::string& id, std::size_t size) {
  std::string text;
  for (std::size_t line = 0; text.size() < size; ++line) text += fmt::format("{} line {}\n", id, line);
  text.resize(size);
  return text;
}

struct booking_upstream::incoming {
  http::request_parser<http::string_body> parser;
  std::string id;
  std::string path;
  milliseconds deadline{0};
};

struct booking_upstream::late_message {
  upstream_fault fault;
  std::string text;
  std::string id;  ///< of the request that it answered
};

struct booking_upstream::connection {
  explicit connection(tcp::socket s) : stream(std::move(s)) {}
  h1_stream stream;
  std::vector<late_message> late;
  std::vector<std::string> late_written;  ///< since the last answer
  bool silent = false;
};

booking_upstream::booking_upstream(kernel& k, booking_upstream_options options, upstream_record& record)
    : kernel_(k),
      options_(std::move(options)),
      record_(record),
      acceptor_(k.io()),
      random_(options_.seed),
      born_(wall_clock()) {}

result<void> booking_upstream::start() {
  BOOST_LEAF_AUTO(parts, parse_endpoint(options_.listen));
  const tcp::endpoint local(parts.ip, parts.port);
  boost::system::error_code ec;
  acceptor_.open(local.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(local, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) return fail(error_kind::bad_settings, ec.message(), "choose a free port", options_.listen);
  asio::co_spawn(kernel_.io(), accept(), asio::detached);
  asio::co_spawn(kernel_.io(), announce(), asio::detached);
  return {};
}

void booking_upstream::replace() {
  ++incarnation_;
  sequence_ = 0;
  born_ = wall_clock();
  for (const connection_ptr& c : connections_) c->stream.close();
}

void booking_upstream::close() {
  closed_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const connection_ptr& c : connections_) c->stream.close();
}

awaitable<void> booking_upstream::sleep(milliseconds time) {
  asio::steady_timer timer(kernel_.io(), time);
  (void)co_await timer.async_wait(use_tuple);
}

bool booking_upstream::occurs(upstream_fault fault) {
  const auto* row = std::find_if(std::begin(fault_rates), std::end(fault_rates),
                                 [fault](const fault_rate& r) { return r.fault == fault; });
  const bool drawn = std::bernoulli_distribution(row->rate)(random_);
  return drawn && !options_.without.contains(fault);
}

awaitable<void> booking_upstream::accept() {
  while (true) {
    auto [ec, socket] = co_await acceptor_.async_accept(use_tuple);
    if (ec) co_return;
    if (connections_.size() >= options_.max_connections) {
      ++record_.reset;
      socket.set_option(asio::socket_base::linger(true, 0), ec);
      socket.close(ec);
      continue;
    }
    socket.set_option(tcp::no_delay(true), ec);
    auto c = std::make_shared<connection>(std::move(socket));
    connections_.insert(c);
    asio::co_spawn(kernel_.io(), serve(std::move(c)), asio::detached);
  }
}

awaitable<void> booking_upstream::announce() {
  while (!closed_) {
    const boost::json::object body{{"service", options_.service},
                                   {"address", options_.listen},
                                   {"zone", "dar-kivukoni"},
                                   {"version", "v1"},
                                   {"slots", options_.announced_slots},
                                   {"state", "ready"},
                                   {"warmup_left_ms", 0},
                                   {"sequence", ++sequence_},
                                   {"born", born_.count()}};
    http_request request{.method = "PUT", .path = "/v1/announcement/" + target(), .body = boost::json::serialize(body)};
    request.headers["content-type"] = "application/json";
    (void)co_await http_call(kernel_.timers(), kernel_.executor(), options_.announce_to, std::move(request),
                             announce_timeout);
    if (incarnation_ > 1 && sequence_ == deregister_at_sequence) {
      http_request leaving{.method = "DELETE", .path = "/v1/announcement/" + target(incarnation_ - 1)};
      (void)co_await http_call(kernel_.timers(), kernel_.executor(), options_.announce_to, std::move(leaving),
                               announce_timeout);
    }
    co_await sleep(announce_period);
  }
}

awaitable<bool> booking_upstream::write(connection& c, std::string text) {
  auto [ec, size] = co_await asio::async_write(c.stream.socket, asio::buffer(text), use_tuple);
  co_return !ec;
}

awaitable<void> booking_upstream::serve(connection_ptr c) {
  bool open = true;
  while (open && !closed_) {
    incoming request;
    request.parser.body_limit(boost::none);
    auto [ec, size] = co_await http::async_read_header(c->stream.socket, c->stream.buffer, request.parser, use_tuple);
    if (ec) break;
    const auto& message = request.parser.get();
    request.id = field(message, "x-request-id");
    request.path = std::string(message.target().data(), message.target().size());
    const std::string deadline = field(message, "x-deadline-ms");
    request.deadline = deadline.empty() ? max_time_in_queue : milliseconds(std::stoll(deadline));
    open = co_await answer(*c, request);
  }
  c->stream.close();
  connections_.erase(c);
}

// Copies of earlier messages; some wait until the rejected request has come again, here or on another connection.
awaitable<void> booking_upstream::send_late_messages(connection& c) {
  for (auto message = c.late.begin(); message != c.late.end();) {
    if (message->fault == upstream_fault::refusal_copy_return && !returned_.contains(message->id)) {
      ++message;
      continue;
    }
    const late_message due = std::move(*message);
    message = c.late.erase(message);
    co_await sleep(milliseconds(draw(0, most_lateness_ms)));
    const bool written = co_await write(c, due.text);
    if (!written) co_return;
    ++record_.faults[due.fault];
    c.late_written.push_back(fmt::format("{} of {}", to_name(due.fault), due.id));
  }
}

// @return whether the connection carries further requests.
awaitable<bool> booking_upstream::answer(connection& c, incoming& request) {
  const auto& message = request.parser.get();
  if (request.path == "/health") {
    co_return co_await write(
        c, fmt::format("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", target()));
  }
  const std::string expected = field(message, "x-expect-instance");
  if (!expected.empty() && expected != target()) {
    ++record_.misdirected;
    co_return co_await reject(c, request, 421);
  }
  if (refused_.contains(request.id) && returned_.insert(request.id).second) ++record_.returned;
  if (occurs(upstream_fault::silent_refusal)) {
    ++record_.faults[upstream_fault::silent_refusal];
    c.silent = true;
  }
  if (c.silent) {
    boost::system::error_code ec;
    std::string rest(body_read_bytes, '\0');
    while (!ec) {
      auto [read_error, size] = co_await c.stream.socket.async_read_some(asio::buffer(rest), use_tuple);
      ec = read_error;
    }
    co_return false;
  }
  if (occurs(upstream_fault::refusal)) {
    ++record_.faults[upstream_fault::refusal];
    co_return co_await reject(c, request, draw(0, 3) == 0 ? 429 : 503);
  }
  const bool full = running_ >= options_.slots && waiting_.size() >= options_.queue_limit;
  if (full || !co_await acquire_slot(std::min<milliseconds>(request.deadline, max_time_in_queue))) {
    ++record_.refused_full;
    co_return co_await reject(c, request, 503);
  }
  const bool open = co_await run(c, request);
  co_return open;
}

awaitable<bool> booking_upstream::acquire_slot(milliseconds limit) {
  if (running_ < options_.slots) {
    ++running_;
    co_return true;
  }
  asio::steady_timer turn(kernel_.io(), limit);
  waiting_.push_back(&turn);
  auto [ec] = co_await turn.async_wait(use_tuple);
  if (ec) co_return true;  // cancelled by release_slot(), which has passed its slot on
  std::erase(waiting_, &turn);
  co_return false;
}

void booking_upstream::release_slot() {
  while (!waiting_.empty()) {
    asio::steady_timer* next = waiting_.front();
    waiting_.pop_front();
    if (next->cancel() != 0) return;
  }
  --running_;
}

awaitable<bool> booking_upstream::read_body(connection& c, incoming& request) {
  auto [ec, size] = co_await http::async_read(c.stream.socket, c.stream.buffer, request.parser, use_tuple);
  co_return !ec;
}

// Rejects a long upload before its body is read, and short requests mostly after it; the connection is kept.
awaitable<bool> booking_upstream::reject(connection& c, incoming& request, unsigned status) {
  const std::string text = fmt::format(
      "HTTP/1.1 {} Rejected\r\nX-Not-Executed: 1\r\nX-Request-Id: {}\r\nContent-Length: 0\r\n\r\n", status, request.id);
  const bool long_upload = request.parser.chunked();
  if (long_upload) ++record_.rejected_upload;
  const bool body_first = !long_upload && draw(0, 4) != 0;
  if (body_first && !co_await read_body(c, request)) co_return false;
  co_await send_late_messages(c);
  if (!co_await write(c, text)) co_return false;
  if (!body_first && !co_await read_body(c, request)) co_return false;
  c.late_written.clear();
  refused_.insert(request.id);
  for (const auto fault : {upstream_fault::refusal_copy, upstream_fault::refusal_copy_return})
    if (occurs(fault)) c.late.push_back({fault, text, request.id});
  if (draw(0, 9) == 0) co_await send_late_messages(c);
  co_return true;
}

awaitable<bool> booking_upstream::run(connection& c, incoming& request) {
  if (!co_await read_body(c, request)) {
    release_slot();
    co_return false;
  }
  const std::string& body = request.parser.get().body();
  upstream_run made{request.id, target(), wall_clock()};
  const bool is_booking = request.path.starts_with("/book/");
  made.intact =
      !is_booking || (body.size() == std::stoul(request.path.substr(6)) && body == text_of(request.id, body.size()));
  if (occurs(upstream_fault::failed_answer)) {
    ++record_.faults[upstream_fault::failed_answer];
    made.status = 500;
  }
  const std::size_t index = record_.runs.size();
  record_.runs.push_back(made);
  co_await send_late_messages(c);
  const bool slow = occurs(upstream_fault::slow_answer);
  if (slow) ++record_.faults[upstream_fault::slow_answer];
  const int work_ms = slow ? draw(least_slow_ms, most_slow_ms) : draw(least_work_ms, most_work_ms);
  co_await sleep(std::min<milliseconds>(milliseconds(work_ms), request.deadline));
  release_slot();
  record_.runs[index].late = std::exchange(c.late_written, {});
  if (occurs(upstream_fault::lost_answer)) {
    ++record_.faults[upstream_fault::lost_answer];
    co_return false;
  }
  const bool download = request.path.starts_with("/file/");
  std::string text = text_of("answer to " + request.id, download ? download_bytes : answer_bytes);
  const std::string head = fmt::format(
      "HTTP/1.1 {} Done\r\nX-Request-Id: {}\r\nX-Response-Seal: s-{}\r\nX-Server-Load: {},{},{}\r\n"
      "Content-Length: {}\r\n\r\n",
      made.status, request.id, request.id, running_, waiting_.size(), options_.announced_slots, text.size());
  if (occurs(upstream_fault::cut_answer)) {
    ++record_.faults[upstream_fault::cut_answer];
    (void)co_await write(c, head + text.substr(0, text.size() / 2));
    co_return false;
  }
  text.insert(0, head);
  if (!co_await write(c, text)) co_return false;
  constexpr const char* no_id = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  if (occurs(upstream_fault::answer_copy)) c.late.push_back({upstream_fault::answer_copy, text, request.id});
  if (occurs(upstream_fault::extra_rejection)) c.late.push_back({upstream_fault::extra_rejection, no_id, request.id});
  if (draw(0, 9) == 0) co_await send_late_messages(c);
  co_return true;
}

}  // namespace heatherdeck

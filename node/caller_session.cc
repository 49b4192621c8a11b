// The task waits for a request, parses its head, runs the exchange and repeats; a child task receives the message that
// begins the drain. Invariant: a connection is reused only after the request was read and the response sent completely.
// A connection is closed in three steps (last response, shutdown of the sending side, reading until the caller closes),
// because closing a socket with unread data resets it, and a reset can discard a response in transit. Before an idle
// connection is closed it gets 408 with hd-outcome: not-run, which is a correct response to a request that is in
// transit at that moment.
#include "node/caller_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include "node/deadline_timer.h"
#include "node/error_response.h"
#include "node/exchange.h"
#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

using request_reader = h1_reader<true>;

// A caller that has sent nothing for this time after the last response has taken note of it.
constexpr duration lingering_close_timeout = std::chrono::seconds(1);

error connection_error(const boost::system::error_code& ec) {
  return {error_kind::closed,
          "writing to the caller's connection failed: " + ec.message(),
          "none; the caller has disconnected",
          {}};
}

struct rejected_request {
  unsigned status = 400;
  std::string text;
};

// Checks what Beast does not: the HTTP version, and that at most one body framing is declared, once.
// @return a description of the problem; empty if there is none.
std::string check_framing(request_reader& reader) {
  const auto& message = reader.message();
  if (message.version() != 10 && message.version() != 11) return "the HTTP version is not supported; use 1.0 or 1.1";
  const auto lengths = message.count(boost::beast::http::field::content_length);
  const auto codings = message.count(boost::beast::http::field::transfer_encoding);
  if (lengths > 1) return "the request has more than one content-length";
  const auto length = message[boost::beast::http::field::content_length];
  if (lengths == 1 && !parse_number({length.data(), length.size()}))
    return "content-length is not a single decimal number";
  if (codings == 0) return {};
  if (lengths != 0) return "the request has both content-length and transfer-encoding";
  if (message.version() == 10) return "transfer-encoding is not allowed in HTTP/1.0";
  const auto coding = message[boost::beast::http::field::transfer_encoding];
  if (codings > 1 || lower_case({coding.data(), coding.size()}) != "chunked")
    return "the transfer-encoding is not 'chunked', the only one that is supported";
  return {};
}

// @return the head, or the status and text of the error response.
std::variant<request_head, rejected_request> parse_request_head(request_reader& reader, const http_dialect& dialect) {
  if (std::string problem = check_framing(reader); !problem.empty()) return rejected_request{400, std::move(problem)};
  const auto& message = reader.message();
  request_head head;
  head.method = std::string_view(message.method_string().data(), message.method_string().size());
  head.target = std::string_view(message.target().data(), message.target().size());
  head.http_1_0 = message.version() == 10;
  head.keep_alive = message.keep_alive();
  std::size_t count = 0;
  head.headers.reserve(16);
  for (const auto& field : message) {
    if (++count > max_header_fields) return rejected_request{431, "more than 100 header fields"};
    const std::string_view name(field.name_string().data(), field.name_string().size());
    const std::string lower = lower_case(name);
    if (!head.add(dialect.native_request_field(lower), {field.value().data(), field.value().size()})) {
      return rejected_request{
          400, "the header field '" + std::string(name) + "' is refused: it is repeated or its value is invalid"};
    }
  }
  if (std::string problem = head.finish(); !problem.empty()) return rejected_request{400, std::move(problem)};
  const auto length = reader.parser().content_length();
  if (reader.parser().chunked()) {
    head.body = body_framing::streamed;
  } else if (length && *length != 0) {
    head.body = body_framing::sized;
    head.content_length = *length;
  }
  return head;
}

// The one place through which every response to a caller passes. A status that the caller takes as "not executed" goes
// out only with that proof; it is an upstream's own if another node speaks a dialect without such statuses.
void replace_unproved_status(response_head& head, const http_dialect& dialect) {
  const bool promises = dialect.statuses_imply_not_executed && http_dialect::implies_not_executed(head.status);
  if (!promises || head.execution == execution_status::not_executed) return;
  constexpr unsigned bad_gateway = 502;
  head.status = bad_gateway;
  // The field vouches for the upstream's own status.
  std::erase_if(head.headers, [&](const auto& field) { return field.first == dialect.required_on_success; });
}

class h1_caller : public caller_link {
 public:
  /// @param draining the session's flag; may become true while the exchange runs.
  /// @param dialect outlives the session.
  h1_caller(h1_stream& stream, request_reader& reader, const bool& draining, const http_dialect& dialect)
      : stream_(&stream), reader_(&reader), draining_(&draining), dialect_(&dialect) {}

  void set_request(const request_head& head) {
    http_1_0_ = head.http_1_0;
    keep_alive_ = head.keep_alive;
    expects_continue_ = head.expects_continue && !head.http_1_0;
    is_head_request_ = head.method == "HEAD";
  }

  awaitable<outcome<std::string>> read_body() override {
    if (std::exchange(expects_continue_, false) && !response_started_ && !reader_->has_buffered_data()) {
      // 25 bytes fit into the empty send buffer; if the write fails, the caller sends its body after its own timeout.
      static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
      boost::system::error_code ignored;
      stream_->socket.non_blocking(true, ignored);
      stream_->socket.write_some(boost::asio::buffer(interim.data(), interim.size()), ignored);
    }
    return reader_->read_body();
  }

  bool body_done() const override { return reader_->done(); }
  bool body_buffered() const override { return reader_->has_buffered_data(); }
  bool keep_alive() const { return keep_alive_; }

  awaitable<outcome<void>> send_head(response_head head, bool end, bool body_follows) override {
    response_started_ = true;
    replace_unproved_status(head, *dialect_);
    chunked_ = head.body == body_framing::streamed && !http_1_0_;
    const bool until_close = head.body == body_framing::streamed && http_1_0_;
    if (until_close && !end) reset_on_close(true);
    // Unread data of this request's body must not be parsed as the next request. A pipelined request that has been read
    // is answered, also by a node that is stopping.
    const bool last = *draining_ && !reader_->has_buffered_data();
    keep_alive_ = keep_alive_ && !http_1_0_ && !until_close && body_done() && !last;
    if (is_head_request_ && !end) {
      head.declared_length = head.content_length;
      head.body = body_framing::none;
    }
    head_text_ = serialize_h1_response(head, keep_alive_, chunked_, *dialect_);
    if (!end && body_follows) co_return outcome<void>();
    auto writing = write_h1(*stream_, std::exchange(head_text_, {}), {}, false, false);
    const auto written = co_await std::move(writing);
    if (written.ec) co_return connection_error(written.ec);
    co_return outcome<void>();
  }

  awaitable<outcome<void>> send_body(std::string data, bool last) override {
    if (is_head_request_) data.clear();
    auto writing = write_h1(*stream_, std::exchange(head_text_, {}), std::move(data), chunked_, last);
    const auto written = co_await std::move(writing);
    if (written.ec) co_return connection_error(written.ec);
    if (last) reset_on_close(false);
    co_return outcome<void>();
  }

  // Pipelined data is buffered for the next request. Once the buffer holds max_header_bytes, reading stops, and a
  // disconnected caller is noticed only when the response is written.
  awaitable<void> wait_disconnected() override {
    while (stream_->buffer.size() < max_header_bytes) {
      auto [ec] = co_await stream_->socket.async_wait(boost::asio::socket_base::wait_read, use_tuple);
      if (ec) co_return;
      stream_->socket.non_blocking(true, ec);
      const std::size_t size = stream_->socket.read_some(stream_->buffer.prepare(4096), ec);
      stream_->buffer.commit(size);
      if (ec && ec != boost::asio::error::would_block) co_return;
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    wake_signal never(executor);
    auto waiting = never.wait();
    (void)co_await std::move(waiting);
  }

  bool disconnected() override {
    // Buffered data of the body or of another request shows that the caller is connected.
    return stream_->buffer.size() == 0 && body_done() && !stream_->remote_end_connected();
  }

  void abort() override {
    keep_alive_ = false;
    reset_on_close(true);
    stream_->close();
  }

 private:
  // Zero linger time resets the connection when it is closed, also by the end of the process, so a response that ends
  // with the connection is seen as incomplete.
  void reset_on_close(bool reset) {
    if (resets_on_close_ == reset) return;
    resets_on_close_ = reset;
    // Asio undoes its own linger option when a socket is destroyed.
    const linger value{.l_onoff = reset ? 1 : 0, .l_linger = 0};
    (void)::setsockopt(stream_->socket.native_handle(), SOL_SOCKET, SO_LINGER, &value, sizeof value);
  }

  h1_stream* stream_;
  request_reader* reader_;
  const bool* draining_;
  const http_dialect* dialect_;
  std::string head_text_;
  bool http_1_0_ = false;
  bool keep_alive_ = false;
  bool expects_continue_ = false;
  bool is_head_request_ = false;
  bool chunked_ = false;
  bool response_started_ = false;
  bool resets_on_close_ = false;
};

class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(proxy_context_ptr context, tcp_socket socket, std::shared_ptr<mailbox<session_message>> inbox,
                 std::string name)
      : context_(std::move(context)), stream_(std::move(socket)), inbox_(std::move(inbox)), name_(std::move(name)) {
    idle_timer_ = deadline_timer::make(*context_->timers, [this] {
      expired_ = true;
      boost::system::error_code ignored;
      stream_.socket.cancel(ignored);
    });
  }

  awaitable<session_counts> run();

 private:
  static awaitable<void> receive_messages(std::shared_ptr<caller_session> self);
  void start_idle_timer();
  awaitable<bool> wait_for_request();
  awaitable<bool> serve_request();
  awaitable<void> reject(request_reader& reader, unsigned status, std::string text);
  awaitable<void> lingering_close();

  proxy_context_ptr context_;
  h1_stream stream_;
  std::shared_ptr<mailbox<session_message>> inbox_;
  std::string name_;
  std::shared_ptr<deadline_timer> idle_timer_;
  session_counts counts_;
  bool draining_ = false;
  bool expired_ = false;
  bool idle_ = false;
};

// Receives messages of the proxy service until the session closes its mailbox. Runs as a child task, so that no receive
// has to be cancelled.
awaitable<void> caller_session::receive_messages(std::shared_ptr<caller_session> self) {
  while (true) {
    auto receiving = self->inbox_->receive();
    const auto message = co_await std::move(receiving);
    if (!message) co_return;
    self->draining_ = true;
    if (self->idle_)
      self->idle_timer_->set(timer_service::now() + std::min(drain_idle_timeout, self->context_->idle_timeout));
  }
}

void caller_session::start_idle_timer() {
  expired_ = false;
  const duration timeout = draining_ ? std::min(drain_idle_timeout, context_->idle_timeout) : context_->idle_timeout;
  idle_timer_->set(timer_service::now() + timeout);
}

// The idle limit counts anew for the head, whose first bytes may arrive just before the limit.
// @return false if the connection must be closed.
awaitable<bool> caller_session::wait_for_request() {
  start_idle_timer();
  if (stream_.buffer.size() != 0) co_return true;
  idle_ = true;
  auto [ec] = co_await stream_.socket.async_wait(boost::asio::socket_base::wait_read, use_tuple);
  idle_ = false;
  if (ec) co_return false;
  start_idle_timer();
  co_return true;
}

awaitable<void> caller_session::reject(request_reader& reader, unsigned status, std::string text) {
  static constexpr bool draining = true;
  h1_caller caller(stream_, reader, draining, *context_->dialect);
  auto responding = send_error_response(caller, status, execution_status::not_executed, {.text = std::move(text)}, {});
  co_await std::move(responding);
}

// @return true if the connection may carry another request.
awaitable<bool> caller_session::serve_request() {
  request_reader reader(stream_);
  auto reading = reader.read_head();
  const auto ec = co_await std::move(reading);
  idle_timer_->clear();
  if (ec) {
    const bool too_long =
        ec == boost::beast::http::error::header_limit || ec == boost::beast::http::error::buffer_overflow;
    if (request_reader::error_kind_of(ec) == error_kind::bad_message) {
      auto responding = reject(reader, too_long ? 431 : 400, "the request is malformed: " + ec.message());
      co_await std::move(responding);
    } else if (expired_) {
      auto responding = reject(reader, 408, "the request head did not arrive in time");
      co_await std::move(responding);
    }
    co_return false;
  }
  auto parsed = parse_request_head(reader, *context_->dialect);
  if (auto* rejected = std::get_if<rejected_request>(&parsed)) {
    auto responding = reject(reader, rejected->status, std::move(rejected->text));
    co_await std::move(responding);
    co_return false;
  }
  request_head head = std::move(std::get<request_head>(parsed));
  ++counts_.requests;
  if (head.request_id.empty()) head.request_id = fmt::format("{}-{:x}", name_, counts_.requests);
  // A caller must not be able to impersonate another service or account, or to make its request appear older.
  head.caller_service = context_->caller_service;
  head.account.clear();
  head.age = milliseconds(0);
  h1_caller caller(stream_, reader, draining_, *context_->dialect);
  caller.set_request(head);
  auto exchanging = run_exchange(context_, caller, std::move(head));
  const exchange_result end = co_await std::move(exchanging);
  if (end == exchange_result::aborted) ++counts_.aborted;
  co_return end == exchange_result::reusable&& caller.keep_alive();
}

awaitable<void> caller_session::lingering_close() {
  boost::system::error_code ec;
  if (!stream_.socket.is_open()) co_return;
  stream_.socket.shutdown(tcp_socket::shutdown_send, ec);
  const time_point latest_end = timer_service::now() + std::max(lingering_close_timeout, context_->idle_timeout);
  expired_ = false;
  while (!ec && !expired_) {
    idle_timer_->set(std::min(latest_end, timer_service::now() + lingering_close_timeout));
    stream_.buffer.clear();
    auto [failed, size] = co_await stream_.socket.async_read_some(stream_.buffer.prepare(4096), use_tuple);
    ec = failed;
  }
  stream_.close();
}

awaitable<session_counts> caller_session::run() {
  boost::system::error_code ec;
  stream_.socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  boost::asio::co_spawn(context_->executor, receive_messages(shared_from_this()), boost::asio::detached);
  bool more = true;
  while (more) {
    auto waiting = wait_for_request();
    const bool arrived = co_await std::move(waiting);
    if (!arrived) {
      if (expired_ && stream_.socket.is_open()) {
        request_reader unused(stream_);
        auto responding = reject(unused, 408, "the connection is being closed because it was idle");
        co_await std::move(responding);
      }
      break;
    }
    auto serving = serve_request();
    more = co_await std::move(serving);
  }
  auto closing = lingering_close();
  co_await std::move(closing);
  inbox_->close();
  co_return counts_;
}

}  // namespace

awaitable<session_counts> run_caller_session(proxy_context_ptr context, tcp_socket socket,
                                             std::shared_ptr<mailbox<session_message>> inbox, std::string name) {
  const auto session =
      std::make_shared<caller_session>(std::move(context), std::move(socket), std::move(inbox), std::move(name));
  auto running = session->run();
  co_return co_await std::move(running);
}

}  // namespace heatherdeck

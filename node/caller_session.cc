// The task waits for a request or for the message that the drain begins, reads the head, runs the exchange and goes on.
// Invariant: a connection is used again only after the whole request has been read and the whole answer sent.
// A connection is closed in three steps (last answer, end of sending, reading until the caller closes), because closing
// a socket with unread bytes resets it and can destroy the answer on its way. An idle connection that must be closed
// gets 408 with hd-outcome: not-run, so a request that crosses it on the wire has a true answer.
#include "node/caller_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "node/exchange.h"
#include "node/time_guard.h"
#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

using request_reader = h1_reader<true>;

// A caller that goes on sending after the last answer is read for this time.
constexpr duration linger_limit = std::chrono::seconds(1);

error broken(const boost::system::error_code& ec) {
  return {error_kind::closed, "the caller's connection failed: " + ec.message(), "none", {}};
}

struct bad_request {
  unsigned status = 400;
  std::string text;
};

// Checks what Beast leaves open: which framings the fields name, how often, and the HTTP version.
std::string check_framing(request_reader& reader) {
  const auto& message = reader.message();
  if (message.version() != 10 && message.version() != 11) return "the HTTP version is not supported";
  const auto lengths = message.count(boost::beast::http::field::content_length);
  const auto codings = message.count(boost::beast::http::field::transfer_encoding);
  if (lengths > 1) return "more than one content-length";
  const auto length = message[boost::beast::http::field::content_length];
  if (lengths == 1 && !parse_number({length.data(), length.size()})) return "content-length is not one number";
  if (codings == 0) return {};
  if (lengths != 0) return "both content-length and transfer-encoding";
  if (message.version() == 10) return "transfer-encoding in HTTP/1.0";
  const auto coding = message[boost::beast::http::field::transfer_encoding];
  if (codings > 1 || lower_case({coding.data(), coding.size()}) != "chunked")
    return "the transfer-encoding is not 'chunked'";
  return {};
}

// @return the head, or the status and text of the refusal.
std::variant<request_head, bad_request> convert(request_reader& reader, const http_dialect& spoken) {
  if (std::string problem = check_framing(reader); !problem.empty()) return bad_request{400, std::move(problem)};
  const auto& message = reader.message();
  request_head head;
  head.method = std::string_view(message.method_string().data(), message.method_string().size());
  head.target = std::string_view(message.target().data(), message.target().size());
  head.http_1_0 = message.version() == 10;
  head.keep_alive = message.keep_alive();
  std::size_t count = 0;
  head.headers.reserve(16);
  for (const auto& field : message) {
    if (++count > max_header_fields) return bad_request{431, "more than 100 header fields"};
    const std::string_view name(field.name_string().data(), field.name_string().size());
    const std::string lower = lower_case(name);
    if (!head.add(spoken.own_request_name(lower), {field.value().data(), field.value().size()})) {
      return bad_request{400, "the field '" + std::string(name) + "' is refused"};
    }
  }
  if (std::string problem = head.finish(); !problem.empty()) return bad_request{400, std::move(problem)};
  const auto length = reader.parser().content_length();
  if (reader.parser().chunked()) {
    head.body = body_kind::streamed;
  } else if (length && *length != 0) {
    head.body = body_kind::sized;
    head.content_length = *length;
  }
  return head;
}

class h1_caller : public caller_link {
 public:
  /// @param draining of the session; may turn true while the exchange runs.
  /// @param spoken outlives the session.
  h1_caller(h1_stream& stream, request_reader& reader, const bool& draining, const http_dialect& spoken)
      : stream_(&stream), reader_(&reader), draining_(&draining), spoken_(&spoken) {}

  void describe(const request_head& head) {
    http_1_0_ = head.http_1_0;
    keep_alive_ = head.keep_alive;
    expects_continue_ = head.expects_continue && !head.http_1_0;
    head_request_ = head.method == "HEAD";
  }

  awaitable<outcome<std::string>> read_body() override {
    if (std::exchange(expects_continue_, false) && !answered_ && !reader_->has_buffered()) {
      // 25 bytes into an empty send buffer; a caller that does not get them sends its body after a time-out of its own.
      static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
      boost::system::error_code ignored;
      stream_->socket.non_blocking(true, ignored);
      stream_->socket.write_some(boost::asio::buffer(interim.data(), interim.size()), ignored);
    }
    return reader_->read_body();
  }

  bool body_done() const override { return reader_->done(); }
  bool body_buffered() const override { return reader_->has_buffered(); }
  bool kept_alive() const { return keep_alive_; }

  awaitable<outcome<void>> send_head(answer_head head, bool end, bool body_at_hand) override {
    answered_ = true;
    chunked_ = head.body == body_kind::streamed && !http_1_0_;
    const bool endless = head.body == body_kind::streamed && http_1_0_;
    // A body that has not been read must not be taken for the next request.
    keep_alive_ = keep_alive_ && !http_1_0_ && !endless && body_done() && !*draining_;
    if (head_request_ && !end) {
      head.announced_length = head.content_length;
      head.body = body_kind::none;
    }
    text_ = h1_answer_text(head, keep_alive_, chunked_, *spoken_);
    if (!end && body_at_hand) co_return outcome<void>();
    auto writing = write_h1(*stream_, std::exchange(text_, {}), {}, false, false);
    const auto written = co_await std::move(writing);
    if (written.ec) co_return broken(written.ec);
    co_return outcome<void>();
  }

  awaitable<outcome<void>> send_body(std::string piece, bool last) override {
    if (head_request_) piece.clear();
    auto writing = write_h1(*stream_, std::exchange(text_, {}), std::move(piece), chunked_, last);
    const auto written = co_await std::move(writing);
    if (written.ec) co_return broken(written.ec);
    co_return outcome<void>();
  }

  // Pipelined bytes are kept for the next request; beyond one head's size the watch ends, and a caller that has gone is
  // noticed when the answer is written.
  awaitable<void> watch_gone() override {
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

  bool gone() override {
    // Bytes of a body or of a further request say that the caller is there.
    return stream_->buffer.size() == 0 && body_done() && !stream_->peer_is_there();
  }

  void cut() override {
    keep_alive_ = false;
    // Zero linger time resets the connection: an answer whose end is the end of the connection is seen to be cut.
    boost::system::error_code ignored;
    stream_->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    stream_->close();
  }

 private:
  h1_stream* stream_;
  request_reader* reader_;
  const bool* draining_;
  const http_dialect* spoken_;
  std::string text_;
  bool http_1_0_ = false;
  bool keep_alive_ = false;
  bool expects_continue_ = false;
  bool head_request_ = false;
  bool chunked_ = false;
  bool answered_ = false;
};

class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(proxy_context_ptr context, tcp_socket socket, std::shared_ptr<mailbox<session_message>> inbox,
                 std::string name)
      : context_(std::move(context)), stream_(std::move(socket)), inbox_(std::move(inbox)), name_(std::move(name)) {
    limit_ = time_guard::make(*context_->timers, [this] {
      expired_ = true;
      boost::system::error_code ignored;
      stream_.socket.cancel(ignored);
    });
  }

  awaitable<session_counts> run();

 private:
  static awaitable<void> listen(std::shared_ptr<caller_session> self);
  awaitable<bool> wait_for_request();
  awaitable<bool> serve();
  awaitable<void> refuse(request_reader& reader, unsigned status, std::string text);
  awaitable<void> close_gently();

  proxy_context_ptr context_;
  h1_stream stream_;
  std::shared_ptr<mailbox<session_message>> inbox_;
  std::string name_;
  std::shared_ptr<time_guard> limit_;
  session_counts counts_;
  bool draining_ = false;
  bool expired_ = false;
  bool idle_ = false;
};

// Receives what the service says, until the session closes its mailbox. It is a child task so that no receive needs to
// be cancelled.
awaitable<void> caller_session::listen(std::shared_ptr<caller_session> self) {
  while (true) {
    auto receiving = self->inbox_->receive();
    const auto message = co_await std::move(receiving);
    if (!message) co_return;
    self->draining_ = true;
    if (self->idle_) self->limit_->set(timer_service::now() + std::min(drain_grace, self->context_->idle_limit));
  }
}

// @return false when the connection is to be closed.
awaitable<bool> caller_session::wait_for_request() {
  const duration allowed = draining_ ? std::min(drain_grace, context_->idle_limit) : context_->idle_limit;
  limit_->set(timer_service::now() + allowed);
  if (stream_.buffer.size() != 0) co_return true;
  idle_ = true;
  auto [ec] = co_await stream_.socket.async_wait(boost::asio::socket_base::wait_read, use_tuple);
  idle_ = false;
  co_return !ec && !expired_;
}

awaitable<void> caller_session::refuse(request_reader& reader, unsigned status, std::string text) {
  static constexpr bool last = true;
  h1_caller caller(stream_, reader, last, *context_->dialect);
  auto refusing = send_refusal(caller, status, run_claim::not_run, {.text = std::move(text)}, {});
  co_await std::move(refusing);
}

// @return true when the connection may carry another request.
awaitable<bool> caller_session::serve() {
  request_reader reader(stream_);
  auto reading = reader.read_head();
  const auto ec = co_await std::move(reading);
  limit_->clear();
  if (ec) {
    const bool too_long =
        ec == boost::beast::http::error::header_limit || ec == boost::beast::http::error::buffer_overflow;
    if (request_reader::kind_of(ec) == error_kind::bad_message) {
      auto refusing = refuse(reader, too_long ? 431 : 400, "the request is malformed: " + ec.message());
      co_await std::move(refusing);
    }
    co_return false;
  }
  auto converted = convert(reader, *context_->dialect);
  if (auto* bad = std::get_if<bad_request>(&converted)) {
    auto refusing = refuse(reader, bad->status, std::move(bad->text));
    co_await std::move(refusing);
    co_return false;
  }
  request_head head = std::move(std::get<request_head>(converted));
  ++counts_.requests;
  if (head.request_id.empty()) head.request_id = fmt::format("{}-{:x}", name_, counts_.requests);
  // A caller must not pass for another host or for an older request.
  head.caller_service = context_->caller_service;
  head.age = milliseconds(0);
  h1_caller caller(stream_, reader, draining_, *context_->dialect);
  caller.describe(head);
  auto exchanging = run_exchange(context_, caller, std::move(head));
  const exchange_end end = co_await std::move(exchanging);
  if (end == exchange_end::cut) ++counts_.cut;
  co_return end == exchange_end::keep&& caller.kept_alive();
}

awaitable<void> caller_session::close_gently() {
  boost::system::error_code ec;
  if (!stream_.socket.is_open()) co_return;
  stream_.socket.shutdown(tcp_socket::shutdown_send, ec);
  limit_->set(timer_service::now() + linger_limit);
  expired_ = false;
  while (!ec && !expired_) {
    stream_.buffer.clear();
    auto [failed, size] = co_await stream_.socket.async_read_some(stream_.buffer.prepare(4096), use_tuple);
    ec = failed;
  }
  stream_.close();
}

awaitable<session_counts> caller_session::run() {
  boost::system::error_code ec;
  stream_.socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  boost::asio::co_spawn(context_->executor, listen(shared_from_this()), boost::asio::detached);
  bool more = true;
  while (more) {
    auto waiting = wait_for_request();
    const bool arrived = co_await std::move(waiting);
    if (!arrived) {
      if (expired_ && stream_.socket.is_open()) {
        request_reader unused(stream_);
        auto refusing = refuse(unused, 408, "the connection was idle and is being closed");
        co_await std::move(refusing);
      }
      break;
    }
    auto serving = serve();
    more = co_await std::move(serving);
  }
  auto closing = close_gently();
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

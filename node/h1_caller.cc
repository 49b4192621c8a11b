// The head is held back until the first part of the body, so that a small response takes one system call.
#include "node/h1_caller.h"

#include <utility>

#include <boost/asio/this_coro.hpp>
#include <sys/socket.h>

#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

error connection_error(const boost::system::error_code& ec) {
  return {error_kind::closed,
          "writing to the caller's connection failed: " + ec.message(),
          "none; the caller has disconnected",
          {}};
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

}  // namespace

void h1_caller::set_request(const request_head& head) {
  http_1_0_ = head.http_1_0;
  keep_alive_ = head.keep_alive;
  expects_continue_ = head.expects_continue && !head.http_1_0;
  is_head_request_ = head.method == "HEAD";
}

awaitable<outcome<std::string>> h1_caller::read_body() {
  if (std::exchange(expects_continue_, false) && !response_started_ && !body_buffered()) {
    // 25 bytes fit into the empty send buffer; if the write fails, the caller sends its body after its own timeout.
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code ignored;
    stream_->socket.non_blocking(true, ignored);
    stream_->socket.write_some(boost::asio::buffer(interim.data(), interim.size()), ignored);
  }
  if (reader_ == nullptr) co_return std::string();
  auto reading = reader_->read_body();
  co_return co_await std::move(reading);
}

awaitable<outcome<void>> h1_caller::send_head(response_head head, bool end, bool body_follows) {
  response_started_ = true;
  replace_unproved_status(head, *dialect_);
  chunked_ = head.body == body_framing::streamed && !http_1_0_;
  const bool until_close = head.body == body_framing::streamed && http_1_0_;
  if (until_close && !end) reset_on_close(true);
  // Unread data of this request's body must not be parsed as the next request. A pipelined request that has been read
  // is answered, also by a node that is stopping.
  const bool more_read = body_buffered() || connection_->pipeline.size() > 1;
  const bool last = connection_->draining && !more_read;
  keep_alive_ = keep_alive_ && !http_1_0_ && !until_close && body_done() && !last;
  if (!keep_alive_) connection_->pipeline.close();
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

awaitable<outcome<void>> h1_caller::send_body(std::string data, bool last) {
  if (is_head_request_) data.clear();
  auto writing = write_h1(*stream_, std::exchange(head_text_, {}), std::move(data), chunked_, last);
  const auto written = co_await std::move(writing);
  if (written.ec) co_return connection_error(written.ec);
  if (last) reset_on_close(false);
  co_return outcome<void>();
}

awaitable<void> h1_caller::wait_disconnected() {
  while (stream_->buffer.size() < max_header_bytes) {
    auto [ec] = co_await stream_->socket.async_wait(boost::asio::socket_base::wait_read, use_tuple);
    if (!ec) ec = stream_->read_available();
    if (ec) co_return;
    connection_->on_data();
  }
  const auto executor = co_await boost::asio::this_coro::executor;
  wake_signal never(executor);
  auto waiting = never.wait();
  (void)co_await std::move(waiting);
}

bool h1_caller::disconnected() {
  // Buffered data of the body or of another request shows that the caller is connected.
  return stream_->buffer.size() == 0 && body_done() && !stream_->remote_end_connected();
}

void h1_caller::abort() {
  keep_alive_ = false;
  connection_->pipeline.close();
  reset_on_close(true);
  stream_->close();
}

// Zero linger time resets the connection when it is closed, also by the end of the process, so a response that ends
// with the connection is seen as incomplete.
void h1_caller::reset_on_close(bool reset) {
  if (resets_on_close_ == reset) return;
  resets_on_close_ = reset;
  // Asio undoes its own linger option when a socket is destroyed.
  const linger value{.l_onoff = reset ? 1 : 0, .l_linger = 0};
  (void)::setsockopt(stream_->socket.native_handle(), SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

}  // namespace heatherdeck

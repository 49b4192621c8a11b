// While `open` writes what is kept, the exchange waits, so that the parts of a response stay in order. Invariant: no
// byte is written before `open`. The head is serialised when the turn has come, because only then is it known whether
// the connection ends with this response. Memory: the bounds of pipeline_core, and one read of the upstream (at most
// 64 KiB) for each exchange that waits to send.
#include "node/queued_caller.h"

#include <utility>

namespace heatherdeck {
namespace {

error cancelled_error() {
  return {error_kind::closed, "the response is not sent, because the caller's connection has ended", {}, {}};
}

std::size_t size_of(const response_head& head) {
  std::size_t size = sizeof head;
  for (const auto& [name, value] : head.headers) size += name.size() + value.size() + 4;
  return size;
}

}  // namespace

queued_caller::queued_caller(executor_type executor, h1_stream& stream, const request_head& head,
                             caller_connection& connection, const http_dialect& dialect)
    : connection_(&connection),
      out_(stream, nullptr, connection, dialect),
      number_(connection.pipeline.begin({.repeatable = true, .last = !head.keep_alive || head.http_1_0})),
      request_id_(head.request_id),
      turn_(executor),
      cancelled_signal_(executor) {
  out_.set_request(head);
}

awaitable<outcome<void>> queued_caller::open() {
  opening_ = true;
  connection_->pipeline.open(number_);
  if (held_head_) {
    const bool data_follows = !held_data_.empty() || (complete_ && !bodiless_);
    auto sending_head = out_.send_head(std::move(*held_head_), bodiless_, data_follows);
    auto sent = co_await std::move(sending_head);
    if (sent && data_follows) {
      auto sending = out_.send_body(std::exchange(held_data_, {}), complete_);
      sent = co_await std::move(sending);
    }
    if (!sent) co_return sent.failure();
  }
  open_ = true;
  turn_.set();
  co_return outcome<void>();
}

void queued_caller::cancel() {
  if (std::exchange(cancelled_, true)) return;
  const bool written = open_ && connection_->pipeline.ended(number_);
  if (opening_ && !written) out_.abort();
  connection_->pipeline.release(number_);
  std::string().swap(held_data_);
  turn_.set();
  cancelled_signal_.set();
}

void queued_caller::end(bool reusable) { connection_->pipeline.end(number_, (reusable || replaced_) && !cancelled_); }

// @return false if the response will not be sent, or the wait was cancelled.
awaitable<bool> queued_caller::wait_open() {
  while (!open_ && !cancelled_) {
    auto waiting = turn_.wait();
    const bool woken = co_await std::move(waiting);
    if (!woken && !open_) co_return false;
  }
  co_return !cancelled_;
}

awaitable<outcome<void>> queued_caller::send_head(response_head head, bool end, bool body_follows) {
  if (cancelled_) co_return cancelled_error();
  const std::size_t size = size_of(head);
  if (!open_ && connection_->pipeline.may_hold(number_, size)) {
    connection_->pipeline.hold(number_, size);
    bodiless_ = end;
    complete_ = end;
    held_head_ = std::move(head);
    co_return outcome<void>();
  }
  if (!open_) {
    auto waiting = wait_open();
    const bool opened = co_await std::move(waiting);
    if (!opened) co_return cancelled_error();
  }
  auto sending = out_.send_head(std::move(head), end, body_follows);
  co_return co_await std::move(sending);
}

awaitable<outcome<void>> queued_caller::send_body(std::string data, bool last) {
  if (cancelled_) co_return cancelled_error();
  if (!open_ && held_head_ && connection_->pipeline.may_hold(number_, data.size())) {
    connection_->pipeline.hold(number_, data.size());
    held_data_ += data;
    complete_ = last;
    co_return outcome<void>();
  }
  if (!open_) {
    auto waiting = wait_open();
    const bool opened = co_await std::move(waiting);
    if (!opened) co_return cancelled_error();
  }
  auto sending = out_.send_body(std::move(data), last);
  co_return co_await std::move(sending);
}

awaitable<void> queued_caller::wait_disconnected() {
  while (!cancelled_) {
    auto waiting = cancelled_signal_.wait();
    const bool woken = co_await std::move(waiting);
    if (!woken) co_return;
  }
}

awaitable<void> queued_caller::wait_first_in_line() {
  auto waiting = wait_open();
  (void)co_await std::move(waiting);
}

void queued_caller::abort() {
  if (cancelled_) return;
  if (opening_) {
    out_.abort();
    return;
  }
  static constexpr unsigned bad_gateway = 502;
  connection_->pipeline.release(number_);
  held_data_.clear();
  response_head failed;
  failed.status = bad_gateway;
  failed.execution = execution_status::unknown;
  failed.request_id = request_id_;
  held_head_ = std::move(failed);
  bodiless_ = true;
  complete_ = true;
  replaced_ = true;
}

}  // namespace heatherdeck

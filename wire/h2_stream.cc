// The holder's side of a stream. All operations work on the buffers in h2_stream_state and notify the connection's
// task. Invariants: at most stream_buffer_bytes plus one chunk are buffered for sending; the peer's window is
// replenished only after `read` has returned the bytes, in steps of a quarter of the window, so small bodies cost no
// extra wake-up.
#include "wire/h2_stream.h"

#include <utility>

#include "wire/h2_stream_state.h"

namespace heatherdeck {

namespace {

constexpr std::uint32_t code_no_error = 0;
constexpr std::uint32_t code_cancel = 8;
constexpr std::size_t window_update_step = stream_buffer_bytes / 4;
constexpr std::size_t frame_prefix_bytes = 4;

error closed_by_peer() { return {error_kind::closed, "the peer has ended the stream", "send the request again", {}}; }

error frame_too_long(std::size_t size) {
  return {error_kind::bad_message,
          "a message of " + std::to_string(size) + " bytes exceeds the limit",
          "check that both processes run the same or adjacent releases",
          {}};
}

std::string frame_prefix(std::size_t size) {
  std::string prefix(frame_prefix_bytes, '\0');
  for (std::size_t i = 0; i < frame_prefix_bytes; ++i) {
    prefix[i] = static_cast<char>((size >> (8 * (frame_prefix_bytes - 1 - i))) & 0xFFU);
  }
  return prefix;
}

std::size_t frame_size(std::string_view prefix) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < frame_prefix_bytes; ++i) size = (size << 8U) | static_cast<unsigned char>(prefix[i]);
  return size;
}

/// Resets a stream that its holder has dropped before both directions ended. A response may be complete before its
/// request is; the rest of the request is then declined with NO_ERROR, so that the peer keeps the response.
void reset_unfinished(const std::shared_ptr<h2_stream_state>& state) {
  if (!state || state->finished() || state->reset_code) return;
  state->reset_code = state->incoming && state->outbound_ended ? code_no_error : code_cancel;
  state->notify();
}

}  // namespace

void h2_stream_state::notify() {
  if (outbox->closed) return;
  if (!std::exchange(queued, true)) outbox->ready.push_back(shared_from_this());
  outbox->signal.set();
}

void h2_stream_state::fail(error_kind failure_kind, std::string text, std::string where) {
  if (failure) return;
  failure = error{failure_kind, std::move(text), "send the request again if its route allows it", std::move(where)};
  inbound_changed.set();
  outbound_has_space.set();
  closed_changed.set();
}

h2_stream& h2_stream::operator=(h2_stream&& other) noexcept {
  if (this != &other) {
    reset_unfinished(state_);
    state_ = std::move(other.state_);
    frame_buffer_ = std::move(other.frame_buffer_);
  }
  return *this;
}

h2_stream::~h2_stream() { reset_unfinished(state_); }

awaitable<outcome<void>> h2_stream::send_headers(header_list headers, bool end_stream) {
  if (state_->failure) co_return *state_->failure;
  state_->outbound_headers = std::move(headers);
  state_->headers_end_stream = end_stream;
  state_->outbound_ended = end_stream;
  state_->notify();
  co_return outcome<void>();
}

awaitable<outcome<void>> h2_stream::write(std::string bytes, bool end_stream) {
  const auto state = state_;
  while (!state->failure && state->outbound_bytes >= stream_buffer_bytes) {
    if (!co_await state->outbound_has_space.wait()) break;
  }
  if (state->failure) co_return *state->failure;
  if (state->outbound_ended) co_return closed_by_peer();
  state->outbound_bytes += bytes.size();
  if (!bytes.empty()) state->outbound.push_back(std::move(bytes));
  state->outbound_ended = end_stream;
  state->notify();
  co_return outcome<void>();
}

awaitable<outcome<header_list>> h2_stream::read_headers() {
  const auto state = state_;
  while (!state->headers && !state->failure) {
    if (!co_await state->inbound_changed.wait()) break;
  }
  if (!state->headers) co_return state->failure ? *state->failure : closed_by_peer();
  header_list headers = std::move(*state->headers);
  state->headers.reset();
  co_return headers;
}

awaitable<outcome<std::string>> h2_stream::read() {
  const auto state = state_;
  while (state->inbound.empty() && !state->inbound_ended && !state->failure) {
    if (!co_await state->inbound_changed.wait()) break;
  }
  if (state->inbound.empty()) {
    if (state->inbound_ended) co_return std::string();
    co_return state->failure ? *state->failure : closed_by_peer();
  }
  std::string bytes = std::exchange(state->inbound, {});
  state->consumed += bytes.size();
  if (state->consumed >= window_update_step && !state->inbound_ended) state->notify();
  co_return bytes;
}

awaitable<outcome<void>> h2_stream::write_frame(std::string message) {
  if (message.size() > max_frame_bytes) {
    co_return error{error_kind::limit,
                    "a message of " + std::to_string(message.size()) + " bytes exceeds the limit",
                    "split it into smaller messages",
                    {}};
  }
  message.insert(0, frame_prefix(message.size()));
  co_return co_await write(std::move(message), false);
}

awaitable<outcome<std::string>> h2_stream::read_frame() {
  std::size_t wanted = frame_prefix_bytes;
  bool size_known = false;
  while (!size_known || frame_buffer_.size() < wanted) {
    if (!size_known && frame_buffer_.size() >= frame_prefix_bytes) {
      const std::size_t size = frame_size(frame_buffer_);
      if (size > max_frame_bytes) co_return frame_too_long(size);
      wanted = frame_prefix_bytes + size;
      size_known = true;
      continue;
    }
    auto chunk = co_await read();
    if (!chunk) co_return chunk.failure();
    if (chunk->empty()) co_return closed_by_peer();
    frame_buffer_ += *chunk;
  }
  std::string message = frame_buffer_.substr(frame_prefix_bytes, wanted - frame_prefix_bytes);
  frame_buffer_.erase(0, wanted);
  co_return message;
}

void h2_stream::reset(std::uint32_t code) {
  if (state_->finished() || state_->reset_code) return;
  state_->reset_code = code;
  state_->fail(error_kind::closed, "this process has reset the stream", {});
  state_->notify();
}

awaitable<outcome<void>> h2_stream::wait_closed() {
  const auto state = state_;
  while (!state->failure && !state->closed) {
    if (!co_await state->closed_changed.wait()) break;
  }
  if (state->failure) co_return *state->failure;
  co_return outcome<void>();
}

bool h2_stream::closed() const { return state_->failure.has_value() || state_->closed; }

void h2_stream::wait_on_silence() { state_->on_silence = silence_action::wait; }

bool h2_stream::may_have_been_sent() const { return state_->may_have_been_sent; }

}  // namespace heatherdeck

// Runs the same exchange as for callers, on an HTTP/2 stream instead of a connection. Invariant: an error response of
// this node carries hd-outcome: not-run only if its upstream cannot have executed the request, and hd-outcome fields of
// the upstream are dropped, so the first node can trust the field. A reset of the stream ends the exchange and closes
// the connection to the upstream.
#include "node/peer_session.h"

#include "node/error_response.h"
#include "node/exchange.h"
#include "node/h2_body.h"

namespace heatherdeck {
namespace {

constexpr std::uint32_t h2_cancel = 8;  // HTTP/2 error code CANCEL

class peer_caller : public caller_link {
 public:
  peer_caller(std::shared_ptr<h2_stream> stream, const request_head& head) : stream_(std::move(stream)) {
    body_.expect(head.body, head.content_length);
  }

  awaitable<outcome<std::string>> read_body() override { return body_.read(*stream_); }

  bool body_done() const override { return body_.done(); }
  bool body_buffered() const override { return false; }

  awaitable<outcome<void>> send_head(response_head head, bool end, bool) override {
    auto sending = stream_->send_headers(make_h2_response_fields(head), end);
    co_return co_await std::move(sending);
  }

  awaitable<outcome<void>> send_body(std::string data, bool last) override {
    if (data.empty() && !last) co_return outcome<void>();
    auto sending = stream_->write(std::move(data), last);
    co_return co_await std::move(sending);
  }

  // Also completes when both directions have ended, which happens only after the exchange has ended.
  awaitable<void> wait_disconnected() override {
    auto closing = stream_->wait_closed();
    (void)co_await std::move(closing);
  }
  bool disconnected() override { return stream_->closed(); }
  void abort() override { stream_->reset(h2_cancel); }

 private:
  std::shared_ptr<h2_stream> stream_;
  h2_body body_;
};

// Reads and discards the rest of the request body, at most 64 KiB, so that both directions end normally. A stream that
// is released earlier is reset, and the reset can overtake the response in the connection's queue; a correct
// "not executed" would then be lost.
awaitable<void> discard_request_body(std::shared_ptr<h2_stream> stream) {
  std::size_t discarded = 0;
  while (discarded <= stream_buffer_bytes) {
    auto reading = stream->read();
    const auto data = co_await std::move(reading);
    if (!data || data->empty()) co_return;
    discarded += data->size();
  }
}

}  // namespace

awaitable<session_counts> run_peer_session(proxy_context_ptr context, incoming_stream incoming) {
  session_counts counts{.requests = 1};
  const std::shared_ptr<h2_stream> stream = incoming.stream;
  auto head = parse_h2_request(incoming.headers);
  exchange_result end = exchange_result::close;
  if (head) {
    peer_caller caller(stream, *head);
    auto exchanging = run_exchange(std::move(context), caller, std::move(*head));
    end = co_await std::move(exchanging);
  } else {
    peer_caller caller(stream, {});
    auto responding =
        send_error_response(caller, 400, execution_status::not_executed, {.text = head.failure().text}, {});
    co_await std::move(responding);
  }
  if (end == exchange_result::aborted) {
    ++counts.aborted;
  } else {
    auto discarding = discard_request_body(stream);
    co_await std::move(discarding);
  }
  co_return counts;
}

}  // namespace heatherdeck

// The same exchange as for callers, with an h2 stream in place of the connection. Invariant: this node's refusals carry
// hd-outcome: not-run only when its upstream cannot have seen the request, and the upstream's own hd-outcome is
// dropped, so the first node may believe the field. A reset of the stream ends the exchange and closes the upstream's
// connection.
#include "node/peer_session.h"

#include "node/exchange.h"
#include "node/h2_body.h"

namespace heatherdeck {
namespace {

constexpr std::uint32_t h2_cancel = 8;

class peer_caller : public caller_link {
 public:
  peer_caller(std::shared_ptr<h2_stream> stream, const request_head& head) : stream_(std::move(stream)) {
    body_.expect(head.body, head.content_length);
  }

  awaitable<outcome<std::string>> read_body() override { return body_.read(*stream_); }

  bool body_done() const override { return body_.done(); }
  bool body_buffered() const override { return false; }

  awaitable<outcome<void>> send_head(answer_head head, bool end, bool) override {
    auto sending = stream_->send_headers(make_h2_response_fields(head), end);
    co_return co_await std::move(sending);
  }

  awaitable<outcome<void>> send_body(std::string data, bool last) override {
    if (data.empty() && !last) co_return outcome<void>();
    auto sending = stream_->write(std::move(data), last);
    co_return co_await std::move(sending);
  }

  // It also completes when both directions have ended, which follows the end of the exchange itself.
  awaitable<void> watch_gone() override {
    auto closing = stream_->wait_closed();
    (void)co_await std::move(closing);
  }
  bool gone() override { return stream_->closed(); }
  void cut() override { stream_->reset(h2_cancel); }

 private:
  std::shared_ptr<h2_stream> stream_;
  h2_body body_;
};

// Reads what is left of the request, so that both directions end in good order. A stream that is dropped before that is
// reset, and the reset can overtake the answer in the connection's queue; a true "not run" would then be lost.
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

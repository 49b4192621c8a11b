// A stream carries one exchange and is not reused. Invariant: hd-outcome in the response was set by the next node,
// because nodes drop the field from their upstreams' responses. Flow control is that of the stream: a write waits while
// 64 KiB are unsent, and the peer's window opens only as data is read. Cost: one stream, no buffer of its own.
#include "node/mesh_upstream.h"

#include "node/h2_body.h"

namespace heatherdeck {
namespace {

constexpr std::uint32_t h2_cancel = 8;  // HTTP/2 error code CANCEL

class mesh_upstream : public upstream_link {
 public:
  mesh_upstream(std::shared_ptr<h2_stream> stream, std::string method, bool request_done)
      : stream_(std::move(stream)), method_(std::move(method)), request_done_(request_done) {}

  awaitable<outcome<void>> send(std::string data, bool last) override {
    if (request_done_ || (data.empty() && !last)) co_return outcome<void>();
    request_done_ = last;
    auto writing = stream_->write(std::move(data), last);
    co_return co_await std::move(writing);
  }

  void wait_on_silence() override { stream_->wait_on_silence(); }

  awaitable<outcome<response_head>> read_head() override {
    auto reading = stream_->read_headers();
    auto fields = co_await std::move(reading);
    if (!fields) co_return fields.failure();
    auto head = parse_h2_response(*fields, method_);
    if (head) body_.expect(head->body, head->content_length);
    co_return std::move(head);
  }

  awaitable<outcome<std::string>> read_body() override { return body_.read(*stream_); }

  bool response_done() const override { return body_.done(); }
  bool body_buffered() const override { return false; }
  bool may_have_been_sent() const override { return stream_->may_have_been_sent(); }
  void release() override {
    if (!request_done_) stream_->reset(h2_cancel);
  }
  void abort() override { stream_->reset(h2_cancel); }

 private:
  std::shared_ptr<h2_stream> stream_;
  std::string method_;
  h2_body body_;
  bool request_done_ = false;
};

}  // namespace

awaitable<outcome<upstream_link_ptr>> open_mesh_upstream(proxy_context_ptr context, upstream_choice choice,
                                                         const request_head& head, exchange_limits limits,
                                                         duration timeout, silence_action on_silence) {
  const bool end = head.body == body_framing::none;
  std::string method = head.method;
  header_list fields = make_h2_request_fields(head, choice, limits);
  auto make = [&](reply<std::shared_ptr<h2_stream>> answer) {
    return open_stream{choice.mesh_address, stream_kind::call, std::move(fields), end, std::move(answer), on_silence};
  };
  if (!context->mesh)
    co_return error{error_kind::unreachable, "this process does not run the mesh service", "set mesh_listen", {}};
  auto asking =
      ask<std::shared_ptr<h2_stream>>(*context->timers, context->executor, context->mesh, timeout, std::move(make));
  auto stream = co_await std::move(asking);
  if (!stream) co_return stream.failure();
  upstream_link_ptr link = std::make_unique<mesh_upstream>(std::move(*stream), std::move(method), end);
  co_return std::move(link);
}

}  // namespace heatherdeck

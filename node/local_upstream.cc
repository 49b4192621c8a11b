// The head is held back until the first piece of the body, so a small request takes one system call. Invariant:
// `may_have_been_sent` turns true before the first write and turns back only if that write has failed without the
// kernel taking a single byte. A connection goes back to the pool only when both messages have ended and no byte is
// left in its buffer.
#include "node/local_upstream.h"

#include "node/upstream_connection.h"

namespace heatherdeck {
namespace {

// Interim answers (1xx) before the final one; more are taken for a defect of the upstream.
constexpr int max_interim_answers = 8;

error from(const boost::system::error_code& ec) {
  return {h1_reader<false>::kind_of(ec), "the upstream's connection failed: " + ec.message(), "check the upstream", {}};
}

error not_ours(std::string text) {
  return {error_kind::bad_message,
          "the upstream's answer is not one to this request: " + std::move(text),
          "check the upstream",
          {}};
}

// Takes out of the head what the dialect says about the request that it answers.
outcome<void> read_claims(answer_head& head, const std::string& request_id, const http_dialect& spoken) {
  bool proved = spoken.proof.empty();
  bool answered_id = !spoken.answers_carry_id;
  for (const auto& [name, value] : head.headers) {
    if (!spoken.not_run.empty() && name == spoken.not_run) head.claim = run_claim::not_run;
    if (!spoken.proof.empty() && name == spoken.proof) proved = true;
    if (spoken.answers_carry_id && name == spoken.request_id) answered_id = value == request_id;
    if (spoken.read_load != nullptr && name == spoken.load) head.load = spoken.read_load(value);
  }
  // Another target answered in place of the one that was meant: as far as the caller is concerned, none is there.
  constexpr unsigned misdirected = 421;
  if (spoken.statuses_promise && head.status == misdirected) {
    head.claim = run_claim::not_run;
    head.status = 503;
  }
  if (head.claim == run_claim::not_run) {
    std::erase_if(head.headers, [&](const auto& f) { return f.first == spoken.not_run || f.first == spoken.proof; });
    return {};
  }
  if (!answered_id) return not_ours("it carries another id or none");
  if (!proved && head.status < 300) return not_ours("a success lacks the upstream's proof");
  if (spoken.statuses_promise && http_dialect::promises_not_run(head.status)) {
    return not_ours("its status promises what the upstream does not say");
  }
  if (spoken.answers_carry_id) {
    std::erase_if(head.headers, [&](const auto& field) { return field.first == spoken.request_id; });
  }
  return {};
}

outcome<answer_head> convert(h1_reader<false>& reader, bool bodiless, const std::string& request_id,
                             const http_dialect& spoken) {
  answer_head head;
  const auto& message = reader.message();
  head.status = message.result_int();
  head.headers.reserve(16);
  for (const auto& field : message) {
    head.add({field.name_string().data(), field.name_string().size()}, {field.value().data(), field.value().size()});
  }
  head.finish();
  // Only a node of the mesh can prove these; an upstream may have copied them from an answer to a call of its own.
  head.claim = run_claim::none;
  head.refused.clear();
  if (const outcome<void> read = read_claims(head, request_id, spoken); !read) return read.failure();
  if (bodiless || reader.done()) return head;
  const auto length = reader.parser().content_length();
  head.body = length ? body_kind::sized : body_kind::streamed;
  head.content_length = length.value_or(0);
  return head;
}

class local_upstream : public upstream_link {
 public:
  local_upstream(upstream_connection_ptr connection, std::string head, bool chunked, bool head_request,
                 std::string request_id, const http_dialect& spoken)
      : connection_(std::move(connection)),
        head_(std::move(head)),
        request_id_(std::move(request_id)),
        spoken_(&spoken),
        chunked_(chunked),
        head_request_(head_request) {
    new_reader();
  }

  awaitable<outcome<void>> send(std::string piece, bool last) override {
    if (!connection_) co_return mailbox_closed();
    const bool first = !sent_;
    sent_ = true;
    std::string head = std::exchange(head_, {});
    auto writing = write_h1(connection_->stream, std::move(head), std::move(piece), chunked_, last);
    const auto written = co_await std::move(writing);
    if (first && written.ec && written.size == 0) sent_ = false;
    if (written.ec) co_return from(written.ec);
    request_done_ = last;
    co_return outcome<void>();
  }

  awaitable<outcome<answer_head>> read_head() override {
    for (int interim = 0; interim <= max_interim_answers; ++interim) {
      const auto ec = co_await reader_->read_head();
      if (ec) co_return from(ec);
      if (reader_->message().result_int() >= 200) co_return convert(*reader_, head_request_, request_id_, *spoken_);
      if (reader_->message().result_int() == 101) break;
      new_reader();
    }
    co_return error{
        error_kind::bad_message, "the upstream sent an interim answer that is not supported", "check the upstream", {}};
  }

  awaitable<outcome<std::string>> read_body() override { return reader_->read_body(); }
  bool answer_done() const override { return head_request_ || reader_->done(); }
  bool body_buffered() const override { return reader_->has_buffered(); }
  bool may_have_been_sent() const override { return sent_; }

  void finish() override {
    const bool clean =
        request_done_ && answer_done() && connection_->stream.buffer.size() == 0 && reader_->parser().keep_alive();
    if (clean) {
      give_back(std::move(connection_));
    } else {
      abandon();
    }
  }

  // The connection itself stays until the link is destroyed, because operations may still refer to it.
  void abandon() override {
    if (connection_) connection_->stream.close();
  }

 private:
  void new_reader() {
    reader_ = std::make_unique<h1_reader<false>>(connection_->stream);
    if (head_request_) reader_->without_body();
  }

  upstream_connection_ptr connection_;
  std::unique_ptr<h1_reader<false>> reader_;
  std::string head_;
  std::string request_id_;
  const http_dialect* spoken_;
  bool chunked_ = false;
  bool head_request_ = false;
  bool sent_ = false;
  bool request_done_ = false;
};

}  // namespace

awaitable<outcome<upstream_link_ptr>> open_local_upstream(proxy_context_ptr context, upstream_choice choice,
                                                          const request_head& head, exchange_limits limits,
                                                          duration timeout) {
  std::string text = h1_request_text(head, choice.upstream_address, limits, choice.target, *context->dialect);
  const bool chunked = head.body == body_kind::streamed;
  const bool head_request = head.method == "HEAD";
  auto make = [&choice, timeout](reply<upstream_connection_ptr> answer) {
    return acquire_connection{choice.upstream_address, !choice.idempotent, timeout, std::move(answer)};
  };
  // The pool ends the attempt itself; the longer limit only covers a pool that has stopped.
  auto asking = ask<upstream_connection_ptr>(*context->timers, context->executor, context->pool,
                                             timeout + std::chrono::seconds(1), make);
  auto connection = co_await std::move(asking);
  if (!connection) co_return connection.failure();
  upstream_link_ptr link = std::make_unique<local_upstream>(std::move(*connection), std::move(text), chunked,
                                                            head_request, head.request_id, *context->dialect);
  co_return std::move(link);
}

}  // namespace heatherdeck

// The request head is buffered until the first part of the body, so a small request takes one system call. Invariant:
// `may_have_been_sent` becomes true before the first write, and false again only if that write failed before the kernel
// accepted a byte. On a reused connection a response without the request's id, such as a late copy of an earlier one,
// is discarded. The id tells, because an unsuccessful request never comes to the same connection again. A connection
// returns to the pool only if request and response are complete and its buffer is empty. A body without a length is
// complete only if the connection has ended without an error in either direction.
#include "node/local_upstream.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kernel/log.h"
#include "node/upstream_connection.h"

namespace heatherdeck {
namespace {

// Maximum number of responses to no request, or to an earlier one, that are discarded before the response to a request.
constexpr int max_discarded_responses = 2;

error connection_error(const boost::system::error_code& ec) {
  return {h1_reader<false>::error_kind_of(ec),
          "the upstream's connection failed: " + ec.message(),
          "check the log of the upstream",
          {}};
}

error mismatched_response(std::string text) {
  return {error_kind::bad_message,
          "the upstream's response does not belong to this request: " + std::move(text),
          "check the upstream and the setting 'dialect'",
          {}};
}

/// Whose request id a response bears. In dialects whose responses bear none, every response counts as `own`.
enum class response_id { own, missing, other };

}  // namespace

template <>
struct enum_table<response_id> {
  static constexpr auto entries = std::to_array<enum_entry<response_id>>({
      {response_id::own, "own"},
      {response_id::missing, "missing"},
      {response_id::other, "other"},
  });
};

namespace {

response_id response_id_of(const response_head& head, const std::string& request_id, const http_dialect& dialect) {
  if (!dialect.responses_echo_request_id) return response_id::own;
  response_id found = response_id::missing;
  for (const auto& [name, value] : head.headers) {
    if (name != dialect.request_id) continue;
    if (value != request_id) return response_id::other;
    found = response_id::own;
  }
  return found;
}

constexpr unsigned misdirected_request = 421;

bool states_not_executed(const response_head& head, const http_dialect& dialect) {
  if (dialect.statuses_imply_not_executed && head.status == misdirected_request) return true;
  return !dialect.not_executed.empty() && std::any_of(head.headers.begin(), head.headers.end(), [&](const auto& field) {
    return field.first == dialect.not_executed;
  });
}

// Reads the fields by which the dialect relates a response to its request: execution, id, required field and load.
// @param first_on_connection the connection has carried no other request, so the response can be about no other.
// @return `bad_message` if the response does not belong to the request.
outcome<void> read_execution_fields(response_head& head, response_id id, bool first_on_connection,
                                    const http_dialect& dialect) {
  bool proof_present = dialect.required_on_success.empty();
  if (id == response_id::other) return mismatched_response("it carries another request id");
  for (const auto& [name, value] : head.headers) {
    if (!dialect.not_executed.empty() && name == dialect.not_executed) head.execution = execution_status::not_executed;
    if (!dialect.required_on_success.empty() && name == dialect.required_on_success) proof_present = true;
    if (dialect.read_load != nullptr && name == dialect.load) head.load = dialect.read_load(value);
    if (!dialect.rate_limit.empty() && name == dialect.rate_limit) head.statement.rate_limit = parse_rate(value);
    if (!dialect.leaving.empty() && name == dialect.leaving) head.statement.leaving = value == "1";
  }
  // 421: another target than the expected one has responded, so for the caller the expected one is unavailable.
  if (dialect.statuses_imply_not_executed && head.status == misdirected_request) {
    head.execution = execution_status::not_executed;
    head.status = 503;
    head.statement = {};
    head.load.reset();
  }
  if (head.execution == execution_status::not_executed) {
    if (id == response_id::missing && !first_on_connection)
      return mismatched_response("it says that a request was not executed, and carries no request id");
    if (head.status < 400) return mismatched_response("a success says that the request was not executed");
    std::erase_if(head.headers, [&](const auto& f) {
      return f.first == dialect.not_executed || f.first == dialect.required_on_success;
    });
    return {};
  }
  if (id == response_id::missing) return mismatched_response("it carries no request id");
  if (!proof_present && head.status < 300) return mismatched_response("a success lacks the upstream's proof of origin");
  if (dialect.statuses_imply_not_executed && http_dialect::implies_not_executed(head.status)) {
    return mismatched_response(
        "its status says that the request was not executed, but the field that confirms it is missing");
  }
  if (dialect.responses_echo_request_id) {
    std::erase_if(head.headers, [&](const auto& field) { return field.first == dialect.request_id; });
  }
  return {};
}

response_head read_fields(h1_reader<false>& reader) {
  response_head head;
  const auto& message = reader.message();
  head.status = message.result_int();
  head.headers.reserve(16);
  for (const auto& field : message) {
    head.add({field.name_string().data(), field.name_string().size()}, {field.value().data(), field.value().size()});
  }
  head.finish();
  // Only nodes of the mesh may set these; an upstream may have copied them from the response to a call of its own.
  head.execution = execution_status::none;
  head.refused_reason.clear();
  return head;
}

// Chunks are decoded; bytes in any other transfer coding are not the body.
bool has_unknown_coding(h1_reader<false>& reader) {
  const auto& message = reader.message();
  constexpr auto field = boost::beast::http::field::transfer_encoding;
  const auto coding = message[field];
  return message.count(field) != 0 && lower_case({coding.data(), coding.size()}) != "chunked";
}

outcome<response_head> parse_response_head(h1_reader<false>& reader, response_head head, bool bodiless, response_id id,
                                           bool first_on_connection, const http_dialect& dialect) {
  const outcome<void> read = read_execution_fields(head, id, first_on_connection, dialect);
  if (!read) return read.failure();
  if (bodiless || reader.done()) return head;
  if (has_unknown_coding(reader)) {
    return error{error_kind::bad_message,
                 "the upstream's response has an unknown transfer coding",
                 "let the upstream use no transfer coding but chunked",
                 {}};
  }
  const auto length = reader.parser().content_length();
  head.body = length ? body_framing::sized : body_framing::streamed;
  head.content_length = length.value_or(0);
  return head;
}

class local_upstream : public upstream_link {
 public:
  local_upstream(upstream_connection_ptr connection, std::string head, bool chunked, bool is_head_request,
                 std::string request_id, const http_dialect& dialect)
      : connection_(std::move(connection)),
        head_(std::move(head)),
        request_id_(std::move(request_id)),
        dialect_(&dialect),
        chunked_(chunked),
        is_head_request_(is_head_request) {
    new_reader();
  }

  awaitable<outcome<void>> send(std::string data, bool last) override {
    if (!connection_) co_return mailbox_closed();
    const bool first = !sent_;
    sent_ = true;
    std::string head = std::exchange(head_, {});
    writing_ = true;
    auto writing = write_h1(connection_->stream, std::move(head), std::move(data), chunked_, last);
    const auto written = co_await std::move(writing);
    writing_ = false;
    if (first && written.ec && written.size == 0) sent_ = false;
    if (written.ec) {
      write_failed_ = true;
      co_return connection_error(written.ec);
    }
    request_done_ = last;
    co_return outcome<void>();
  }

  awaitable<outcome<response_head>> read_head() override {
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
      const auto ec = co_await reader_->read_head();
      if (ec) co_return connection_error(ec);
      const unsigned status = reader_->message().result_int();
      if (is_final_status(status)) {
        response_head head = read_fields(*reader_);
        const response_id id = response_id_of(head, request_id_, *dialect_);
        if (!can_be_discarded(head, id)) {
          auto parsed =
              parse_response_head(*reader_, std::move(head), is_head_request_, id, !connection_->reused, *dialect_);
          if (parsed) record_response(*parsed, id);
          co_return std::move(parsed);
        }
        ++discarded_responses_;
        log_discarded(head, id);
        const outcome<void> discarded = co_await discard_body();
        if (!discarded) co_return discarded.failure();
      }
      if (!is_final_status(status) && !is_interim_status(status)) {
        co_return error{error_kind::bad_message,
                        "the upstream's response has the invalid status code " + std::to_string(status),
                        "check the upstream",
                        {}};
      }
      new_reader();
    }
    co_return error{error_kind::bad_message, "the upstream sent too many interim responses", "check the upstream", {}};
  }

  awaitable<outcome<std::string>> read_body() override {
    auto reading = reader_->read_body();
    auto data = co_await std::move(reading);
    if (!data || !data->empty() || !reader_->parser().need_eof()) co_return std::move(data);
    auto checking = connection_failed();
    const bool failed = co_await std::move(checking);
    if (!failed) co_return std::string();
    co_return error{error_kind::closed,
                    "the upstream's connection failed before the end of a response without a length",
                    "check the log of the upstream",
                    {}};
  }
  bool response_done() const override { return is_head_request_ || reader_->done(); }
  bool body_buffered() const override { return reader_->has_buffered_data(); }
  bool may_have_been_sent() const override { return sent_; }

  void release() override {
    // A late copy of the response to HEAD looks as if a body followed.
    const bool reusable = discarded_responses_ == 0 && !is_head_request_ && request_done_ && response_done() &&
                          !connection_->unsuccessful_ids_full() && connection_->stream.buffer.size() == 0 &&
                          reader_->parser().keep_alive();
    if (reusable) {
      return_to_pool(std::move(connection_));
    } else {
      abort();
    }
  }

  // The connection object lives until the link is destroyed, because pending operations may still use it.
  void abort() override {
    if (connection_) connection_->stream.close();
  }

 private:
  // The kernel reports a reset once. If it has been reported to a write, reads end as after an orderly close. The write
  // may have failed without having been resumed yet; what is posted runs after it.
  awaitable<bool> connection_failed() {
    if (writing_) {
      auto resuming = boost::asio::post(connection_->stream.socket.get_executor(), boost::asio::use_awaitable);
      co_await std::move(resuming);
    }
    co_return write_failed_;
  }

  awaitable<outcome<void>> discard_body() {
    while (!reader_->done()) {
      auto data = co_await reader_->read_body();
      if (!data) co_return data.failure();
    }
    co_return outcome<void>();
  }

  // A response to no request, or to an earlier one, that ends before the next one begins. Without a request id only a
  // rejection is discarded: anything else may be a defective answer, after which nothing more comes.
  bool can_be_discarded(const response_head& head, response_id id) const {
    if (!connection_->reused || is_head_request_ || discarded_responses_ >= max_discarded_responses) return false;
    if (reader_->parser().need_eof()) return false;
    return id == response_id::other || (id == response_id::missing && states_not_executed(head, *dialect_));
  }

  void log_discarded(const response_head& head, response_id id) const {
    log_event(log_level::info, "upstream_response_discarded",
              {{"request", request_id_}, {"status", head.status}, {"response_id", to_name(id)}});
  }

  void record_response(const response_head& head, response_id id) {
    const bool rejected = head.execution == execution_status::not_executed;
    if (dialect_->responses_echo_request_id && (rejected || head.status >= 500))
      connection_->add_unsuccessful_id(request_id_);
    if (!rejected) return;
    log_event(log_level::info, "upstream_rejection",
              {{"request", request_id_},
               {"status", head.status},
               {"response_id", to_name(id)},
               {"connection_reused", connection_->reused},
               {"discarded_responses", discarded_responses_}});
  }

  void new_reader() {
    reader_ = std::make_unique<h1_reader<false>>(connection_->stream);
    if (is_head_request_) reader_->skip_body();
  }

  upstream_connection_ptr connection_;
  std::unique_ptr<h1_reader<false>> reader_;
  std::string head_;
  std::string request_id_;
  const http_dialect* dialect_;
  bool chunked_ = false;
  bool is_head_request_ = false;
  bool sent_ = false;
  bool request_done_ = false;
  bool writing_ = false;
  bool write_failed_ = false;
  int discarded_responses_ = 0;  ///< discarded; the connection is not used again
};

}  // namespace

awaitable<outcome<upstream_link_ptr>> open_local_upstream(proxy_context_ptr context, upstream_choice choice,
                                                          const request_head& head, exchange_limits limits,
                                                          duration timeout) {
  std::string text = serialize_h1_request(head, choice.upstream_address, limits, choice.target, *context->dialect);
  const bool chunked = head.body == body_framing::streamed;
  const bool is_head_request = head.method == "HEAD";
  auto make = [&choice, &head, timeout](reply<upstream_connection_ptr> answer) {
    return acquire_connection{.upstream_address = choice.upstream_address,
                              .non_idempotent = !choice.idempotent,
                              .timeout = timeout,
                              .answer = std::move(answer),
                              .request_id = head.request_id};
  };
  // The pool applies the timeout itself; the extra second only matters if the pool has stopped.
  auto asking = ask<upstream_connection_ptr>(*context->timers, context->executor, context->pool,
                                             timeout + std::chrono::seconds(1), make);
  auto connection = co_await std::move(asking);
  if (!connection) {
    error failure = connection.failure();
    // An exchange handles a refused connection as any other that cannot be established, as links to other hosts do.
    if (failure.kind == error_kind::refused) failure.kind = error_kind::unreachable;
    co_return failure;
  }
  upstream_link_ptr link = std::make_unique<local_upstream>(std::move(*connection), std::move(text), chunked,
                                                            is_head_request, head.request_id, *context->dialect);
  co_return std::move(link);
}

}  // namespace heatherdeck

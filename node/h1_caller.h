/// @file
/// The caller's side of an exchange on an HTTP/1.1 connection: reads the request's body from the connection and writes
/// the response to it.
///
///     h1_caller caller(stream, &reader, connection, dialect);
///     caller.set_request(head);
///     auto end = co_await run_exchange(context, caller, std::move(head));
///     if (caller.keep_alive()) ...                        // the connection may carry another request
///
/// Used by the session for the request whose response comes next (node/caller_session.h), and by `queued_caller` for
/// pipelined ones once their turn has come. Only one object writes to the connection at a time.
#pragma once

#include <string>

#include "node/caller_request.h"
#include "node/links.h"
#include "node/pipeline_core.h"

namespace heatherdeck {

/// What the exchanges of one connection know of it. Owned by the session and changed while exchanges run.
struct caller_connection {
  pipeline_core pipeline;
  bool draining = false;

  caller_connection() = default;
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  virtual ~caller_connection() = default;

  /// Called when data was read into the stream's buffer while an exchange runs.
  virtual void on_data() {}
};

class h1_caller : public caller_link {
 public:
  /// All arguments outlive the object.
  /// @param reader has read the head and reads the body; null if the request has none.
  h1_caller(h1_stream& stream, request_reader* reader, caller_connection& connection, const http_dialect& dialect)
      : stream_(&stream), reader_(reader), connection_(&connection), dialect_(&dialect) {}

  /// Must be called before the exchange begins. Without it, the connection closes after the response.
  void set_request(const request_head& head);

  /// @return whether the connection may carry another request after the response.
  bool keep_alive() const { return keep_alive_; }

  awaitable<outcome<std::string>> read_body() override;
  bool body_done() const override { return reader_ == nullptr || reader_->done(); }
  bool body_buffered() const override { return stream_->buffer.size() != 0; }
  awaitable<outcome<void>> send_head(response_head head, bool end, bool body_follows) override;
  awaitable<outcome<void>> send_body(std::string data, bool last) override;

  /// Pipelined data is buffered for the next requests. Once the buffer holds max_header_bytes, reading stops, and a
  /// disconnected caller is noticed only when the response is written.
  awaitable<void> wait_disconnected() override;
  bool disconnected() override;
  void abort() override;

 private:
  void reset_on_close(bool reset);

  h1_stream* stream_;
  request_reader* reader_;
  caller_connection* connection_;
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

}  // namespace heatherdeck

/// @file
/// The caller's side of an exchange whose request is behind others of the same connection: its response is kept, up to
/// a bound, until the responses ahead have been delivered, and is then written as it arrives.
///
///     auto caller = std::make_shared<queued_caller>(executor, stream, head, connection, dialect);
///     spawn(run_exchange(context, *caller, std::move(head)));     // any number of them
///     co_await caller->open();                                    // its turn has come; writes what is kept
///     caller->cancel();                                           // or: its response will not be sent
///
/// Owned by the session and by the task that runs the exchange. The request has no body.
#pragma once

#include <optional>
#include <string>

#include "node/h1_caller.h"
#include "wire/wake_signal.h"

namespace heatherdeck {

class queued_caller : public caller_link {
 public:
  /// Enters the request into the connection's pipeline.
  /// @param stream, connection, dialect outlive the object.
  queued_caller(executor_type executor, h1_stream& stream, const request_head& head, caller_connection& connection,
                const http_dialect& dialect);

  pipeline_core::request_number number() const { return number_; }
  bool keep_alive() const { return out_.keep_alive(); }

  /// Writes what is kept of the response; from now on the exchange writes to the connection itself.
  awaitable<outcome<void>> open();

  /// Ends the exchange; nothing of the response is sent any more. If part of it was, the connection is reset.
  void cancel();
  bool cancelled() const { return cancelled_; }

  /// Must be called when the exchange has ended.
  void end(bool reusable);

  awaitable<outcome<std::string>> read_body() override { return out_.read_body(); }
  bool body_done() const override { return true; }
  bool body_buffered() const override { return false; }
  awaitable<outcome<void>> send_head(response_head head, bool end, bool body_follows) override;
  awaitable<outcome<void>> send_body(std::string data, bool last) override;
  awaitable<void> wait_disconnected() override;
  bool disconnected() override { return cancelled_; }
  bool first_in_line() const override { return open_; }
  awaitable<void> wait_first_in_line() override;
  /// If nothing of the response was sent, the caller gets an error response instead.
  void abort() override;

 private:
  awaitable<bool> wait_open();

  caller_connection* connection_;
  h1_caller out_;
  pipeline_core::request_number number_;
  std::string request_id_;
  wake_signal turn_;  // opened or cancelled; awaited where the exchange sends
  wake_signal cancelled_signal_;
  std::optional<response_head> held_head_;
  std::string held_data_;
  bool bodiless_ = false;  // the held head has no body
  bool complete_ = false;  // all of the response is held
  bool opening_ = false;
  bool open_ = false;
  bool cancelled_ = false;
  bool replaced_ = false;  // the held response is an error response that stands for one that failed
};

}  // namespace heatherdeck

/// @file
/// Interfaces of the two sides of an exchange, independent of the protocol that each side speaks.
///
/// `caller_link` is the side that the request comes from (an HTTP/1.1 connection or a stream of another node),
/// `upstream_link` the side that it is forwarded to (the upstream on this host or a stream to another node). The class
/// `exchange` reads from one and writes to the other. A link belongs to one task; one read and one write may be in
/// progress at the same time. Operations that wait return an error once the connection or stream has failed.
#pragma once

#include <memory>
#include <string>

#include "kernel/mailbox.h"
#include "node/message_head.h"

namespace heatherdeck {

class caller_link {
 public:
  caller_link() = default;
  caller_link(const caller_link&) = delete;
  caller_link& operator=(const caller_link&) = delete;
  virtual ~caller_link() = default;

  /// Waits for the next part of the request body.
  /// @return the data; empty at the end of the body.
  virtual awaitable<outcome<std::string>> read_body() = 0;

  /// @return true when the whole request body has been read.
  virtual bool body_done() const = 0;

  /// @return true when `read_body` would complete without waiting.
  virtual bool body_buffered() const = 0;

  /// Sends the head of the response: status and headers.
  /// @param end the response has no body.
  /// @param body_follows the caller of this function calls `send_body` next without waiting, so the head may be held
  ///                     back and written together with that data.
  virtual awaitable<outcome<void>> send_head(response_head head, bool end, bool body_follows) = 0;

  /// Sends the next part of the response body.
  /// @param last true for the final part, which may be empty.
  virtual awaitable<outcome<void>> send_body(std::string data, bool last) = 0;

  /// Completes when the caller has closed its connection or reset its stream. Valid only after the whole request body
  /// has been read.
  virtual awaitable<void> wait_disconnected() = 0;

  /// @return true when the caller is known to have disconnected; does not wait.
  virtual bool disconnected() = 0;

  /// @return true if every earlier request of the caller's connection has been answered. Only then may a request be
  /// sent that must not be repeated: behind a response that ends the connection, the caller resends all others.
  virtual bool first_in_line() const { return true; }

  /// Waits until `first_in_line` or `disconnected`.
  virtual awaitable<void> wait_first_in_line() { co_return; }

  /// Closes the connection or resets the stream at once, so that the caller can tell an incomplete response from a
  /// complete one.
  virtual void abort() = 0;
};

class upstream_link {
 public:
  upstream_link() = default;
  upstream_link(const upstream_link&) = delete;
  upstream_link& operator=(const upstream_link&) = delete;
  virtual ~upstream_link() = default;

  /// Sends the request head, if it has not been sent yet, and the next part of the request body.
  /// @param last true for the final part, which may be empty.
  virtual awaitable<outcome<void>> send(std::string data, bool last) = 0;

  /// Called when the request cannot be sent to another upstream any more: a peer that does not respond for a while is
  /// not given up before the deadline. By default nothing, since only peers are watched.
  virtual void wait_on_silence() {}

  /// Waits for the head of the final response; interim (1xx) responses are skipped.
  virtual awaitable<outcome<response_head>> read_head() = 0;

  /// Waits for the next part of the response body.
  /// @return the data; empty at the end of the body.
  virtual awaitable<outcome<std::string>> read_body() = 0;

  /// @return true when the whole response has been read.
  virtual bool response_done() const = 0;

  /// @return true when `read_body` would complete without waiting.
  virtual bool body_buffered() const = 0;

  /// @return false only if no byte of the request can have left this process. Remains valid after `abort`.
  virtual bool may_have_been_sent() const = 0;

  /// Called when request and response are both complete: the connection may be reused.
  virtual void release() = 0;

  /// Closes the connection or resets the stream; operations in progress fail.
  virtual void abort() = 0;
};

using upstream_link_ptr = std::unique_ptr<upstream_link>;

}  // namespace heatherdeck

/// @file
/// The two sides of an exchange, free of their protocol.
///
/// `caller_link` is the side that the request came from (an HTTP/1.1 connection or a stream of another node),
/// `upstream_link` the side that it goes to (the upstream on this host or a stream to another node). A link belongs to
/// one task; reading and writing may be under way at the same time.
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

  /// Waits for a piece of the request's body; empty at its end.
  virtual awaitable<outcome<std::string>> read_body() = 0;

  /// @return true when the whole body has been read.
  virtual bool body_done() const = 0;

  /// @return true when `read_body` need not wait.
  virtual bool body_buffered() const = 0;

  /// Sends the answer's head.
  /// @param end the answer has no body.
  /// @param body_at_hand a piece of the body follows at once; the head may wait for it.
  virtual awaitable<outcome<void>> send_head(answer_head head, bool end, bool body_at_hand) = 0;

  virtual awaitable<outcome<void>> send_body(std::string piece, bool last) = 0;

  /// Completes when the caller has gone. To be used only after the whole body has been read.
  virtual awaitable<void> watch_gone() = 0;

  /// @return true when the caller is known to have gone; does not wait.
  virtual bool gone() = 0;

  /// Ends the connection or stream at once, so that the caller sees an incomplete answer as incomplete.
  virtual void cut() = 0;
};

class upstream_link {
 public:
  upstream_link() = default;
  upstream_link(const upstream_link&) = delete;
  upstream_link& operator=(const upstream_link&) = delete;
  virtual ~upstream_link() = default;

  /// Sends the head, if it has not been sent, and a piece of the body.
  virtual awaitable<outcome<void>> send(std::string piece, bool last) = 0;

  /// Waits for the head of the final answer.
  virtual awaitable<outcome<answer_head>> read_head() = 0;

  /// Waits for a piece of the answer's body; empty at its end.
  virtual awaitable<outcome<std::string>> read_body() = 0;

  /// @return true when the whole answer has been read.
  virtual bool answer_done() const = 0;

  /// @return true when `read_body` need not wait.
  virtual bool body_buffered() const = 0;

  /// @return false only if no byte of the request can have left this process; valid after `abandon` too.
  virtual bool may_have_been_sent() const = 0;

  /// Both directions have ended: the connection may be used again.
  virtual void finish() = 0;

  /// Closes the connection or resets the stream; operations under way fail.
  virtual void abandon() = 0;
};

using upstream_link_ptr = std::unique_ptr<upstream_link>;

}  // namespace heatherdeck

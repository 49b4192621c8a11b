/// @file
/// The two bounded mailboxes of one stream, between the task that holds the stream and the connection's task.
///
/// The holder reads `inbound` and writes `outbound`; the connection's task does the opposite. Neither touches the
/// other's own state. After the holder has put something into `outbound` it calls `notify`, which queues the stream
/// once in the connection's `h2_outbox`, however often it is called before the connection takes it; so many small
/// writes in one turn of the event loop become one write to the socket.
///
/// Used by h2_stream, h2_session and h2_connection only.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "wire/h2_stream.h"
#include "wire/wake_signal.h"

namespace heatherdeck {

/// What waits for a connection's task: streams with something in `outbound`, and commands for the whole connection.
struct h2_outbox {
  explicit h2_outbox(executor_type executor) : signal(std::move(executor)) {}

  wake_signal signal;
  std::vector<std::shared_ptr<h2_stream_state>> ready;
  bool refuse_new_streams = false;
  bool close_when_idle = false;
  bool close_now = false;
  bool closed = false;  ///< the connection's task has ended
};

class h2_stream_state : public std::enable_shared_from_this<h2_stream_state> {
 public:
  h2_stream_state(const executor_type& executor, std::shared_ptr<h2_outbox> target, stream_kind purpose, bool by_peer)
      : kind(purpose),
        incoming(by_peer),
        arrived(executor),
        room(executor),
        over(executor),
        outbox(std::move(target)) {}

  /// Queues this stream for the connection's task.
  void notify();

  /// Connection's task: ends the stream for its holder; data that has arrived can still be read.
  void fail(error_kind failure_kind, std::string text, std::string where);

  /// @return true when nothing more can be sent or received.
  bool finished() const { return failure.has_value() || (inbound_ended && outbound_ended); }

  const stream_kind kind;
  const bool incoming;  ///< opened by the peer

  // From the connection to the holder.
  std::optional<header_list> headers;  ///< the peer's headers, until they are read
  std::string inbound;                 ///< body bytes that have arrived; at most the stream's window
  bool inbound_ended = false;          ///< END_STREAM has arrived
  std::optional<error> failure;
  wake_signal arrived;  ///< headers, body or failure
  wake_signal room;     ///< `outbound` has shrunk below its limit, or failure
  wake_signal over;     ///< the connection's task has no more to do with this stream
  bool closed = false;  ///< goes with `over`

  // From the holder to the connection.
  std::optional<header_list> outbound_headers;
  bool headers_end_stream = false;
  std::deque<std::string> outbound;  ///< body bytes that are not yet in a frame
  std::size_t outbound_offset = 0;   ///< bytes of the first chunk that are already in frames
  std::size_t outbound_bytes = 0;
  bool outbound_ended = false;
  std::optional<std::uint32_t> reset_code;
  std::size_t consumed = 0;  ///< body bytes read by the holder for which the window is not yet open again
  bool queued = false;       ///< is in the outbox

  // Set by the connection's task.
  bool may_have_been_sent = false;
  std::int32_t id = 0;  ///< 0 before it is submitted

  std::shared_ptr<h2_outbox> outbox;
};

}  // namespace heatherdeck

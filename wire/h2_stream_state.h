/// @file
/// The two bounded buffers of one stream, between the task that holds the stream and the connection's task.
///
/// The holder reads `inbound` and writes `outbound`; the connection's task does the opposite. Neither accesses the
/// other's private state. After the holder has queued something it calls `notify`, which adds the stream to the
/// connection's `h2_outbox` unless it is already there; many small writes in one iteration of the event loop therefore
/// become one write to the socket.
///
/// Used by h2_stream, h2_session and h2_connection only.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "wire/h2_stream.h"
#include "wire/wake_signal.h"

namespace heatherdeck {

/// Work for a connection's task: streams that have something to submit, and commands for the whole connection.
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
  h2_stream_state(const executor_type& executor, std::shared_ptr<h2_outbox> target, stream_kind purpose,
                  bool opened_by_peer)
      : kind(purpose),
        incoming(opened_by_peer),
        inbound_changed(executor),
        outbound_has_space(executor),
        closed_changed(executor),
        outbox(std::move(target)) {}

  /// Queues this stream for the connection's task.
  void notify();

  /// Fails the stream for its holder; data that has already arrived can still be read. The first failure is kept.
  /// Called by the connection's task, and by the holder for a local reset.
  void fail(error_kind failure_kind, std::string text, std::string where);

  /// @return true if nothing more can be sent or received.
  bool finished() const { return failure.has_value() || (inbound_ended && outbound_ended); }

  /// @return true if the stream is to be failed when the peer does not respond to a PING.
  bool fails_on_silence() const {
    if (failure) return false;
    // The holder of an incoming call has a deadline only until it has written the whole response.
    if (incoming) return on_silence == silence_action::fail || outbound_ended;
    // The holders of the other kinds have no deadline: they write without an answer for as long as the stream is open.
    return on_silence == silence_action::fail && (kind != stream_kind::call || !response_begun);
  }

  const stream_kind kind;
  const bool incoming;  ///< opened by the peer

  // From the connection to the holder.
  std::optional<header_list> headers;  ///< the peer's headers, until they are read
  std::string inbound;                 ///< received body bytes that are not yet read; at most the stream's window
  bool inbound_ended = false;          ///< END_STREAM has arrived
  std::optional<error> failure;
  wake_signal inbound_changed;     ///< set by headers, body bytes, END_STREAM and failure
  wake_signal outbound_has_space;  ///< set when `outbound` falls below stream_buffer_bytes, and by failure
  wake_signal closed_changed;      ///< set when `closed` becomes true, and by failure
  bool closed = false;             ///< the session has closed this stream

  // From the holder to the connection.
  std::optional<header_list> outbound_headers;
  bool headers_end_stream = false;
  std::deque<std::string> outbound;  ///< body bytes that are not yet in a frame
  std::size_t outbound_offset = 0;   ///< bytes of the first chunk that are already in frames
  std::size_t outbound_bytes = 0;
  bool outbound_ended = false;
  std::optional<std::uint32_t> reset_code;
  std::size_t consumed = 0;  ///< body bytes read by the holder, not yet returned to the peer's window
  bool queued = false;       ///< this stream is in the outbox

  silence_action on_silence = silence_action::fail;  ///< from the holder: set before the stream is opened, or later

  // Set by the connection's task.
  bool may_have_been_sent = false;
  bool response_begun = false;  ///< the peer's response headers have arrived
  std::int32_t id = 0;          ///< HTTP/2 stream id; 0 until the stream is opened

  std::shared_ptr<h2_outbox> outbox;
};

}  // namespace heatherdeck

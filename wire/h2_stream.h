/// @file
/// One HTTP/2 stream between two processes of the mesh: the handle for the task that uses the stream.
///
/// The connection's task owns the socket and the nghttp2 session. A stream handle exchanges messages with that task and
/// is used by exactly one task, the holder of the stream. The peer's flow-control window is replenished only as data is
/// consumed, and writes wait while 64 KiB or more of the stream are unsent, so memory per stream is bounded in both
/// directions.
///
///     auto stream = co_await open_mesh_stream(mesh, "10.0.0.3:7001", stream_kind::call, headers);
///     co_await stream->write(body, true);
///     auto response = co_await stream->read_headers();
///     for (auto chunk = co_await stream->read(); chunk && !chunk->empty(); chunk = co_await stream->read()) ...
///
/// Control streams carry length-prefixed messages: `write_frame` and `read_frame`.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/mailbox.h"

namespace heatherdeck {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Longest message of `write_frame` and `read_frame`, without the length prefix.
inline constexpr std::size_t max_frame_bytes = 8UL * 1024 * 1024;
/// Send buffer and receive window of one stream.
inline constexpr std::size_t stream_buffer_bytes = 64UL * 1024;

/// Purpose of a stream, sent in the request header `hd-stream`; selects the service that receives an incoming stream.
enum class stream_kind { call, subscribe, raft, evidence, loan };

template <>
struct enum_table<stream_kind> {
  static constexpr auto entries = std::to_array<enum_entry<stream_kind>>({
      {stream_kind::call, "call"},
      {stream_kind::subscribe, "subscribe"},
      {stream_kind::raft, "raft"},
      {stream_kind::evidence, "evidence"},
      {stream_kind::loan, "loan"},
  });
};

/// What becomes of a stream whose peer does not respond to a PING. The peer may be stopped, or slow for a moment.
enum class silence_action {
  fail,  ///< fails with `timeout`, unless its response has begun: its holder can use another process
  wait,  ///< stays open until its holder gives up: nothing is gained by failing it before its own deadline
};

template <>
struct enum_table<silence_action> {
  static constexpr auto entries = std::to_array<enum_entry<silence_action>>({
      {silence_action::fail, "fail"},
      {silence_action::wait, "wait"},
  });
};

class h2_stream_state;

class h2_stream {
 public:
  explicit h2_stream(std::shared_ptr<h2_stream_state> state) : state_(std::move(state)) {}
  h2_stream(h2_stream&&) noexcept = default;
  h2_stream& operator=(h2_stream&&) noexcept;
  h2_stream(const h2_stream&) = delete;
  h2_stream& operator=(const h2_stream&) = delete;
  /// Resets the stream unless both directions have ended: with CANCEL, or with NO_ERROR after a complete response to a
  /// request that is still arriving.
  ~h2_stream();

  /// Server side: sends the response headers; `:status` must be the first.
  awaitable<outcome<void>> send_headers(header_list headers, bool end_stream);

  /// Sends body bytes; waits while the stream's send buffer is full.
  awaitable<outcome<void>> write(std::string bytes, bool end_stream);

  /// Waits for the response headers. On a stream that the peer is known not to have processed (REFUSED_STREAM, or
  /// GOAWAY with a lower last stream id) every operation fails with `not_processed`.
  awaitable<outcome<header_list>> read_headers();

  /// Waits for body bytes; an empty string means the end of the body.
  awaitable<outcome<std::string>> read();

  /// Sends one length-prefixed message (4 bytes, big endian).
  awaitable<outcome<void>> write_frame(std::string message);

  /// Waits for one complete length-prefixed message; `closed` at the end of the stream, `bad_message` if it is longer
  /// than max_frame_bytes.
  awaitable<outcome<std::string>> read_frame();

  /// Waits until the stream is closed: the peer has reset it, the connection has failed, or both directions have ended.
  /// Servers use it to notice that the response is no longer needed. Does not consume body bytes. One task at a time.
  /// @return success if both directions have ended, else the failure.
  awaitable<outcome<void>> wait_closed();

  /// @return true if the stream has failed or ended in both directions; does not wait.
  bool closed() const;

  /// Sends RST_STREAM with an HTTP/2 error code (8 is CANCEL, 7 is REFUSED_STREAM); both directions end immediately.
  void reset(std::uint32_t code);

  /// From now on the stream stays open while its peer does not respond (`silence_action::wait`).
  void wait_on_silence();

  /// @return true once any byte of the request may have been sent; until then it is safe to send it elsewhere.
  bool may_have_been_sent() const;

 private:
  std::shared_ptr<h2_stream_state> state_;
  std::string frame_buffer_;
};

/// An incoming stream, delivered to the service that its kind belongs to.
struct incoming_stream {
  std::string peer_id;  ///< id of the opening process; authenticated by the mesh handshake
  header_list headers;
  std::shared_ptr<h2_stream> stream;  ///< the receiving task becomes its holder
};

}  // namespace heatherdeck

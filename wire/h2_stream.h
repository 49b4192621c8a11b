/// @file
/// One HTTP/2 stream between two processes of the mesh, as the task that holds it sees it.
///
/// The connection's task owns the socket and the nghttp2 session. A stream handle talks to that task by messages and is
/// held by exactly one task. Reads open the peer's flow-control window only as data is consumed, and writes wait while
/// more than 64 KiB of the stream are unsent, so memory per stream is bounded in both directions.
///
///     auto stream = co_await open_mesh_stream(mesh, "10.0.0.3:7001", stream_kind::call, headers);
///     co_await stream->write(body, true);
///     auto answer = co_await stream->read_headers();
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

inline constexpr std::size_t max_frame_bytes = 8UL * 1024 * 1024;
inline constexpr std::size_t stream_buffer_bytes = 64UL * 1024;

/// What a stream is for; carried in the request header `hd-stream`, decides which service gets an incoming stream.
enum class stream_kind { call, subscribe, raft, evidence };

template <>
struct enum_table<stream_kind> {
  static constexpr auto entries = std::to_array<enum_entry<stream_kind>>({
      {stream_kind::call, "call"},
      {stream_kind::subscribe, "subscribe"},
      {stream_kind::raft, "raft"},
      {stream_kind::evidence, "evidence"},
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
  /// Resets the stream (CANCEL) unless both directions have ended.
  ~h2_stream();

  /// Server side: sends the answer's headers; `:status` comes first.
  awaitable<outcome<void>> send_headers(header_list headers, bool end_stream);

  /// Sends body bytes; waits while the stream's send buffer is full.
  awaitable<outcome<void>> write(std::string bytes, bool end_stream);

  /// Waits for the peer's headers. On a stream that the peer provably did not process (REFUSED_STREAM, or GOAWAY with a
  /// lower last stream id) every operation fails with `not_processed`.
  awaitable<outcome<header_list>> read_headers();

  /// Waits for body bytes; an empty string is the end of the body.
  awaitable<outcome<std::string>> read();

  /// Sends one length-prefixed message (4 bytes, big endian).
  awaitable<outcome<void>> write_frame(std::string message);

  /// Waits for one whole message; `closed` at the end of the stream, `bad_message` beyond max_frame_bytes.
  awaitable<outcome<std::string>> read_frame();

  /// Waits until nobody waits for this stream's answer any more: the peer has reset the stream, the connection has
  /// failed, or both directions have ended. Does not consume body bytes. One task at a time.
  /// @return success when both directions have ended, else the failure.
  awaitable<outcome<void>> wait_closed();

  /// @return true when the stream has failed or ended in both directions; does not wait.
  bool closed() const;

  /// Ends both directions at once with an h2 error code (8 is CANCEL, 7 is REFUSED_STREAM).
  void reset(std::uint32_t code);

  /// @return true once any byte of this stream's request may have left the process.
  bool may_have_been_sent() const;

 private:
  std::shared_ptr<h2_stream_state> state_;
  std::string frame_buffer_;
};

/// An incoming stream, delivered to the service that its kind belongs to.
struct incoming_stream {
  std::string peer_id;  ///< proved by the mesh handshake
  header_list headers;
  std::shared_ptr<h2_stream> stream;  ///< the receiving task becomes its only holder
};

}  // namespace heatherdeck

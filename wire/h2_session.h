/// @file
/// HTTP/2 protocol state of one connection (nghttp2): bytes in, bytes out, without a socket, a clock or a task.
///
/// The connection's task (h2_connection.cc) owns the session, passes it the bytes from the socket and writes the bytes
/// that it produces:
///
///     session->receive(bytes);                       // moves headers and body to the streams' inbound buffers
///     session->submit_queued(stream);                // what the holder of a stream has queued
///     session->collect(out);                         // bytes for the socket
///
/// Limits: 512 streams per connection, 64 KiB of unread body per stream, 16 KiB and 100 fields of headers per message.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kernel/result.h"
#include "wire/h2_stream_state.h"

struct nghttp2_session;

namespace heatherdeck {

inline constexpr std::uint32_t max_h2_streams = 512;
inline constexpr std::size_t max_header_bytes = 16UL * 1024;
inline constexpr std::size_t max_header_fields = 100;

enum class h2_side { client, server };

class h2_session {
 public:
  /// Called for each stream that the peer opens, with the request headers.
  using request_handler = std::function<void(std::shared_ptr<h2_stream_state>, header_list)>;

  /// @param peer id of the peer, for errors.
  /// @param on_request server side only.
  static result<std::unique_ptr<h2_session>> make(h2_side side, executor_type executor,
                                                  std::shared_ptr<h2_outbox> outbox, std::string peer,
                                                  request_handler on_request);
  ~h2_session();
  h2_session(const h2_session&) = delete;
  h2_session& operator=(const h2_session&) = delete;

  /// Processes bytes that were read from the socket.
  /// @return `bad_message` if the peer violates the protocol; the caller must then close the connection.
  result<void> receive(std::string_view bytes);

  /// Submits to nghttp2 everything that the holder of a stream has queued: headers, body, window updates, reset. A
  /// stream that has no id yet is opened.
  void submit_queued(const std::shared_ptr<h2_stream_state>& stream);

  /// Appends frames to `out` until there is nothing to send or `out` holds 128 KiB.
  /// @return `internal` if nghttp2 fails; the caller must then close the connection.
  result<void> collect(std::string& out);

  /// Queues a GOAWAY: streams that arrive from now on are not processed, also before it is sent.
  void refuse_new_streams();
  void send_ping();

  /// Fails every stream: own streams of which nothing was sent with `not_processed`, all others with `kind`.
  void fail_all(error_kind kind, const std::string& text);

  /// Fails the streams that are not to wait for a peer that does not respond: with `timeout`, or with `not_processed`
  /// if nothing of them was sent.
  void fail_on_silence(const std::string& text);

  /// @return true if a stream is open whose holder still waits for it.
  bool has_unfailed_streams() const;

  /// @return true if nothing is left to receive or send, which happens after a GOAWAY.
  bool finished() const;
  bool received_goaway() const { return received_goaway_; }
  std::size_t open_streams() const { return streams_.size(); }
  std::size_t open_incoming(stream_kind kind) const;
  /// @return true if a stream of this kind is open, whichever side opened it.
  bool has_stream_of_kind(stream_kind kind) const;
  std::uint64_t ping_acks() const { return ping_acks_; }

 private:
  struct callbacks;
  h2_session(executor_type executor, std::shared_ptr<h2_outbox> outbox, std::string peer, request_handler on_request);
  void open(const std::shared_ptr<h2_stream_state>& stream);
  void respond(h2_stream_state& stream);
  void add(std::int32_t id, std::shared_ptr<h2_stream_state> stream);
  h2_stream_state* find(std::int32_t id) const;

  /// Headers of a stream whose header block has not completely arrived.
  struct header_block {
    header_list fields;
    std::size_t bytes = 0;
  };

  executor_type executor_;
  std::shared_ptr<h2_outbox> outbox_;
  std::string peer_;
  request_handler on_request_;
  h2_side side_ = h2_side::client;
  nghttp2_session* session_ = nullptr;
  std::string* out_ = nullptr;  ///< set while `collect` runs
  std::unordered_map<std::int32_t, std::shared_ptr<h2_stream_state>> streams_;
  std::unordered_map<std::int32_t, header_block> blocks_;
  std::optional<std::int32_t> last_accepted_id_;  ///< last stream id of the GOAWAY that was queued
  bool received_goaway_ = false;
  std::uint64_t ping_acks_ = 0;
};

}  // namespace heatherdeck

/// @file
/// HTTP/2 as bytes in and bytes out (nghttp2), without a socket, a clock or a task.
///
/// The connection's task owns the session, feeds it what the socket delivers and writes what it collects:
///
///     session->receive(bytes);                       // fills the streams' mailboxes
///     session->take(stream);                         // what a holder has put into its mailbox
///     session->collect(out);                         // bytes for the socket
///
/// Limits: 512 streams, 64 KiB of unread body per stream, 16 KiB and 100 fields of headers.
#pragma once

#include <functional>
#include <memory>
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
  /// Receives each stream that the peer opens, with its headers.
  using request_handler = std::function<void(std::shared_ptr<h2_stream_state>, header_list)>;

  /// @param peer names the peer in errors.
  /// @param on_request server side only.
  static result<std::unique_ptr<h2_session>> make(h2_side side, executor_type executor,
                                                  std::shared_ptr<h2_outbox> outbox, std::string peer,
                                                  request_handler on_request);
  ~h2_session();
  h2_session(const h2_session&) = delete;
  h2_session& operator=(const h2_session&) = delete;

  /// Takes bytes from the socket.
  /// @return `bad_message` when the peer breaks the protocol; the connection must be closed then.
  result<void> receive(std::string_view bytes);

  /// Takes everything that a holder has queued: headers, body, credit, reset. A stream without an id is opened.
  void take(const std::shared_ptr<h2_stream_state>& stream);

  /// Appends frames to `out` until there is nothing to send or `out` is full (128 KiB).
  /// @return `internal` when nghttp2 fails; the connection must be closed then.
  result<void> collect(std::string& out);

  /// Announces that streams which the peer opens from now on are not processed.
  void refuse_new_streams();
  void send_ping();

  /// Ends every stream: `not_processed` for those of which nothing was sent, else `kind`.
  void fail_all(error_kind kind, const std::string& text);

  /// @return true when there is nothing left to receive or send, after a GOAWAY.
  bool finished() const;
  bool peer_refuses_streams() const { return peer_refuses_streams_; }
  std::size_t open_streams() const { return streams_.size(); }
  std::size_t open_incoming(stream_kind kind) const;
  /// @return true when a stream of this kind is open.
  bool has_kind(stream_kind kind) const;
  std::uint64_t ping_answers() const { return ping_answers_; }

 private:
  struct callbacks;
  h2_session(executor_type executor, std::shared_ptr<h2_outbox> outbox, std::string peer, request_handler on_request);
  void open(const std::shared_ptr<h2_stream_state>& stream);
  void respond(h2_stream_state& stream);
  void add(std::int32_t id, std::shared_ptr<h2_stream_state> stream);
  h2_stream_state* find(std::int32_t id) const;

  /// Headers of a stream while its block arrives.
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
  bool peer_refuses_streams_ = false;
  std::uint64_t ping_answers_ = 0;
};

}  // namespace heatherdeck

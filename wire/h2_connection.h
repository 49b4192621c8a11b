/// @file
/// One HTTP/2 connection: the task that owns the socket and the session, and the handle by which others reach it.
///
///     auto connection = h2_connection::start(std::move(socket), timers, {.side = h2_side::client, .peer = "dar-1-04",
///                                            .on_event = [inbox](h2_event e) { inbox.post(...); }});
///     std::shared_ptr<h2_stream> stream = connection.open(stream_kind::call, headers, false);
///
/// The handle only puts commands into the task's outbox. Frames of all streams that become ready in one turn of the
/// event loop leave in one write.
///
/// A peer that is frozen keeps its sockets open. While streams are open and nothing arrives, the task sends a PING and
/// closes the connection when there is no sign of life within 1 s.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "wire/h2_session.h"

namespace heatherdeck {

enum class h2_event {
  refuses_streams,  ///< the peer has sent GOAWAY: open new streams elsewhere
  calls_finished,   ///< after `refuse_new_streams`: no incoming call is in flight any more
  closed,           ///< the connection has ended
};

struct h2_connection_options {
  h2_side side = h2_side::client;
  std::string peer;  ///< the peer's id, for errors and incoming streams
  h2_session::request_handler on_request;
  std::function<void(h2_event)> on_event;  ///< called by the connection's task; posts to the owner's mailbox
};

class h2_connection {
 public:
  h2_connection() = default;

  /// Starts the connection's task.
  static h2_connection start(boost::asio::ip::tcp::socket socket, timer_service& timers, h2_connection_options options);

  /// Opens a stream; never waits. A stream that cannot be opened fails with `not_processed`.
  std::shared_ptr<h2_stream> open(stream_kind kind, header_list headers, bool end_stream) const;

  /// Opens a stream and answers with it. The asker is woken before the connection's task, so what it writes in the same
  /// turn leaves together with the headers.
  void open(stream_kind kind, header_list headers, bool end_stream,
            const reply<std::shared_ptr<h2_stream>>& answer) const;

  /// Sends GOAWAY.
  void refuse_new_streams() const;

  /// Closes the connection as soon as no stream is open.
  void close_when_idle() const;

  /// Closes the connection at once; its streams fail.
  void close() const;

  /// @return true once the connection has ended.
  bool closed() const { return outbox_->closed; }

  explicit operator bool() const { return outbox_ != nullptr; }

 private:
  std::shared_ptr<h2_stream_state> prepare(stream_kind kind, header_list headers, bool end_stream) const;

  std::shared_ptr<h2_outbox> outbox_;
  executor_type executor_;
};

}  // namespace heatherdeck

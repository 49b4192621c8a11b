/// @file
/// One HTTP/2 connection: h2_connection is a handle to the task that owns the socket and the session. The mesh task
/// (mesh_task.h) holds the handles of all connections of the process.
///
///     auto connection = h2_connection::start(std::move(socket), timers, {.side = h2_side::client, .peer = "dar-1-04",
///                                            .on_event = [inbox](h2_event e) { inbox.post(...); }});
///     std::shared_ptr<h2_stream> stream = connection.open(stream_kind::call, headers, false);
///
/// The handle only queues commands in the task's outbox. The frames of all streams that become ready in one iteration
/// of the event loop are sent in one write.
///
/// A process that is stopped (SIGSTOP, or a hung machine) keeps its sockets open. The task therefore sends a PING when
/// streams are open and nothing arrives. If nothing at all arrives within 1 s after it, the owner opens new streams
/// elsewhere, and streams that can be opened elsewhere fail. The peer may only be slow, so the others wait for it, and
/// the connection is closed when none is left.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "wire/h2_session.h"

namespace heatherdeck {

enum class h2_event {
  goaway_received,  ///< the peer has sent GOAWAY: open new streams elsewhere
  unresponsive,     ///< the peer has not responded to a PING: open new streams elsewhere
  calls_finished,   ///< after `refuse_new_streams`: the last incoming call has ended
  closed,           ///< the connection has ended
};

struct h2_connection_options {
  h2_side side = h2_side::client;
  std::string peer;  ///< id of the peer process, for errors and incoming streams
  h2_session::request_handler on_request;
  std::function<void(h2_event)> on_event;  ///< called in the connection's task; must only post to the owner's mailbox
};

class h2_connection {
 public:
  h2_connection() = default;

  /// Starts the connection's task.
  static h2_connection start(boost::asio::ip::tcp::socket socket, timer_service& timers, h2_connection_options options);

  /// Opens a stream without waiting. If it cannot be opened, the operations on it fail with `not_processed`.
  std::shared_ptr<h2_stream> open(stream_kind kind, header_list headers, bool end_stream) const;

  /// Opens a stream and replies with it. The requester is resumed before the connection's task, so what it writes in
  /// the same iteration of the event loop is sent together with the headers.
  void open(stream_kind kind, header_list headers, bool end_stream, const reply<std::shared_ptr<h2_stream>>& answer,
            silence_action on_silence = silence_action::fail) const;

  /// Sends GOAWAY: open streams continue, streams that the peer opens later are not processed.
  void refuse_new_streams() const;

  /// Closes the connection once no stream is open.
  void close_when_idle() const;

  /// Closes the connection without waiting for its streams, which fail.
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

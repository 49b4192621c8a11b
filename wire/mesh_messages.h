/// @file
/// Messages to the mesh service (mesh_service.h), which owns all connections between processes.
///
/// Incoming streams go to the `address<incoming_stream>` that a service has published under its name:
/// call -> proxy, subscribe -> publisher, raft -> consensus, evidence -> rollout, loan -> permits.
#pragma once

#include <string>
#include <variant>

#include "wire/h2_stream.h"

namespace heatherdeck {

/// Opens a stream to another process; connects first if there is no connection to that address.
/// Errors: `unreachable` (nothing was sent), `unauthorised`, `timeout`, `overloaded`, `not_processed`.
struct open_stream {
  std::string mesh_address;  ///< "ip:port"
  stream_kind kind = stream_kind::call;
  header_list headers;  ///< request headers after `hd-stream`; `:method` and `:path` default to POST and /
  bool end_stream = false;
  reply<std::shared_ptr<h2_stream>> answer;
  silence_action on_silence = silence_action::fail;
};

/// Sends GOAWAY on all incoming connections: streams that are already open continue, new ones are refused as not
/// processed. Also closes the listener.
struct refuse_new_streams {};

/// Closes the connection to a process that has left the mesh or doesn't respond, once no stream is open on it. Streams
/// that are opened from now on use a new connection.
struct close_connections {
  std::string mesh_address;
};

using mesh_message = std::variant<open_stream, refuse_new_streams, close_connections>;

}  // namespace heatherdeck

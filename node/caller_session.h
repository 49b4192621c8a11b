/// @file
/// Serves one caller's HTTP/1.1 connection: a task that owns the socket. Up to 8 pipelined GET and HEAD requests run at
/// the same time, and all responses are sent in the order of the requests (docs/design/pipelining.md). Started by the
/// proxy service for each accepted connection.
///
///     co_spawn(executor, run_caller_session(context, std::move(socket), inbox, "id"), detached);
///
/// Limits: 16 KiB and 100 fields of header, and 60 s without progress. A request with ambiguous framing or a malformed
/// body gets status 400, and the connection is closed. A caller that closes its sending side counts as disconnected.
#pragma once

#include <memory>
#include <string>

#include "node/h1_stream.h"
#include "node/proxy_context.h"
#include "node/session_messages.h"

namespace heatherdeck {

/// Result of a session; added to the counters of the proxy service.
struct session_counts {
  std::uint64_t requests = 0;
  std::uint64_t aborted = 0;              ///< exchanges that ended before the response was complete
  std::uint64_t pipelined = 0;            ///< requests that were read together with others, or behind them
  std::uint64_t pipelined_cancelled = 0;  ///< of these, requests without a response because the connection ended
};

/// @param inbox the session's own mailbox; the proxy service keeps only its address.
/// @param name unique in the mesh; prefix of the request ids that the session generates.
awaitable<session_counts> run_caller_session(proxy_context_ptr context, tcp_socket socket,
                                             std::shared_ptr<mailbox<session_message>> inbox, std::string name);

/// Idle connections stay open for this time after the drain has begun, so that requests already sent still arrive.
inline constexpr duration drain_idle_timeout = std::chrono::seconds(1);

}  // namespace heatherdeck

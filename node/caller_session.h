/// @file
/// One caller's HTTP/1.1 connection: a task that owns the socket and serves one request after the other.
///
///     co_spawn(executor, run_caller_session(context, std::move(socket), inbox, "id"), detached);
///
/// Limits: 16 KiB and 100 fields of header, 60 s without progress. A request with two framings or a broken body is
/// answered 400 and the connection is closed. A caller that closes its sending half counts as gone.
#pragma once

#include <memory>
#include <string>

#include "node/h1_stream.h"
#include "node/proxy_context.h"
#include "node/session_messages.h"

namespace heatherdeck {

struct session_counts {
  std::uint64_t requests = 0;
  std::uint64_t aborted = 0;
};

/// @param inbox the session's own mailbox; the service keeps only its address.
/// @param name unique in the mesh; the prefix of request ids made here.
awaitable<session_counts> run_caller_session(proxy_context_ptr context, tcp_socket socket,
                                             std::shared_ptr<mailbox<session_message>> inbox, std::string name);

/// Idle connections are kept for this time after the drain has begun, so that requests under way still arrive.
inline constexpr duration drain_idle_timeout = std::chrono::seconds(1);

}  // namespace heatherdeck

/// @file
/// Serves one call from another node: a task that owns the incoming HTTP/2 stream and forwards the request to the
/// upstream on this host. Started by the proxy service for each incoming stream.
///
///     co_spawn(executor, run_peer_session(context, std::move(stream)), detached);
#pragma once

#include "node/caller_session.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

/// @return the counts of one request.
awaitable<session_counts> run_peer_session(proxy_context_ptr context, incoming_stream incoming);

}  // namespace heatherdeck

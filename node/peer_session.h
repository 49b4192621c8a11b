/// @file
/// One call from another node: a task that owns the incoming h2 stream and serves it from this host's upstream.
///
///     co_spawn(executor, run_peer_session(context, std::move(stream)), detached);
#pragma once

#include "node/caller_session.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

awaitable<session_counts> run_peer_session(proxy_context_ptr context, incoming_stream incoming);

}  // namespace heatherdeck

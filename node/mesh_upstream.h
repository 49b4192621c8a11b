/// @file
/// The upstream side of an exchange for an upstream on another host: one HTTP/2 stream to the node of that host.
/// Called by `run_exchange`; `open_local_upstream` is the counterpart for this host.
#pragma once

#include "node/links.h"
#include "node/proxy_context.h"

namespace heatherdeck {

/// Opens the stream, which sends the request head.
/// @param limits those of the next hop.
/// @param timeout for establishing the connection and opening the stream.
/// @param on_silence `fail` if the request can be sent elsewhere when the next node does not respond.
/// @return the link. Errors: `unreachable` and `overloaded` (nothing was sent), `not_processed`; after any other error
///   the head may have been sent.
awaitable<outcome<upstream_link_ptr>> open_mesh_upstream(proxy_context_ptr context, upstream_choice choice,
                                                         const request_head& head, exchange_limits limits,
                                                         duration timeout, silence_action on_silence);

}  // namespace heatherdeck

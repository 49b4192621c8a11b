/// @file
/// The link to another node: one h2 stream.
#pragma once

#include "node/links.h"
#include "node/proxy_context.h"

namespace heatherdeck {

/// Opens the stream, which sends the head.
/// @param limits those of the next hop.
/// @param timeout for connecting and opening.
/// @return the link. Errors: `unreachable` and `overloaded` (nothing was sent), `not_processed`; after any other error
///   the head may have been sent.
awaitable<outcome<upstream_link_ptr>> open_mesh_upstream(proxy_context_ptr context, upstream_choice choice,
                                                         const request_head& head, exchange_limits limits,
                                                         duration timeout);

}  // namespace heatherdeck

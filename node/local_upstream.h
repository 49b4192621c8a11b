/// @file
/// The upstream side of an exchange for an upstream on this host: HTTP/1.1 on a connection of the service "pool".
/// Called by `run_exchange`; `open_mesh_upstream` is the counterpart for other hosts.
///
///     auto link = co_await open_local_upstream(context, choice, head, limits, 800ms);
#pragma once

#include "node/links.h"
#include "node/proxy_context.h"

namespace heatherdeck {

/// Acquires a connection; the request head is sent with the first part of the body.
/// @param limits those of the next hop.
/// @param timeout for establishing a connection.
/// @return the link. Errors: `unreachable`, `timeout` and `overloaded`; after an error nothing has been sent.
awaitable<outcome<upstream_link_ptr>> open_local_upstream(proxy_context_ptr context, upstream_choice choice,
                                                          const request_head& head, exchange_limits limits,
                                                          duration timeout);

}  // namespace heatherdeck

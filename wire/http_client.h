/// @file
/// Sends one HTTP/1.1 request on a new connection and reads the complete response (Beast); used by the command-line
/// tool, the tools and tests.
///
///     auto response = co_await http_call(timers, executor, "127.0.0.1:9901", {.method = "GET", .path = "/dump"}, 2s);
#pragma once

#include <string>

#include "kernel/mailbox.h"
#include "wire/http_message.h"

namespace heatherdeck {

/// @param address "ip:port".
/// @param request `query` is percent-encoded into the target.
/// @param timeout for connecting, sending and receiving together.
/// @return the response, or `unreachable` (nothing was sent), `unknown_outcome` (sent, but no complete response),
/// `timeout` (sent, no response in time), or `usage` for a malformed address.
awaitable<outcome<http_response>> http_call(timer_service& timers, executor_type executor, std::string address,
                                            http_request request, duration timeout);

}  // namespace heatherdeck

/// @file
/// The response that a node generates itself, instead of relaying one.
///
///     co_await send_error_response(caller, 503, execution_status::not_executed, {.text = "no upstream"}, id);
#pragma once

#include <optional>
#include <string>

#include "node/links.h"

namespace heatherdeck {

/// Contents of an error response besides its status.
struct refusal_details {
  std::string refused_reason;       ///< machine-readable reason (hd-refused); empty: none
  std::string text;                 ///< explanation for people, sent as the body
  milliseconds retry_after{0};      ///< earliest time for a retry; 0: not stated
  std::optional<load_report> load;  ///< only in responses to other nodes: load of the overloaded upstream
};

/// Sends an error response; also used by sessions for requests that are rejected before an exchange begins.
awaitable<void> send_error_response(caller_link& caller, unsigned status, execution_status execution,
                                    refusal_details details, std::string request_id);

}  // namespace heatherdeck

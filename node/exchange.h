/// @file
/// One exchange from the first attempt to the end of the answer, for both kinds of caller.
///
///     auto end = co_await run_exchange(context, caller, std::move(head));
///     if (end == exchange_result::close) ...          // the caller's connection cannot be used again
///
/// The exchange asks "traffic" for an upstream, opens the link to it, streams both directions and tells "traffic" how
/// it ended. Decisions are those of `exchange_core`.
#pragma once

#include "node/links.h"
#include "node/proxy_context.h"

namespace heatherdeck {

enum class exchange_result {
  reusable,  ///< the whole answer was sent and the whole request was read
  close,     ///< the answer was sent; the rest of the request must not be read as a new one
  aborted,   ///< the answer is incomplete or the caller has gone
};

template <>
struct enum_table<exchange_result> {
  static constexpr auto entries = std::to_array<enum_entry<exchange_result>>({
      {exchange_result::reusable, "keep"},
      {exchange_result::close, "close"},
      {exchange_result::aborted, "cut"},
  });
};

/// What a refusal says besides its status.
struct refusal_details {
  std::string refused_reason;       ///< machine-readable word
  std::string text;                 ///< in words
  milliseconds retry_after{0};      ///< when the caller may come back; 0: not stated
  std::optional<load_report> load;  ///< to another node: of the upstream that has no room
};

/// @param caller owned by the calling task; must outlive the operation.
/// @param head the request; its limits say whether it came from a peer.
awaitable<exchange_result> run_exchange(proxy_context_ptr context, caller_link& caller, request_head head);

/// Answers a request that was refused before an exchange began.
awaitable<void> send_error_response(caller_link& caller, unsigned status, execution_status execution,
                                    refusal_details note, std::string request_id);

}  // namespace heatherdeck

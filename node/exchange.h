/// @file
/// Runs one exchange, from the first attempt to the end of the response, for callers and for calls from other nodes.
///
///     auto result = co_await run_exchange(context, caller, std::move(head));
///     if (result == exchange_result::close) ...          // the caller's connection cannot be reused
///
/// The exchange asks the service "traffic" for an upstream, connects to it, streams the request and the response, and
/// reports the outcome to "traffic". `exchange_core` makes the decisions. Called by the sessions
/// (node/caller_session.h, node/peer_session.h), which implement `caller_link`.
#pragma once

#include "node/links.h"
#include "node/proxy_context.h"

namespace heatherdeck {

/// How an exchange ended, which decides whether the caller's connection may carry another request.
enum class exchange_result {
  reusable,  ///< the response was sent and the request was read completely
  close,     ///< the response was sent, but unread request data remains, which must not be parsed as a new request
  aborted,   ///< the response is incomplete or the caller has disconnected
};

template <>
struct enum_table<exchange_result> {
  static constexpr auto entries = std::to_array<enum_entry<exchange_result>>({
      {exchange_result::reusable, "keep"},
      {exchange_result::close, "close"},
      {exchange_result::aborted, "cut"},
  });
};

/// Why a caller gets no complete response.
enum class unanswered_cause {
  process_ended,        ///< the process stopped while the exchange was in progress
  caller_disconnected,  ///< the caller has closed its connection or reset its stream
  body_unreadable,      ///< the request body could not be read
  response_broken_off,  ///< the response had begun when the upstream failed or the deadline passed
};

template <>
struct enum_table<unanswered_cause> {
  static constexpr auto entries = std::to_array<enum_entry<unanswered_cause>>({
      {unanswered_cause::process_ended, "process_ended"},
      {unanswered_cause::caller_disconnected, "caller_disconnected"},
      {unanswered_cause::body_unreadable, "body_unreadable"},
      {unanswered_cause::response_broken_off, "response_broken_off"},
  });
};

/// Runs the exchange until the response was sent or the exchange was aborted.
/// @param caller owned by the calling task; must outlive the operation.
/// @param head the request; `head.limits.from_peer` says whether it came from another node.
awaitable<exchange_result> run_exchange(proxy_context_ptr context, caller_link& caller, request_head head);

}  // namespace heatherdeck

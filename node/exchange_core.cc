// A table maps each failure to the status for the caller and to whether the failure proves that the request was not
// executed. Invariant: once an attempt may have been executed, may_have_executed_ stays set for the whole exchange, so
// a later rejection cannot produce a false "not executed" and a non-idempotent request is not sent again. All
// operations are O(1).
#include "node/exchange_core.h"

#include <algorithm>

namespace heatherdeck {
namespace {

struct failure_row {
  attempt_failure failure;
  bool proves_not_executed;  // even if bytes of the request were sent
  unsigned status;
  call_outcome reported_outcome;
};

constexpr auto failure_rows = std::to_array<failure_row>({
    {attempt_failure::connect_failed, true, 502, call_outcome::connection_failed},
    {attempt_failure::reset, false, 502, call_outcome::connection_failed},
    {attempt_failure::closed, false, 502, call_outcome::connection_failed},
    {attempt_failure::timeout, false, 504, call_outcome::timeout},
    {attempt_failure::cancelled, false, 499, call_outcome::cancelled},
    {attempt_failure::peer_not_executed, true, 503, call_outcome::not_executed},
    {attempt_failure::refused_stream, true, 503, call_outcome::not_executed},
    {attempt_failure::going_away, true, 503, call_outcome::not_executed},
    {attempt_failure::invalid_response, false, 502, call_outcome::upstream_error},
});

const failure_row& row_of(attempt_failure failure) {
  return *std::find_if(failure_rows.begin(), failure_rows.end(),
                       [failure](const failure_row& row) { return row.failure == failure; });
}

struct refusal_row {
  refusal_reason reason;
  unsigned status;
};

constexpr auto refusal_rows = std::to_array<refusal_row>({
    {refusal_reason::no_document, 503},
    {refusal_reason::no_route, 404},
    {refusal_reason::no_upstream, 503},
    {refusal_reason::overloaded, 503},
    {refusal_reason::deadline, 504},
    {refusal_reason::draining, 503},
    {refusal_reason::retry_budget, 503},
    {refusal_reason::hops, 508},
    {refusal_reason::quarantined, 503},
    {refusal_reason::on_trial, 503},
    {refusal_reason::unauthenticated, 401},
    {refusal_reason::over_limit, 429},
    {refusal_reason::limit_unavailable, 503},
});

}  // namespace

attempt_failure failure_of(error_kind kind) {
  switch (kind) {
    case error_kind::unreachable:
    case error_kind::unauthorised:
    case error_kind::overloaded:
      return attempt_failure::connect_failed;
    case error_kind::not_processed:
      return attempt_failure::refused_stream;
    case error_kind::timeout:
      return attempt_failure::timeout;
    case error_kind::bad_message:
      return attempt_failure::invalid_response;
    default:
      return attempt_failure::closed;
  }
}

bool proves_not_executed(attempt_failure failure) { return row_of(failure).proves_not_executed; }

unsigned status_of(refusal_reason reason) {
  const auto* found = std::find_if(refusal_rows.begin(), refusal_rows.end(),
                                   [reason](const refusal_row& row) { return row.reason == reason; });
  return found == refusal_rows.end() ? 503 : found->status;
}

exchange_core::exchange_core(exchange_limits limits, time_point arrival) : limits_(limits) {
  if (limits.deadline) caller_deadline_ = arrival + *limits.deadline;
  deadline_ = caller_deadline_;
}

std::optional<refusal_reason> exchange_core::admit(time_point now) const {
  if (!limits_.from_peer && limits_.hops_left == 0) return refusal_reason::hops;
  if (deadline_ && *deadline_ <= now) return refusal_reason::deadline;
  return std::nullopt;
}

void exchange_core::begin_attempt(bool idempotent, milliseconds timeout, time_point now, std::uint32_t targets) {
  ++attempts_;
  max_targets_ = targets;
  state_ = attempt_state::not_sent;
  idempotent_ = idempotent;
  // A later attempt may be chosen under a newer document with a shorter timeout, counted from then. The time that the
  // request was promised on arrival holds for the whole exchange.
  if (attempts_ > 1 || timeout <= milliseconds::zero()) return;
  timeout_ = timeout;
  const time_point limit = now + timeout;
  if (!deadline_ || limit < *deadline_) deadline_ = limit;
}

void exchange_core::restart_timeout(time_point now) {
  if (timeout_ <= milliseconds::zero()) return;
  deadline_ = caller_deadline_ ? std::min(*caller_deadline_, now + timeout_) : now + timeout_;
}

bool exchange_core::may_send(time_point now) const { return !deadline_ || now < *deadline_; }

bool exchange_core::may_repeat(bool replayable) const {
  return idempotent_ && replayable && attempts_ < attempt_limit() && limits_.retries_left > 0 &&
         targets_reached_ + 1 < max_targets_;
}

void exchange_core::mark_sent() {
  if (state_ == attempt_state::not_sent) state_ = attempt_state::sent;
}

void exchange_core::mark_response_started() { state_ = attempt_state::response_started; }

time_point exchange_core::response_end() const {
  return caller_deadline_ ? *caller_deadline_ + max_response_overrun : time_point::max();
}

time_point exchange_core::body_due(time_point now, duration idle_timeout) const {
  const duration period = std::max<duration>(timeout_, min_body_period);
  return std::min(response_end(), now + std::min<duration>(idle_timeout, period - std::min(period, body_waited_)));
}

void exchange_core::on_body_read(std::size_t bytes, duration waited) {
  body_bytes_ += bytes;
  body_waited_ += waited;
  if (body_bytes_ < min_body_progress) return;
  body_bytes_ = 0;
  body_waited_ = {};
}

bool exchange_core::try_consume_retry(bool proved_not_executed, time_point now, bool replayable) {
  if (attempts_ >= attempt_limit() || !replayable || !may_send(now)) return false;
  if (may_have_executed_ && !idempotent_) return false;
  if (proved_not_executed) return true;
  ++targets_reached_;
  if (limits_.retries_left == 0 || targets_reached_ >= max_targets_) return false;
  --limits_.retries_left;
  return true;
}

exchange_decision exchange_core::decide_after_failure(attempt_failure failure, time_point now, bool replayable) {
  const failure_row& row = row_of(failure);
  exchange_decision decision{.status = row.status, .reported_outcome = row.reported_outcome};
  if (state_ == attempt_state::response_started) {
    decision.action = next_action::abort;
    return decision;
  }
  const bool proved_not_executed = state_ == attempt_state::not_sent || row.proves_not_executed;
  if (!proved_not_executed) may_have_executed_ = true;
  // If the request was not executed, the status is 503, except for a passed deadline (504) and a disconnected caller.
  if (proved_not_executed && !may_have_executed_ && row.status == 502) decision.status = 503;
  if (proved_not_executed && may_have_executed_) decision.status = last_status_;
  last_status_ = decision.status;
  decision.execution = execution();
  if (failure != attempt_failure::cancelled && try_consume_retry(proved_not_executed, now, replayable)) {
    decision.action = next_action::retry;
  }
  return decision;
}

exchange_decision exchange_core::decide_after_response(unsigned status, execution_status peer_execution, time_point now,
                                                       bool replayable) {
  if (peer_execution == execution_status::not_executed) {
    exchange_decision decision = decide_after_failure(attempt_failure::peer_not_executed, now, replayable);
    if (decision.action == next_action::respond) decision.action = next_action::relay;
    // Relayed with the peer's status unless an earlier attempt may have been executed.
    if (!may_have_executed_) decision.status = status;
    return decision;
  }
  exchange_decision decision{.action = next_action::relay, .status = status, .execution = execution_status::none};
  decision.reported_outcome = status == 504   ? call_outcome::timeout
                              : status >= 500 ? call_outcome::upstream_error
                                              : call_outcome::ok;
  const bool generated_by_peer = peer_execution == execution_status::unknown;
  may_have_executed_ = true;
  if (generated_by_peer) decision.execution = execution_status::unknown;
  // For these three statuses another upstream may succeed; all others are the service's final response.
  const bool retryable_status = status == 502 || status == 503 || status == 504;
  if (retryable_status) {
    last_status_ = status;
    if (idempotent_ && try_consume_retry(false, now, replayable)) decision.action = next_action::retry;
  }
  return decision;
}

exchange_decision exchange_core::decide_after_refusal(refusal_reason reason) const {
  exchange_decision decision{.reported_outcome = call_outcome::not_executed};
  decision.status = may_have_executed_ ? last_status_ : status_of(reason);
  decision.execution = execution();
  return decision;
}

std::optional<milliseconds> exchange_core::remaining_time(time_point now) const {
  if (!deadline_) return std::nullopt;
  return std::max(milliseconds::zero(), std::chrono::duration_cast<milliseconds>(*deadline_ - now));
}

exchange_limits exchange_core::next_hop_limits(time_point now) const {
  exchange_limits next = limits_;
  next.deadline = remaining_time(now);
  // Only the first node counts the hop, so a call over two nodes uses one.
  if (!limits_.from_peer && next.hops_left > 0) --next.hops_left;
  return next;
}

}  // namespace heatherdeck

// Each failure has one row that says whether it proves that nothing ran, and which status tells the caller. Invariant:
// once one attempt may have run, the flag stays set for the whole exchange, so a later refusal cannot turn into a false
// "not run" and a non-idempotent request is not sent again. All operations are O(1).
#include "node/exchange_core.h"

#include <algorithm>

namespace heatherdeck {
namespace {

struct failure_row {
  exchange_failure failure;
  bool proves_not_run;  // even after bytes were sent
  unsigned status;
  call_outcome report;
};

constexpr auto failure_rows = std::to_array<failure_row>({
    {exchange_failure::refused, true, 502, call_outcome::connection_failed},
    {exchange_failure::reset, false, 502, call_outcome::connection_failed},
    {exchange_failure::closed, false, 502, call_outcome::connection_failed},
    {exchange_failure::timeout, false, 504, call_outcome::timeout},
    {exchange_failure::cancelled, false, 499, call_outcome::cancelled},
    {exchange_failure::not_run_answer, true, 503, call_outcome::not_run},
    {exchange_failure::refused_stream, true, 503, call_outcome::not_run},
    {exchange_failure::going_away, true, 503, call_outcome::not_run},
    {exchange_failure::bad_answer, false, 502, call_outcome::upstream_error},
});

const failure_row& row_of(exchange_failure failure) {
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
});

}  // namespace

unsigned status_of(refusal_reason reason) {
  const auto* found = std::find_if(refusal_rows.begin(), refusal_rows.end(),
                                   [reason](const refusal_row& row) { return row.reason == reason; });
  return found == refusal_rows.end() ? 503 : found->status;
}

exchange_core::exchange_core(exchange_limits limits, time_point arrival) : limits_(limits) {
  if (limits.deadline) callers_deadline_ = arrival + *limits.deadline;
  deadline_ = callers_deadline_;
}

std::optional<refusal_reason> exchange_core::admit(time_point now) const {
  if (!limits_.from_peer && limits_.hops_left == 0) return refusal_reason::hops;
  if (deadline_ && *deadline_ <= now) return refusal_reason::deadline;
  return std::nullopt;
}

void exchange_core::begin_attempt(bool idempotent, milliseconds timeout, time_point now, std::uint32_t targets) {
  ++attempts_;
  targets_allowed_ = targets;
  state_ = run_state::not_sent;
  idempotent_ = idempotent;
  if (timeout <= milliseconds::zero()) return;
  if (attempts_ == 1) timeout_ = timeout;
  const time_point limit = now + timeout;
  if (!deadline_ || limit < *deadline_) deadline_ = limit;
}

void exchange_core::note_upload(time_point now) {
  if (timeout_ <= milliseconds::zero()) return;
  deadline_ = callers_deadline_ ? std::min(*callers_deadline_, now + timeout_) : now + timeout_;
}

bool exchange_core::may_send(time_point now) const { return !deadline_ || now < *deadline_; }

void exchange_core::mark_sent() {
  if (state_ == run_state::not_sent) state_ = run_state::sent;
}

void exchange_core::mark_answered() { state_ = run_state::answered; }

bool exchange_core::spend_retry(bool proved_not_run, time_point now, bool replayable) {
  const std::uint32_t limit = limits_.from_peer ? 1 : max_attempts;
  if (attempts_ >= limit || !replayable || !may_send(now)) return false;
  if (may_have_run_ && !idempotent_) return false;
  if (proved_not_run) return true;
  ++targets_used_;
  if (limits_.retries_left == 0 || targets_used_ >= targets_allowed_) return false;
  --limits_.retries_left;
  return true;
}

exchange_decision exchange_core::fail(exchange_failure failure, time_point now, bool replayable) {
  const failure_row& row = row_of(failure);
  exchange_decision decision{.status = row.status, .report = row.report};
  if (state_ == run_state::answered) {
    decision.action = next_action::cut;
    return decision;
  }
  const bool proved_not_run = state_ == run_state::not_sent || row.proves_not_run;
  if (!proved_not_run) may_have_run_ = true;
  // A refusal says 503, except that a passed deadline and a caller that has gone keep their own status.
  if (proved_not_run && !may_have_run_ && row.status == 502) decision.status = 503;
  if (proved_not_run && may_have_run_) decision.status = last_status_;
  last_status_ = decision.status;
  decision.claim = claim();
  if (failure != exchange_failure::cancelled && spend_retry(proved_not_run, now, replayable)) {
    decision.action = next_action::retry;
  }
  return decision;
}

exchange_decision exchange_core::judge_answer(unsigned status, run_claim claim_of_peer, time_point now,
                                              bool replayable) {
  if (claim_of_peer == run_claim::not_run) {
    exchange_decision decision = fail(exchange_failure::not_run_answer, now, replayable);
    if (decision.action == next_action::answer) decision.action = next_action::relay;
    // Relayed with the peer's status unless an earlier attempt may have run.
    if (!may_have_run_) decision.status = status;
    return decision;
  }
  exchange_decision decision{.action = next_action::relay, .status = status, .claim = run_claim::none};
  decision.report = status == 504   ? call_outcome::timeout
                    : status >= 500 ? call_outcome::upstream_error
                                    : call_outcome::ok;
  const bool own_failure_of_peer = claim_of_peer == run_claim::unknown;
  may_have_run_ = true;
  if (own_failure_of_peer) decision.claim = run_claim::unknown;
  // These three say that another upstream may do better; other statuses are the service's own answer.
  const bool another_may_help = status == 502 || status == 503 || status == 504;
  if (another_may_help) {
    last_status_ = status;
    if (idempotent_ && spend_retry(false, now, replayable)) decision.action = next_action::retry;
  }
  return decision;
}

exchange_decision exchange_core::refuse(refusal_reason reason) const {
  exchange_decision decision{.report = call_outcome::not_run};
  decision.status = may_have_run_ ? last_status_ : status_of(reason);
  decision.claim = claim();
  return decision;
}

std::optional<milliseconds> exchange_core::time_left(time_point now) const {
  if (!deadline_) return std::nullopt;
  return std::max(milliseconds::zero(), std::chrono::duration_cast<milliseconds>(*deadline_ - now));
}

exchange_limits exchange_core::forwarded(time_point now) const {
  exchange_limits next = limits_;
  next.deadline = time_left(now);
  // The hop is counted by the first node only, so that a call that passes two nodes costs one.
  if (!limits_.from_peer && next.hops_left > 0) --next.hops_left;
  return next;
}

}  // namespace heatherdeck

/// @file
/// Decision logic of one exchange: whether the request may start, whether it may be sent again, and what the response
/// may state about its execution.
///
/// Performs no I/O: failures and the current time are arguments, decisions are results. Each process that forwards a
/// request holds one core per request; a call over two nodes is decided by two cores, one in each node. Used by
/// `run_exchange` (node/exchange.h).
///
///     exchange_core core({.deadline = 800ms, .hops_left = 9, .retries_left = 1}, now);
///     if (auto reason = core.admit(now)) return core.decide_after_refusal(*reason);
///     core.begin_attempt(choice.idempotent, choice.timeout, now);
///     if (!core.may_send(now)) ...                          // the deadline passed while the process was suspended
///     core.mark_sent();                                     // before the first byte goes to a socket
///     auto decision = core.decide_after_failure(attempt_failure::reset, now, replayable);
///     if (decision.action == next_action::retry) ...        // else respond with decision.status
///
/// Rules (section 5.3 of the design page):
/// - `not_executed` is reported only if it is proved for every attempt that no upstream has executed the request.
/// - A non-idempotent request is sent again only if it is proved that no earlier attempt was executed.
/// - An idempotent request that may have been executed is sent again only while `retries_left` is above 0.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "kernel/enum_names.h"
#include "kernel/error.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

/// Progress of the current attempt.
enum class attempt_state { not_sent, sent, response_started };

template <>
struct enum_table<attempt_state> {
  static constexpr auto entries = std::to_array<enum_entry<attempt_state>>({
      {attempt_state::not_sent, "not_sent"},
      {attempt_state::sent, "sent"},
      {attempt_state::response_started, "answered"},
  });
};

/// Whether the request was executed, as the response's `hd-outcome` header states it. `none`: no statement, because the
/// response is the upstream's own.
enum class execution_status { none, not_executed, unknown };

template <>
struct enum_table<execution_status> {
  static constexpr auto entries = std::to_array<enum_entry<execution_status>>({
      {execution_status::none, "none"},
      {execution_status::not_executed, "not-run"},
      {execution_status::unknown, "unknown"},
  });
};

/// Why an attempt ended without a usable response.
enum class attempt_failure {
  connect_failed,     ///< no connection could be established
  reset,              ///< the connection or stream was reset
  closed,             ///< the connection or stream ended before the response was complete
  timeout,            ///< the deadline passed, which includes a peer that does not respond
  cancelled,          ///< the caller has disconnected
  peer_not_executed,  ///< the response says that the request was not executed (hd-outcome: not-run)
  refused_stream,     ///< HTTP/2 REFUSED_STREAM
  going_away,         ///< HTTP/2 GOAWAY with a lower last stream id
  invalid_response,   ///< the response violates HTTP
};

template <>
struct enum_table<attempt_failure> {
  static constexpr auto entries = std::to_array<enum_entry<attempt_failure>>({
      {attempt_failure::connect_failed, "refused"},
      {attempt_failure::reset, "reset"},
      {attempt_failure::closed, "closed"},
      {attempt_failure::timeout, "timeout"},
      {attempt_failure::cancelled, "cancelled"},
      {attempt_failure::peer_not_executed, "not_run_answer"},
      {attempt_failure::refused_stream, "refused_stream"},
      {attempt_failure::going_away, "going_away"},
      {attempt_failure::invalid_response, "bad_answer"},
  });
};

/// @return the failure that an error of the connection to an upstream or node amounts to.
attempt_failure failure_of(error_kind kind);

/// @return whether the failure proves that no upstream has executed the request, even if bytes of it were sent.
bool proves_not_executed(attempt_failure failure);

/// What the exchange does after an attempt.
enum class next_action {
  retry,    ///< choose an upstream again and resend the request
  respond,  ///< send an error response with the decision's status and execution
  relay,    ///< forward the response that was received
  abort,    ///< the response has begun: abort the caller's connection, so that the caller sees it as incomplete
};

template <>
struct enum_table<next_action> {
  static constexpr auto entries = std::to_array<enum_entry<next_action>>({
      {next_action::retry, "retry"},
      {next_action::respond, "answer"},
      {next_action::relay, "relay"},
      {next_action::abort, "cut"},
  });
};

struct exchange_decision {
  next_action action = next_action::respond;
  unsigned status = 502;  ///< of the response, unless the action is retry or abort
  execution_status execution = execution_status::unknown;
  call_outcome reported_outcome = call_outcome::connection_failed;  ///< for finish_call of this attempt
};

/// Limits that are forwarded with a request.
struct exchange_limits {
  std::optional<milliseconds> deadline;  ///< remaining time on arrival; none: no deadline
  std::uint32_t hops_left = 9;           ///< further calls that the request may cause in sequence
  std::uint32_t retries_left = 1;        ///< resends that the whole path may still use
  bool from_peer = false;  ///< arrived from another node, which has counted the hop: only one attempt is made
};

/// A chain of calls has at most 9 hops. All hops share one retry, so that retries do not multiply along the path.
inline constexpr std::uint32_t default_hop_limit = 9;
inline constexpr std::uint32_t default_retry_limit = 1;
/// Maximum attempts of one process for one request. Attempts that provably did not execute the request cost no work and
/// do not count as retries, so two of them may be followed by another attempt.
inline constexpr std::uint32_t max_attempts = 3;

/// @return the HTTP status of the response to a request that is rejected for this reason.
unsigned status_of(refusal_reason reason);

/// A response body must bring this much in each period of waiting for the upstream; see exchange_core::body_due.
inline constexpr std::size_t min_body_progress = 16UL * 1024;
/// Shortest such period; otherwise it is the route's timeout.
inline constexpr std::chrono::seconds min_body_period{5};
/// Time after the caller's deadline at which a response that is still being read is given up. An answer that is ready
/// is delivered, also when late, but one that never ends must not occupy the upstream for good.
inline constexpr std::chrono::seconds max_response_overrun{1};

class exchange_core {
 public:
  /// @param limits as received with the request.
  /// @param arrival time at which this process received the request; the deadline counts from here.
  exchange_core(exchange_limits limits, time_point arrival);

  /// @return why the request is rejected before the first attempt, or nothing.
  std::optional<refusal_reason> admit(time_point now) const;

  /// Begins the next attempt.
  /// @param idempotent whether the route declares the request idempotent.
  /// @param timeout of the chosen upstream; the first attempt's timeout bounds the whole exchange. 0: none.
  /// @param targets maximum number of targets that the request may reach over all attempts.
  void begin_attempt(bool idempotent, milliseconds timeout, time_point now, std::uint32_t targets = 2);

  /// Restarts the route's timeout after a part of the request body was forwarded; the caller's deadline is unchanged.
  void restart_timeout(time_point now);

  /// Must be checked directly before the first byte of an attempt is written.
  /// @return false if the deadline has passed.
  bool may_send(time_point now) const;

  /// @param replayable as for `decide_after_failure`.
  /// @return whether another attempt could follow if this one fails after it may have been executed.
  bool may_repeat(bool replayable) const;

  /// Must be called before the first byte of the request can leave the process.
  void mark_sent();

  /// Must be called before the first byte of a response goes to the caller.
  void mark_response_started();

  /// @return when a response body is given up whose next part is awaited from now on: when the period without
  ///   sufficient progress is over, at the end of the idle timeout, or some time after the caller's deadline.
  time_point body_due(time_point now, duration idle_timeout) const;

  /// Records a part of the response body.
  /// @param waited time that was spent waiting for it; waiting for the caller to take data does not count.
  void on_body_read(std::size_t bytes, duration waited);

  /// @return the latest time for a response in progress, at which the caller has long given up.
  time_point response_end() const;

  /// Decides what follows a failed attempt.
  /// @param replayable false if a part of the body was forwarded and is no longer buffered.
  exchange_decision decide_after_failure(attempt_failure failure, time_point now, bool replayable);

  /// Decides whether a response is relayed or another upstream is tried. Called once the response head is complete.
  /// @param status the response's status.
  /// @param peer_execution hd-outcome of a response that the next node generated; `none` for an upstream's response.
  exchange_decision decide_after_response(unsigned status, execution_status peer_execution, time_point now,
                                          bool replayable);

  /// Decides what follows when the traffic service rejects an attempt. If a retry is rejected, the response keeps the
  /// status of the earlier failure.
  exchange_decision decide_after_refusal(refusal_reason reason) const;

  /// @return time until the deadline, at least 0; nothing if there is no deadline.
  std::optional<milliseconds> remaining_time(time_point now) const;

  /// @return the limits to send with the next attempt.
  exchange_limits next_hop_limits(time_point now) const;

  attempt_state state() const { return state_; }
  std::uint32_t attempts() const { return attempts_; }
  /// @return whether an attempt may have run.
  bool may_have_run() const { return may_have_executed_; }
  bool idempotent() const { return idempotent_; }
  std::optional<time_point> deadline() const { return deadline_; }

 private:
  // Decides whether another attempt is allowed and takes it from `retries_left` if the last one may have been executed.
  bool try_consume_retry(bool proved_not_executed, time_point now, bool replayable);
  std::uint32_t attempt_limit() const { return limits_.from_peer ? 1 : max_attempts; }
  execution_status execution() const {
    return may_have_executed_ ? execution_status::unknown : execution_status::not_executed;
  }

  exchange_limits limits_;
  std::optional<time_point> caller_deadline_;
  std::optional<time_point> deadline_;  // the earlier of the caller's deadline and the route's timeout
  milliseconds timeout_{0};             // of the route; 0: none
  attempt_state state_ = attempt_state::not_sent;
  std::uint32_t attempts_ = 0;
  std::uint32_t max_targets_ = 2;
  std::uint32_t targets_reached_ = 0;  ///< attempts that may have reached a target
  bool idempotent_ = false;
  bool may_have_executed_ = false;  ///< an attempt of this exchange may have been executed; never reset
  unsigned last_status_ = 502;      ///< status for the last failed attempt
  std::size_t body_bytes_ = 0;      ///< of the response body, in the present period
  duration body_waited_{};          ///< time spent waiting for them
};

}  // namespace heatherdeck

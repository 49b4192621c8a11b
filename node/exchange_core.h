/// @file
/// The decisions of one exchange: may it start, may it be sent again, and what may be claimed about it.
///
/// Pure: failures and the present time go in, decisions come out. Each process that forwards a request holds one core
/// per request; two cores in a row decide for a call that passes two nodes.
///
///     exchange_core core({.deadline = 800ms, .hops_left = 9, .retries_left = 1}, now);
///     if (auto reason = core.admit(now)) return core.refuse(*reason);
///     core.begin_attempt(choice.idempotent, choice.timeout, now);
///     if (!core.may_send(now)) ...                          // the deadline has passed while the process was frozen
///     core.mark_sent();                                     // before the first byte goes to a socket
///     auto decision = core.fail(attempt_failure::reset, now, replayable);
///     if (decision.action == next_action::retry) ...        // else answer decision.status with decision.claim
///
/// Rules (section 5.3 of the design page):
/// - `not_run` is claimed only when every attempt is proved not to have reached an upstream.
/// - A non-idempotent request is sent again only after each earlier attempt is proved not to have run.
/// - An idempotent request that may have run is sent again only while `retries_left` lasts.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

/// How far the present attempt has come.
enum class attempt_state { not_sent, sent, response_started };

template <>
struct enum_table<attempt_state> {
  static constexpr auto entries = std::to_array<enum_entry<attempt_state>>({
      {attempt_state::not_sent, "not_sent"},
      {attempt_state::sent, "sent"},
      {attempt_state::response_started, "answered"},
  });
};

/// What the answer's `hd-outcome` header says about a failed request.
enum class execution_status { none, not_executed, unknown };

template <>
struct enum_table<execution_status> {
  static constexpr auto entries = std::to_array<enum_entry<execution_status>>({
      {execution_status::none, "none"},
      {execution_status::not_executed, "not-run"},
      {execution_status::unknown, "unknown"},
  });
};

/// How an attempt ended without a usable answer.
enum class attempt_failure {
  connect_failed,     ///< no connection could be made
  reset,              ///< the connection or stream was reset
  closed,             ///< the connection or stream ended before the whole answer
  timeout,            ///< the time allowed has passed; a frozen peer looks the same
  cancelled,          ///< the caller is gone
  peer_not_executed,  ///< the next node answered hd-outcome: not-run
  refused_stream,     ///< h2 REFUSED_STREAM
  going_away,         ///< h2 GOAWAY with a lower last stream id
  invalid_response,   ///< the answer breaks HTTP
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

enum class next_action {
  retry,    ///< choose again and send again
  respond,  ///< answer with status and claim
  relay,    ///< pass on the answer that was received
  abort,    ///< the answer has begun: close the caller's connection so that the answer is seen to be incomplete
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
  unsigned status = 502;
  execution_status execution = execution_status::unknown;
  call_outcome reported_outcome = call_outcome::connection_failed;  ///< for finish_call of this attempt
};

/// What travels with a request.
struct exchange_limits {
  std::optional<milliseconds> deadline;  ///< time left on arrival
  std::uint32_t hops_left = 9;
  std::uint32_t retries_left = 1;
  bool from_peer = false;  ///< arrived from another node: one attempt, and the hop has been counted there
};

/// A call chain is at most 9 deep; one retry is shared by the whole path, so that retries do not multiply.
inline constexpr std::uint32_t default_hop_limit = 9;
inline constexpr std::uint32_t default_retry_limit = 1;
/// Attempts of one process for one request. Refusals that prove "not run" cost no work and may be followed twice.
inline constexpr std::uint32_t max_attempts = 3;

/// @return the status of an answer that refuses a request for this reason.
unsigned status_of(refusal_reason reason);

class exchange_core {
 public:
  exchange_core(exchange_limits limits, time_point arrival);

  /// @return why the request may not start here, or nothing.
  std::optional<refusal_reason> admit(time_point now) const;

  /// Begins the next attempt.
  /// @param idempotent as the route says.
  /// @param timeout as the choice says; the first attempt's time-out bounds the whole exchange.
  /// @param targets to how many targets the request may be sent in all.
  void begin_attempt(bool idempotent, milliseconds timeout, time_point now, std::uint32_t targets = 2);

  /// A piece of the request's body has been passed on: the route's time-out counts from here, the caller's deadline
  /// stays.
  void restart_timeout(time_point now);

  /// To be asked directly before the first byte is written.
  /// @return false when the deadline has passed.
  bool may_send(time_point now) const;

  /// Must be called before the first byte of the request can leave the process.
  void mark_sent();

  /// Must be called before the first byte of an answer goes to the caller.
  void mark_response_started();

  /// Decides after a failed attempt.
  /// @param replayable false when a part of the body has been passed on and is not held any more.
  exchange_decision decide_after_failure(attempt_failure failure, time_point now, bool replayable);

  /// Decides whether a whole answer head is relayed or another upstream is tried.
  /// @param status the answer's status.
  /// @param claim hd-outcome of the next node's own answer; `none` for answers of an upstream.
  exchange_decision decide_after_response(unsigned status, execution_status peer_execution, time_point now,
                                          bool replayable);

  /// Decides after the traffic service has refused an attempt; a refusal of a retry keeps the earlier failure.
  exchange_decision decide_after_refusal(refusal_reason reason) const;

  /// @return time left at `now`; nothing when there is no limit; never negative.
  std::optional<milliseconds> remaining_time(time_point now) const;

  /// @return what to send along with the next attempt.
  exchange_limits next_hop_limits(time_point now) const;

  attempt_state state() const { return state_; }
  std::uint32_t attempts() const { return attempts_; }
  bool idempotent() const { return idempotent_; }
  std::optional<time_point> deadline() const { return deadline_; }

 private:
  bool try_consume_retry(bool proved_not_executed, time_point now, bool replayable);
  execution_status execution() const {
    return may_have_executed_ ? execution_status::unknown : execution_status::not_executed;
  }

  exchange_limits limits_;
  std::optional<time_point> caller_deadline_;
  std::optional<time_point> deadline_;  // the earlier of the caller's and the route's
  milliseconds timeout_{0};
  attempt_state state_ = attempt_state::not_sent;
  std::uint32_t attempts_ = 0;
  std::uint32_t max_targets_ = 2;
  std::uint32_t targets_reached_ = 0;  ///< attempts that may have reached a target
  bool idempotent_ = false;
  bool may_have_executed_ = false;
  unsigned last_status_ = 502;
};

}  // namespace heatherdeck

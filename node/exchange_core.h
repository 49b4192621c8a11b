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
///     auto decision = core.fail(exchange_failure::reset, now, replayable);
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
enum class run_state { not_sent, sent, answered };

template <>
struct enum_table<run_state> {
  static constexpr auto entries = std::to_array<enum_entry<run_state>>({
      {run_state::not_sent, "not_sent"},
      {run_state::sent, "sent"},
      {run_state::answered, "answered"},
  });
};

/// What the answer's `hd-outcome` header says about a failed request.
enum class run_claim { none, not_run, unknown };

template <>
struct enum_table<run_claim> {
  static constexpr auto entries = std::to_array<enum_entry<run_claim>>({
      {run_claim::none, "none"},
      {run_claim::not_run, "not-run"},
      {run_claim::unknown, "unknown"},
  });
};

/// How an attempt ended without a usable answer.
enum class exchange_failure {
  refused,         ///< no connection could be made
  reset,           ///< the connection or stream was reset
  closed,          ///< the connection or stream ended before the whole answer
  timeout,         ///< the time allowed has passed; a frozen peer looks the same
  cancelled,       ///< the caller is gone
  not_run_answer,  ///< the next node answered hd-outcome: not-run
  refused_stream,  ///< h2 REFUSED_STREAM
  going_away,      ///< h2 GOAWAY with a lower last stream id
  bad_answer,      ///< the answer breaks HTTP
};

template <>
struct enum_table<exchange_failure> {
  static constexpr auto entries = std::to_array<enum_entry<exchange_failure>>({
      {exchange_failure::refused, "refused"},
      {exchange_failure::reset, "reset"},
      {exchange_failure::closed, "closed"},
      {exchange_failure::timeout, "timeout"},
      {exchange_failure::cancelled, "cancelled"},
      {exchange_failure::not_run_answer, "not_run_answer"},
      {exchange_failure::refused_stream, "refused_stream"},
      {exchange_failure::going_away, "going_away"},
      {exchange_failure::bad_answer, "bad_answer"},
  });
};

enum class next_action {
  retry,   ///< choose again and send again
  answer,  ///< answer with status and claim
  relay,   ///< pass on the answer that was received
  cut,     ///< the answer has begun: close the caller's connection so that the answer is seen to be incomplete
};

template <>
struct enum_table<next_action> {
  static constexpr auto entries = std::to_array<enum_entry<next_action>>({
      {next_action::retry, "retry"},
      {next_action::answer, "answer"},
      {next_action::relay, "relay"},
      {next_action::cut, "cut"},
  });
};

struct exchange_decision {
  next_action action = next_action::answer;
  unsigned status = 502;
  run_claim claim = run_claim::unknown;
  call_outcome report = call_outcome::connection_failed;  ///< for finish_call of this attempt
};

/// What travels with a request.
struct exchange_limits {
  std::optional<milliseconds> deadline;  ///< time left on arrival
  std::uint32_t hops_left = 9;
  std::uint32_t retries_left = 1;
  bool from_peer = false;  ///< arrived from another node: one attempt, and the hop has been counted there
};

/// A call chain is at most 9 deep; one retry is shared by the whole path, so that retries do not multiply.
inline constexpr std::uint32_t default_hops = 9;
inline constexpr std::uint32_t default_retries = 1;
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
  void note_upload(time_point now);

  /// To be asked directly before the first byte is written.
  /// @return false when the deadline has passed.
  bool may_send(time_point now) const;

  /// Must be called before the first byte of the request can leave the process.
  void mark_sent();

  /// Must be called before the first byte of an answer goes to the caller.
  void mark_answered();

  /// Decides after a failed attempt.
  /// @param replayable false when a part of the body has been passed on and is not held any more.
  exchange_decision fail(exchange_failure failure, time_point now, bool replayable);

  /// Decides whether a whole answer head is relayed or another upstream is tried.
  /// @param status the answer's status.
  /// @param claim hd-outcome of the next node's own answer; `none` for answers of an upstream.
  exchange_decision judge_answer(unsigned status, run_claim claim, time_point now, bool replayable);

  /// Decides after the traffic service has refused an attempt; a refusal of a retry keeps the earlier failure.
  exchange_decision refuse(refusal_reason reason) const;

  /// @return time left at `now`; nothing when there is no limit; never negative.
  std::optional<milliseconds> time_left(time_point now) const;

  /// @return what to send along with the next attempt.
  exchange_limits forwarded(time_point now) const;

  run_state state() const { return state_; }
  std::uint32_t attempts() const { return attempts_; }
  bool idempotent() const { return idempotent_; }
  std::optional<time_point> deadline() const { return deadline_; }

 private:
  bool spend_retry(bool proved_not_run, time_point now, bool replayable);
  run_claim claim() const { return may_have_run_ ? run_claim::unknown : run_claim::not_run; }

  exchange_limits limits_;
  std::optional<time_point> callers_deadline_;
  std::optional<time_point> deadline_;  // the earlier of the caller's and the route's
  milliseconds timeout_{0};
  run_state state_ = run_state::not_sent;
  std::uint32_t attempts_ = 0;
  std::uint32_t targets_allowed_ = 2;
  std::uint32_t targets_used_ = 0;  ///< attempts that may have reached a target
  bool idempotent_ = false;
  bool may_have_run_ = false;
  unsigned last_status_ = 502;
};

}  // namespace heatherdeck

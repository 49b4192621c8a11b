/// @file
/// Node's part of the fleet-wide rate limit: the permits that this node may spend, the requests that wait for one, and
/// which request to send to the control host next. Pure; owned by traffic_core.
///
///     permit_store permits;
///     permits.set_source(now, 7);                                  // a stream to a control host is open
///     permit_take taken = permits.take(now, "acme", waiter_id);
///     if (auto* p = std::get_if<permit>(&taken)) ...               // sent: spend(now, *p); not sent: give_back(now,
///     *p) if (auto request = permits.take_request(now)) ...            // to be called after every change
///     permits.apply(now, answer);
///     for (permit_decision& d : permits.take_decisions(now)) ...   // requests whose wait has ended
///
/// `now` is a clock that counts the time during which the host was suspended (CLOCK_BOOTTIME): a permit is valid for
/// permit_life from when the request for it was sent, however long the process or the host stood still.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/json/value.hpp>

#include "kernel/timer_service.h"
#include "model/permit_messages.h"

namespace heatherdeck {

/// The right to send one request of an account to an upstream.
struct permit {
  std::string account;
  std::uint64_t source = 0;  ///< stream on which it was received
  time_point expires{};
};

/// The account is over its limit, or there was no answer: the request is refused.
struct permit_refusal {
  bool over_limit = false;  ///< false: the control host cannot be asked
  milliseconds retry_after{0};
};

/// The request waits; take_decisions returns its waiter id later.
struct permit_pending {};

using permit_take = std::variant<permit, permit_pending, permit_refusal>;

struct permit_decision {
  std::uint64_t waiter = 0;
  std::variant<permit, permit_refusal> result;
};

/// Totals since the start of the process.
struct permit_store_counters {
  std::uint64_t granted = 0;
  std::uint64_t spent = 0;
  std::uint64_t expired = 0;
  std::uint64_t returned = 0;     ///< given back by requests that were not sent
  std::uint64_t over_limit = 0;   ///< requests refused as over the limit
  std::uint64_t unavailable = 0;  ///< requests refused because no answer came
  std::uint64_t requests = 0;     ///< messages to control hosts
  std::uint64_t unanswered = 0;   ///< of these, given up after answer_timeout
  std::uint64_t late_answers = 0;
};

class permit_store {
 public:
  /// A request that has waited for this long is refused.
  static constexpr milliseconds answer_timeout{150};

  /// Changes the stream to the control host; 0: there is none. Permits of the earlier one stay valid.
  void set_source(time_point now, std::uint64_t stream);

  /// Takes a permit for one request. Without one the request waits, unless the account is known to be over its limit.
  /// @param waiter id for take_decisions; 0: the request cannot wait and is refused.
  permit_take take(time_point now, const std::string& account, std::uint64_t waiter);

  /// Marks a permit as spent, at the moment at which its request is sent.
  /// @return false when it has expired; the request must not be sent with it then.
  bool spend(time_point now, const permit& used);

  /// Returns a permit whose request was not sent.
  void give_back(time_point now, const permit& unused);

  /// Takes over an answer; it is ignored if it is not the one to the request in flight.
  void apply(time_point now, const permit_answer& answer);

  /// @return the message to send to the control host now, if there is one and none is in flight.
  std::optional<permit_request> take_request(time_point now);

  /// @return the requests whose wait has ended, in the order in which they came for each account.
  std::vector<permit_decision> take_decisions(time_point now);

  /// @return when take_request or take_decisions may return something without another call.
  std::optional<time_point> next_time(time_point now) const;

  std::uint64_t source() const { return source_; }
  const permit_store_counters& counters() const { return counters_; }
  boost::json::value dump(time_point now) const;

 private:
  struct batch {
    time_point expires{};
    std::uint64_t source = 0;
    std::uint32_t count = 0;
  };

  struct waiter {
    std::uint64_t id = 0;
    time_point since{};
  };

  struct account_state {
    std::deque<batch> free;  ///< the earliest to expire first
    std::deque<waiter> waiting;
    std::uint32_t in_hand = 0;  ///< permits of the present source that requests hold
    std::uint64_t spent = 0;    ///< permits of the present source
    std::uint64_t reported_spent = 0;
    std::uint32_t reported_held = 0;
    std::uint32_t asked = 0;  ///< waiting requests in the request in flight
    bool scarce = false;
    time_point over_until{};
    time_point ask_at{};    ///< no request for waiting requests before
    time_point ahead_at{};  ///< no request for later ones before
    std::optional<time_point> report_at;
    double demand = 0;  ///< moving average, requests a second
    time_point demand_at{};
  };

  struct sent_request {
    std::uint64_t id = 0;
    time_point sent_at{};
  };

  account_state& state_of(const std::string& account);
  void expire(time_point now, account_state& a);
  void serve_waiting(time_point now, const std::string& name, account_state& a);
  permit take_free(const std::string& name, account_state& a);
  std::uint32_t held(const account_state& a) const;
  std::uint32_t ahead(time_point now, const account_state& a) const;
  bool has_need(time_point now, const account_state& a) const;
  bool idle(time_point now, const account_state& a) const;

  std::map<std::string, account_state> accounts_;
  std::uint64_t source_ = 0;
  std::uint64_t spent_base_ = 0;  ///< highest `spent` of an account that was forgotten
  std::uint64_t next_id_ = 1;
  std::optional<sent_request> in_flight_;
  std::vector<permit_decision> decisions_;
  permit_store_counters counters_;
};

}  // namespace heatherdeck

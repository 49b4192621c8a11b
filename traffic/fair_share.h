/// @file
/// Fairness of one admission queue among client accounts and among kinds of request (routes).
///
///     fair_share shares;
///     const share_standing standing = shares.on_arrival(now, "acme", "lookup");
///     shares.on_start(now, "acme", "lookup");   // it runs
///
/// A request is `excess` when its account sends more, compared with all others, than it usually does: the part beyond
/// its usual share goes after them. A request is `owed` when its account or route has been started less often than its
/// guaranteed part of the rate at which all requests are started. Requests without an account are compared by route
/// only. Used by admission_queue. Pure; the memory is bounded by `max_accounts`, beyond which new accounts get no claim
/// of their own until others have been idle for some minutes.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "kernel/timer_service.h"

namespace heatherdeck {

/// A sum of events whose weight halves after a fixed time.
class decaying_sum {
 public:
  explicit decaying_sum(double half_life_s) : half_life_s_(half_life_s) {}

  void add(time_point now, double amount);
  double at(time_point now) const;

 private:
  double half_life_s_;
  double sum_ = 0;
  time_point updated_at_{};
};

/// What fairness asks for a request.
struct share_standing {
  bool due = false;   ///< a start is due to its account: it ranks with the most urgent requests
  bool owed = false;  ///< more than one start is due to its account or route: it goes first
  bool excess = false;
};

class fair_share {
 public:
  static constexpr std::size_t max_accounts = 1024;
  /// Half-lives of the averages that show what an account sends now and what it usually sends. A surge of some seconds
  /// fills the first and hardly changes the second.
  static constexpr double recent_s = 2;
  static constexpr double usual_s = 60;
  /// Guaranteed parts of the rate at which all requests are started. An account must get a quarter; the rest is for
  /// the time that its credit takes to build up and for requests that come while no slot can be given to them. A route
  /// with little urgency is only kept from being served not at all, as more would be taken from urgent ones: a tenth
  /// cost 0.02 of the bound at an overload of 2.5.
  static constexpr double account_part = 0.3;
  static constexpr double route_part = 0.01;

  /// Counts a request.
  /// @param account empty without one.
  share_standing on_arrival(time_point now, const std::string& account, const std::string& route);

  /// The request has been given a slot.
  void on_start(time_point now, const std::string& account, const std::string& route);

  std::size_t accounts() const { return accounts_.size(); }

 private:
  /// Starts that are due to an account or route, as a part of those of all.
  class start_credit {
   public:
    /// @return starts that are due.
    double on_arrival(double part);
    void on_start();

   private:
    double credit_ = 0;
  };

  struct account_state {
    decaying_sum recent{recent_s};
    double usual_share = 0;  ///< of the requests of all accounts
    time_point updated_at{};
    double within_usual = 0;  ///< requests that may still be counted as usual
    start_credit credit;
  };

  account_state* find_or_add(time_point now, const std::string& account);
  void learn_usual(time_point now, account_state& account) const;
  bool is_excess(time_point now, account_state& account) const;
  double started_part(time_point now) const;

  std::map<std::string, account_state> accounts_;
  std::map<std::string, start_credit> routes_;
  decaying_sum recent_{recent_s};            ///< requests with an account
  std::optional<time_point> first_arrival_;  ///< of a request with an account
  decaying_sum arrivals_{recent_s};          ///< all requests
  decaying_sum starts_{recent_s};
};

}  // namespace heatherdeck

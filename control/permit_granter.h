/// @file
/// Control host's part of the fleet-wide rate limit: a token bucket with this host's share of each account's limit, and
/// loans from and to the other control hosts. Pure: time and messages go in, answers come out; permits_service runs it.
///
///     permit_granter granter;
///     granter.set_membership(now, 6, true, {"c2", "c3"});
///     granter.set_accounts(now, document->accounts);
///     permit_answer answer = granter.on_request(now, stream, request);
///     for (auto& [peer, loan] : granter.take_loan_requests(now)) ...   // to be called after every message
///
/// Bounds that hold at any time, with n the largest number of voters seen, for an account with `rate` and `burst`:
/// - tokens in the bucket, plus tokens asked for as a loan: at most max(burst / n, 1.05);
/// - outstanding permits: at most (0.1 * (5 * rate + burst) + 20) / n - max(0, 1.05 - burst / n).
/// With the refill of rate / n they give the bound over the fleet; see docs/design/fleet-limit.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/json/value.hpp>

#include "kernel/timer_service.h"
#include "model/permit_messages.h"

namespace heatherdeck {

/// Totals since the start of the process.
struct permit_counters {
  std::uint64_t granted = 0;
  std::uint64_t spent = 0;     ///< reported by nodes
  std::uint64_t returned = 0;  ///< reported as not spent and given back to the bucket
  std::uint64_t expired = 0;   ///< not reported within their life
  std::uint64_t refused = 0;   ///< requests answered as over the limit
  std::uint64_t deferred = 0;  ///< requests told to ask again
  double lent = 0;
  double borrowed = 0;
  std::uint64_t loans_lost = 0;  ///< loan requests without an answer in time
};

class permit_granter {
 public:
  /// A host that joins the log while it is running waits this long: the others must have learnt of the new divisor.
  static constexpr duration admission_wait = std::chrono::seconds(10);

  /// Replaces the limits. A bucket of a new account starts empty; one of an account that remains keeps its tokens up to
  /// the new limit.
  void set_accounts(time_point now, const std::map<std::string, client_account>& accounts);

  /// Records the membership of the replicated log. Nothing is granted while it has no voters or this host is not one.
  /// @param voters number of voters; the share never rises, also when voters leave.
  /// @param peers ids of the other control hosts, which may lend.
  void set_membership(time_point now, std::size_t voters, bool is_voter, std::vector<std::string> peers);

  /// Grants permits to a node.
  /// @param stream the node's subscription; never reused.
  permit_answer on_request(time_point now, std::uint64_t stream, const permit_request& request);

  /// @return loan requests to send now, by peer, all accounts in one message each.
  std::vector<std::pair<std::string, loan_message>> take_loan_requests(time_point now);

  /// Lends what this host does not need itself soon, and deducts it at once.
  loan_message on_loan_request(time_point now, const loan_message& request);

  /// Adds a loan, unless it comes after its time.
  void on_loan_answer(time_point now, const std::string& peer, const loan_message& answer);

  /// @return when to call take_loan_requests besides.
  std::optional<time_point> next_loan_time(time_point now) const;

  /// Forgets expired permits and accounts that have been removed for some time; to be called about once a second.
  void tick(time_point now);

  const permit_counters& counters() const { return counters_; }
  bool grants(time_point now) const { return divisor_ > 0 && is_voter_ && now >= waits_until_; }

  /// @return share, totals, and the state of the accounts with recent demand.
  boost::json::value dump(time_point now) const;

 private:
  /// Permits that the node of one stream may still spend.
  struct holding {
    std::uint32_t count = 0;
    std::uint64_t spent = 0;  ///< as last reported
    time_point expires{};
  };

  struct bucket {
    double rate = 0;   ///< of the whole fleet, as is `burst`
    double burst = 0;  ///< 0 with rate 0: the account has no limit or has been removed
    double level = 0;
    time_point filled_at{};
    time_point created_at{};
    double issued_since_created = 0;  ///< counted for one permit_life
    double loan_asked = 0;            ///< room reserved for loans under way
    double round_asked = 0;           ///< in the present round of loan requests
    double round_received = 0;
    bool round_asks_all = false;                ///< every peer was asked
    bool ask_all = false;                       ///< in the next round, because the last one brought little
    std::size_t next_peer = 0;                  ///< to begin with when only some are asked
    std::uint32_t round_open = 0;               ///< requests of the round without an answer, to peers that may lend
    std::map<std::uint64_t, holding> holdings;  ///< by stream
    double demand = 0;                          ///< moving average, requests a second
    time_point demand_at{};
    std::uint32_t unmet = 0;  ///< waiting requests of the latest answers that got no permit
    time_point unmet_until{};
    time_point next_loan_at{};
    time_point exhausted_until{};  ///< the others have nothing to lend
    time_point next_free{};        ///< when tokens come for a request that is refused now
    std::optional<time_point> removed_at;
    std::map<std::string, double> willingness;  ///< of peers to lend; 1 when not known
  };

  struct loan_part {
    double amount = 0;
    bool counted = false;  ///< in bucket::round_open
  };

  struct open_loan {
    std::string peer;
    time_point deadline;
    std::map<std::string, loan_part> asked;  ///< by account
  };

  double share(double whole) const { return whole / static_cast<double>(divisor_); }
  double capacity(time_point now, const bucket& b) const;
  double max_outstanding(const bucket& b) const;
  double wanted_level(time_point now, const bucket& b) const;
  void refill(time_point now, bucket& b) const;
  void expire_holdings(time_point now, bucket& b);
  void settle(time_point now, bucket& b, std::uint64_t stream, const permit_demand& row);
  permit_grant grant(time_point now, bucket& b, std::uint64_t stream, const permit_demand& row);
  void defer(time_point now, bucket& b, permit_grant& row, std::uint32_t unmet, bool few_tokens);
  void note_demand(time_point now, bucket& b, double requests) const;
  static double demand_at(time_point now, const bucket& b);
  bool needs_loan(time_point now, const bucket& b) const;
  void ask_peers(time_point now, const std::string& account, bucket& b, std::map<std::string, open_loan>& by_peer);
  void close_loan(time_point now, const std::string& account, const loan_part& part, double lent,
                  const std::string& peer);
  void expire_loans(time_point now);

  std::map<std::string, bucket> accounts_;
  std::map<std::uint64_t, open_loan> loans_;  ///< by id of the request
  std::vector<std::string> peers_;
  std::size_t divisor_ = 0;
  bool is_voter_ = false;
  bool seen_as_outsider_ = false;  ///< the log had voters, and this host was not one
  time_point waits_until_{};
  std::uint64_t next_loan_id_ = 1;
  time_point next_loans_at_{};
  permit_counters counters_;
};

}  // namespace heatherdeck

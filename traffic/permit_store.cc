// Invariants: a permit is in one place: free, held by a request, spent or expired; a permit of an answer that is not
// the one awaited does not exist, so the control host may count it as unspent when it sees the next request. Cost: one
// look at the accounts with activity on this node for each message.
#include "traffic/permit_store.h"

#include <algorithm>
#include <cmath>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds unavailable_retry_after{250};
constexpr double ahead_s = 0.6;         // demand of this long is kept as free permits
constexpr auto ahead_period = 300ms;    // of requests for permits that no request waits for
constexpr auto report_delay = 30ms;     // of a report alone, where few permits may be outstanding
constexpr auto unanswered_wait = 50ms;  // of an account that the answer does not mention
constexpr double idle_demand = 0.05;

}  // namespace

void permit_store::set_source(time_point now, std::uint64_t stream) {
  if (stream == source_) return;
  source_ = stream;
  spent_base_ = 0;
  in_flight_.reset();
  for (auto& [name, a] : accounts_) {
    a.in_hand = a.asked = a.reported_held = 0;
    a.spent = a.reported_spent = 0;
    a.scarce = false;
    a.report_at.reset();
    a.ask_at = a.ahead_at = now;
    a.over_until = std::min(a.over_until, now);  // the other control host has tokens of its own
  }
}

// The count of spent permits of an account that was forgotten and comes back must not start again: the control host
// would take permits as unspent.
permit_store::account_state& permit_store::state_of(const std::string& account) {
  const auto [found, added] = accounts_.try_emplace(account);
  if (added) found->second.spent = found->second.reported_spent = spent_base_;
  return found->second;
}

void permit_store::expire(time_point now, account_state& a) {
  while (!a.free.empty() && a.free.front().expires <= now) {
    counters_.expired += a.free.front().count;
    a.free.pop_front();
  }
}

permit permit_store::take_free(const std::string& name, account_state& a) {
  batch& first = a.free.front();
  permit taken{name, first.source, first.expires};
  if (taken.source == source_) ++a.in_hand;
  if (--first.count == 0) a.free.pop_front();
  return taken;
}

void permit_store::serve_waiting(time_point now, const std::string& name, account_state& a) {
  expire(now, a);
  while (!a.free.empty() && !a.waiting.empty()) {
    decisions_.push_back({a.waiting.front().id, take_free(name, a)});
    a.waiting.pop_front();
  }
}

permit_take permit_store::take(time_point now, const std::string& account, std::uint64_t waiter) {
  account_state& a = state_of(account);
  const double elapsed = std::chrono::duration<double>(now - a.demand_at).count();
  a.demand = a.demand * std::exp(-std::max(0.0, elapsed)) + 1;
  a.demand_at = now;
  expire(now, a);
  if (!a.free.empty() && a.waiting.empty()) return take_free(account, a);
  if (now < a.over_until) {
    ++counters_.over_limit;
    return permit_refusal{true, std::chrono::ceil<milliseconds>(a.over_until - now)};
  }
  if (waiter == 0) {
    ++counters_.unavailable;
    return permit_refusal{false, unavailable_retry_after};
  }
  a.waiting.push_back({waiter, now});
  return permit_pending{};
}

bool permit_store::spend(time_point now, const permit& used) {
  account_state& a = state_of(used.account);
  const bool current = used.source == source_;
  if (current && a.in_hand > 0) --a.in_hand;
  if (used.expires <= now) {
    ++counters_.expired;
    return false;
  }
  ++counters_.spent;
  if (current) {
    ++a.spent;
    if (a.scarce && !a.report_at) a.report_at = now + report_delay;
  }
  return true;
}

void permit_store::give_back(time_point now, const permit& unused) {
  account_state& a = state_of(unused.account);
  if (unused.source == source_ && a.in_hand > 0) --a.in_hand;
  if (unused.expires <= now) {
    ++counters_.expired;
    return;
  }
  ++counters_.returned;
  const auto later =
      std::find_if(a.free.begin(), a.free.end(), [&](const batch& b) { return b.expires >= unused.expires; });
  if (later != a.free.end() && later->expires == unused.expires && later->source == unused.source) {
    ++later->count;
  } else {
    a.free.insert(later, batch{unused.expires, unused.source, 1});
  }
  serve_waiting(now, unused.account, a);
}

void permit_store::apply(time_point now, const permit_answer& answer) {
  if (!in_flight_ || in_flight_->id != answer.id || now >= in_flight_->sent_at + answer_timeout) {
    ++counters_.late_answers;
    return;
  }
  const time_point expires = in_flight_->sent_at + permit_life;
  in_flight_.reset();
  for (const permit_grant& row : answer.accounts) {
    const auto found = accounts_.find(row.account);
    if (found == accounts_.end()) continue;
    account_state& a = found->second;
    a.asked = 0;
    a.scarce = row.scarce;
    counters_.granted += row.granted;
    if (row.granted > 0) a.free.push_back({expires, source_, row.granted});
    serve_waiting(now, row.account, a);
    if (row.verdict == permit_verdict::ask_again) a.ask_at = now + row.wait;
    if (row.verdict != permit_verdict::over_limit) continue;
    a.over_until = now + row.wait;
    for (const waiter& refused : a.waiting) decisions_.push_back({refused.id, permit_refusal{true, row.wait}});
    counters_.over_limit += a.waiting.size();
    a.waiting.clear();
  }
  for (auto& [name, a] : accounts_) {
    if (std::exchange(a.asked, 0) > 0) a.ask_at = now + unanswered_wait;
  }
}

std::uint32_t permit_store::held(const account_state& a) const {
  std::uint32_t total = a.in_hand;
  for (const batch& b : a.free) total += b.source == source_ ? b.count : 0;
  return total;
}

std::uint32_t permit_store::ahead(time_point now, const account_state& a) const {
  if (a.scarce || now < a.ahead_at || now < a.over_until) return 0;
  const double elapsed = std::chrono::duration<double>(now - a.demand_at).count();
  const auto target = static_cast<std::uint32_t>(a.demand * std::exp(-elapsed) * ahead_s);
  std::uint32_t free = 0;
  for (const batch& b : a.free) free += b.count;
  return free <= target / 2 ? target - free : 0;
}

bool permit_store::has_need(time_point now, const account_state& a) const {
  if (!a.waiting.empty() && now >= a.ask_at) return true;
  if (a.report_at && now >= *a.report_at) return true;
  return ahead(now, a) > 0;
}

bool permit_store::idle(time_point now, const account_state& a) const {
  const double elapsed = std::chrono::duration<double>(now - a.demand_at).count();
  return a.free.empty() && a.waiting.empty() && a.in_hand == 0 && a.over_until <= now &&
         a.demand * std::exp(-elapsed) < idle_demand;
}

std::optional<permit_request> permit_store::take_request(time_point now) {
  if (in_flight_ && now >= in_flight_->sent_at + answer_timeout) {
    ++counters_.unanswered;
    in_flight_.reset();
  }
  if (source_ == 0 || in_flight_) return std::nullopt;
  const bool needed =
      std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& a) { return has_need(now, a.second); });
  if (!needed) return std::nullopt;
  permit_request request{.id = next_id_++};
  for (auto& [name, a] : accounts_) {
    expire(now, a);
    permit_demand row{name, 0, ahead(now, a), held(a), a.spent};
    if (now >= a.ask_at) row.waiting = static_cast<std::uint32_t>(a.waiting.size());
    const bool news = row.spent != a.reported_spent || row.held != a.reported_held;
    if (row.waiting + row.ahead == 0 && !news) continue;
    if (row.ahead > 0) a.ahead_at = now + ahead_period;
    a.asked = row.waiting;
    a.reported_spent = row.spent;
    a.reported_held = row.held;
    a.report_at.reset();
    request.accounts.push_back(std::move(row));
  }
  in_flight_ = sent_request{request.id, now};
  ++counters_.requests;
  std::erase_if(accounts_, [&](const auto& a) {
    if (!idle(now, a.second)) return false;
    spent_base_ = std::max(spent_base_, a.second.spent);
    return true;
  });
  return request;
}

std::vector<permit_decision> permit_store::take_decisions(time_point now) {
  for (auto& [name, a] : accounts_) {
    while (!a.waiting.empty() && a.waiting.front().since + answer_timeout <= now) {
      ++counters_.unavailable;
      decisions_.push_back({a.waiting.front().id, permit_refusal{false, unavailable_retry_after}});
      a.waiting.pop_front();
    }
  }
  return std::exchange(decisions_, {});
}

std::optional<time_point> permit_store::next_time(time_point now) const {
  std::optional<time_point> next;
  const auto consider = [&](time_point at) {
    if (!next || at < *next) next = at;
  };
  if (!decisions_.empty()) consider(now);
  const bool can_ask = source_ != 0 && !in_flight_;
  bool has_waiting = false;
  for (const auto& [name, a] : accounts_) {
    if (!a.waiting.empty()) consider(a.waiting.front().since + answer_timeout);
    if (!a.waiting.empty() && can_ask) consider(std::max(now, a.ask_at));
    if (a.report_at && can_ask) consider(std::max(now, *a.report_at));
    has_waiting = has_waiting || !a.waiting.empty() || a.report_at;
  }
  if (in_flight_ && has_waiting) consider(in_flight_->sent_at + answer_timeout);
  return next;
}

boost::json::value permit_store::dump(time_point now) const {
  boost::json::array rows;
  for (const auto& [name, a] : accounts_) {
    std::uint32_t free = 0;
    for (const batch& b : a.free) free += b.expires > now ? b.count : 0;
    rows.push_back(boost::json::object{{"account", name},
                                       {"free", free},
                                       {"in_hand", a.in_hand},
                                       {"waiting", a.waiting.size()},
                                       {"over_limit", now < a.over_until}});
  }
  return boost::json::object{{"granted", counters_.granted},           {"spent", counters_.spent},
                             {"expired", counters_.expired},           {"returned", counters_.returned},
                             {"over_limit", counters_.over_limit},     {"unavailable", counters_.unavailable},
                             {"requests", counters_.requests},         {"unanswered", counters_.unanswered},
                             {"late_answers", counters_.late_answers}, {"accounts", std::move(rows)}};
}

}  // namespace heatherdeck

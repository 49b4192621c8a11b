// Tokens are neither created nor doubled except by `refill`: a grant and a loan deduct them first, a report of a node
// returns at most those that are still counted as outstanding, and a borrower keeps the room for a loan free from the
// moment it asks. Cost: O(nodes with permits of the account) for each account of a request.
#include "control/permit_granter.h"

#include <algorithm>
#include <cmath>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

// The bound that the limit promises in any window: (window * rate + burst) * (1 + overage) + slack.
constexpr double window_s = 5;
constexpr double overage = 0.1;
constexpr double slack = 20;
// A bucket must hold one whole token in spite of rounding, also where the share of the burst is less.
constexpr double min_capacity = 1.05;
constexpr double rounding = 1e-3;
constexpr double millionths = 1e6;

constexpr auto ask_again_wait = 30ms;  // a loan from another region takes 24 ms
constexpr auto min_over_limit_wait = 50ms;
constexpr auto max_over_limit_wait = 1000ms;
constexpr auto loan_timeout = 150ms;
constexpr auto loan_period = 20ms;          // of messages to one peer
constexpr auto account_loan_period = 40ms;  // of loans for one account
constexpr auto exhausted_period = 250ms;
constexpr auto unmet_memory = 60ms;  // a node asks again within this time
constexpr auto removed_memory = 5s;  // longer than the life of permits
constexpr double own_need_s = 0.25;  // demand of this long is not lent
constexpr double loan_ahead_s = 0.3;
constexpr double min_lent = 0.1;  // of what was asked for; with less, the others have nothing to lend
constexpr double peers_for_a_token = 2;
constexpr double min_willingness = 0.05;
constexpr double ahead_fraction = 0.5;  // of tokens and of outstanding permits that are kept for waiting requests
constexpr std::size_t max_dumped_accounts = 50;

double seconds(duration d) { return std::chrono::duration<double>(d).count(); }
duration from_seconds(double s) { return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s)); }
std::uint32_t whole(double tokens) { return tokens <= 0 ? 0 : static_cast<std::uint32_t>(tokens + rounding / 2); }

}  // namespace

double permit_granter::capacity(time_point now, const bucket& b) const {
  const double full = std::max(share(b.burst), min_capacity);
  // An earlier process of this host may have granted permits that are still outstanding and that this one does not
  // know: while they live, new permits and tokens together stay within the capacity.
  return now - b.created_at < permit_life ? std::max(0.0, full - b.issued_since_created) : full;
}

double permit_granter::max_outstanding(const bucket& b) const {
  const double rounding_up = std::max(0.0, min_capacity - share(b.burst));
  return std::max(0.0, share(overage * (window_s * b.rate + b.burst) + slack) - rounding_up);
}

void permit_granter::refill(time_point now, bucket& b) const {
  if (!grants(now)) {
    b.filled_at = now;
    return;
  }
  const double added = std::max(0.0, seconds(now - std::max(b.filled_at, waits_until_))) * share(b.rate);
  const double limit = std::max(0.0, capacity(now, b) - b.loan_asked);
  b.level = std::min(b.level + added, limit);
  b.filled_at = now;
}

void permit_granter::set_accounts(time_point now, const std::map<std::string, client_account>& accounts) {
  for (auto& [name, b] : accounts_) {
    if (divisor_ > 0) refill(now, b);
    const auto kept = accounts.find(name);
    const bool limited = kept != accounts.end() && kept->second.rate_per_s > 0;
    b.rate = limited ? kept->second.rate_per_s : 0;
    b.burst = limited ? kept->second.burst : 0;
    if (!limited && !b.removed_at) b.removed_at = now;
    if (!limited) b.level = 0;
    if (limited) b.removed_at.reset();
    if (divisor_ > 0) b.level = std::min(b.level, capacity(now, b));
  }
  for (const auto& [name, account] : accounts) {
    if (account.rate_per_s <= 0 || accounts_.contains(name)) continue;
    bucket& b = accounts_[name];
    b.rate = account.rate_per_s;
    b.burst = account.burst;
    b.filled_at = b.created_at = now;
  }
}

void permit_granter::set_membership(time_point now, std::size_t voters, bool is_voter, std::vector<std::string> peers) {
  if (voters == 0) return;
  peers_ = std::move(peers);
  if (!is_voter) seen_as_outsider_ = true;
  const bool admitted = is_voter && !is_voter_;
  if (admitted && seen_as_outsider_) waits_until_ = now + admission_wait;
  // Buckets fill from the moment from which this host may grant.
  if (admitted) {
    for (auto& [name, b] : accounts_) {
      b.level = 0;
      b.filled_at = b.created_at = now;
    }
  }
  for (auto& [name, b] : accounts_) {
    if (divisor_ > 0) refill(now, b);
  }
  is_voter_ = is_voter;
  divisor_ = std::max(divisor_, voters);
  for (auto& [name, b] : accounts_) b.level = std::min(b.level, capacity(now, b));
}

void permit_granter::expire_holdings(time_point now, bucket& b) {
  for (auto& [stream, held] : b.holdings) {
    if (now >= held.expires) counters_.expired += std::exchange(held.count, 0);
  }
  // The count of spent permits is needed for as long as the node may report on them.
  std::erase_if(b.holdings, [&](const auto& item) { return now >= item.second.expires + 10 * permit_life; });
}

double permit_granter::demand_at(time_point now, const bucket& b) {
  return b.demand * std::exp(-seconds(now - b.demand_at));
}

void permit_granter::note_demand(time_point now, bucket& b, double requests) const {
  b.demand = demand_at(now, b) + requests;
  b.demand_at = now;
}

// Takes over what the node reports. What it has neither spent nor holds will not be spent: it has expired there, or its
// answer came too late. It may return to the bucket as long as it is counted as outstanding here.
void permit_granter::settle(time_point now, bucket& b, std::uint64_t stream, const permit_demand& row) {
  if (row.held == 0 && row.spent == 0 && !b.holdings.contains(stream)) return;
  holding& held = b.holdings[stream];
  const std::uint64_t spent = row.spent - std::min(row.spent, held.spent);
  held.spent = std::max(held.spent, row.spent);
  counters_.spent += std::min<std::uint64_t>(spent, held.count);
  const std::uint64_t left = held.count - std::min<std::uint64_t>(held.count, spent);
  if (left > row.held) {
    const auto returned = static_cast<double>(left - row.held);
    counters_.returned += left - row.held;
    b.level = std::min(b.level + returned, std::max(b.level, capacity(now, b) - b.loan_asked));
  } else if (row.held > left) {
    held.expires = now + permit_life;
  }
  held.count = row.held;
}

void permit_granter::defer(time_point now, bucket& b, permit_grant& row, std::uint32_t unmet, bool few_tokens) {
  if (!few_tokens || (now >= b.exhausted_until && !peers_.empty())) {
    counters_.deferred += unmet;
    row.verdict = permit_verdict::ask_again;
    row.wait = ask_again_wait;
    if (few_tokens) {
      b.unmet = now < b.unmet_until ? b.unmet + unmet : unmet;
      b.unmet_until = now + unmet_memory;
    }
    return;
  }
  // Refused requests are told different times, in the order in which tokens come.
  counters_.refused += unmet;
  const double rate = share(b.rate);
  const time_point first = now + from_seconds(std::max(0.0, 1 - b.level) / rate);
  b.next_free = std::max(b.next_free, first);
  const double full_s = capacity(now, b) / rate;
  const duration longest = std::clamp<duration>(from_seconds(full_s / 2), 2 * min_over_limit_wait, max_over_limit_wait);
  b.next_free = std::min(b.next_free, now + longest);
  row.verdict = permit_verdict::over_limit;
  row.wait = std::chrono::ceil<milliseconds>(std::max<duration>(b.next_free - now, min_over_limit_wait));
  b.next_free += from_seconds(unmet / rate);
}

permit_grant permit_granter::grant(time_point now, bucket& b, std::uint64_t stream, const permit_demand& row) {
  permit_grant result{.account = row.account};
  double free = max_outstanding(b);
  for (const auto& [node, held] : b.holdings) free -= held.count;
  const std::uint32_t tokens = whole(b.level);
  const std::uint32_t places = whole(free);
  result.granted = std::min({row.waiting, tokens, places});
  const std::uint32_t unmet = row.waiting - result.granted;
  if (unmet > 0) {
    defer(now, b, result, unmet, tokens <= result.granted);
  } else if (row.ahead > 0) {
    const double spare_tokens = b.level - result.granted - ahead_fraction * capacity(now, b);
    const double spare_places = free - result.granted - ahead_fraction * max_outstanding(b);
    result.granted += std::min({row.ahead, whole(spare_tokens), whole(spare_places)});
  }
  result.scarce = free - result.granted < ahead_fraction * max_outstanding(b);
  note_demand(now, b, result.granted + (result.verdict == permit_verdict::over_limit ? unmet : 0));
  if (result.granted == 0) return result;
  b.level -= result.granted;
  if (now - b.created_at < permit_life) b.issued_since_created += result.granted;
  holding& held = b.holdings[stream];
  held.count += result.granted;
  held.expires = now + permit_life;
  counters_.granted += result.granted;
  return result;
}

permit_answer permit_granter::on_request(time_point now, std::uint64_t stream, const permit_request& request) {
  permit_answer answer{.id = request.id};
  for (const permit_demand& row : request.accounts) {
    const auto found = accounts_.find(row.account);
    if (found == accounts_.end() || found->second.rate <= 0 || !grants(now)) {
      // This host may have an older document than the node, or must not grant yet.
      if (row.waiting == 0) continue;
      counters_.deferred += row.waiting;
      answer.accounts.push_back({row.account, 0, permit_verdict::ask_again, ask_again_wait, false});
      continue;
    }
    bucket& b = found->second;
    refill(now, b);
    expire_holdings(now, b);
    settle(now, b, stream, row);
    if (row.waiting + row.ahead == 0) continue;
    permit_grant granted = grant(now, b, stream, row);
    if (row.waiting > 0 || granted.granted > 0) answer.accounts.push_back(std::move(granted));
  }
  return answer;
}

double permit_granter::wanted_level(time_point now, const bucket& b) const {
  const double soon = demand_at(now, b) * loan_ahead_s;
  if (b.unmet > 0 && now < b.unmet_until) return std::max(min_capacity, b.unmet + soon);
  return soon >= 1 ? soon : 0;
}

bool permit_granter::needs_loan(time_point now, const bucket& b) const {
  if (b.rate <= 0 || now < b.next_loan_at || now < b.exhausted_until) return false;
  const double wanted = std::min(wanted_level(now, b), capacity(now, b));
  if (wanted <= 0) return false;
  const double filled = b.level + b.loan_asked + seconds(now - b.filled_at) * share(b.rate);
  const bool waited_for = b.unmet > 0 && now < b.unmet_until;
  return filled < (waited_for ? wanted - rounding : wanted / 2);
}

// Several peers are asked for a part each, so that one round trip is enough: two for a single token, more for more, and
// all of them after a round that brought little. The room for all parts stays free until they arrive or are given up.
void permit_granter::ask_peers(time_point now, const std::string& account, bucket& b,
                               std::map<std::string, open_loan>& by_peer) {
  refill(now, b);
  const double need = std::min(wanted_level(now, b), capacity(now, b)) - b.level - b.loan_asked;
  if (need <= rounding) return;
  const auto enough = std::max<std::size_t>(2, static_cast<std::size_t>(std::ceil(peers_for_a_token * need)));
  const std::size_t count = b.ask_all ? peers_.size() : std::min(peers_.size(), enough);
  std::vector<std::pair<const std::string*, double>> asked;
  double total = 0;
  bool any_willing = false;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& peer = peers_[b.next_peer++ % peers_.size()];
    const double willing = b.willingness.try_emplace(peer, 1.0).first->second;
    asked.emplace_back(&peer, willing);
    total += willing;
    any_willing = any_willing || willing > 2 * min_willingness;
  }
  b.round_asks_all = count == peers_.size() && (b.round_open == 0 || b.round_asks_all);
  for (const auto& [peer, willing] : asked) {
    const double amount = std::floor(need * willing / total * millionths) / millionths;
    if (amount < rounding) continue;
    const bool counted = !any_willing || willing > 2 * min_willingness;
    by_peer[*peer].asked[account] = {amount, counted};
    b.loan_asked += amount;
    b.round_asked += amount;
    b.round_open += counted ? 1 : 0;
  }
  b.next_loan_at = now + account_loan_period;
  b.unmet = 0;  // a node whose requests still wait asks again
}

std::vector<std::pair<std::string, loan_message>> permit_granter::take_loan_requests(time_point now) {
  std::vector<std::pair<std::string, loan_message>> requests;
  expire_loans(now);
  if (!grants(now) || peers_.empty() || now < next_loans_at_) return requests;
  std::map<std::string, open_loan> by_peer;
  for (auto& [name, b] : accounts_) {
    if (needs_loan(now, b)) ask_peers(now, name, b, by_peer);
  }
  if (by_peer.empty()) return requests;
  next_loans_at_ = now + loan_period;
  for (auto& [peer, loan] : by_peer) {
    loan_message message{.id = next_loan_id_++};
    for (const auto& [name, part] : loan.asked) {
      message.accounts.push_back({name, static_cast<std::uint64_t>(std::llround(part.amount * millionths))});
    }
    loan.peer = peer;
    loan.deadline = now + loan_timeout;
    loans_.emplace(message.id, std::move(loan));
    requests.emplace_back(peer, std::move(message));
  }
  return requests;
}

loan_message permit_granter::on_loan_request(time_point now, const loan_message& request) {
  loan_message answer{.id = request.id};
  if (!grants(now)) return answer;
  for (const loan_row& row : request.accounts) {
    const auto found = accounts_.find(row.account);
    if (found == accounts_.end() || found->second.rate <= 0) continue;
    bucket& b = found->second;
    refill(now, b);
    const double spare = b.level - own_need_s * demand_at(now, b);
    const double asked = static_cast<double>(row.amount) / millionths;
    const double lent = std::floor(std::min(asked, spare) * millionths) / millionths;
    if (lent <= 0) continue;
    b.level -= lent;
    counters_.lent += lent;
    answer.accounts.push_back({row.account, static_cast<std::uint64_t>(std::llround(lent * millionths))});
  }
  return answer;
}

void permit_granter::close_loan(time_point now, const std::string& account, const loan_part& part, double lent,
                                const std::string& peer) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return;
  bucket& b = found->second;
  refill(now, b);
  b.loan_asked = std::max(0.0, b.loan_asked - part.amount);
  if (b.loan_asked < rounding / 10) b.loan_asked = 0;
  const double taken = b.rate > 0 ? std::min(lent, std::max(0.0, capacity(now, b) - b.loan_asked - b.level)) : 0;
  b.level += taken;
  b.round_received += taken;
  counters_.borrowed += taken;
  double& willing = b.willingness[peer];
  willing = lent >= part.amount * (1 - rounding) ? std::min(1.0, 2 * willing + 0.1)
                                                 : std::max(min_willingness, willing * lent / part.amount);
  if (!part.counted || --b.round_open > 0) return;
  if (b.round_asks_all && b.round_received < min_lent * b.round_asked) b.exhausted_until = now + exhausted_period;
  b.ask_all = b.round_received < b.round_asked / 2;
  b.round_asked = b.round_received = 0;
}

void permit_granter::on_loan_answer(time_point now, const std::string& peer, const loan_message& answer) {
  const auto loan = loans_.find(answer.id);
  if (loan == loans_.end() || loan->second.peer != peer || now >= loan->second.deadline) return;
  const auto asked = std::move(loan->second.asked);
  loans_.erase(loan);
  std::map<std::string, double> lent;
  for (const loan_row& row : answer.accounts) lent[row.account] = static_cast<double>(row.amount) / millionths;
  for (const auto& [name, part] : asked) close_loan(now, name, part, std::min(part.amount, lent[name]), peer);
}

void permit_granter::expire_loans(time_point now) {
  std::erase_if(loans_, [&](const auto& item) {
    if (now < item.second.deadline) return false;
    ++counters_.loans_lost;
    for (const auto& [name, part] : item.second.asked) close_loan(now, name, part, 0, item.second.peer);
    return true;
  });
}

std::optional<time_point> permit_granter::next_loan_time(time_point now) const {
  std::optional<time_point> next;
  const auto consider = [&](time_point at) {
    if (!next || at < *next) next = at;
  };
  for (const auto& [id, loan] : loans_) consider(loan.deadline);
  if (!grants(now) || peers_.empty()) return next;
  for (const auto& [name, b] : accounts_) {
    if (b.unmet == 0 || now >= b.unmet_until) continue;
    const time_point at = std::max({now, b.next_loan_at, b.exhausted_until, next_loans_at_});
    if (at < b.unmet_until) consider(at);
  }
  return next;
}

void permit_granter::tick(time_point now) {
  for (auto& [name, b] : accounts_) expire_holdings(now, b);
  std::erase_if(accounts_,
                [&](const auto& a) { return a.second.removed_at && now - *a.second.removed_at > removed_memory; });
}

boost::json::value permit_granter::dump(time_point now) const {
  boost::json::array rows;
  for (const auto& [name, b] : accounts_) {
    const double demand = demand_at(now, b);
    if (demand < 0.1 || rows.size() >= max_dumped_accounts) continue;
    std::uint64_t outstanding = 0;
    for (const auto& [stream, held] : b.holdings) outstanding += held.count;
    rows.push_back(boost::json::object{{"account", name},
                                       {"tokens", b.level},
                                       {"capacity", divisor_ > 0 ? capacity(now, b) : 0},
                                       {"rate", divisor_ > 0 ? share(b.rate) : 0},
                                       {"demand", demand},
                                       {"outstanding", outstanding},
                                       {"exhausted", now < b.exhausted_until}});
  }
  return boost::json::object{{"grants", grants(now)},          {"divisor", divisor_},
                             {"accounts", accounts_.size()},   {"granted", counters_.granted},
                             {"spent", counters_.spent},       {"returned", counters_.returned},
                             {"expired", counters_.expired},   {"refused", counters_.refused},
                             {"deferred", counters_.deferred}, {"lent", counters_.lent},
                             {"borrowed", counters_.borrowed}, {"loans_lost", counters_.loans_lost},
                             {"active", std::move(rows)}};
}

}  // namespace heatherdeck

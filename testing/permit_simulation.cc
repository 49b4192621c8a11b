// Events run in the order of their time. What a frozen node would do happens when it wakes, in the order in which it
// came. Clocks are exact: the bound does not depend on them beyond the order of a second.
#include "testing/permit_simulation.h"

#include <algorithm>
#include <cmath>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr double window_s = 5;
constexpr auto distribution_time = 2500ms;
constexpr auto hoard_period = 2600ms;  // half a window and a little more: a window sees two of the moments

duration from_seconds(double s) { return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s)); }
double to_seconds(duration d) { return std::chrono::duration<double>(d).count(); }
std::string name_of(std::size_t index) { return "a" + std::to_string(index); }
std::string host_name(std::size_t index) { return "c" + std::to_string(index); }

}  // namespace

permit_simulation::permit_simulation(const permit_simulation_options& options)
    : options_(options), random_(options.seed) {
  now_ = time_point{} + 1000s;
  end_ = now_ + options_.length;
  voters_ = options_.hosts;
  for (std::size_t i = 0; i < options_.accounts; ++i) {
    account a;
    // A few accounts are large.
    const double rate = std::floor(180 / std::pow(static_cast<double>(i + 1), 1.7) * (0.6 + uniform())) + 1;
    a.limit = {.name = name_of(i), .rate_per_s = rate, .burst = chance(0.8) ? rate : std::ceil(rate * uniform() * 2)};
    a.usual = rate / 1.6;
    a.zones.assign(options_.hosts, 1.0 / static_cast<double>(options_.hosts));
    a.perfect_at = now_;
    a.history.emplace_back(now_, a.limit);
    accounts_.push_back(std::move(a));
  }
  hosts_.resize(options_.hosts);
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    hosts_[i].voters = voters_;
    for (const account& a : accounts_) hosts_[i].limits[a.limit.name] = a.limit;
    start_host(i);
  }
  nodes_.resize(options_.nodes);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].zone = i % options_.hosts;
    nodes_[i].process = next_process_++;
    nodes_[i].store = std::make_unique<permit_store>();
    connect(i);
  }
}

void permit_simulation::at(time_point when, std::function<void()> action) { events_.emplace(when, std::move(action)); }

bool permit_simulation::reachable(std::size_t from_zone, std::size_t to_zone) const {
  return from_zone == to_zone || (from_zone != cut_zone_ && to_zone != cut_zone_);
}

duration permit_simulation::delay(std::size_t from_zone, std::size_t to_zone) {
  const double processing = 0.0005 + 0.002 * uniform() + (chance(0.01) ? 0.1 * uniform() : 0);
  const double network = from_zone == to_zone ? 0.0002 : from_zone / 2 == to_zone / 2 ? 0.0014 : 0.012;
  return from_seconds(network + processing);
}

void permit_simulation::start_host(std::size_t index) {
  host& h = hosts_[index];
  h.granter = std::make_unique<permit_granter>();
  h.process = next_process_++;
  h.granter->set_accounts(now_, h.limits);
  deliver_voters();
}

void permit_simulation::deliver_voters() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    host& h = hosts_[i];
    if (!h.granter) continue;
    std::vector<std::string> peers;
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      if (other != i && !hosts_[other].outsider && !hosts_[other].removed) peers.push_back(host_name(other));
    }
    h.granter->set_membership(now_, h.voters, !h.outsider, std::move(peers));
    pump_host(i);
  }
}

void permit_simulation::pump_host(std::size_t index) {
  host& h = hosts_[index];
  if (!h.granter) return;
  for (auto& [peer, request] : h.granter->take_loan_requests(now_)) {
    send_loan(index, static_cast<std::size_t>(std::stoul(peer.substr(1))), std::move(request));
  }
  const auto next = h.granter->next_loan_time(now_);
  if (!next || (h.wake_at > now_ && h.wake_at <= *next)) return;
  h.wake_at = std::max(*next, now_ + 1ms);
  at(h.wake_at, [this, index, process = h.process] {
    if (hosts_[index].process == process) pump_host(index);
  });
}

void permit_simulation::send_loan(std::size_t from, std::size_t to, loan_message request) {
  ++result_.loan_messages;
  const auto asker = hosts_[from].process;
  if (!reachable(from, to) || chance(loss_)) return;
  at(now_ + delay(from, to), [=, this] {
    if (!hosts_[to].granter || !reachable(from, to)) return;
    if (options_.lend_without_deducting) {
      at(now_ + delay(to, from), [=, this] {
        if (hosts_[from].process == asker && hosts_[from].granter)
          hosts_[from].granter->on_loan_answer(now_, host_name(to), request);
      });
      return;
    }
    loan_message answer = hosts_[to].granter->on_loan_request(now_, request);
    pump_host(to);
    ++result_.loan_messages;
    if (chance(loss_)) return;
    at(now_ + delay(to, from), [=, this] {
      if (hosts_[from].process != asker || !hosts_[from].granter || !reachable(from, to)) return;
      hosts_[from].granter->on_loan_answer(now_, host_name(to), answer);
      pump_host(from);
    });
  });
}

void permit_simulation::on_node(std::size_t index, std::uint64_t process, const std::function<void(node&)>& action) {
  node& n = nodes_[index];
  if (n.process != process) return;
  if (n.frozen_until > now_) {
    at(n.frozen_until, [=, this] { on_node(index, process, action); });
    return;
  }
  action(n);
  pump_node(index);
}

// The nearest host that runs and can be reached.
void permit_simulation::connect(std::size_t index) {
  node& n = nodes_[index];
  for (std::size_t step = 0; step < hosts_.size(); ++step) {
    const std::size_t to = (n.zone + step) % hosts_.size();
    if (!hosts_[to].granter || hosts_[to].outsider || !reachable(n.zone, to)) continue;
    n.source_host = to;
    n.source_process = hosts_[to].process;
    n.stream = next_stream_++;
    n.store->set_source(now_, n.stream);
    return;
  }
  at(now_ + 100ms,
     [this, index, process = n.process] { on_node(index, process, [=, this](node&) { connect(index); }); });
}

void permit_simulation::lose_stream(std::size_t index) {
  node& n = nodes_[index];
  if (n.stream == 0) return;
  n.stream = 0;
  n.store->set_source(now_, 0);
  at(now_ + from_seconds(0.02 + uniform()),
     [this, index, process = n.process] { on_node(index, process, [=, this](node&) { connect(index); }); });
}

void permit_simulation::pump_node(std::size_t index) {
  node& n = nodes_[index];
  for (auto decisions = n.store->take_decisions(now_); !decisions.empty(); decisions = n.store->take_decisions(now_)) {
    for (const permit_decision& d : decisions) {
      n.waiting.erase(d.waiter);
      if (const auto* drawn = std::get_if<permit>(&d.result)) {
        use(index, *drawn);
      } else {
        ++(std::get<permit_refusal>(d.result).over_limit ? result_.over_limit : result_.unavailable);
      }
    }
  }
  if (auto request = n.store->take_request(now_)) send_request(index, std::move(*request));
  const auto next = n.store->next_time(now_);
  if (!next || (n.wake_at > now_ && n.wake_at <= *next)) return;
  n.wake_at = std::max(*next, now_ + 1ms);
  at(n.wake_at, [this, index, process = n.process] { on_node(index, process, [](node&) {}); });
}

void permit_simulation::send_request(std::size_t index, permit_request request) {
  node& n = nodes_[index];
  ++result_.node_messages;
  const std::size_t to = n.source_host;
  const std::uint64_t stream = n.stream;
  const std::uint64_t process = n.process;
  if (!reachable(n.zone, to) || chance(loss_)) return;
  time_point& order = last_delivery_[2 * stream];
  order = std::max(order, now_ + delay(n.zone, to));
  at(order, [=, this, target = n.source_process] {
    host& h = hosts_[to];
    if (h.process != target || !h.granter || !reachable(nodes_[index].zone, to)) return;
    permit_answer answer = h.granter->on_request(now_, stream, request);
    pump_host(to);
    if (chance(loss_)) return;
    time_point& back = last_delivery_[2 * stream + 1];
    back = std::max(back, now_ + delay(to, nodes_[index].zone));
    at(back, [=, this] {
      if (!reachable(nodes_[index].zone, to)) return;
      on_node(index, process, [=, this](node& m) {
        if (m.stream == stream) m.store->apply(now_, answer);
      });
    });
  });
}

// Most requests are sent at once; some wait in a queue with their permit, and some are refused there.
void permit_simulation::use(std::size_t index, permit drawn) {
  ++accounts_[static_cast<std::size_t>(std::stoul(drawn.account.substr(1)))].admitted;
  time_point latest = drawn.expires - 1ms;
  if (options_.ignore_expiry) drawn.expires = latest = time_point::max();
  if (options_.hoard) {
    const time_point together = now_ + hoard_period - now_.time_since_epoch() % hoard_period;
    at(std::min(together, latest), [=, this, process = nodes_[index].process] {
      on_node(index, process, [=, this](node&) { let_through(index, drawn); });
    });
    return;
  }
  const double kind = uniform();
  if (kind < 0.9) return let_through(index, drawn);
  const bool refused = kind > 0.98;
  at(now_ + from_seconds(uniform() * (chance(0.05) ? 1.5 : 0.3)), [=, this, process = nodes_[index].process] {
    on_node(index, process, [=, this](node& n) {
      if (refused) {
        n.store->give_back(now_, drawn);
      } else {
        let_through(index, drawn);
      }
    });
  });
}

void permit_simulation::let_through(std::size_t index, const permit& used) {
  if (!nodes_[index].store->spend(now_, used)) return;
  account& a = accounts_[static_cast<std::size_t>(std::stoul(used.account.substr(1)))];
  a.sent.push_back(now_);
  ++result_.sent;
}

void permit_simulation::schedule_arrival(std::size_t account_index) {
  const account& a = accounts_[account_index];
  const double rate = std::max(0.1, a.usual * a.factor);
  at(now_ + from_seconds(std::exponential_distribution<>(rate)(random_)), [=, this] {
    arrive(account_index);
    schedule_arrival(account_index);
  });
}

void permit_simulation::arrive(std::size_t account_index) {
  account& a = accounts_[account_index];
  if (a.limit.rate_per_s <= 0) return;
  const std::size_t zone = std::discrete_distribution<std::size_t>(a.zones.begin(), a.zones.end())(random_);
  std::vector<std::size_t> of_zone;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].zone == zone && nodes_[i].frozen_until <= now_) of_zone.push_back(i);
  }
  if (of_zone.empty()) return;
  ++result_.arrived;
  a.perfect_level = std::min(a.limit.burst, a.perfect_level + to_seconds(now_ - a.perfect_at) * a.limit.rate_per_s);
  a.perfect_at = now_;
  if (a.perfect_level >= 1) {
    a.perfect_level -= 1;
    ++a.perfect;
  }
  const std::size_t index = of_zone[random_() % of_zone.size()];
  node& n = nodes_[index];
  const std::uint64_t waiter = next_waiter_++;
  permit_take taken = n.store->take(now_, a.limit.name, waiter);
  if (auto* drawn = std::get_if<permit>(&taken)) {
    use(index, *drawn);
  } else if (const auto* refused = std::get_if<permit_refusal>(&taken)) {
    ++(refused->over_limit ? result_.over_limit : result_.unavailable);
  } else {
    n.waiting[waiter] = a.limit.name;
  }
  pump_node(index);
}

void permit_simulation::deliver_limits() {
  const std::uint64_t document = next_document_++;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    std::map<std::string, client_account> limits;
    for (const account& a : accounts_) {
      if (a.limit.rate_per_s > 0) limits[a.limit.name] = a.limit;
    }
    at(now_ + from_seconds(0.02 + 2.4 * uniform() * uniform()), [=, this] {
      if (document <= hosts_[i].document) return;
      hosts_[i].document = document;
      hosts_[i].limits = limits;
      if (hosts_[i].granter) hosts_[i].granter->set_accounts(now_, limits);
    });
  }
}

void permit_simulation::inject_fault() {
  const std::size_t some_node = random_() % nodes_.size();
  const std::size_t some_host = random_() % hosts_.size();
  account& some_account = accounts_[random_() % accounts_.size()];
  node& n = nodes_[some_node];
  host& h = hosts_[some_host];
  switch (random_() % 8) {
    case 0:  // frozen, from a moment to beyond the end of its permits
      n.frozen_until = std::max(n.frozen_until, now_ + from_seconds(2.5 * uniform()));
      break;
    case 1:  // killed and restarted
      n.process = next_process_++;
      n.store = std::make_unique<permit_store>();
      n.waiting.clear();
      n.stream = 0;
      n.wake_at = time_point::max();
      at(now_ + 100ms,
         [=, this, process = n.process] { on_node(some_node, process, [=, this](node&) { connect(some_node); }); });
      break;
    case 2:  // a control host is killed and restarted
      if (!h.granter || h.outsider || h.removed) break;
      h.granter.reset();
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].source_host == some_host) {
          at(now_ + from_seconds(0.3 * uniform()),
             [=, this, process = nodes_[i].process] { on_node(i, process, [=, this](node&) { lose_stream(i); }); });
        }
      }
      at(now_ + from_seconds(0.05 + 2 * uniform()), [=, this] {
        if (!hosts_[some_host].granter && !hosts_[some_host].removed) start_host(some_host);
      });
      break;
    case 3:  // a zone is cut off with its control host and its nodes
      if (cut_zone_ != SIZE_MAX) break;
      cut_zone_ = some_host;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!reachable(nodes_[i].zone, nodes_[i].source_host)) {
          at(now_ + 1s,
             [=, this, process = nodes_[i].process] { on_node(i, process, [=, this](node&) { lose_stream(i); }); });
        }
      }
      at(now_ + from_seconds(3 * uniform()), [this] { cut_zone_ = SIZE_MAX; });
      break;
    case 4:  // messages are lost
      loss_ = 0.3 * uniform();
      at(now_ + from_seconds(2 * uniform()), [this] { loss_ = 0; });
      break;
    case 5: {  // the limit is lowered or raised, or the account is removed and added again
      if (some_account.limit.rate_per_s <= 0) break;
      const client_account before = some_account.limit;
      if (chance(0.4)) {
        some_account.limit.rate_per_s = 0;
        const auto index = static_cast<std::size_t>(&some_account - accounts_.data());
        at(now_ + from_seconds(3 * uniform()), [=, this] {
          accounts_[index].limit = before;
          accounts_[index].perfect_level = 0;
          accounts_[index].perfect_at = now_;
          deliver_limits();
        });
      } else {
        some_account.limit.rate_per_s = std::max(1.0, before.rate_per_s * (0.3 + uniform()));
        some_account.limit.burst = some_account.limit.rate_per_s;
        some_account.history.emplace_back(now_, some_account.limit);
      }
      deliver_limits();
      break;
    }
    case 6:  // the demand moves to one zone, and back
      std::fill(some_account.zones.begin(), some_account.zones.end(), 0.02);
      some_account.zones[some_host] = 1;
      at(now_ + 2s, [this, index = static_cast<std::size_t>(&some_account - accounts_.data())] {
        std::fill(accounts_[index].zones.begin(), accounts_[index].zones.end(), 1.0);
      });
      break;
    case 7:  // a host is removed for good and another one is admitted in its place
      if (h.removed || h.outsider || !h.granter || options_.hosts < 3) break;
      h.granter.reset();
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].source_host == some_host) lose_stream(i);
      }
      h.outsider = true;
      for (host& other : hosts_) other.voters = voters_ - 1;
      start_host(some_host);
      at(now_ + 2s, [=, this] {
        hosts_[some_host].outsider = false;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
          at(now_ + from_seconds(uniform()), [=, this] {
            hosts_[i].voters = voters_;
            deliver_voters();
          });
        }
        deliver_voters();
      });
      break;
    default:
      break;
  }
}

void permit_simulation::schedule_faults() {
  at(now_ + from_seconds(options_.fault_period_s * 2 * uniform()), [this] {
    inject_fault();
    schedule_faults();
  });
}

// The limit in force in a window is the largest one decided within it or not yet in force everywhere before it.
double permit_simulation::excess(const account& a) const {
  double worst = -1e9;
  std::size_t first = 0;
  for (std::size_t last = 0; last < a.sent.size(); ++last) {
    while (a.sent[last] - a.sent[first] >= from_seconds(window_s)) ++first;
    const time_point begins = a.sent[last] - from_seconds(window_s);
    double bound = 0;
    for (std::size_t i = 0; i < a.history.size(); ++i) {
      const auto& [decided, limit] = a.history[i];
      const bool superseded = i + 1 < a.history.size() && a.history[i + 1].first + distribution_time < begins;
      if (superseded || decided > a.sent[last]) continue;
      bound = std::max(bound, (window_s * limit.rate_per_s + limit.burst) * 1.1 + 20);
    }
    worst = std::max(worst, static_cast<double>(last - first + 1) - bound);
  }
  return worst;
}

permit_simulation_result permit_simulation::run() {
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    schedule_arrival(i);
    if (!chance(options_.overload)) continue;
    at(now_ + from_seconds(8 * uniform()), [=, this] { accounts_[i].factor = 5 + 3 * uniform(); });
    at(now_ + 14s, [=, this] { accounts_[i].factor = 1; });
  }
  if (options_.faults) schedule_faults();
  while (!events_.empty() && events_.begin()->first < end_) {
    auto next = events_.extract(events_.begin());
    now_ = std::max(now_, next.key());
    next.mapped()();
  }
  for (const account& a : accounts_) {
    result_.worst_excess = std::max(result_.worst_excess, excess(a));
    result_.below_limit += static_cast<std::uint64_t>(std::max<std::int64_t>(0, a.perfect - a.admitted));
  }
  return result_;
}

}  // namespace heatherdeck

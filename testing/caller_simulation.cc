// Discrete-event simulation. Every message between a caller, its node and another node is an event; the decisions are
// those of the production traffic_core at each node. Invariant: each pick is finished exactly once. The bound is the
// worth of the requests that fit into the capacity, the most valuable for their work first: no schedule earns more.
// Cost: O(log events) for each event.
#include "testing/caller_simulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "node/quarantine_core.h"
#include "testing/account_document.h"
#include "testing/worth_bound.h"
#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr double client_ms = 1;
constexpr double zone_ms = 0.2;
constexpr double region_ms = 1.4;
constexpr double remote_ms = 12;
constexpr std::size_t zones = 6;
constexpr std::size_t regions = 3;
constexpr std::uint32_t node_attempts = 3;    // of one node for one request, as exchange_core
constexpr std::uint32_t default_resends = 1;  // as exchange_core
constexpr double tick_ms = 200;
constexpr double quarantine_tick_ms = 1000;
constexpr double local_check_ms = 0.5;  // until an upstream on the same host has accepted or refused a connection
constexpr double settling_ms = 3000;    // time that the mesh has to act on what it has learned

struct request_state {
  std::size_t route = 0;
  std::size_t host = 0;
  std::optional<std::size_t> account;
  double first_sent_ms = 0;
  double work_ms = 0;
  bool crashing = false;
  request_fingerprint fingerprint;
  std::uint32_t tries = 0;  // of the caller
  // The present try:
  double received_ms = 0;
  double age_ms = 0;  // inferred by the first node
  std::uint32_t attempts = 0;
  std::uint32_t resends = 0;  // after an attempt that may have run
  std::vector<std::string> tried;
  std::uint64_t pick_id = 0;
  std::string target;
};

/// A request that an upstream is running.
struct run_state {
  std::shared_ptr<request_state> request;
  std::uint64_t pick_id = 0;  // of the upstream's node
  bool over_network = false;
  bool lost = false;  // the upstream has crashed
};

class caller_run {
 public:
  explicit caller_run(const caller_simulation_options& o)
      : o_(o), random_(o.seed), account_random_(o.seed ^ 0xACC0ULL), engine_(o.seed) {
    document_ = std::make_shared<compiled_document>();
    double mean_work = 0;
    for (const simulated_route& r : o.routes) {
      document_->routes.push_back({.name = r.name,
                                   .path_prefix = "/" + r.name + "/",
                                   .service = "gallery",
                                   .timeout = milliseconds(std::llround(r.timeout_ms)),
                                   .objective = milliseconds(std::llround(r.objective_ms)),
                                   .priority = r.priority,
                                   .idempotent = r.idempotent});
      result_.routes.push_back({.name = r.name});
      mean_work += r.share * r.work_ms;
    }
    document_->services["gallery"] = {.name = "gallery", .versions = {"v1"}, .shares = {{"v1", full_share}}};
    double speed_sum = 0;
    for (std::size_t i = 0; i < o.upstreams; ++i) {
      speeds_.push_back(o.speeds[i % o.speeds.size()]);
      speed_sum += speeds_.back();
    }
    std::vector<client_account> accounts;
    for (const simulated_account& a : o.accounts) {
      accounts.push_back({.name = a.name, .priority = a.priority});
      result_.accounts.push_back({.name = a.name});
    }
    if (!accounts.empty()) set_accounts(*document_, accounts);
    capacity_per_ms_ = speed_sum * o.slots / (mean_work * o.full_slowdown);
    for (std::size_t host = 0; host < o.hosts; ++host) {
      nodes_.push_back(std::make_unique<traffic_core>(traffic_identity{.node_id = node_id(host),
                                                                       .availability_zone = zone_of(host),
                                                                       .region = region_of(host),
                                                                       .seed = o.seed + host}));
      nodes_.back()->set_document(document_);
      nodes_.back()->set_members(members(o.upstreams), time());
      quarantines_.push_back(std::make_unique<quarantine_core>(
          quarantine_options{.mesh_address = node_id(host), .random_seed = o.seed * o.hosts + host + 1}));
      (void)quarantines_.back()->set_members(time(), members(o.upstreams));
    }
  }

  caller_result run() {
    const double end_ms = o_.seconds * 1000;
    const double rate = capacity_per_ms_ * o_.load;
    for (double at = exponential(1 / rate); at < end_ms; at += exponential(1 / rate)) add_request(at);
    for (const simulated_surge& surge : o_.surges) add_surge(surge, rate);
    if (o_.crashing_per_s > 0) {
      const double mean = 1000 / o_.crashing_per_s;
      for (double at = o_.crashing_from_s * 1000; at < end_ms; at += exponential(mean)) add_crashing_request(at);
    }
    for (double at = tick_ms; at < end_ms + 3000; at += tick_ms) push(at, [this] { tick(); });
    for (double at = quarantine_tick_ms; at < end_ms + 3000; at += quarantine_tick_ms) {
      push(at, [this] {
        for (std::size_t host = 0; host < o_.hosts; ++host) apply(host, quarantines_[host]->tick(time()));
      });
    }
    if (o_.lost_from_s > 0) push(o_.lost_from_s * 1000, [this] { set_upstreams(o_.upstreams / 2); });
    if (o_.outage_from_s > 0) {
      push(o_.outage_from_s * 1000, [this] { set_upstreams(0); });
      push((o_.outage_from_s + o_.outage_s) * 1000, [this] { set_upstreams(o_.upstreams); });
    }
    while (!events_.empty()) {
      now_ms_ = events_.top().at_ms;
      const auto action = events_.top().action;
      events_.pop();
      action();
    }
    finish_bound(end_ms);
    measure_limited_windows();
    return result_;
  }

 private:
  struct event {
    double at_ms = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const event& other) const { return std::tie(at_ms, order) > std::tie(other.at_ms, other.order); }
  };

  time_point time() const { return time_point{} + 1h + std::chrono::microseconds(std::llround(now_ms_ * 1000)); }
  double exponential(double mean) { return -mean * std::log(1 - random_.fraction()); }
  void push(double at, std::function<void()> action) { events_.push({at, next_order_++, std::move(action)}); }
  void after(double ms, std::function<void()> action) { push(now_ms_ + ms, std::move(action)); }

  static std::string node_id(std::size_t host) { return "n" + std::to_string(host); }
  static std::string zone_of(std::size_t host) { return "z" + std::to_string(host % zones); }
  static std::string region_of(std::size_t host) { return "r" + std::to_string(host % zones % regions); }
  static double distance_ms(std::size_t a, std::size_t b) {
    if (zone_of(a) == zone_of(b)) return zone_ms;
    return region_of(a) == region_of(b) ? region_ms : remote_ms;
  }

  std::vector<member_record> members(std::size_t upstreams) const {
    std::vector<member_record> rows;
    for (std::size_t host = 0; host < o_.hosts; ++host) {
      member_record row{.node_id = node_id(host),
                        .availability_zone = zone_of(host),
                        .region = region_of(host),
                        .mesh_address = node_id(host),
                        .incarnation = 1};
      if (host < upstreams) {
        row.endpoints = {{.service = "gallery",
                          .upstream_version = "v1",
                          .target = std::to_string(host),
                          .state = upstream_state::ready,
                          .slots = o_.slots,
                          .connections = 400}};
      }
      rows.push_back(std::move(row));
    }
    return rows;
  }

  void set_upstreams(std::size_t running) {
    for (auto& node : nodes_) node->set_members(members(running), time());
    for (std::size_t host = 0; host < o_.hosts; ++host) take_answers(host);
  }

  void tick() {
    for (std::size_t host = 0; host < o_.hosts; ++host) {
      nodes_[host]->tick(time());
      take_answers(host);
    }
  }

  template <typename Shares>
  static std::size_t draw_by_share(const Shares& shares, double drawn) {
    std::size_t index = 0;
    while (index + 1 < shares.size() && drawn >= shares[index].share) drawn -= shares[index++].share;
    return index;
  }

  void add_surge(const simulated_surge& surge, double rate) {
    if (surge.route) rate *= o_.routes[*surge.route].share;
    if (surge.account) rate *= o_.accounts[*surge.account].share;
    const double mean = 1 / (rate * (surge.factor - 1));
    for (double at = surge.from_s * 1000 + exponential(mean); at < surge.to_s * 1000; at += exponential(mean)) {
      add_request(at, surge.route, surge.account);
    }
  }

  void add_request(double at, std::optional<std::size_t> of_route = {}, std::optional<std::size_t> of_account = {}) {
    auto r = std::make_shared<request_state>();
    const double drawn = random_.fraction();
    r->route = of_route ? *of_route : draw_by_share(o_.routes, drawn);
    r->account = of_account;
    if (!of_account && !o_.accounts.empty()) r->account = draw_by_share(o_.accounts, account_random_.fraction());
    if (r->account) ++result_.accounts[*r->account].asked;
    const simulated_route& route = o_.routes[r->route];
    r->host = random_.below(o_.hosts);
    r->fingerprint.head = offered_.size() + 1;
    r->first_sent_ms = at;
    std::lognormal_distribution<double> work(std::log(route.work_ms) - route.spread * route.spread / 2, route.spread);
    r->work_ms = work(engine_);
    ++result_.routes[r->route].asked;
    result_.owed += route.worth;
    offered_.push_back({at, route.worth, route.late_worth, r->work_ms, route.objective_ms, route.deadline_ms});
    offered_means_.push_back(offered_.back());
    offered_means_.back().work_ms = route.work_ms;
    push(at + client_ms, [this, r] { arrive(r); });
  }

  // It earns nothing, so it is not among the requests asked.
  void add_crashing_request(double at) {
    auto r = std::make_shared<request_state>();
    r->crashing = true;
    r->host = random_.below(o_.hosts);
    r->first_sent_ms = at;
    push(at + client_ms, [this, r] { arrive(r); });
  }

  double time_left(const request_state& r) const {
    return o_.routes[r.route].deadline_ms - (now_ms_ - r.first_sent_ms);
  }

  request_attributes attributes(const request_state& r) const {
    const simulated_route& route = o_.routes[r.route];
    request_attributes a{.path = "/" + route.name + "/x", .method = route.idempotent ? "GET" : "POST"};
    a.fingerprint = r.fingerprint;
    if (r.account) {
      a.account = o_.accounts[*r.account].name;
      a.api_key = key_of_account(a.account);
    }
    // The caller states its time left when it sends, so a first attempt always states the whole deadline.
    const double stated = route.deadline_ms - (r.received_ms - client_ms - r.first_sent_ms);
    a.deadline = milliseconds(std::llround(stated - (now_ms_ - r.received_ms)));
    a.age = milliseconds(std::llround(now_ms_ - r.received_ms + r.age_ms));
    return a;
  }

  void arrive(const std::shared_ptr<request_state>& r) {
    ++r->tries;
    if (!r->crashing) ++result_.routes[r->route].attempts;
    r->received_ms = now_ms_;
    r->age_ms = 0;
    r->attempts = 0;
    r->resends = 0;
    r->tried.clear();
    attempt(r);
  }

  void attempt(const std::shared_ptr<request_state>& r) {
    request_attributes a = attributes(*r);
    a.attempt = r->attempts;
    a.tried_targets = r->tried;
    a.may_have_run = r->resends > 0;
    const std::size_t host = r->host;
    pick(host, a, [this, r](const pick_result& answer) {
      const auto* choice = std::get_if<upstream_choice>(&answer);
      if (choice == nullptr) return refuse(r, std::get<refusal>(answer).retry_after);
      ++r->attempts;
      r->age_ms += static_cast<double>(choice->elapsed_before_attempt.count());
      r->pick_id = choice->pick_id;
      r->target = choice->target;
      if (choice->local) return serve(r, r->host, choice->pick_id, choice->target_load, false);
      forward(r, *choice);
    });
  }

  // The attempt did not run.
  void retry_elsewhere(const std::shared_ptr<request_state>& r, milliseconds retry_after) {
    r->tried.push_back(r->target);
    if (r->attempts < node_attempts) return attempt(r);
    refuse(r, retry_after);
  }

  // The attempt may have run: the upstream's connection ended without a response.
  void fail(const std::shared_ptr<request_state>& r) {
    r->tried.push_back(r->target);
    const bool idempotent = o_.routes[r->route].idempotent;
    if (idempotent && r->resends++ < default_resends && r->attempts < node_attempts) return attempt(r);
    if (idempotent) return refuse(r, milliseconds::zero());  // the caller sends it again
    if (!r->crashing) ++result_.routes[r->route].failed;
  }

  void forward(const std::shared_ptr<request_state>& r, const upstream_choice& choice) {
    const std::size_t owner = std::stoul(choice.target);
    after(distance_ms(r->host, owner), [this, r, owner] {
      request_attributes a = attributes(*r);
      a.from_peer = true;
      a.service = "gallery";
      a.upstream_version = "v1";
      pick(owner, a, [this, r, owner](const pick_result& answer) {
        if (const auto* choice = std::get_if<upstream_choice>(&answer)) {
          return serve(r, owner, choice->pick_id, choice->target_load, true);
        }
        const refusal refused = std::get<refusal>(answer);
        after(distance_ms(r->host, owner), [this, r, refused] {
          finish(r->host, r->pick_id, call_outcome::not_executed, 0, refused.load);
          if (holds_everywhere(refused.reason)) return refuse(r, refused.retry_after);
          retry_elsewhere(r, refused.retry_after);
        });
      });
    });
  }

  void pick(std::size_t host, const request_attributes& a, std::function<void(const pick_result&)> then) {
    const std::uint64_t id = ++next_waiter_;
    const auto answer = nodes_[host]->pick(time(), a, id);
    if (answer) {
      then(*answer);
    } else {
      waiters_[host].emplace(id, std::move(then));
    }
    take_answers(host);
  }

  void take_answers(std::size_t host) {
    for (auto& [id, answer] : nodes_[host]->take_answers(time())) {
      auto waiter = waiters_[host].extract(id);
      if (!waiter.empty()) after(0, [then = std::move(waiter.mapped()), answer = std::move(answer)] { then(answer); });
    }
    const auto next = nodes_[host]->next_answer_time(time());
    if (!next) return;
    const double due_ms = now_ms_ + std::chrono::duration<double, std::milli>(*next - time()).count();
    double& armed_ms = answers_due_ms_[host];
    if (armed_ms > now_ms_ && armed_ms <= due_ms) return;
    armed_ms = due_ms;
    push(due_ms, [this, host] { take_answers(host); });
  }

  void finish(std::size_t host, std::uint64_t pick_id, call_outcome outcome, double latency_ms,
              const std::optional<load_report>& load, call_ending ending = call_ending::unknown,
              const request_fingerprint& request = {}) {
    nodes_[host]->finish(
        time(), {pick_id, outcome, std::chrono::microseconds(std::llround(latency_ms * 1000)), load, ending, request});
    for (const quarantine_message& report : nodes_[host]->take_quarantine_reports()) {
      if (const auto* lost = std::get_if<call_lost>(&report))
        apply(host, quarantines_[host]->on_call_lost(time(), *lost));
      if (const auto* answered = std::get_if<listed_call_answered>(&report)) {
        apply(host, quarantines_[host]->on_answered(time(), *answered));
      }
    }
    take_answers(host);
  }

  // The upstream of the check refuses connections while it is down.
  void apply(std::size_t host, const quarantine_output& out) {
    for (const upstream_check& wanted : out.checks) {
      after(local_check_ms, [this, host, target = wanted.target] {
        const bool refused = down_until_ms_[host] > now_ms_;
        apply(host, quarantines_[host]->on_checked(time(), {.target = target, .refused = refused}));
      });
    }
    for (const outgoing_quarantine_update& sent : out.updates) {
      const std::size_t to = std::stoul(sent.to.substr(1));
      after(distance_ms(host, to),
            [this, to, update = sent.update] { apply(to, quarantines_[to]->receive(time(), update)); });
    }
    if (!out.list_changed) return;
    nodes_[host]->set_quarantine(quarantines_[host]->list());
    take_answers(host);
  }

  // The upstream runs the request; it has a slot, as the admission queue of its node lets no more requests through.
  void serve(const std::shared_ptr<request_state>& r, std::size_t owner, std::uint64_t pick_id,
             const std::optional<load_report>& load, bool over_network) {
    if (down_until_ms_[owner] > now_ms_) return fail_to_connect(r, owner, pick_id, over_network);
    auto run = std::make_shared<run_state>(run_state{r, pick_id, over_network});
    running_[owner].push_back(run);
    const double slowdown = running_[owner].size() >= o_.slots ? o_.full_slowdown : 1;
    const double service_ms = r->work_ms * slowdown / speeds_[owner];
    const double started_ms = now_ms_;
    remote_runs_ += distance_ms(r->host, owner) == remote_ms ? 1 : 0;
    ++runs_;
    runs_at_[owner].push_back(now_ms_);
    if (r->crashing) {
      if (now_ms_ > third_crash_ms_ + settling_ms) ++result_.late_crashing_runs;
      return after(o_.crash_after_ms, [=, this] {
        if (!run->lost) crash(owner);
      });
    }
    after(service_ms, [=, this] {
      if (run->lost) return;
      std::erase(running_[owner], run);
      nodes_[owner]->report_statement(std::to_string(owner), {.rate_limit = stated_limit(owner)}, time());
      finish(owner, pick_id, call_outcome::ok, service_ms, load, call_ending::answered, r->fingerprint);
      const double back = over_network ? distance_ms(r->host, owner) : 0;
      after(back, [=, this] {
        if (over_network) finish(r->host, r->pick_id, call_outcome::ok, now_ms_ - started_ms, load);
        answer(r, service_ms);
      });
    });
  }

  // The connection is refused, so the request has not run.
  void fail_to_connect(const std::shared_ptr<request_state>& r, std::size_t owner, std::uint64_t pick_id,
                       bool over_network) {
    finish(owner, pick_id, call_outcome::connection_failed, 0, {});
    if (!over_network) return retry_elsewhere(r, milliseconds::zero());
    after(distance_ms(r->host, owner), [this, r] {
      finish(r->host, r->pick_id, call_outcome::not_executed, 0, {});
      retry_elsewhere(r, milliseconds::zero());
    });
  }

  // All requests that run at the upstream are lost, and it accepts no connections for a while.
  void crash(std::size_t owner) {
    if (++result_.crashes == 3) third_crash_ms_ = now_ms_;
    down_until_ms_[owner] = now_ms_ + o_.downtime_ms;
    for (const auto& run : std::exchange(running_[owner], {})) {
      run->lost = true;
      finish(owner, run->pick_id, call_outcome::connection_failed, 0, {}, call_ending::lost, run->request->fingerprint);
      if (!run->over_network) {
        fail(run->request);
        continue;
      }
      after(distance_ms(run->request->host, owner), [this, r = run->request] {
        finish(r->host, r->pick_id, call_outcome::upstream_error, 0, {});
        fail(r);
      });
    }
  }

  std::optional<double> stated_limit(std::size_t owner) const {
    if (now_ms_ < o_.limited_from_s * 1000 || owner >= o_.rate_limits.size() || o_.rate_limits[owner] <= 0) return {};
    return o_.rate_limits[owner];
  }

  void measure_limited_windows() {
    constexpr double window_ms = 4000;
    for (const auto& [owner, runs] : runs_at_) {
      if (owner >= o_.rate_limits.size() || o_.rate_limits[owner] <= 0) continue;
      const double tolerated = 1.5 * o_.rate_limits[owner] * window_ms / 1000 + 5;
      auto first = std::lower_bound(runs.begin(), runs.end(), o_.limited_from_s * 1000 + settling_ms);
      for (auto last = first; last != runs.end(); ++last) {
        while (*last - *first >= window_ms) ++first;
        result_.worst_limited_window =
            std::max(result_.worst_limited_window, static_cast<double>(last - first + 1) / tolerated);
      }
    }
  }

  void answer(const std::shared_ptr<request_state>& r, double service_ms) {
    const simulated_route& route = o_.routes[r->route];
    route_result& sum = result_.routes[r->route];
    const double latency = now_ms_ + client_ms - r->first_sent_ms;
    result_.work_ms += service_ms;
    if (r->account && latency <= route.deadline_ms) ++result_.accounts[*r->account].served;
    if (latency <= route.objective_ms) {
      ++sum.in_time;
      result_.earned += route.worth;
    } else if (latency <= route.deadline_ms) {
      ++sum.late;
      result_.earned += route.late_worth;
      result_.late_work_ms += service_ms;
    } else {
      ++sum.timed_out;
    }
  }

  void refuse(const std::shared_ptr<request_state>& r, milliseconds retry_after) {
    const double wait = std::min(static_cast<double>(retry_after.count()), time_left(*r) / 3);
    if (r->tries > o_.retries || time_left(*r) < 1) {
      if (!r->crashing) ++result_.routes[r->route].refused;
      return;
    }
    after(2 * client_ms + std::max(1.0, wait), [this, r] { arrive(r); });
  }

  void finish_bound(double end_ms) {
    double all = 0;
    double kept = 0;
    for (std::size_t i = 0; i < speeds_.size(); ++i) {
      all += speeds_[i] * o_.slots / o_.full_slowdown;
      if (i < o_.upstreams / 2) kept += speeds_[i] * o_.slots / o_.full_slowdown;
    }
    std::vector<capacity_step> capacity{{0, all}};
    if (o_.lost_from_s > 0) capacity.push_back({o_.lost_from_s * 1000, kept});
    if (o_.outage_from_s > 0) {
      capacity.push_back({o_.outage_from_s * 1000, 0});
      capacity.push_back({(o_.outage_from_s + o_.outage_s) * 1000, all});
    }
    result_.bound = bound_of(capacity, end_ms, offered_);
    result_.mean_bound = bound_of(capacity, end_ms, offered_means_);
    result_.remote_share = runs_ == 0 ? 0 : static_cast<double>(remote_runs_) / static_cast<double>(runs_);
  }

  double bound_of(const std::vector<capacity_step>& capacity, double end_ms,
                  const std::vector<offered_request>& offered) const {
    worth_bound bound(capacity, end_ms);
    for (const simulated_surge& surge : o_.surges) {
      bound.cut_at(surge.from_s * 1000);
      bound.cut_at(surge.to_s * 1000);
    }
    for (const offered_request& request : offered) bound.add(request);
    return bound.value();
  }

  const caller_simulation_options& o_;
  random_source random_;
  random_source account_random_;
  std::mt19937_64 engine_;
  std::shared_ptr<compiled_document> document_;
  std::vector<double> speeds_;
  std::vector<std::unique_ptr<traffic_core>> nodes_;
  std::vector<std::unique_ptr<quarantine_core>> quarantines_;  // of the same hosts
  std::map<std::size_t, std::map<std::uint64_t, std::function<void(const pick_result&)>>> waiters_;
  std::map<std::size_t, double> answers_due_ms_;                            // by host
  std::map<std::size_t, std::vector<std::shared_ptr<run_state>>> running_;  // by upstream
  std::map<std::size_t, double> down_until_ms_;                             // by upstream
  double third_crash_ms_ = std::numeric_limits<double>::infinity();
  std::map<std::size_t, std::vector<double>> runs_at_;  // start of each run in ms, by upstream
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<offered_request> offered_;
  std::vector<offered_request> offered_means_;  // the same with the mean work of their routes
  caller_result result_;
  double capacity_per_ms_ = 0;
  double now_ms_ = 0;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_waiter_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t remote_runs_ = 0;
};

}  // namespace

const route_result& caller_result::route(const std::string& name) const {
  return *std::find_if(routes.begin(), routes.end(), [&](const route_result& r) { return r.name == name; });
}

caller_result simulate_callers(const caller_simulation_options& options) { return caller_run(options).run(); }

}  // namespace heatherdeck

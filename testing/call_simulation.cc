// Discrete-event simulation: a priority queue of events (arrival, end of processing, response, timeout) drives targets
// and nodes. Invariant: every pick is finished exactly once, at the response or at the timeout, whichever is first.
// Cost: O(log events) for each event.
#include "testing/call_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>

#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t no_index = static_cast<std::size_t>(-1);
constexpr double network_ms = 1;

enum class event_kind { arrival, processed, answered, timed_out };

struct event {
  double at_ms = 0;
  event_kind kind = event_kind::arrival;
  std::size_t call = no_index;

  bool operator>(const event& other) const { return at_ms > other.at_ms; }
};

struct call_state {
  std::size_t node = 0;
  std::size_t phase = 0;
  std::size_t target = no_index;
  std::uint64_t pick_id = 0;
  double started_ms = 0;
  double service_ms = 0;
  bool reserved = false;
  bool completed = false;  ///< the response has arrived or the call has timed out
  bool failed = false;
};

struct target_state {
  std::deque<std::size_t> queue;
  std::uint32_t running = 0;
};

// Chooses targets for the calls of one node.
class call_chooser {
 public:
  virtual ~call_chooser() = default;
  virtual void choose(call_state& call, time_point now) = 0;
  virtual void finish(const call_state& call, const finish_call& result, time_point now) = 0;
};

class traffic_core_chooser : public call_chooser {
 public:
  traffic_core_chooser(const call_simulation_options& o, std::size_t node, time_point now)
      : core_({.node_id = "caller-" + std::to_string(node),
               .availability_zone = "z",
               .region = "r",
               .seed = o.seed + node}) {
    auto document = std::make_shared<compiled_document>();
    document->routes = {{.name = "all", .path_prefix = "/", .service = "orders"}};
    document->services["orders"] = {.name = "orders", .versions = {"v1"}, .shares = {{"v1", full_share}}};
    core_.set_document(document);
    std::vector<member_record> members;
    for (std::size_t t = 0; t < o.targets; ++t) {
      const endpoint_record endpoint{.service = "orders",
                                     .upstream_version = "v1",
                                     .target = std::to_string(t),
                                     .state = upstream_state::ready,
                                     .slots = o.slots,
                                     .connections = o.connections};
      members.push_back(
          {.node_id = "n" + std::to_string(t), .availability_zone = "z", .region = "r", .endpoints = {endpoint}});
    }
    core_.set_members(members, now);
  }
  void choose(call_state& call, time_point now) override {
    request_attributes attributes{.path = "/x", .method = call.reserved ? "POST" : "GET"};
    const pick_result answer = core_.pick(now, attributes);
    if (const auto* choice = std::get_if<upstream_choice>(&answer)) {
      call.target = std::stoul(choice->target);
      call.pick_id = choice->pick_id;
    }
  }
  void finish(const call_state& call, const finish_call& result, time_point now) override {
    finish_call with_pick_id = result;
    with_pick_id.pick_id = call.pick_id;
    core_.finish(now, with_pick_id);
  }

 private:
  traffic_core core_;
};

class balancer_chooser : public call_chooser {
 public:
  balancer_chooser(const call_simulation_options& o, std::size_t node, time_point)
      : options_(o), balancer_(o.seed + node), loads_(o.targets) {}
  void choose(call_state& call, time_point now) override {
    std::vector<balance_candidate> candidates;
    for (const load_estimate& load : loads_) {
      candidates.push_back({.load = &load, .slots = options_.slots, .connections = 1'000'000});
    }
    call.target = *balancer_.pick(candidates, now);
    ++loads_[call.target].own_in_flight;
  }
  void finish(const call_state& call, const finish_call& result, time_point now) override {
    --loads_[call.target].own_in_flight;
    if (result.load) loads_[call.target].apply_report(*result.load, now);
  }

 private:
  const call_simulation_options& options_;
  balancer balancer_;
  std::vector<load_estimate> loads_;
};

class round_robin_chooser : public call_chooser {
 public:
  round_robin_chooser(const call_simulation_options& o, std::size_t node, time_point)
      : targets_(o.targets), next_(node) {}
  void choose(call_state& call, time_point) override { call.target = next_++ % targets_; }
  void finish(const call_state&, const finish_call&, time_point) override {}

 private:
  std::size_t targets_;
  std::size_t next_;
};

using chooser_factory = std::unique_ptr<call_chooser> (*)(const call_simulation_options&, std::size_t, time_point);

template <class Chooser>
std::unique_ptr<call_chooser> make_chooser(const call_simulation_options& o, std::size_t node, time_point now) {
  return std::make_unique<Chooser>(o, node, now);
}

struct chooser_entry {
  call_policy policy;
  chooser_factory make;
};
constexpr std::array<chooser_entry, 3> choosers{{
    {call_policy::traffic_core, &make_chooser<traffic_core_chooser>},
    {call_policy::two_choices, &make_chooser<balancer_chooser>},
    {call_policy::round_robin, &make_chooser<round_robin_chooser>},
}};

class simulation_run {
 public:
  explicit simulation_run(const call_simulation_options& o) : options_(o), random_(o.seed), targets_(o.targets) {
    const auto& entry =
        *std::find_if(choosers.begin(), choosers.end(), [&](const auto& c) { return c.policy == o.policy; });
    for (std::size_t node = 0; node < o.nodes; ++node) nodes_.push_back(entry.make(o, node, time(0)));
    capacity_per_ms_ = static_cast<double>(o.targets) * o.slots / o.service_ms;
  }

  std::vector<phase_result> run() {
    double begin_ms = 0;
    for (std::size_t phase = 0; phase < options_.phases.size(); ++phase) {
      const call_phase& p = options_.phases[phase];
      results_.push_back(
          {.capacity = capacity_per_ms_ * p.seconds * 1000, .by_target = std::vector<std::uint64_t>(options_.targets)});
      latencies_.emplace_back();
      add_arrivals(phase, begin_ms, begin_ms + p.seconds * 1000, p.load);
      begin_ms += p.seconds * 1000;
    }
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ms_ = next.at_ms;
      handle(next);
    }
    for (std::size_t phase = 0; phase < results_.size(); ++phase) {
      auto& all = latencies_[phase];
      if (all.empty()) continue;
      const auto at = all.begin() + static_cast<std::ptrdiff_t>(all.size() * 99 / 100);
      std::nth_element(all.begin(), at, all.end());
      results_[phase].p99_ms = *at;
    }
    return results_;
  }

 private:
  static time_point time(double ms) { return time_point{} + 1h + std::chrono::microseconds(std::llround(ms * 1000)); }
  double exponential(double mean) { return -mean * std::log(1 - random_.fraction()); }

  void add_arrivals(std::size_t phase, double from, double to, double load) {
    for (double at = from + exponential(1 / (capacity_per_ms_ * load)); at < to;
         at += exponential(1 / (capacity_per_ms_ * load))) {
      call_state call{.node = random_.below(options_.nodes), .phase = phase};
      call.service_ms = options_.service_ms / 2 + exponential(options_.service_ms / 2);
      call.reserved = random_.fraction() < options_.reserved_fraction;
      events_.push({at, event_kind::arrival, calls_.size()});
      calls_.push_back(call);
    }
  }

  void handle(const event& e) {
    switch (e.kind) {
      case event_kind::arrival:
        return handle_arrival(e.call);
      case event_kind::processed:
        return handle_processed(e.call);
      case event_kind::answered:
        return complete(e.call, calls_[e.call].failed ? call_outcome::upstream_error : call_outcome::ok);
      case event_kind::timed_out:
        return complete(e.call, call_outcome::timeout);
    }
  }

  void handle_arrival(std::size_t index) {
    call_state& call = calls_[index];
    phase_result& result = results_[call.phase];
    ++result.offered;
    result.reserved_offered += call.reserved ? 1 : 0;
    call.started_ms = now_ms_;
    nodes_[call.node]->choose(call, time(now_ms_));
    if (call.target == no_index) {
      ++result.refused;
      result.reserved_refused += call.reserved ? 1 : 0;
      return;
    }
    ++result.by_target[call.target];
    events_.push({now_ms_ + options_.timeout_ms, event_kind::timed_out, index});
    if (static_cast<int>(call.target) == options_.failing_target) {
      call.failed = true;
      events_.push({now_ms_ + network_ms, event_kind::answered, index});
      return;
    }
    if (static_cast<int>(call.target) == options_.slow_target) call.service_ms *= 3;
    targets_[call.target].queue.push_back(index);
    start_processing(call.target);
  }

  void start_processing(std::size_t target) {
    target_state& t = targets_[target];
    while (t.running < options_.slots && !t.queue.empty()) {
      const std::size_t index = t.queue.front();
      t.queue.pop_front();
      if (calls_[index].completed) continue;
      ++t.running;
      events_.push({now_ms_ + calls_[index].service_ms, event_kind::processed, index});
    }
  }

  void handle_processed(std::size_t index) {
    const std::size_t target = calls_[index].target;
    --targets_[target].running;
    events_.push({now_ms_ + network_ms, event_kind::answered, index});
    start_processing(target);
  }

  void complete(std::size_t index, call_outcome outcome) {
    call_state& call = calls_[index];
    if (call.completed) return;
    call.completed = true;
    const double latency = now_ms_ - call.started_ms;
    if (outcome == call_outcome::ok) {
      ++results_[call.phase].good;
      latencies_[call.phase].push_back(latency);
    }
    finish_call result{.outcome = outcome, .latency = std::chrono::microseconds(std::llround(latency * 1000))};
    const target_state& t = targets_[call.target];
    if (outcome != call_outcome::timeout)
      result.load = load_report{t.running, static_cast<std::uint32_t>(t.queue.size())};
    nodes_[call.node]->finish(call, result, time(now_ms_));
  }

  const call_simulation_options& options_;
  random_source random_;
  std::vector<target_state> targets_;
  std::vector<std::unique_ptr<call_chooser>> nodes_;
  std::vector<call_state> calls_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<phase_result> results_;
  std::vector<std::vector<double>> latencies_;
  double capacity_per_ms_ = 0;
  double now_ms_ = 0;
};

}  // namespace

double phase_result::goodput() const {
  return static_cast<double>(good) / std::min(static_cast<double>(offered), capacity);
}

std::vector<phase_result> simulate_calls(const call_simulation_options& options) {
  return simulation_run(options).run();
}

}  // namespace heatherdeck

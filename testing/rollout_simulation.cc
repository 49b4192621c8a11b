// Calls are drawn one by one in ticks of 200 ms. One uniform number is compared with the failure probability with and
// without the version's fault, and one normal number gives the latency with and without it, so a call counts as
// affected only when it would have been good on the old version. Invariant: a policy sees the evidence, the planned
// times and where upstreams run, never the fault. Cost: about 50 ns per call.
#include "testing/rollout_simulation.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <random>

#include "control/rollout_planner.h"
#include "control/version_judge.h"
#include "traffic/random_source.h"
#include "traffic/version_circuit_breaker.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr double tick_s = 0.2;
constexpr int ticks_for_each_second = 5;
constexpr int ticks_until_effective = 3;
constexpr double latency_sigma = 0.6;
constexpr double quantile_95 = 1.645;
constexpr std::array<double, simulated_routes> route_parts{0.60, 0.29, 0.10, 0.01};
const std::array<std::string, simulated_routes> route_names{"lookup", "book", "manual", "rare"};
const std::array<std::string, simulated_zones> zone_names{"dar-1", "dar-2", "mwa-1", "mwa-2", "kig-1", "kig-2"};
const std::string service_name_text = "certdesk";

using zone_rows = std::array<std::array<std::array<evidence_row, simulated_routes>, 2>, simulated_zones>;

struct policy_decision {
  std::optional<basis_points> share;
  std::optional<rollout_status> status;
  std::string reason;
};

struct second_view {
  time_point now;
  basis_points share;
  rollout_status status;
  bool cut_recently;
  const zone_rows* rows;
};

// Decides once a second from the evidence of that second.
class rollout_policy {
 public:
  virtual ~rollout_policy() = default;
  virtual policy_decision decide(const second_view& view) = 0;
  virtual bool cuts_locally() const = 0;
};

class planned_policy : public rollout_policy {
 public:
  explicit planned_policy(const rollout_case& c)
      : case_(c),
        judge_("v1", "v2", {.windows = static_cast<std::size_t>((c.finish + c.watch).count())}),
        planner_(0.5) {
    input_.spec = {
        .service = service_name_text, .from = "v1", .to = "v2", .finish_within = c.finish, .watch_period = c.watch};
    input_.started = time_point{} + 1h;
    input_.last_step = input_.started;
    input_.warm_old = static_cast<std::size_t>(std::count(c.old_in.begin(), c.old_in.end(), true));
  }

  bool cuts_locally() const override { return true; }

  policy_decision decide(const second_view& view) override {
    for (std::size_t zone = 0; zone < simulated_zones; ++zone) {
      for (const auto& side : (*view.rows)[zone]) {
        for (const evidence_row& row : side) judge_.add(zone_names[zone], row);
      }
    }
    judge_.close_window();
    input_.now = view.now;
    input_.share = view.share;
    input_.status = view.status;
    const double elapsed = std::chrono::duration<double>(view.now - input_.started).count();
    input_.warm_new = elapsed < case_.warm_after_s
                          ? 0
                          : static_cast<std::size_t>(std::count(case_.new_in.begin(), case_.new_in.end(), true));
    input_.new_calls = judge_.calls_since_step().new_calls;
    input_.old_calls = judge_.calls_since_step().old_calls;
    input_.e_value = judge_.e_value();
    input_.threshold = judge_.threshold();
    input_.drift_detected = judge_.drift_detected();
    input_.cut_recently = view.cut_recently;
    const planner_decision step = planner_.next(input_);
    if (step.action == plan_action::wait) return {};
    if (step.action == plan_action::withdraw)
      return {0, rollout_status::rolled_back, step.reason + ": " + judge_.summary()};
    if (step.status == rollout_status::watching && view.status == rollout_status::running)
      input_.watching_since = view.now;
    if (step.share < view.share) ++input_.comparisons;
    if (step.share > view.share) judge_.reset_drift();
    input_.last_step = view.now;
    judge_.begin_step();
    return {step.share, step.status, step.reason};
  }

 private:
  const rollout_case& case_;
  version_judge judge_;
  rollout_planner planner_;
  planner_input input_;
};

// The baseline: five steps at fixed times; every ten seconds the failures and slow calls of the new version in these
// ten seconds are compared with fixed limits.
class fixed_policy : public rollout_policy {
 public:
  explicit fixed_policy(const rollout_case& c) : case_(c) {}

  bool cuts_locally() const override { return false; }

  policy_decision decide(const second_view& view) override {
    const double elapsed = seconds_++;
    for (const auto& zone : *view.rows) {
      for (const evidence_row& row : zone[1]) {
        calls_ += row.calls;
        failures_ += row.failures;
        for (std::size_t i = 6; i < latency_buckets; ++i) slow_ += row.latency[i];
      }
    }
    if (static_cast<int>(elapsed) % 10 == 9) {
      const bool enough = calls_ >= 50;
      if (enough && failures_ > limit * calls_) return {0, rollout_status::rolled_back, "failures over the limit"};
      if (enough && slow_ > slow_limit * calls_) return {0, rollout_status::rolled_back, "slow calls over the limit"};
      calls_ = failures_ = slow_ = 0;
    }
    const double finish = static_cast<double>(case_.finish.count());
    if (view.status == rollout_status::watching) {
      if (elapsed >= finish * 0.9 + static_cast<double>(case_.watch.count()))
        return {full_share, rollout_status::done, ""};
      return {};
    }
    if (elapsed < case_.warm_after_s) return {};
    const auto step = static_cast<std::size_t>(elapsed / (finish * 0.9) * 5);
    const basis_points share = step >= 5 ? full_share : shares[step];
    if (share == view.share) return {};
    return {share, share == full_share ? rollout_status::watching : rollout_status::running, ""};
  }

 private:
  static constexpr double limit = 0.05;
  static constexpr double slow_limit = 0.2;
  static constexpr std::array<basis_points, 5> shares{100, 500, 1000, 2500, 5000};
  const rollout_case& case_;
  double seconds_ = 0;
  double calls_ = 0;
  double failures_ = 0;
  double slow_ = 0;
};

struct policy_entry {
  policy_kind kind;
  std::unique_ptr<rollout_policy> (*make)(const rollout_case&);
};
constexpr std::array<policy_entry, 2> policies{{
    {policy_kind::planned,
     [](const rollout_case& c) -> std::unique_ptr<rollout_policy> { return std::make_unique<planned_policy>(c); }},
    {policy_kind::fixed,
     [](const rollout_case& c) -> std::unique_ptr<rollout_policy> { return std::make_unique<fixed_policy>(c); }},
}};

class rollout_run {
 public:
  rollout_run(const rollout_case& c, policy_kind policy)
      : case_(c), random_(c.seed * 2654435761U + 17), engine_(c.seed) {
    policy_ = std::find_if(policies.begin(), policies.end(), [&](const auto& p) { return p.kind == policy; })->make(c);
    compiled_document document;
    document.rollout_progress[service_name_text] = {.service = service_name_text, .from = "v1", .to = "v2"};
    for (version_circuit_breaker& circuit_breaker : circuit_breakers_) circuit_breaker.set_document(document);
    for (std::size_t zone = 0; zone < simulated_zones; ++zone) {
      for (std::size_t side = 0; side < 2; ++side) {
        for (std::size_t route = 0; route < simulated_routes; ++route) {
          rows_[zone][side][route] = {service_name_text, side == 0 ? "v1" : "v2", route_names[route]};
        }
      }
    }
    zone_failure_.fill(1);
    zone_latency_.fill(0);
  }

  rollout_result run() {
    const double length = static_cast<double>((case_.finish + case_.watch).count());
    result_.calls = case_.calls_per_s * length;
    // A planned rollout may still be watching after its time; long after it nothing new can be learned.
    while (elapsed_ < length * 1.5 && !ended_) {
      tick();
      if (++ticks_ % ticks_for_each_second == 0) end_second();
    }
    result_.ended_s = elapsed_;
    return result_;
  }

 private:
  void tick() {
    const time_point now = virtual_now();
    if (pending_ticks_ > 0 && --pending_ticks_ == 0) effective_share_ = decided_share_;
    std::poisson_distribution<int> arrivals(case_.calls_per_s * tick_s);
    const int calls = arrivals(engine_);
    for (int i = 0; i < calls; ++i) call(now);
    if (policy_->cuts_locally()) {
      for (version_circuit_breaker& circuit_breaker : circuit_breakers_) {
        if (!circuit_breaker.close_window(now).empty()) last_cut_s_ = elapsed_;
      }
    }
    elapsed_ += tick_s;
  }

  void call(time_point now) {
    const std::size_t origin = random_.below(simulated_zones);
    const std::size_t route = draw_route();
    bool to_new = random_.below(full_share) < effective_share_;
    if (to_new && policy_->cuts_locally() && circuit_breakers_[origin].cut(service_name_text, "v2", now))
      to_new = false;
    const std::size_t zone = upstream_zone(origin, to_new ? case_.new_in : case_.old_in);
    double base = case_.base_failure * zone_failure_[zone];
    double log_ms = std::log(case_.median_ms) + zone_latency_[zone] + latency_sigma * normal_(engine_);
    if (random_.fraction() < paused_[zone][to_new ? 1 : 0]) log_ms += 3;
    if (disturbed(zone)) {
      base += case_.disturbed_failure;
      log_ms += 1;
    }
    double failing = base;
    double slowed = log_ms;
    if (to_new && faulty(route)) {
      failing += case_.fault_failure;
      slowed += std::log(case_.fault_slowdown);
    }
    const double draw = random_.fraction();
    const bool failed = draw < failing;
    const double usual_limit = std::log(case_.median_ms) + quantile_95 * latency_sigma;
    if ((failed && draw >= base) || (!failed && slowed > usual_limit && log_ms <= usual_limit))
      ++result_.affected_calls;
    evidence_row& row = rows_[zone][to_new ? 1 : 0][route];
    ++row.calls;
    row.failures += failed ? 1 : 0;
    if (!failed) ++row.latency[static_cast<std::size_t>(std::clamp(std::ceil(slowed / std::log(2.0)), 0.0, 7.0))];
    if (policy_->cuts_locally()) circuit_breakers_[origin].record(service_name_text, to_new ? "v2" : "v1", failed);
  }

  void end_second() {
    const policy_decision decision =
        policy_->decide({virtual_now(), decided_share_, status_, elapsed_ - last_cut_s_ < 20, &rows_});
    for (auto& zone : rows_) {
      for (auto& side : zone) {
        for (evidence_row& row : side) row.calls = row.failures = 0, row.latency = {};
      }
    }
    update_noise();
    if (!decision.share) return;
    decided_share_ = *decision.share;
    pending_ticks_ = ticks_until_effective;
    if (*decision.status == rollout_status::watching && status_ == rollout_status::running) {
      result_.done_in_time = elapsed_ <= static_cast<double>(case_.finish.count());
    }
    status_ = *decision.status;
    if (status_ == rollout_status::rolled_back) {
      for (int i = 0; i < ticks_until_effective; ++i) tick();
      result_.rolled_back = true;
      result_.done_in_time = false;
      result_.reason = decision.reason;
    }
    ended_ = status_ == rollout_status::rolled_back || status_ == rollout_status::done;
  }

  void update_noise() {
    if (case_.kind == fault_kind::quiet) return;
    for (std::size_t zone = 0; zone < simulated_zones; ++zone) {
      noise_[zone] = 0.9 * noise_[zone] + 0.3 * normal_(engine_);
      zone_failure_[zone] = std::exp(noise_[zone]);
      zone_latency_[zone] = 0.3 * noise_[zone];
      for (double& pause : paused_[zone]) pause = random_.fraction() < 1.0 / 90 ? 0.3 + 0.7 * random_.fraction() : 0;
    }
  }

  bool disturbed(std::size_t zone) const {
    if (case_.disturbed_for_s == 0) return false;
    const bool now = elapsed_ >= case_.disturbed_from_s && elapsed_ < case_.disturbed_from_s + case_.disturbed_for_s;
    return now && (case_.kind == fault_kind::shared_overload || zone == case_.disturbed_zone);
  }
  bool faulty(std::size_t route) const {
    const bool on_route = case_.fault_route < 0 || static_cast<std::size_t>(case_.fault_route) == route;
    return on_route && elapsed_ >= case_.fault_from_s && effective_share_ >= case_.fault_above_share * full_share;
  }
  std::size_t draw_route() {
    double drawn = random_.fraction();
    for (std::size_t i = 0; i + 1 < simulated_routes; ++i) {
      if (drawn < route_parts[i]) return i;
      drawn -= route_parts[i];
    }
    return simulated_routes - 1;
  }
  std::size_t upstream_zone(std::size_t origin, const std::array<bool, simulated_zones>& present) {
    std::size_t zone = origin;
    while (!present[zone]) zone = random_.below(simulated_zones);
    return zone;
  }
  time_point virtual_now() const {
    return time_point{} + 1h + std::chrono::duration_cast<duration>(std::chrono::duration<double>(elapsed_));
  }

  const rollout_case& case_;
  random_source random_;
  std::mt19937_64 engine_;
  std::normal_distribution<double> normal_;
  std::unique_ptr<rollout_policy> policy_;
  std::array<version_circuit_breaker, simulated_zones> circuit_breakers_;
  zone_rows rows_;
  std::array<double, simulated_zones> noise_{};
  std::array<double, simulated_zones> zone_failure_{};
  std::array<double, simulated_zones> zone_latency_{};
  std::array<std::array<double, 2>, simulated_zones> paused_{};
  double elapsed_ = 0;
  int ticks_ = 0;
  int pending_ticks_ = 0;
  basis_points decided_share_ = 0;
  basis_points effective_share_ = 0;
  rollout_status status_ = rollout_status::running;
  double last_cut_s_ = -1000;
  bool ended_ = false;
  rollout_result result_;
};

std::array<bool, simulated_zones> draw_zones(random_source& random, std::size_t count) {
  std::array<bool, simulated_zones> present{};
  for (std::size_t chosen = 0; chosen < count;) {
    const std::size_t zone = random.below(simulated_zones);
    chosen += present[zone] ? 0 : 1;
    present[zone] = true;
  }
  return present;
}

// What each kind of fault changes in a case.
using case_change = void (*)(rollout_case&, random_source&);
struct kind_entry {
  fault_kind kind;
  case_change change;
};

void disturb(rollout_case& c, random_source& random) {
  c.disturbed_from_s = static_cast<double>((c.finish + c.watch).count()) * 0.8 * random.fraction();
  c.disturbed_for_s = 20 + 60 * random.fraction();
  c.disturbed_failure = 0.1 + 0.6 * random.fraction();
  c.disturbed_zone = random.below(simulated_zones);
}

constexpr std::array<kind_entry, 9> kinds{{
    {fault_kind::quiet, [](rollout_case&, random_source&) {}},
    {fault_kind::noisy_fleet, [](rollout_case&, random_source&) {}},
    {fault_kind::faulty_zone, disturb},
    {fault_kind::shared_overload, disturb},
    {fault_kind::at_once,
     [](rollout_case& c, random_source& random) { c.fault_failure = std::pow(10, -1.3 + 1.3 * random.fraction()); }},
    {fault_kind::later,
     [](rollout_case& c, random_source& random) {
       c.fault_failure = std::pow(10, -1.3 + 1.3 * random.fraction());
       // The watch begins at two thirds of the finish time at the earliest; a fault after the watch cannot be detected.
       const double latest = 0.6 * static_cast<double>(c.finish.count()) + 0.75 * static_cast<double>(c.watch.count());
       c.fault_from_s = latest * random.fraction();
     }},
    {fault_kind::under_load,
     [](rollout_case& c, random_source& random) {
       c.fault_failure = 0.1 + 0.9 * random.fraction();
       c.fault_above_share = 0.1 + 0.8 * random.fraction();
     }},
    {fault_kind::one_route,
     [](rollout_case& c, random_source& random) {
       c.fault_failure = 0.3 + 0.7 * random.fraction();
       c.fault_route = static_cast<int>(random.below(simulated_routes));
     }},
    {fault_kind::slow,
     [](rollout_case& c, random_source& random) {
       c.fault_slowdown = 2 + 3 * random.fraction();
       c.fault_from_s = static_cast<double>(c.finish.count()) * 0.8 * random.fraction();
     }},
}};

}  // namespace

rollout_case make_case(fault_kind kind, std::uint64_t seed) {
  random_source random(seed * 1000003 + static_cast<std::uint64_t>(kind));
  rollout_case c;
  c.kind = kind;
  c.seed = seed;
  c.finish = std::chrono::seconds(300 + random.below(301));
  c.watch = std::chrono::seconds(150 + random.below(151));
  c.calls_per_s = 60 * std::pow(8, random.fraction());
  c.base_failure = std::pow(10, -3.5 + 2 * random.fraction());
  c.median_ms = 4 * std::pow(4, random.fraction());
  // Half of the fleets run both versions in every zone; in the others each version is in some zones only.
  const bool everywhere = random.below(2) == 0;
  c.old_in = draw_zones(random, everywhere ? simulated_zones : 3 + random.below(4));
  c.new_in = draw_zones(random, everywhere ? simulated_zones : 3 + random.below(4));
  c.warm_after_s = 5 + 25 * random.fraction();
  std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return k.kind == kind; })->change(c, random);
  return c;
}

rollout_result simulate(const rollout_case& c, policy_kind policy) { return rollout_run(c, policy).run(); }

rollout_summary run_rollouts(fault_kind kind, policy_kind policy, std::uint64_t first_seed, std::size_t rollouts) {
  rollout_summary sum{.kind = kind, .rollouts = rollouts};
  for (std::uint64_t seed = first_seed; seed < first_seed + rollouts; ++seed) {
    const rollout_case c = make_case(kind, seed);
    const rollout_result r = simulate(c, policy);
    const bool contained = r.rolled_back && r.affected_fraction() < 0.01;
    sum.rolled_back += r.rolled_back ? 1 : 0;
    sum.contained += contained ? 1 : 0;
    sum.done_in_time += r.done_in_time ? 1 : 0;
    sum.mean_affected += r.affected_fraction() / static_cast<double>(rollouts);
    sum.worst_affected = std::max(sum.worst_affected, r.affected_fraction());
    if (bad_version(kind) ? !contained : !r.done_in_time) sum.missed_seeds.push_back(seed);
  }
  return sum;
}

}  // namespace heatherdeck

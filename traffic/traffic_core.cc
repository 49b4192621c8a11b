// A pick goes through the steps document, route, deadline, retry budget, limit, version, upstream; the first step that
// fails is the reason of the refusal, and nothing is reserved before the last step but the limiter's slot, which is
// given back when no upstream is found. Invariants: every choice has one entry in `pending_` until its finish; a
// request from another node never leaves this host; a version with share 0 or a local cut is never chosen. Cost: one
// route look-up and O(upstreams of the drawn version) for each pick.
#include "traffic/traffic_core.h"

#include <algorithm>
#include <set>
#include <utility>

namespace heatherdeck {
namespace {

// A request with less time than this cannot wait for a retry elsewhere, so it may use the limiter's reserve.
constexpr std::chrono::milliseconds short_deadline{200};
constexpr std::chrono::milliseconds overloaded_retry_after{100};
constexpr std::chrono::milliseconds unavailable_retry_after{500};
constexpr double latency_step = 0.2;
// A failed call counts in the latency average as at least this multiple of the usual latency; without it the upstream
// that fails fastest would look best.
constexpr double failure_latency_ratio = 4;
constexpr double assumed_latency_ms = 10;

bool counts_as_failure(call_outcome outcome) {
  return outcome == call_outcome::upstream_error || outcome == call_outcome::timeout ||
         outcome == call_outcome::connection_failed;
}

}  // namespace

traffic_core::traffic_core(traffic_identity identity)
    : identity_(std::move(identity)), balancer_(identity_.seed), random_(identity_.seed ^ 0x5EEDULL) {}

void traffic_core::use(compiled_document_ptr document) {
  document_ = std::move(document);
  routes_ = route_table(document_);
  for (const auto& [name, spec] : document_->services) {
    service_traffic& traffic = services_[name];
    traffic.limiter.set_ceiling(spec.in_flight_limit);
    traffic.retries.set_ratio(spec.retry_ratio);
  }
  std::erase_if(services_,
                [&](const auto& s) { return s.second.upstreams == 0 && !document_->services.contains(s.first); });
  std::set<std::string_view> routes;
  for (const route_rule& rule : document_->routes) routes.insert(rule.name);
  std::erase_if(habits_, [&](const auto& habit) { return !routes.contains(habit.first); });
  splits_.set_document(*document_);
  evidence_.set_document(*document_);
  cutter_.set_document(*document_);
}

refusal traffic_core::refuse(refusal_reason reason) {
  ++counters_.refusals;
  std::chrono::milliseconds wait{0};
  if (reason == refusal_reason::overloaded) wait = overloaded_retry_after;
  if (reason == refusal_reason::no_upstream || reason == refusal_reason::no_document) wait = unavailable_retry_after;
  return {reason, wait};
}

traffic_core::route_facts traffic_core::facts_of(const route_rule* rule, const request_facts& facts) const {
  route_facts known{.idempotent = idempotent_method(facts.method)};
  if (rule == nullptr) return known;
  known.name = rule->name;
  known.timeout = rule->timeout;
  known.attempts = rule->attempts;
  known.priority = rule->priority;
  known.objective = rule->objective;
  known.idempotent = rule->idempotent.value_or(known.idempotent);
  return known;
}

pick_answer traffic_core::pick(time_point now, const request_facts& facts) {
  std::optional<pick_answer> answer = pick(now, facts, 0);
  return answer ? std::move(*answer) : pick_answer(refuse(refusal_reason::overloaded));
}

std::optional<pick_answer> traffic_core::pick(time_point now, const request_facts& facts, std::uint64_t waiter) {
  ++counters_.picks;
  if (!document_) return refuse(refusal_reason::no_document);
  if (facts.deadline && facts.deadline->count() <= 0) return refuse(refusal_reason::deadline);
  if (facts.from_peer) return pick_for_peer(now, facts, waiter);
  const route_rule* rule = routes_.match(facts);
  if (rule == nullptr) return refuse(refusal_reason::no_route);
  if (facts.attempt > 0 || !facts.deadline) return pick_by_route(now, facts, *rule, waiter);
  const auto gone = habits_[rule->name].time_gone(*facts.deadline);
  if (gone.count() == 0) return pick_by_route(now, facts, *rule, waiter);
  request_facts aged = facts;
  aged.age += gone;
  aged.time_gone = gone;
  return pick_by_route(now, aged, *rule, waiter);
}

std::optional<pick_answer> traffic_core::pick_for_peer(time_point now, const request_facts& facts,
                                                       std::uint64_t waiter) {
  if (stopping_) return refuse(refusal_reason::draining);
  const auto found = services_.find(facts.service);
  if (found == services_.end()) return refuse(refusal_reason::no_upstream);
  std::vector<std::shared_ptr<upstream>> local;
  bool draining = false;
  for (const auto& [name, members] : found->second.versions) {
    if (!facts.upstream_version.empty() && name != facts.upstream_version) continue;
    for (const auto& u : members) {
      if (u->locality != choice_reason::local) continue;
      draining = draining || u->endpoint.state == upstream_state::draining;
      if (u->usable) local.push_back(u);
    }
  }
  if (local.empty()) return refuse(draining ? refusal_reason::draining : refusal_reason::no_upstream);
  std::vector<balance_candidate> candidates;
  candidates.reserve(local.size());
  for (const auto& u : local) {
    candidates.push_back({.locality = choice_reason::local,
                          .load = &u->load,
                          .slots = u->endpoint.slots,
                          .connections = u->endpoint.connections});
  }
  const auto index = balancer_.pick(candidates, now);
  if (!index) return refuse(refusal_reason::overloaded);
  return enter_gate(now, {facts.service, facts_of(routes_.match(facts), facts), facts, local[*index], now, false},
                    waiter);
}

refusal traffic_core::refuse_full(const upstream& target) {
  refusal full = refuse(refusal_reason::overloaded);
  full.retry_after = target.gate.retry_after();
  full.load = load_report{target.gate.running(), static_cast<std::uint32_t>(target.gate.waiting())};
  return full;
}

// The upstream on this host takes no more than its slots; what can wait for one in time does.
std::optional<pick_answer> traffic_core::enter_gate(time_point now, waiting_pick asked, std::uint64_t waiter) {
  upstream& target = *asked.target;
  target.gate.set_slots(target.endpoint.slots);
  const auto patience =
      asked.facts.deadline ? std::min(asked.route.timeout, *asked.facts.deadline) : asked.route.timeout;
  const auto objective_left = asked.route.objective - std::min(asked.facts.age, asked.route.objective);
  const auto useful = asked.route.objective.count() > 0 ? std::min(objective_left, patience) : patience;
  const time_point deadline = asked.facts.deadline ? now + *asked.facts.deadline : time_point::max();
  const gate_request request{waiter, asked.route.name, asked.route.priority, now + useful, deadline};
  const gate_verdict verdict = target.gate.arrive(now, request);
  if (verdict == gate_verdict::run) {
    return reserve(asked.target, asked.service, asked.route, asked.facts, asked.limited);
  }
  if (verdict == gate_verdict::wait && waiter != 0) {
    waiting_.emplace(waiter, std::move(asked));
    return std::nullopt;
  }
  if (verdict == gate_verdict::wait) target.gate.withdraw(waiter);
  return refuse_full(target);
}

std::vector<std::pair<std::uint64_t, pick_answer>> traffic_core::take_answers(time_point now) {
  std::vector<std::pair<std::uint64_t, pick_answer>> answers;
  // An upstream that has ended, or was replaced under its key, has left the view together with its gate.
  std::erase_if(waiting_, [&](const auto& item) {
    const waiting_pick& asked = item.second;
    const auto known = upstreams_.find(asked.target->key);
    if (known != upstreams_.end() && known->second == asked.target) return false;
    if (asked.limited) services_[asked.service].limiter.abandon();
    answers.emplace_back(item.first, refuse(refusal_reason::draining));
    return true;
  });
  for (const auto& [key, u] : upstreams_) {
    if (u->locality != choice_reason::local) continue;
    const bool leaving = u->endpoint.state == upstream_state::draining;
    for (const std::uint64_t id : leaving ? u->gate.take_all() : u->gate.take_expired(now)) {
      const auto asked = waiting_.extract(id);
      if (asked.empty()) continue;
      if (asked.mapped().limited) services_[asked.mapped().service].limiter.abandon();
      answers.emplace_back(id, leaving ? refuse(refusal_reason::draining) : refuse_full(*u));
    }
    for (const std::uint64_t id : u->gate.take_ready()) {
      const auto found = waiting_.extract(id);
      if (found.empty()) {
        u->gate.leave({}, {});
        continue;
      }
      waiting_pick& asked = found.mapped();
      // The time spent waiting is gone from what the request has left.
      const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - asked.arrived);
      if (asked.facts.deadline) *asked.facts.deadline -= std::min(waited, *asked.facts.deadline);
      asked.route.timeout -= std::min(waited, asked.route.timeout);
      answers.emplace_back(id, reserve(asked.target, asked.service, asked.route, asked.facts, asked.limited));
    }
  }
  return answers;
}

std::optional<pick_answer> traffic_core::pick_by_route(time_point now, const request_facts& facts,
                                                       const route_rule& rule, std::uint64_t waiter) {
  std::string service = rule.service;
  if (!rule.split.empty()) service = facts.kept_service.empty() ? splits_.pick(rule) : facts.kept_service;
  const auto spec = document_->services.find(service);
  if (spec == document_->services.end()) return refuse(refusal_reason::no_upstream);
  service_traffic& traffic = services_[service];
  if (facts.attempt == 0) {
    traffic.retries.on_call(now);
  } else if (!traffic.retries.try_retry(now)) {
    return refuse(refusal_reason::retry_budget);
  }
  const route_facts route = facts_of(&rule, facts);
  const bool hurried = facts.deadline && *facts.deadline <= short_deadline;
  const work_class work = !route.idempotent || hurried ? work_class::reserved : work_class::ordinary;
  // Where a route states its objective, the gate of the upstream's own node admits by it. The adaptive limit takes the
  // mean latency of all routes of a service for its measure, which routes of 15 and of 360 ms make useless.
  if (route.objective.count() > 0 && !spec->second.in_flight_limit) {
    traffic.limiter.enter();
  } else if (!traffic.limiter.admit(work)) {
    return refuse(refusal_reason::overloaded);
  }
  std::vector<std::string> avoid = facts.avoid_targets;
  const balance_reach reach = rule.kind == route_kind::download ? balance_reach::near : balance_reach::free;
  std::shared_ptr<upstream> chosen = choose(now, spec->second, traffic, avoid, reach);
  if (!chosen) {
    traffic.limiter.abandon();
    // Upstreams that have been tried are there, but have no room now.
    return refuse(avoid.empty() ? refusal_reason::no_upstream : refusal_reason::overloaded);
  }
  if (chosen->locality != choice_reason::local) return reserve(std::move(chosen), service, route, facts, true);
  std::optional<pick_answer> entered = enter_gate(now, {service, route, facts, chosen, now, true}, waiter);
  if (!entered || std::holds_alternative<upstream_choice>(*entered)) return entered;
  // The own upstream is full; another one is asked before the caller is refused.
  avoid.push_back(chosen->endpoint.target);
  std::shared_ptr<upstream> other = choose(now, spec->second, traffic, avoid, reach);
  if (other && other->locality != choice_reason::local) {
    return reserve(std::move(other), service, route, facts, true);
  }
  traffic.limiter.abandon();
  return entered;
}

std::string traffic_core::draw_version(const std::vector<version_share>& shares) {
  std::uint64_t whole = 0;
  for (const version_share& s : shares) whole += s.share;
  if (whole == 0) return {};
  std::uint64_t drawn = random_.below(whole);
  for (const version_share& s : shares) {
    if (drawn < s.share) return s.upstream_version;
    drawn -= s.share;
  }
  return {};
}

std::shared_ptr<traffic_core::upstream> traffic_core::choose(time_point now, const service_spec& spec,
                                                             service_traffic& traffic,
                                                             const std::vector<std::string>& avoid,
                                                             balance_reach reach) {
  std::vector<version_share> left = spec.shares;
  for (bool first = true; !left.empty(); first = false) {
    const std::string drawn = draw_version(left);
    if (drawn.empty()) return nullptr;
    const std::string& name = version_behind(spec, traffic, drawn);
    if (!name.empty() && !cutter_.cut(spec.name, name, now)) {
      if (auto chosen = choose_of_version(now, traffic, name, avoid, reach)) return chosen;
    }
    if (first) ++counters_.shares_moved;
    std::erase_if(left, [&](const version_share& s) { return s.upstream_version == drawn; });
  }
  return nullptr;
}

// With open versions a version that nobody has ordered may be announced beside the one in service; the one that sorts
// first is taken for the one in service, unless a rollout has named it.
const std::string& traffic_core::version_behind(const service_spec& spec, const service_traffic& traffic,
                                                const std::string& share) const {
  static const std::string none;
  if (share != other_versions) return share;
  const auto rollout = document_->rollouts.find(spec.name);
  if (rollout != document_->rollouts.end() && traffic.versions.contains(rollout->second.from)) {
    return rollout->second.from;
  }
  const std::string* first = &none;
  for (const auto& [name, members] : traffic.versions) {
    const bool named =
        std::find(spec.named_versions.begin(), spec.named_versions.end(), name) != spec.named_versions.end();
    const bool usable = std::any_of(members.begin(), members.end(), [](const auto& u) { return u->usable; });
    if (named || !usable) continue;
    // Shorter names first: "v9" is older than "v10".
    if (first->empty() || std::pair(name.size(), name) < std::pair(first->size(), *first)) first = &name;
  }
  return *first;
}

std::shared_ptr<traffic_core::upstream> traffic_core::choose_of_version(time_point now, service_traffic& traffic,
                                                                        const std::string& name,
                                                                        const std::vector<std::string>& avoid,
                                                                        balance_reach reach) {
  const auto members = traffic.versions.find(name);
  if (members == traffic.versions.end()) return nullptr;
  std::vector<balance_candidate> candidates;
  std::vector<const std::shared_ptr<upstream>*> chosen_from;
  for (const auto& u : members->second) {
    if (!u->usable) continue;
    const auto standing = traffic.ejector.standing_of(u->key, now);
    if (standing == outlier_ejector::standing::ejected) continue;
    const bool tried = std::find(avoid.begin(), avoid.end(), u->endpoint.target) != avoid.end();
    candidates.push_back({.locality = u->locality,
                          .load = &u->load,
                          .latency_ms = u->latency_ms,
                          .weight = u->start.weight(now),
                          .slots = u->endpoint.slots,
                          .connections = u->endpoint.connections,
                          .suspect = u->suspect,
                          .tried = tried,
                          .refusing = standing == outlier_ejector::standing::avoided});
    chosen_from.push_back(&u);
  }
  const auto index = balancer_.pick(candidates, now, reach);
  return index ? *chosen_from[*index] : nullptr;
}

upstream_choice traffic_core::reserve(std::shared_ptr<upstream> chosen, const std::string& service,
                                      const route_facts& route, const request_facts& facts, bool limited) {
  upstream_choice choice;
  choice.ticket = next_ticket_++;
  choice.route = route.name;
  choice.service = service;
  choice.upstream_version = chosen->endpoint.upstream_version;
  choice.target = chosen->endpoint.target;
  choice.availability_zone = chosen->availability_zone;
  choice.node_id = chosen->node_id;
  choice.local = chosen->locality == choice_reason::local;
  choice.upstream_address = chosen->endpoint.address;
  choice.mesh_address = chosen->mesh_address;
  choice.reason = chosen->locality;
  choice.idempotent = route.idempotent;
  choice.attempts = route.attempts;
  choice.time_gone = facts.time_gone;
  choice.timeout = facts.deadline ? std::min(route.timeout, *facts.deadline) : route.timeout;
  ++chosen->load.own_in_flight;
  if (choice.local) {
    choice.target_load = load_report{chosen->gate.running(), static_cast<std::uint32_t>(chosen->gate.waiting())};
  }
  pending_.emplace(choice.ticket, pending_call{service, route.name, std::move(chosen), choice.timeout, limited});
  return choice;
}

void traffic_core::finish(time_point now, const finish_call& result) {
  const auto found = pending_.find(result.ticket);
  if (found == pending_.end()) {
    ++counters_.late_finishes;
    return;
  }
  const pending_call call = std::move(found->second);
  pending_.erase(found);
  if (call.target->load.own_in_flight > 0) --call.target->load.own_in_flight;
  if (call.target->locality == choice_reason::local) {
    const bool tells = result.outcome == call_outcome::ok;
    call.target->gate.leave(call.route, tells ? duration(result.latency) : duration::zero());
  }
  if (result.load) call.target->load.report(*result.load, now);
  learn(now, call, result);
}

void traffic_core::learn(time_point now, const pending_call& call, const finish_call& result) {
  service_traffic& traffic = services_[call.service];
  upstream& target = *call.target;
  if (call.limited) traffic.limiter.finish(now, result.outcome, result.latency);
  const double measured_ms = static_cast<double>(result.latency.count()) / 1000.0;
  const double usual_ms =
      traffic.limiter.usual_latency_ms() > 0 ? traffic.limiter.usual_latency_ms() : assumed_latency_ms;
  const bool failed = counts_as_failure(result.outcome);
  traffic.ejector.record(target.key, result.outcome, failed && measured_ms < usual_ms / 2, traffic.upstreams, now);
  if (failed || result.outcome == call_outcome::ok) {
    const double sample = failed ? std::max(measured_ms, failure_latency_ratio * usual_ms) : measured_ms;
    target.latency_ms =
        target.latency_ms == 0 ? sample : target.latency_ms + latency_step * (sample - target.latency_ms);
  }
  const bool local = target.locality == choice_reason::local;
  const std::string& name = target.endpoint.upstream_version;
  if (local) {
    evidence_.record(
        {call.service, name, call.route, result.outcome, result.latency, call.timeout, target.start.settling(now)});
  }
  // A failed connection to another node tells of that node or of the way to it, not of the version.
  const bool tells_of_version =
      result.outcome == call_outcome::ok || (failed && (local || result.outcome != call_outcome::connection_failed));
  if (call.limited && tells_of_version) cutter_.record(call.service, name, failed);
}

void traffic_core::report_local_load(const std::string& target, const load_report& load, time_point now) {
  const auto found = upstreams_.find(identity_.node_id + "/" + target);
  if (found != upstreams_.end()) found->second->load.report(load, now);
}

std::vector<withdrawn_key> traffic_core::tick(time_point now) {
  std::vector<withdrawn_key> cut_now = cutter_.close_window(now);
  for (const withdrawn_key& cut : cut_now) evidence_.note_cut(cut);
  return cut_now;
}

}  // namespace heatherdeck

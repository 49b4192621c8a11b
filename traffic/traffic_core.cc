// A pick goes through the steps document, route, deadline, retry budget, limit, version, upstream; the first step that
// fails is the reason of the refusal, and nothing is reserved before the last step but the limiter's slot, which is
// given back when no upstream is found. Invariants: every choice has one entry in `pending_` until its finish; a
// request from another node never leaves this host; a version with share 0 or a local cut is never chosen. Cost: one
// route look-up and O(upstreams of the drawn version) for each pick.
#include "traffic/traffic_core.h"

#include <algorithm>
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

// Requests that the upstream on this host is given at a time: those it works on and as many again that wait there. An
// upstream may leave a request that it cannot queue without an answer, so this node refuses it before.
std::uint32_t local_capacity(const endpoint_record& endpoint) {
  return std::min(endpoint.connections, 2 * std::max(endpoint.slots, 1U));
}

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
  known.idempotent = rule->idempotent.value_or(known.idempotent);
  return known;
}

pick_answer traffic_core::pick(time_point now, const request_facts& facts) {
  ++counters_.picks;
  if (!document_) return refuse(refusal_reason::no_document);
  if (facts.deadline && facts.deadline->count() <= 0) return refuse(refusal_reason::deadline);
  if (facts.from_peer) return pick_for_peer(now, facts);
  const route_rule* rule = routes_.match(facts);
  if (rule == nullptr) return refuse(refusal_reason::no_route);
  return pick_by_route(now, facts, *rule);
}

pick_answer traffic_core::pick_for_peer(time_point now, const request_facts& facts) {
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
                          .connections = local_capacity(u->endpoint)});
  }
  const auto index = balancer_.pick(candidates, now);
  if (!index) return refuse(refusal_reason::overloaded);
  return reserve(local[*index], facts.service, facts_of(routes_.match(facts), facts), facts, false);
}

pick_answer traffic_core::pick_by_route(time_point now, const request_facts& facts, const route_rule& rule) {
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
  if (!traffic.limiter.admit(!route.idempotent || hurried ? work_class::reserved : work_class::ordinary)) {
    return refuse(refusal_reason::overloaded);
  }
  std::shared_ptr<upstream> chosen = choose(now, spec->second, traffic, facts.avoid_target);
  if (!chosen) {
    traffic.limiter.abandon();
    return refuse(refusal_reason::no_upstream);
  }
  return reserve(std::move(chosen), service, route, facts, true);
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
                                                             const std::string& avoid_target) {
  std::vector<version_share> left = spec.shares;
  for (bool first = true; !left.empty(); first = false) {
    const std::string drawn = draw_version(left);
    if (drawn.empty()) return nullptr;
    const std::string& name = version_behind(spec, traffic, drawn);
    if (!name.empty() && !cutter_.cut(spec.name, name, now)) {
      if (auto chosen = choose_of_version(now, traffic, name, avoid_target)) return chosen;
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
    const bool named = std::find(spec.named_versions.begin(), spec.named_versions.end(), name) != spec.named_versions.end();
    const bool usable = std::any_of(members.begin(), members.end(), [](const auto& u) { return u->usable; });
    if (named || !usable) continue;
    // Shorter names first: "v9" is older than "v10".
    if (first->empty() || std::pair(name.size(), name) < std::pair(first->size(), *first)) first = &name;
  }
  return *first;
}

std::shared_ptr<traffic_core::upstream> traffic_core::choose_of_version(time_point now, service_traffic& traffic,
                                                                        const std::string& name,
                                                                        const std::string& avoid_target) {
  const auto members = traffic.versions.find(name);
  if (members == traffic.versions.end()) return nullptr;
  std::vector<balance_candidate> candidates;
  std::vector<const std::shared_ptr<upstream>*> chosen_from;
  for (const auto& u : members->second) {
    if (!u->usable) continue;
    const auto standing = traffic.ejector.standing_of(u->key, now);
    if (standing == outlier_ejector::standing::ejected) continue;
    const bool avoid = u->suspect || standing == outlier_ejector::standing::avoided ||
                       (!avoid_target.empty() && u->endpoint.target == avoid_target);
    candidates.push_back({.locality = u->locality,
                          .load = &u->load,
                          .latency_ms = u->latency_ms,
                          .weight = u->start.weight(now),
                          .slots = u->endpoint.slots,
                          .connections = u->locality == choice_reason::local ? local_capacity(u->endpoint)
                                                                             : u->endpoint.connections,
                          .avoid = avoid});
    chosen_from.push_back(&u);
  }
  const auto index = balancer_.pick(candidates, now);
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
  choice.timeout = facts.deadline ? std::min(route.timeout, *facts.deadline) : route.timeout;
  ++chosen->load.own_in_flight;
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
        {call.service, name, call.route, result.outcome, result.latency, call.timeout, target.start.cold(now)});
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

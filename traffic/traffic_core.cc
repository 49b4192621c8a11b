// A pick passes through the stages of traffic_core_stages.cc. Here is what they share: the policy of a route, the
// choice of a version and an upstream, the admission queue of the upstream on this host, and the results of calls.
// Invariants: every choice has one entry in `pending_` until its finish; a version with share 0 or a local cut is never
// chosen. Cost: O(upstreams of the drawn version) for each pick.
#include "traffic/traffic_core.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace heatherdeck {
namespace {

constexpr std::chrono::milliseconds overloaded_retry_after{100};
constexpr std::chrono::milliseconds unavailable_retry_after{500};
// Objectives are usually a small multiple of the service time; assumed for an upstream that has not answered yet.
constexpr int assumed_objective_per_service_time = 3;
constexpr double latency_ewma_weight = 0.2;
// A failed call enters the latency average as at least this multiple of the baseline latency; otherwise the upstream
// that fails fastest would look best.
constexpr double failure_latency_ratio = 4;
constexpr double default_latency_ms = 10;

bool counts_as_failure(call_outcome outcome) {
  return outcome == call_outcome::upstream_error || outcome == call_outcome::timeout ||
         outcome == call_outcome::connection_failed;
}

// The node of a crashed upstream answers for the lost calls at once, and reports the crash after its check, so the
// report reaches the first node later than the failure.
constexpr duration crash_report_wait = std::chrono::milliseconds(5);

}  // namespace

traffic_core::traffic_core(traffic_identity identity)
    : identity_(std::move(identity)), balancer_(identity_.seed), random_(identity_.seed ^ 0x5EEDULL) {}

void traffic_core::set_document(compiled_document_ptr document) {
  if (document_ && document->has_accounts) note_withdrawn_keys(document_->account_keys, document->account_keys);
  document_ = std::move(document);
  document_changed_ = true;
  routes_ = route_table(document_);
  for (const auto& [name, spec] : document_->services) {
    service_state& traffic = services_[name];
    traffic.limiter.set_ceiling(spec.in_flight_limit);
    traffic.retries.set_ratio(spec.retry_ratio);
  }
  std::erase_if(services_,
                [&](const auto& s) { return s.second.upstreams == 0 && !document_->services.contains(s.first); });
  std::set<std::string_view> routes;
  for (const route_rule& rule : document_->routes) routes.insert(rule.name);
  for (auto& [name, traffic] : services_) {
    traffic.times.retain([&](const std::string& route) { return routes.contains(route); });
  }
  std::erase_if(retry_age_estimators_, [&](const auto& estimator) { return !routes.contains(estimator.first); });
  splits_.set_document(*document_);
  evidence_.set_document(*document_);
  circuit_breaker_.set_document(*document_);
}

void traffic_core::note_withdrawn_keys(const account_key_table& before, const account_key_table& after) {
  for (const auto& [id, attempt] : waiting_) {
    const std::optional<key_id>& key = attempt.route.account_key;
    if (key && before.contains(*key) && !after.contains(*key)) withdrawn_keys_.insert(*key);
  }
}

// Callers refused together, for example during an outage, do not come back together.
milliseconds traffic_core::spread(milliseconds wait) {
  if (wait.count() == 0) return wait;
  return milliseconds(std::llround(static_cast<double>(wait.count()) * (0.75 + 0.5 * random_.fraction())));
}

refusal traffic_core::refuse(refusal_reason reason) {
  ++counters_.refusals;
  std::chrono::milliseconds wait{0};
  if (reason == refusal_reason::overloaded) wait = overloaded_retry_after;
  if (reason == refusal_reason::no_upstream || reason == refusal_reason::no_document) wait = unavailable_retry_after;
  return {reason, spread(wait)};
}

traffic_core::route_policy traffic_core::route_policy_for(const route_rule* rule,
                                                          const request_attributes& attributes) const {
  route_policy policy{.idempotent = idempotent_method(attributes.method)};
  if (rule == nullptr) return policy;
  policy.name = rule->name;
  policy.timeout = rule->timeout;
  policy.attempts = rule->attempts;
  policy.priority = rule->priority;
  policy.route_priority = rule->priority;
  policy.objective = rule->objective;
  policy.idempotent = rule->idempotent.value_or(policy.idempotent);
  return policy;
}

pick_result traffic_core::pick(time_point now, const request_attributes& attributes) {
  std::optional<pick_result> answer = pick(now, attributes, 0);
  return answer ? std::move(*answer) : pick_result(refuse(refusal_reason::overloaded));
}

std::optional<pick_result> traffic_core::pick(time_point now, request_attributes attributes, std::uint64_t waiter_id) {
  ++counters_.picks;
  if (attributes.may_have_run && waiter_id != 0) {
    held_.emplace(waiter_id, held_attempt{std::move(attributes), now});
    return std::nullopt;
  }
  return run_stages({.now = now, .attributes = std::move(attributes), .waiter_id = waiter_id});
}

request_attributes traffic_core::after_wait(request_attributes attributes, duration waited) {
  const auto whole = std::chrono::ceil<milliseconds>(waited);
  attributes.age += whole;
  if (attributes.deadline) *attributes.deadline -= std::min(whole, *attributes.deadline);
  return attributes;
}

void traffic_core::pick_for_held(time_point now, std::vector<std::pair<std::uint64_t, pick_result>>& answers) {
  while (!held_.empty() && held_.begin()->second.arrived + crash_report_wait <= now) {
    auto held = held_.extract(held_.begin());
    if (auto answer = resume(now, held.key(), std::move(held.mapped()), std::nullopt)) {
      answers.emplace_back(held.key(), std::move(*answer));
    }
  }
}

std::optional<pick_result> traffic_core::resume(time_point now, std::uint64_t waiter_id, held_attempt attempt,
                                                std::optional<permit> drawn) {
  return run_stages({.now = now,
                     .attributes = after_wait(std::move(attempt.attributes), now - attempt.arrived),
                     .waiter_id = waiter_id,
                     .drawn = std::move(drawn)});
}

void traffic_core::start_draining(const heatherdeck::start_draining& stop) {
  stop_ = stop;
  for (const auto& [key, u] : upstreams_) u->admission.limit_waiting(stop.ends_at);
}

// Callers that cannot know of the stop yet send what they would send anyway, and nearly all of it ends within its
// objective. Later ones have other nodes, so they are served only where no slow call can outlast the drain.
bool traffic_core::may_be_broken_off(time_point now, const route_policy& route,
                                     const request_attributes& attributes) const {
  if (!stop_) return false;
  const auto limit = attributes.deadline ? std::min(route.timeout, *attributes.deadline) : route.timeout;
  // A late request was accepted only if its deadline is before the end, so its retries need no check of their own.
  if (now >= stop_->noticed_at && attributes.attempt == 0) return now + limit > stop_->ends_at;
  return route.objective.count() > 0 && now + std::min(limit, route.objective) > stop_->ends_at;
}

std::optional<pick_result> traffic_core::check_quarantine(const std::string& service,
                                                          const request_attributes& attributes) {
  if (quarantine_->services.empty()) return std::nullopt;
  if (attributes.body_unread && quarantine_->lists_head(service, attributes.fingerprint.head)) return body_required{};
  if (quarantine_->standing_of(service, attributes.fingerprint) != request_standing::quarantined) return std::nullopt;
  return refuse(refusal_reason::quarantined);
}

bool traffic_core::suspected(const std::string& service, const request_attributes& attributes) const {
  return quarantine_->standing_of(service, attributes.fingerprint) == request_standing::suspected;
}

std::optional<refusal> traffic_core::refuse_trial(time_point now, const queued_attempt& attempt) {
  const std::vector<request_fingerprint>& running = attempt.target->on_trial;
  if (running.empty() || !suspected(attempt.service, attempt.attributes)) return std::nullopt;
  refusal refused = refuse_overloaded(now, *attempt.target);
  const bool same = std::find(running.begin(), running.end(), attempt.attributes.fingerprint) != running.end();
  if (same) refused.reason = refusal_reason::on_trial;
  return refused;
}

void traffic_core::set_quarantine(quarantine_list_ptr list) {
  quarantine_ = std::move(list);
  quarantine_changed_ = true;
}

void traffic_core::refuse_quarantined_waiters(time_point now,
                                              std::vector<std::pair<std::uint64_t, pick_result>>& answers) {
  if (!std::exchange(quarantine_changed_, false)) return;
  std::erase_if(waiting_, [&](const auto& item) {
    const queued_attempt& attempt = item.second;
    const auto standing = quarantine_->standing_of(attempt.service, attempt.attributes.fingerprint);
    if (standing != request_standing::quarantined) return false;
    attempt.target->admission.cancel(item.first);
    give_back(now, attempt.drawn);
    if (attempt.limited) services_[attempt.service].limiter.release_unused();
    answers.emplace_back(item.first, refuse(refusal_reason::quarantined));
    return true;
  });
}

// A key that was withdrawn ends the wait of the requests that were sent with it: they are refused as not run. A key
// that this node has never known is that of a document that has not arrived yet. Requests without a key keep waiting.
void traffic_core::refuse_withdrawn_waiters(time_point now,
                                            std::vector<std::pair<std::uint64_t, pick_result>>& answers) {
  if (withdrawn_keys_.empty()) return;
  const std::set<key_id> withdrawn = std::exchange(withdrawn_keys_, {});
  std::erase_if(waiting_, [&](const auto& item) {
    const queued_attempt& attempt = item.second;
    if (!attempt.route.account_key || !withdrawn.contains(*attempt.route.account_key)) return false;
    attempt.target->admission.cancel(item.first);
    give_back(now, attempt.drawn);
    if (attempt.limited) services_[attempt.service].limiter.release_unused();
    ++counters_.withdrawn_keys;
    answers.emplace_back(item.first, refuse(refusal_reason::unauthenticated));
    return true;
  });
}

refusal traffic_core::refuse_overloaded(time_point now, const upstream& target) {
  refusal full = refuse(refusal_reason::overloaded);
  full.retry_after = target.admission.retry_after(now, random_.fraction());
  full.load = load_of(target, now);
  return full;
}

// Offers the attempt to the admission queue of the upstream on this host, which runs no more requests than it has
// slots. A request that waits is answered later by take_answers.
std::optional<pick_result> traffic_core::admit_locally(time_point now, queued_attempt attempt,
                                                       std::uint64_t waiter_id) {
  upstream& target = *attempt.target;
  if (auto refused = refuse_trial(now, attempt)) return *refused;
  target.admission.set_slots(target.endpoint.slots);
  update_rate_limit(target, now);
  if (target.load.reports_pace()) target.admission.set_pace(target.load.estimated_pace(now));
  const auto time_allowed = attempt.attributes.deadline ? std::min(attempt.route.timeout, *attempt.attributes.deadline)
                                                        : attempt.route.timeout;
  const auto objective_remaining = attempt.route.objective - std::min(attempt.attributes.age, attempt.route.objective);
  const auto time_to_objective =
      attempt.route.objective.count() > 0 ? std::min(objective_remaining, time_allowed) : time_allowed;
  const time_point deadline = attempt.attributes.deadline ? now + *attempt.attributes.deadline : time_point::max();
  const time_point process_end = stop_ ? stop_->ends_at : time_point::max();
  const admission_request request{.id = waiter_id,
                                  .route = attempt.route.name,
                                  .priority = attempt.route.priority,
                                  .objective = std::min(now + time_to_objective, process_end),
                                  .deadline = std::min(deadline, process_end),
                                  .assumed_service_time = attempt.route.objective / assumed_objective_per_service_time,
                                  .account = attempt.route.account,
                                  .route_priority = attempt.route.route_priority,
                                  // With accounts, only calls made by upstreams come without one.
                                  .nested = document_->has_accounts && attempt.route.account.empty()};
  const admission_decision decision = target.admission.admit(now, request);
  if (decision == admission_decision::run) {
    return reserve(now, attempt.target, attempt.service, attempt.route, attempt.attributes, attempt.limited);
  }
  if (decision == admission_decision::wait && waiter_id != 0) {
    waiting_.emplace(waiter_id, std::move(attempt));
    return std::nullopt;
  }
  if (decision == admission_decision::wait) target.admission.cancel(waiter_id);
  return refuse_overloaded(now, target);
}

std::vector<std::pair<std::uint64_t, pick_result>> traffic_core::take_answers(time_point now) {
  std::vector<std::pair<std::uint64_t, pick_result>> answers;
  // An upstream that has ended, or was replaced under its key, is no longer in the view, and neither is its queue.
  std::erase_if(waiting_, [&](const auto& item) {
    const queued_attempt& attempt = item.second;
    const auto known = upstreams_.find(attempt.target->key);
    if (known != upstreams_.end() && known->second == attempt.target) return false;
    give_back(now, attempt.drawn);
    if (attempt.limited) services_[attempt.service].limiter.release_unused();
    answers.emplace_back(item.first, refuse(refusal_reason::draining));
    return true;
  });
  refuse_quarantined_waiters(now, answers);
  move_unpermitted_waiters(now, answers);
  refuse_withdrawn_waiters(now, answers);
  pick_for_held(now, answers);
  for (const auto& [key, u] : upstreams_) {
    if (u->locality != locality_class::local) continue;
    update_rate_limit(*u, now);
    const bool draining = u->endpoint.state == upstream_state::draining;
    for (const std::uint64_t id : draining ? u->admission.take_all() : u->admission.take_expired(now)) {
      const auto attempt = waiting_.extract(id);
      if (attempt.empty()) continue;
      give_back(now, attempt.mapped().drawn);
      if (attempt.mapped().limited) services_[attempt.mapped().service].limiter.release_unused();
      answers.emplace_back(id, draining || stop_ ? refuse(refusal_reason::draining) : refuse_overloaded(now, *u));
    }
    for (const std::uint64_t id : u->admission.take_ready(now)) {
      const auto found = waiting_.extract(id);
      if (found.empty()) {
        u->admission.release({}, {});
        continue;
      }
      queued_attempt& attempt = found.mapped();
      std::optional<refusal> refused = refuse_trial(now, attempt);
      if (refused) give_back(now, attempt.drawn);
      if (!refused && !spend_or_replace(now, attempt.drawn)) refused = refuse_without_permit({});
      if (refused) {
        u->admission.release({}, {});
        if (attempt.limited) services_[attempt.service].limiter.release_unused();
        answers.emplace_back(id, *refused);
        continue;
      }
      // The time spent waiting is subtracted from the time that the request has left.
      const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.arrived);
      if (attempt.attributes.deadline) *attempt.attributes.deadline -= std::min(waited, *attempt.attributes.deadline);
      attempt.route.timeout -= std::min(waited, attempt.route.timeout);
      answers.emplace_back(
          id, reserve(now, attempt.target, attempt.service, attempt.route, attempt.attributes, attempt.limited));
    }
  }
  pick_with_permits(now, answers);
  return answers;
}

std::optional<time_point> traffic_core::next_answer_time(time_point now) const {
  std::optional<time_point> next;
  if (!held_.empty()) next = held_.begin()->second.arrived + crash_report_wait;
  if (const auto due = permits_.next_time(now + suspended_); due && (!next || *due - suspended_ < *next)) {
    next = *due - suspended_;
  }
  for (const auto& [key, u] : upstreams_) {
    const std::optional<time_point> start = u->admission.next_start(now);
    if (start && (!next || *start < *next)) next = start;
  }
  return next;
}

// The load that the node of another host reports is scaled for this already.
std::uint32_t traffic_core::slots_of(const upstream& u) {
  return u.locality == locality_class::local && u.admission.rate_limit()
             ? std::min(u.endpoint.slots, u.admission.effective_slots())
             : u.endpoint.slots;
}

std::string traffic_core::draw_version(const std::vector<version_share>& shares) {
  std::uint64_t total_share = 0;
  for (const version_share& s : shares) total_share += s.share;
  if (total_share == 0) return {};
  std::uint64_t drawn = random_.below(total_share);
  for (const version_share& s : shares) {
    if (drawn < s.share) return s.upstream_version;
    drawn -= s.share;
  }
  return {};
}

std::shared_ptr<traffic_core::upstream> traffic_core::choose_upstream(time_point now, const service_spec& spec,
                                                                      service_state& traffic,
                                                                      const choice_criteria& criteria) {
  const std::vector<std::string>& tried_targets = criteria.tried_targets;
  std::vector<version_share> remaining = spec.shares;
  // A request that an overloaded upstream of the old version has refused does not move to the version under rollout:
  // that one would get more than its share of what is served.
  const auto rollout = document_->rollout_progress.find(spec.name);
  if (!tried_targets.empty() && rollout != document_->rollout_progress.end() && rollout->second.active() &&
      tried_other_version(traffic, tried_targets, rollout->second.to)) {
    const auto is_new = [&](const version_share& s) { return s.upstream_version == rollout->second.to; };
    if (!std::all_of(remaining.begin(), remaining.end(), is_new)) std::erase_if(remaining, is_new);
  }
  for (bool first = true; !remaining.empty(); first = false) {
    const std::string drawn = draw_version(remaining);
    if (drawn.empty()) return nullptr;
    const std::string& name = resolve_version(spec, traffic, drawn);
    if (!name.empty() && !circuit_breaker_.cut(spec.name, name, now)) {
      if (auto chosen = choose_upstream_of_version(now, traffic, name, criteria)) return chosen;
    }
    if (first) ++counters_.shares_moved;
    std::erase_if(remaining, [&](const version_share& s) { return s.upstream_version == drawn; });
  }
  return nullptr;
}

bool traffic_core::tried_other_version(const service_state& traffic, const std::vector<std::string>& tried_targets,
                                       const std::string& upstream_version) const {
  return std::any_of(traffic.versions.begin(), traffic.versions.end(), [&](const auto& version) {
    if (version.first == upstream_version) return false;
    return std::any_of(version.second.begin(), version.second.end(), [&](const std::shared_ptr<upstream>& u) {
      return std::find(tried_targets.begin(), tried_targets.end(), u->endpoint.target) != tried_targets.end();
    });
  });
}

// Returns the version that a share applies to, or an empty name. This matters for other_versions: with open versions, a
// version that no rollout has asked for may be announced next to the one in service. The old version of the rollout is
// taken for the one in service; without it, the first usable version in name order that the document does not name.
const std::string& traffic_core::resolve_version(const service_spec& spec, const service_state& traffic,
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
        std::find(spec.explicit_versions.begin(), spec.explicit_versions.end(), name) != spec.explicit_versions.end();
    const bool usable = std::any_of(members.begin(), members.end(), [](const auto& u) { return u->usable; });
    if (named || !usable) continue;
    // Shorter names come first, because "v9" is older than "v10".
    if (first->empty() || std::pair(name.size(), name) < std::pair(first->size(), *first)) first = &name;
  }
  return *first;
}

std::shared_ptr<traffic_core::upstream> traffic_core::choose_upstream_of_version(time_point now, service_state& traffic,
                                                                                 const std::string& name,
                                                                                 const choice_criteria& criteria) {
  const std::vector<std::string>& tried_targets = criteria.tried_targets;
  const auto members = traffic.versions.find(name);
  if (members == traffic.versions.end()) return nullptr;
  if (criteria.on_trial) return choose_for_trial(members->second, criteria);
  std::vector<balance_candidate> candidates;
  std::vector<const std::shared_ptr<upstream>*> eligible;
  for (const auto& u : members->second) {
    if (!u->usable || !permitted(*u, criteria)) continue;
    const auto status = traffic.ejector.status_of(u->key, now);
    if (status == outlier_ejector::status::ejected) continue;
    const bool tried = std::find(tried_targets.begin(), tried_targets.end(), u->endpoint.target) != tried_targets.end();
    candidates.push_back({.locality = u->locality,
                          .load = &u->load,
                          .latency_ms = u->latency_ms,
                          .relative_time = u->relative_time,
                          .weight = u->warmup.weight(now),
                          .slots = slots_of(*u),
                          .connections = u->endpoint.connections,
                          .suspect = u->suspect,
                          .tried = tried,
                          .refusing = status == outlier_ejector::status::avoided});
    eligible.push_back(&u);
  }
  const auto index = balancer_.pick(candidates, now, criteria.spillover, traffic.placement);
  return index ? *eligible[*index] : nullptr;
}

// Rendezvous hashing: every node finds the same upstream for the copies of a request, without knowing of the others.
std::shared_ptr<traffic_core::upstream> traffic_core::choose_for_trial(
    const std::vector<std::shared_ptr<upstream>>& members, const choice_criteria& criteria) const {
  const auto tried = [&](const upstream& u) {
    const auto& targets = criteria.tried_targets;
    return std::find(targets.begin(), targets.end(), u.endpoint.target) != targets.end();
  };
  std::shared_ptr<upstream> best;
  std::uint64_t best_rank = 0;
  for (const auto& u : members) {
    if (!u->usable || u->suspect || tried(*u) || !permitted(*u, criteria)) continue;
    const std::uint64_t rank = rank_for(*criteria.on_trial, u->key);
    if (best && rank <= best_rank) continue;
    best = u;
    best_rank = rank;
  }
  return best;
}

// The load that other nodes are told of the upstream on this host.
load_report traffic_core::load_of(const upstream& own, time_point now) const {
  load_report load = own.admission.load();
  if (own.load.reports_pace()) load.pace = own.load.estimated_pace(now);
  return load;
}

upstream_choice traffic_core::reserve(time_point now, std::shared_ptr<upstream> chosen, const std::string& service,
                                      const route_policy& route, const request_attributes& attributes, bool limited) {
  upstream_choice choice;
  choice.pick_id = next_pick_id_++;
  choice.route = route.name;
  choice.service = service;
  choice.upstream_version = chosen->endpoint.upstream_version;
  choice.target = chosen->endpoint.target;
  choice.availability_zone = chosen->availability_zone;
  choice.node_id = chosen->node_id;
  choice.local = chosen->locality == locality_class::local;
  choice.upstream_address = chosen->endpoint.address;
  choice.mesh_address = chosen->mesh_address;
  choice.locality = chosen->locality;
  choice.idempotent = route.idempotent;
  choice.attempts = route.attempts;
  choice.elapsed_before_attempt = attributes.elapsed_before_attempt;
  choice.account = route.account;
  choice.remove_credentials = document_->has_accounts || !route.account.empty();
  choice.timeout = attributes.deadline ? std::min(route.timeout, *attributes.deadline) : route.timeout;
  ++chosen->load.own_in_flight;
  if (choice.local) {
    choice.target_load = load_of(*chosen, now);
    choice.statement = chosen->statement;
  }
  std::optional<request_fingerprint> on_trial;
  if (choice.local && suspected(service, attributes)) on_trial = attributes.fingerprint;
  if (on_trial) chosen->on_trial.push_back(*on_trial);
  pending_.emplace(choice.pick_id,
                   pending_call{service, route.name, std::move(chosen), choice.timeout, limited, on_trial});
  return choice;
}

void traffic_core::finish(time_point now, const finish_call& result) {
  const auto found = pending_.find(result.pick_id);
  if (found == pending_.end()) {
    ++counters_.late_finishes;
    return;
  }
  const pending_call call = std::move(found->second);
  pending_.erase(found);
  if (call.target->load.own_in_flight > 0) --call.target->load.own_in_flight;
  if (call.on_trial) {
    std::vector<request_fingerprint>& running = call.target->on_trial;
    running.erase(std::find(running.begin(), running.end(), *call.on_trial));
  }
  report_to_quarantine(call, result);
  if (call.target->locality == locality_class::local) {
    const bool has_service_time = result.outcome == call_outcome::ok;
    if (result.load && result.load->pace > 0) call.target->admission.set_pace(result.load->pace);
    call.target->admission.release(call.route, has_service_time ? duration(result.latency) : duration::zero());
  }
  if (result.load) {
    call.target->load.apply_report(*result.load, now);
    if (result.load->pace > 0) services_[call.service].placement = placement_policy::response_time;
  }
  record_result(now, call, result);
}

// An upstream that is leaving ends calls without having crashed.
void traffic_core::report_to_quarantine(const pending_call& call, const finish_call& result) {
  const upstream& target = *call.target;
  if (target.locality != locality_class::local) return;
  const bool leaving = target.statement.leaving || target.endpoint.state != upstream_state::ready;
  if (result.ending == call_ending::lost && !leaving) {
    quarantine_reports_.emplace_back(
        call_lost{call.service, target.endpoint.target, target.endpoint.address, result.request});
  }
  if (result.ending == call_ending::answered &&
      quarantine_->standing_of(call.service, result.request) != request_standing::clear) {
    quarantine_reports_.emplace_back(listed_call_answered{call.service, result.request});
  }
}

void traffic_core::record_result(time_point now, const pending_call& call, const finish_call& result) {
  service_state& traffic = services_[call.service];
  upstream& target = *call.target;
  if (call.limited) traffic.limiter.finish(now, result.outcome, result.latency);
  const double measured_ms = static_cast<double>(result.latency.count()) / 1000.0;
  const double baseline_ms =
      traffic.limiter.baseline_latency_ms() > 0 ? traffic.limiter.baseline_latency_ms() : default_latency_ms;
  const bool failed = counts_as_failure(result.outcome);
  traffic.ejector.record(target.key, result.outcome, failed && measured_ms < baseline_ms / 2, traffic.upstreams, now);
  if (failed || result.outcome == call_outcome::ok) {
    const double sample = failed ? std::max(measured_ms, failure_latency_ratio * baseline_ms) : measured_ms;
    target.latency_ms =
        target.latency_ms == 0 ? sample : target.latency_ms + latency_ewma_weight * (sample - target.latency_ms);
    const double pace = result.load ? result.load->pace : 0;
    const double relative = failed ? failure_latency_ratio : traffic.times.record(call.route, measured_ms, pace);
    target.relative_time += latency_ewma_weight * (std::min(relative, failure_latency_ratio) - target.relative_time);
  }
  const bool local = target.locality == locality_class::local;
  const std::string& name = target.endpoint.upstream_version;
  if (local) {
    evidence_.record({call.service, name, call.route, result.outcome, result.latency, call.timeout,
                      target.warmup.in_cold_start(now)});
  }
  // A failed connection to another node is a fault of that node or of the network, not of the version.
  const bool is_version_evidence =
      result.outcome == call_outcome::ok || (failed && (local || result.outcome != call_outcome::connection_failed));
  if (call.limited && is_version_evidence) circuit_breaker_.record(call.service, name, failed);
}

void traffic_core::report_local_load(const std::string& target, const load_report& load, time_point now) {
  const auto found = upstreams_.find(identity_.node_id + "/" + target);
  if (found != upstreams_.end()) found->second->load.apply_report(load, now);
}

bool traffic_core::report_statement(const std::string& target, const upstream_statement& statement, time_point now) {
  const auto found = upstreams_.find(identity_.node_id + "/" + target);
  if (found == upstreams_.end() || found->second->statement == statement) return false;
  found->second->statement = statement;
  update_rate_limit(*found->second, now);
  return true;
}

std::vector<withdrawn_key> traffic_core::tick(time_point now) {
  std::vector<withdrawn_key> cut_now = circuit_breaker_.close_window(now);
  for (const withdrawn_key& cut : cut_now) evidence_.add_local_cut(cut);
  return cut_now;
}

}  // namespace heatherdeck

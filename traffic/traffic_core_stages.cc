// The stages of a pick. The first stage that answers ends it, and its condition is the reason of a refusal. Before the
// last stage nothing is reserved but a place under the concurrency limit, which is released when no upstream is found.
// Invariant: a request from another node never leaves this host. Cost: one route lookup and one choice for each pick.
#include <utility>

#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

// A request with at most this time left has none for a retry elsewhere, so it may use the limiter's reserved fraction.
constexpr std::chrono::milliseconds short_deadline{200};

}  // namespace

const std::array<traffic_core::pick_stage, 11> traffic_core::caller_stages{
    &traffic_core::check_document,         &traffic_core::match_route,
    &traffic_core::authenticate,           &traffic_core::draw_permit,
    &traffic_core::infer_earlier_attempts, &traffic_core::choose_destination,
    &traffic_core::refuse_quarantined,     &traffic_core::refuse_while_stopping,
    &traffic_core::draw_on_retry_budget,   &traffic_core::limit_concurrency,
    &traffic_core::choose_and_admit,
};

const std::array<traffic_core::pick_stage, 6> traffic_core::peer_stages{
    &traffic_core::check_document, &traffic_core::refuse_peer_while_stopping, &traffic_core::find_forwarded_service,
    &traffic_core::adopt_account,  &traffic_core::refuse_quarantined,         &traffic_core::admit_forwarded,
};

std::optional<pick_result> traffic_core::run_stages(pick_context context) {
  if (context.attributes.from_peer) return run_stages(peer_stages, context);
  std::optional<pick_result> answer = run_stages(caller_stages, context);
  settle_permit(context, answer);
  return answer;
}

std::optional<pick_result> traffic_core::run_stages(std::span<const pick_stage> stages, pick_context& context) {
  for (const pick_stage stage : stages) {
    stage_result result = (this->*stage)(context);
    if (std::holds_alternative<waits>(result)) return std::nullopt;
    if (auto* answer = std::get_if<pick_result>(&result)) return std::move(*answer);
  }
  return refuse(refusal_reason::no_upstream);
}

traffic_core::stage_result traffic_core::check_document(pick_context& context) {
  if (!document_) return refuse(refusal_reason::no_document);
  if (context.attributes.deadline && context.attributes.deadline->count() <= 0) return refuse(refusal_reason::deadline);
  return go_on{};
}

traffic_core::stage_result traffic_core::match_route(pick_context& context) {
  context.rule = routes_.match(context.attributes);
  if (context.rule == nullptr) return refuse(refusal_reason::no_route);
  context.route = route_policy_for(context.rule, context.attributes);
  return go_on{};
}

void traffic_core::set_account(pick_context& context, const client_account& account) {
  context.account = &account;
  context.route.account = account.name;
  context.route.priority = account.priority.value_or(context.route.priority);
}

traffic_core::stage_result traffic_core::authenticate(pick_context& context) {
  if (!document_->has_accounts) return go_on{};
  // The route has been matched, and a request may wait long with its attributes.
  context.attributes.headers.erase("authorization");
  if (context.rule->anonymous) return go_on{};
  const std::optional<key_digest>& key = context.attributes.api_key;
  const client_account* account = key ? document_->account_of_key(*key) : nullptr;
  if (account == nullptr) {
    ++(key ? counters_.unknown_keys : counters_.missing_keys);
    return refuse(refusal_reason::unauthenticated);
  }
  set_account(context, *account);
  context.route.account_key = key_id_of(*key);
  return go_on{};
}

// A caller that has less time than callers of the route usually give has tried before.
traffic_core::stage_result traffic_core::infer_earlier_attempts(pick_context& context) {
  request_attributes& attributes = context.attributes;
  if (attributes.attempt > 0 || !attributes.deadline) return go_on{};
  const auto elapsed = retry_age_estimators_[context.rule->name].estimate(*attributes.deadline);
  if (elapsed.count() == 0) return go_on{};
  attributes.age += elapsed;
  attributes.elapsed_before_attempt = elapsed;
  return go_on{};
}

traffic_core::stage_result traffic_core::choose_destination(pick_context& context) {
  const route_rule& rule = *context.rule;
  context.service = rule.service;
  if (!rule.split.empty()) {
    const std::string& pinned = context.attributes.pinned_service;
    context.service = pinned.empty() ? splits_.pick(rule) : pinned;
  }
  const auto spec = document_->services.find(context.service);
  if (spec == document_->services.end()) return refuse(refusal_reason::no_upstream);
  context.spec = &spec->second;
  return go_on{};
}

traffic_core::stage_result traffic_core::refuse_quarantined(pick_context& context) {
  if (auto answer = check_quarantine(context.service, context.attributes)) return std::move(*answer);
  return go_on{};
}

traffic_core::stage_result traffic_core::refuse_while_stopping(pick_context& context) {
  if (may_be_broken_off(context.now, context.route, context.attributes)) return refuse(refusal_reason::draining);
  return go_on{};
}

traffic_core::stage_result traffic_core::draw_on_retry_budget(pick_context& context) {
  context.traffic = &services_[context.service];
  if (context.attributes.attempt == 0) {
    context.traffic->retries.on_call(context.now);
  } else if (!context.traffic->retries.try_retry(context.now)) {
    return refuse(refusal_reason::retry_budget);
  }
  return go_on{};
}

// If the route has a latency objective, the admission queue on the upstream's host enforces it instead of the adaptive
// limit. That limit is controlled by the mean latency over all routes of a service, which is meaningless when one route
// takes 15 ms and another 360 ms.
traffic_core::stage_result traffic_core::limit_concurrency(pick_context& context) {
  const request_attributes& attributes = context.attributes;
  const bool has_short_deadline = attributes.deadline && *attributes.deadline <= short_deadline;
  const request_class kind =
      !context.route.idempotent || has_short_deadline ? request_class::reserved : request_class::ordinary;
  if (context.route.objective.count() > 0 && !context.spec->in_flight_limit) {
    context.traffic->limiter.admit_unlimited();
  } else if (!context.traffic->limiter.admit(kind)) {
    return refuse(refusal_reason::overloaded);
  }
  return go_on{};
}

traffic_core::stage_result traffic_core::choose_and_admit(pick_context& context) {
  const time_point now = context.now;
  choice_criteria& criteria = context.criteria;
  criteria.tried_targets = context.attributes.tried_targets;
  criteria.rule = context.rule;
  criteria.account = context.account;
  if (context.rule->kind == route_kind::download) criteria.spillover = spillover_policy::avoid_other_regions;
  if (suspected(context.service, context.attributes)) criteria.on_trial = context.attributes.fingerprint;
  std::shared_ptr<upstream> chosen = choose_upstream(now, *context.spec, *context.traffic, criteria);
  if (!chosen) {
    context.traffic->limiter.release_unused();
    // If earlier attempts have found upstreams, there are some, but none has capacity left now.
    const bool none = criteria.tried_targets.empty() || !any_permitted(*context.traffic, criteria);
    return refuse(none ? refusal_reason::no_upstream : refusal_reason::overloaded);
  }
  if (chosen->locality != locality_class::local) {
    return reserve(now, std::move(chosen), context.service, context.route, context.attributes, true);
  }
  std::optional<pick_result> local_answer = admit_locally(
      now, {context.service, context.route, context.attributes, chosen, now, true, context.drawn}, context.waiter_id);
  if (!local_answer) {
    context.drawn.reset();
    return waits{};
  }
  if (std::holds_alternative<upstream_choice>(*local_answer)) return std::move(*local_answer);
  // The upstream on this host is full; try another one before refusing the caller.
  criteria.tried_targets.push_back(chosen->endpoint.target);
  const bool final = holds_everywhere(std::get<refusal>(*local_answer).reason);
  std::shared_ptr<upstream> other = final ? nullptr : choose_upstream(now, *context.spec, *context.traffic, criteria);
  if (other && other->locality != locality_class::local) {
    return reserve(now, std::move(other), context.service, context.route, context.attributes, true);
  }
  context.traffic->limiter.release_unused();
  return std::move(*local_answer);
}

traffic_core::stage_result traffic_core::refuse_peer_while_stopping(pick_context&) {
  if (stop_) return refuse(refusal_reason::draining);
  return go_on{};
}

traffic_core::stage_result traffic_core::find_forwarded_service(pick_context& context) {
  context.service = context.attributes.service;
  const auto found = services_.find(context.service);
  if (found == services_.end()) return refuse(refusal_reason::no_upstream);
  context.traffic = &found->second;
  context.rule = routes_.match(context.attributes);
  context.route = route_policy_for(context.rule, context.attributes);
  // The first node has applied the route's timeout, counted from the arrival of the request, under the document of
  // then.
  if (context.attributes.deadline) context.route.timeout = *context.attributes.deadline;
  return go_on{};
}

// The first node has authenticated the request. An account that is unknown here is in a document that has not arrived
// yet, or was removed after the request was sent.
traffic_core::stage_result traffic_core::adopt_account(pick_context& context) {
  context.attributes.headers.erase("authorization");
  const std::string& name = context.attributes.account;
  if (name.empty()) return go_on{};
  context.route.account = name;
  if (const client_account* account = document_->find_account(name)) set_account(context, *account);
  context.route.account_key = context.attributes.account_key;
  return go_on{};
}

traffic_core::stage_result traffic_core::admit_forwarded(pick_context& context) {
  const request_attributes& attributes = context.attributes;
  context.criteria.rule = context.rule;
  context.criteria.account = context.account;
  std::vector<std::shared_ptr<upstream>> local;
  bool draining = false;
  for (const auto& [name, members] : context.traffic->versions) {
    if (!attributes.upstream_version.empty() && name != attributes.upstream_version) continue;
    for (const auto& u : members) {
      if (u->locality != locality_class::local || !permitted(*u, context.criteria)) continue;
      draining = draining || u->endpoint.state == upstream_state::draining;
      if (u->usable) local.push_back(u);
    }
  }
  if (local.empty()) return refuse(draining ? refusal_reason::draining : refusal_reason::no_upstream);
  std::vector<balance_candidate> candidates;
  candidates.reserve(local.size());
  for (const auto& u : local) {
    candidates.push_back({.locality = locality_class::local,
                          .load = &u->load,
                          .slots = slots_of(*u),
                          .connections = u->endpoint.connections});
  }
  const auto index = balancer_.pick(candidates, context.now);
  if (!index) return refuse(refusal_reason::overloaded);
  std::optional<pick_result> answer =
      admit_locally(context.now, {context.service, context.route, attributes, local[*index], context.now, false, {}},
                    context.waiter_id);
  if (!answer) return waits{};
  return std::move(*answer);
}

}  // namespace heatherdeck

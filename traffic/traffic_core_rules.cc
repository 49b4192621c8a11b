// The rules of the document that no choice may break: how many requests a second an upstream gets while it is cold, and
// which upstreams a request may be served by at all: not those of an evacuated zone, and only those of the regions that
// its route and its account name. Every choice asks `permitted`, at the first node and at the node beside the upstream,
// so a first node with an older document can't bypass it. Invariant: a request that has waited is asked about again
// with the document of the moment at which it would run. Cost: O(log zones + regions) for each upstream of a choice.
#include <algorithm>
#include <utility>

#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

// An upstream that is first heard of in this period may have started before this process did.
constexpr std::chrono::seconds startup_period{5};

bool lists(const std::vector<std::string>& regions, const std::string& region) {
  return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

bool traffic_core::permitted(const upstream& u, const choice_criteria& criteria) const {
  if (document_ && document_->evacuated_zones.contains(u.availability_zone)) return false;
  if (criteria.rule != nullptr && !lists(criteria.rule->regions, u.region)) return false;
  return criteria.account == nullptr || lists(criteria.account->regions, u.region);
}

bool traffic_core::any_permitted(const service_state& traffic, const choice_criteria& criteria) const {
  return std::any_of(traffic.versions.begin(), traffic.versions.end(), [&](const auto& version) {
    return std::any_of(version.second.begin(), version.second.end(),
                       [&](const auto& u) { return u->usable && permitted(*u, criteria); });
  });
}

void traffic_core::report_warmup(const std::string& target, const warmup_report& report, time_point now) {
  const bool before_this_process = !first_view_at_ || now - *first_view_at_ < startup_period;
  warmups_.report(target, report, before_this_process, now);
}

bool traffic_core::cold(const upstream& u, time_point now) const {
  if (u.locality != locality_class::local || !document_) return false;
  const auto spec = document_->services.find(u.endpoint.service);
  if (spec == document_->services.end() || spec->second.warmup_per_s <= 0) return false;
  return warmups_.cold(u.endpoint.target, spec->second.warmup, now);
}

// The limit of a cold upstream and the one that it states hold together.
void traffic_core::update_rate_limit(upstream& u, time_point now) {
  std::optional<double> limit = u.statement.rate_limit;
  const bool now_cold = cold(u, now);
  if (now_cold) {
    const double warmup_limit = document_->services.at(u.endpoint.service).warmup_per_s;
    limit = std::min(limit.value_or(warmup_limit), warmup_limit);
  }
  if (limit != u.admission.rate_limit()) u.admission.set_rate_limit(limit, now);
  if (now_cold && !u.limited_as_cold) u.admission.charge_recent_starts(now);
  if (now_cold != u.limited_as_cold) cold_limit_changes_.push_back({u.endpoint.target, now_cold});
  u.limited_as_cold = now_cold;
}

// When an evacuation ends, all nodes would send to the zone at once, and its idle upstreams may be cold.
void traffic_core::start_slowly_after_evacuation(time_point now) {
  const auto ended = [&](const std::string& zone) {
    return evacuated_before_.contains(zone) && !document_->evacuated_zones.contains(zone);
  };
  for (const auto& [key, u] : upstreams_) {
    if (ended(u->availability_zone)) u->warmup.became_ready(now);
  }
  evacuated_before_ = document_->evacuated_zones;
}

// Requests that wait for an upstream of this host which may not serve them any more. One from another node is refused,
// and that node looks for another upstream; one from a caller is chosen for again here.
void traffic_core::move_unpermitted_waiters(time_point now,
                                            std::vector<std::pair<std::uint64_t, pick_result>>& answers) {
  if (!std::exchange(document_changed_, false)) return;
  start_slowly_after_evacuation(now);
  std::vector<std::pair<std::uint64_t, queued_attempt>> removed;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto waiter = next++;
    const queued_attempt& attempt = waiter->second;
    const client_account* account = document_->find_account(attempt.route.account);
    if (permitted(*attempt.target, {.rule = routes_.match(attempt.attributes), .account = account})) continue;
    attempt.target->admission.cancel(waiter->first);
    if (attempt.limited) services_[attempt.service].limiter.release_unused();
    removed.emplace_back(waiter->first, std::move(waiter->second));
    waiting_.erase(waiter);
  }
  for (auto& [id, attempt] : removed) {
    if (attempt.attributes.from_peer) {
      answers.emplace_back(id, refuse(refusal_reason::no_upstream));
      continue;
    }
    held_attempt again{std::move(attempt.attributes), attempt.arrived};
    if (auto answer = resume(now, id, std::move(again), std::move(attempt.drawn))) {
      answers.emplace_back(id, std::move(*answer));
    }
  }
}

}  // namespace heatherdeck

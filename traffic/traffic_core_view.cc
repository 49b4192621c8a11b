// The part of traffic_core that follows the directory and dumps its state. A new view replaces the lists of upstreams;
// the statistics of an upstream (load, latency, slow start) are kept under its key, "<node id>/<target>", as long as
// its service and version stay the same. Invariant: after a view is applied the lists hold exactly the upstreams of the
// view that are not gone and whose node has not left; own upstreams stay listed. Cost: O(n log n) for each view, n
// being the number of upstreams.
#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

// Upstreams that are ready in a view of this first period were running before this process started; they count as warm.
constexpr std::chrono::seconds startup_period{5};

}  // namespace

locality_class traffic_core::locality_of(const member_record& member) const {
  if (member.node_id == identity_.node_id) return locality_class::local;
  if (member.availability_zone == identity_.availability_zone) return locality_class::zone;
  return member.region == identity_.region ? locality_class::region : locality_class::remote;
}

bool traffic_core::starts_cold(const upstream& added, time_point now) const {
  if (added.endpoint.state == upstream_state::starting) return true;
  return now - first_view_at_.value_or(now) >= startup_period;
}

void traffic_core::add_member(const member_record& member,
                              const std::map<std::string, std::shared_ptr<upstream>>& previous, time_point now) {
  const bool own = member.node_id == identity_.node_id;
  if (member.state == member_state::left && !own) return;
  for (const endpoint_record& endpoint : member.endpoints) {
    if (endpoint.state == upstream_state::gone) continue;
    std::string key = member.node_id + "/" + endpoint.target;
    const auto known = previous.find(key);
    const bool same_version = known != previous.end() && known->second->endpoint.service == endpoint.service &&
                              known->second->endpoint.upstream_version == endpoint.upstream_version;
    auto u = same_version ? known->second : std::make_shared<upstream>();
    const bool was_ready = same_version && u->endpoint.state == upstream_state::ready;
    u->key = key;
    u->endpoint = endpoint;
    u->node_id = member.node_id;
    u->availability_zone = member.availability_zone;
    u->region = member.region;
    u->mesh_address = member.mesh_address;
    u->locality = locality_of(member);
    // A drain of this node does not affect requests that it has already accepted.
    u->usable = endpoint.state == upstream_state::ready && (own || !member.draining);
    u->suspect = !own && member.state == member_state::suspect;
    if (endpoint.state == upstream_state::ready && !was_ready && (same_version || starts_cold(*u, now))) {
      u->warmup.became_ready(now);
    }
    service_state& traffic = services_[endpoint.service];
    traffic.versions[endpoint.upstream_version].push_back(u);
    ++traffic.upstreams;
    upstreams_.emplace(std::move(key), std::move(u));
  }
}

void traffic_core::set_members(const std::vector<member_record>& members, time_point now) {
  if (!first_view_at_) first_view_at_ = now;
  const auto previous = std::exchange(upstreams_, {});
  for (auto& [name, traffic] : services_) {
    traffic.versions.clear();
    traffic.upstreams = 0;
  }
  for (const member_record& member : members) add_member(member, previous, now);
  for (const auto& [key, u] : previous) {
    if (!upstreams_.contains(key)) services_[u->endpoint.service].ejector.forget(key);
  }
}

boost::json::object traffic_core::dump_upstream(const upstream& shown, const service_state& traffic,
                                                const std::string& service, time_point now) const {
  const auto status = traffic.ejector.status_of(shown.key, now);
  std::string_view why = to_name(shown.endpoint.state);
  if (shown.endpoint.state == upstream_state::ready) {
    if (!shown.usable) {
      why = "node draining";
    } else if (!permitted(shown, {})) {
      why = "zone evacuated";
    } else if (circuit_breaker_.cut(service, shown.endpoint.upstream_version, now)) {
      why = "version cut locally";
    } else if (status != outlier_ejector::status::available) {
      why = to_name(status);
    } else if (shown.suspect) {
      why = "node suspect";
    } else if (shown.warmup.active(now)) {
      why = "slow start";
    }
  }
  const bool out = !shown.usable || !permitted(shown, {}) || status == outlier_ejector::status::ejected ||
                   why == "version cut locally";
  boost::json::value queue;
  if (shown.locality == locality_class::local) {
    queue = {{"running", shown.admission.running()},
             {"waiting", shown.admission.waiting()},
             {"displaced", shown.admission.displaced()},
             {"accounts", shown.admission.accounts()}};
  }
  return {{"target", shown.endpoint.target},
          {"queue", std::move(queue)},
          {"version", shown.endpoint.upstream_version},
          {"node", shown.node_id},
          {"zone", shown.availability_zone},
          {"locality", to_name(shown.locality)},
          {"in", !out},
          {"why", why},
          {"in_flight", shown.load.own_in_flight},
          {"requests", shown.load.estimated_requests(now)},
          {"slots", shown.endpoint.slots},
          {"rate_limit", shown.admission.rate_limit() ? boost::json::value(*shown.admission.rate_limit()) : nullptr},
          {"cold", cold(shown, now)},
          {"latency_ms", shown.latency_ms},
          {"relative_time", shown.relative_time},
          {"pace", shown.load.estimated_pace(now)},
          {"weight", shown.warmup.weight(now)}};
}

boost::json::value traffic_core::dump_accounts() const {
  if (!document_ || !document_->has_accounts) return nullptr;
  return boost::json::object{{"accounts", document_->accounts.size()},
                             {"keys", document_->account_keys.size()},
                             {"refused_missing", counters_.missing_keys},
                             {"refused_unknown", counters_.unknown_keys},
                             {"refused_withdrawn", counters_.withdrawn_keys}};
}

boost::json::value traffic_core::dump(time_point now) const {
  boost::json::object services;
  for (const auto& [name, traffic] : services_) {
    boost::json::array upstreams;
    for (const auto& [upstream_version, members] : traffic.versions) {
      for (const auto& u : members) upstreams.push_back(dump_upstream(*u, traffic, name, now));
    }
    boost::json::object shares;
    if (document_) {
      const auto spec = document_->services.find(name);
      if (spec != document_->services.end()) {
        for (const version_share& s : spec->second.shares) shares[s.upstream_version] = s.share;
      }
    }
    services[name] = boost::json::object{{"shares", std::move(shares)},
                                         {"placement", to_name(traffic.placement)},
                                         {"limit", traffic.limiter.limit()},
                                         {"in_flight", traffic.limiter.in_flight()},
                                         {"refused_by_limit", traffic.limiter.refused()},
                                         {"retry_tokens", traffic.retries.tokens()},
                                         {"ejected", traffic.ejector.ejected(now)},
                                         {"upstreams", std::move(upstreams)}};
  }
  boost::json::array cut;
  for (const auto& [service, name] : circuit_breaker_.cut_versions(now)) {
    cut.push_back(boost::json::object{{"service", service}, {"version", name}});
  }
  boost::json::array evacuated;
  if (document_) {
    evacuated = boost::json::array(document_->evacuated_zones.begin(), document_->evacuated_zones.end());
  }
  return boost::json::object{{"document", document_ ? document_->document_version.text() : "none"},
                             {"draining", stop_.has_value()},
                             {"pending", pending_.size()},
                             {"picks", counters_.picks},
                             {"refusals", counters_.refusals},
                             {"shares_moved", counters_.shares_moved},
                             {"late_finishes", counters_.late_finishes},
                             {"cut_versions", std::move(cut)},
                             {"evacuated_zones", std::move(evacuated)},
                             {"accounts", dump_accounts()},
                             {"services", std::move(services)}};
}

}  // namespace heatherdeck

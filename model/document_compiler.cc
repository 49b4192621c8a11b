// Parses the sections, then links them: resolves references between sections and computes the effective shares from the
// configured shares, the rollouts and the withdrawn versions.
//
// Invariants: a document that compiles has no reference to a missing service or version, and the shares of each service
// add up to full_share, unless the service has none. The result depends on the state only, so every process gets the
// same. Cost: parsing of the changed sections, then linear in the number of routes and services.
#include "model/document_compiler.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace heatherdeck {
namespace {

std::string describe(std::string_view what, const std::string& name) { return std::string(what) + " '" + name + "'"; }

boost::leaf::error_id document_error(std::string text, std::string remedy, std::string where) {
  return fail(error_kind::bad_document, std::move(text), std::move(remedy), std::move(where));
}

// Scales weights to shares that add up to `whole` (largest remainder method; of equal remainders, the first is rounded
// up). All shares are 0 if all weights are.
std::vector<basis_points> scale_to_shares(const std::vector<std::uint64_t>& weights, basis_points whole) {
  const std::uint64_t sum = std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
  std::vector<basis_points> shares(weights.size(), 0);
  if (sum == 0) return shares;
  std::vector<std::pair<std::uint64_t, std::size_t>> remainders;
  basis_points assigned = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    shares[i] = static_cast<basis_points>(weights[i] * whole / sum);
    assigned += shares[i];
    remainders.emplace_back(weights[i] * whole % sum, i);
  }
  std::stable_sort(remainders.begin(), remainders.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  for (std::size_t i = 0; assigned < whole; ++i, ++assigned) ++shares[remainders[i].second];
  return shares;
}

// Collects the values of all sections, then resolves the references between them.
class document_linker {
 public:
  explicit document_linker(const document_state& state) : state_(state), out_(std::make_shared<compiled_document>()) {
    out_->document_version = state.document_version;
    out_->rollout_progress = state.rollouts;
  }

  result<void> add(const std::string& section_name, const parsed_section& parsed) {
    return std::visit([&](const auto& values) { return collect(section_name, values); }, parsed);
  }

  result<compiled_document_ptr> finish() {
    BOOST_LEAF_CHECK(link_routes());
    BOOST_LEAF_CHECK(link_shares());
    BOOST_LEAF_CHECK(link_limits());
    BOOST_LEAF_CHECK(link_rollouts());
    if (const auto shared = out_->account_keys.build(std::move(keys_))) {
      return document_error("accounts '" + shared->first + "' and '" + shared->second + "' have the same API key",
                            "give each account keys of its own", "accounts");
    }
    for (auto& [name, spec] : out_->services) {
      if (spec.versions_from_announcements) {
        link_announced_versions(spec);
      } else {
        spec.shares = effective_shares(spec);
      }
    }
    return compiled_document_ptr(out_);
  }

 private:
  template <class Parsed>
  struct section_value {
    std::string section_name;
    const Parsed* parsed;
  };
  template <class Parsed>
  using by_service = std::map<std::string, section_value<Parsed>>;

  // Adds the value of a service; refuses a second one, from whichever section.
  template <class Parsed>
  result<void> add_unique(by_service<Parsed>& kept, const std::string& section_name, const std::string& service,
                          const Parsed& parsed, std::string_view what) {
    const auto [at, added] = kept.emplace(service, section_value<Parsed>{section_name, &parsed});
    if (added) return {};
    return document_error(std::string(what) + " " + describe("service", service) + " are in two sections",
                          "remove them from section '" + at->second.section_name + "' or '" + section_name + "'",
                          parsed.where);
  }

  result<void> collect(const std::string& section_name, const services_section& values) {
    for (const parsed_service& value : values) {
      BOOST_LEAF_CHECK(add_unique(services_, section_name, value.spec.name, value, "settings of"));
      out_->services.emplace(value.spec.name, value.spec);
    }
    return {};
  }
  result<void> collect(const std::string&, const routes_section& values) {
    for (const parsed_route& value : values) routes_.push_back(&value);
    return {};
  }
  result<void> collect(const std::string& section_name, const shares_section& values) {
    for (const parsed_service_shares& value : values) {
      BOOST_LEAF_CHECK(add_unique(shares_, section_name, value.service, value, "shares of"));
    }
    return {};
  }
  result<void> collect(const std::string& section_name, const rollouts_section& values) {
    for (const parsed_rollout& value : values) {
      BOOST_LEAF_CHECK(add_unique(rollouts_, section_name, value.spec.service, value, "rollouts of"));
    }
    return {};
  }
  result<void> collect(const std::string&, const callers_section& values) {
    out_->callers = values;
    return {};
  }
  result<void> collect(const std::string&, const label_section& value) {
    out_->label = value.label;
    return {};
  }
  result<void> collect(const std::string&, const evacuations_section& value) {
    out_->evacuated_zones.insert(value.zones.begin(), value.zones.end());
    return {};
  }
  result<void> collect(const std::string& section_name, const accounts_section& values) {
    out_->has_accounts = true;
    for (const parsed_account& value : values) {
      const std::string& name = value.account.name;
      if (!out_->accounts.emplace(name, value.account).second) {
        return document_error(describe("account", name) + " is in two sections", "remove it from one of them",
                              "section " + section_name);
      }
      for (const key_digest& digest : value.keys) keys_.push_back({digest, name});
    }
    return {};
  }
  static result<void> collect(const std::string&, const account_keys_section&) { return {}; }
  result<void> collect(const std::string& section_name, const limits_section& values) {
    for (const parsed_limits& value : values) {
      BOOST_LEAF_CHECK(add_unique(limits_, section_name, value.service, value, "limits of"));
    }
    return {};
  }

  result<service_spec*> service(const std::string& name, const std::string& where) {
    const auto found = out_->services.find(name);
    if (found != out_->services.end()) return &found->second;
    return document_error(describe("service", name) + " does not exist",
                          "add it to a services section or correct the name", where);
  }

  static result<void> require_version(const service_spec& spec, const std::string& wanted, const std::string& where) {
    if (spec.versions_from_announcements) return {};
    if (std::find(spec.versions.begin(), spec.versions.end(), wanted) != spec.versions.end()) return {};
    std::string known;
    for (const std::string& one : spec.versions) known += (known.empty() ? "" : ", ") + one;
    return document_error(describe("service", spec.name) + " has no version '" + wanted + "'",
                          "use one of: " + known + "; or add it to the service's versions", where);
  }

  result<void> link_routes() {
    std::map<std::pair<std::string, std::string>, const parsed_route*> names;
    std::map<std::pair<std::string, std::string>, const parsed_route*> keyed_prefixes;
    for (const parsed_route* route : routes_) {
      BOOST_LEAF_CHECK(service(route->rule.service, route->service_where));
      for (const weighted_service& part : route->rule.split) {
        BOOST_LEAF_CHECK(service(part.service, route->service_where));
      }
      if (route->rule.keyed) {
        const auto [other, unique] =
            keyed_prefixes.emplace(std::pair(route->rule.host, route->rule.path_prefix), route);
        if (!unique) {
          return document_error(
              "routes '" + other->second->rule.name + "' and '" + route->rule.name + "' have the same host and prefix",
              "remove one of the two", route->where);
        }
      }
      const auto [at, added] = names.emplace(std::pair(route->rule.service, route->rule.name), route);
      if (!added) {
        return document_error(
            describe("service", route->rule.service) + " has two routes named '" + route->rule.name + "'",
            "rename this one or the one at " + at->second->where, route->where);
      }
      out_->routes.push_back(route->rule);
    }
    // Keyed routes are tried before listed ones, the longest prefix first; listed routes keep their order.
    std::stable_sort(out_->routes.begin(), out_->routes.end(), [](const route_rule& a, const route_rule& b) {
      const std::size_t length_a = a.keyed ? a.path_prefix.size() : 0;
      const std::size_t length_b = b.keyed ? b.path_prefix.size() : 0;
      return length_a > length_b;
    });
    return {};
  }

  result<void> link_shares() {
    for (const auto& [name, entry] : shares_) {
      BOOST_LEAF_AUTO(spec, service(name, entry.parsed->where));
      for (const parsed_share& share : entry.parsed->shares) {
        BOOST_LEAF_CHECK(require_version(*spec, share.upstream_version, share.where));
        spec->shares.push_back({share.upstream_version, share.share});
      }
    }
    for (auto& [name, spec] : out_->services) {
      if (!spec.shares.empty() || spec.versions_from_announcements) continue;
      if (spec.versions.size() > 1) {
        return document_error(describe("service", name) + " has several versions and no shares",
                              "add '" + name + ": { " + spec.versions.front() + ": 100 }' to a shares section",
                              services_.at(name).parsed->where);
      }
      spec.shares.push_back({spec.versions.front(), full_share});
    }
    return {};
  }

  result<void> link_limits() {
    for (const auto& [name, entry] : limits_) {
      BOOST_LEAF_AUTO(spec, service(name, entry.parsed->where));
      spec->in_flight_limit = entry.parsed->in_flight;
      if (entry.parsed->retry_ratio) spec->retry_ratio = *entry.parsed->retry_ratio;
    }
    return {};
  }

  result<void> link_rollouts() {
    for (const auto& [name, entry] : rollouts_) {
      const parsed_rollout& parsed = *entry.parsed;
      BOOST_LEAF_AUTO(spec, service(name, parsed.where));
      BOOST_LEAF_CHECK(require_version(*spec, parsed.spec.from, parsed.from_where));
      BOOST_LEAF_CHECK(require_version(*spec, parsed.spec.to, parsed.to_where));
      BOOST_LEAF_CHECK(check_rollout_start(*spec, parsed));
      out_->rollouts.emplace(name, parsed.spec);
    }
    return {};
  }

  // While a rollout raises the share of `to`, the shares section must give the old version a share and the new one
  // none: the rollout sets the share of the new one.
  result<void> check_rollout_start(const service_spec& spec, const parsed_rollout& parsed) {
    if (spec.versions_from_announcements) return {};
    if (parsed.spec.from.empty()) {
      return document_error("the rollout does not name the version that it replaces", "add 'from'", parsed.from_where);
    }
    const rollout_state* progress = progress_of(parsed.spec);
    if (progress != nullptr && progress->status != rollout_status::running) return {};
    if (configured_share(spec, parsed.spec.from) == 0) {
      return document_error("the rollout starts from version '" + parsed.spec.from + "', which has no share of traffic",
                            "name the version that serves " + describe("service", spec.name) + " now",
                            parsed.from_where);
    }
    if (configured_share(spec, parsed.spec.to) != 0) {
      return document_error(
          "version '" + parsed.spec.to + "' has a fixed share and a rollout",
          "remove it from the shares of " + describe("service", spec.name) + "; the rollout sets its share",
          parsed.to_where);
    }
    return {};
  }

  static basis_points configured_share(const service_spec& spec, const std::string& name) {
    for (const version_share& share : spec.shares) {
      if (share.upstream_version == name) return share.share;
    }
    return 0;
  }

  const rollout_state* progress_of(const rollout_spec& spec) const {
    const auto found = state_.rollouts.find(spec.service);
    const bool same = found != state_.rollouts.end() && found->second.from == spec.from && found->second.to == spec.to;
    return same ? &found->second : nullptr;
  }

  bool is_withdrawn(const std::string& service_name, const std::string& name) const {
    return state_.withdrawn.contains({service_name, name});
  }

  // Shares of spec.versions, in the same order, with the rollout applied but not the withdrawals.
  std::vector<std::uint64_t> rollout_weights(const service_spec& spec) const {
    std::vector<std::uint64_t> weights;
    for (const std::string& name : spec.versions) weights.push_back(configured_share(spec, name));
    const auto rollout = out_->rollouts.find(spec.name);
    if (rollout == out_->rollouts.end()) return weights;
    const rollout_state* progress = progress_of(rollout->second);
    if (progress == nullptr || progress->status == rollout_status::rolled_back) return weights;
    const auto position = [&](const std::string& name) {
      return std::find(spec.versions.begin(), spec.versions.end(), name) - spec.versions.begin();
    };
    const auto to = position(rollout->second.to);
    weights[to] = 0;
    if (std::accumulate(weights.begin(), weights.end(), std::uint64_t{0}) == 0) {
      weights[position(rollout->second.from)] = 1;
    }
    const std::vector<basis_points> rest = scale_to_shares(weights, full_share - progress->share);
    weights.assign(rest.begin(), rest.end());
    weights[to] = progress->share;
    return weights;
  }

  // Shares of a service with open versions: the new version of the rollout gets its share, all others together the
  // rest.
  void link_announced_versions(service_spec& spec) const {
    for (const auto& [key, value] : state_.withdrawn) {
      if (key.first == spec.name) spec.explicit_versions.push_back(key.second);
    }
    basis_points share = 0;
    const auto rollout = out_->rollouts.find(spec.name);
    if (rollout != out_->rollouts.end()) {
      const std::string& to = rollout->second.to;
      const rollout_state* progress = progress_of(rollout->second);
      const bool active = progress != nullptr && progress->status != rollout_status::rolled_back;
      if (active && !is_withdrawn(spec.name, to)) share = progress->share;
      spec.explicit_versions.push_back(to);
      if (share != 0) spec.shares.push_back({to, share});
    }
    if (share != full_share) spec.shares.push_back({other_versions, full_share - share});
  }

  std::vector<version_share> effective_shares(const service_spec& spec) const {
    std::vector<std::uint64_t> weights = rollout_weights(spec);
    std::vector<std::uint64_t> fallback(weights.size(), 0);
    const auto rollout = out_->rollouts.find(spec.name);
    bool has_from = false;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      if (is_withdrawn(spec.name, spec.versions[i])) {
        weights[i] = 0;
        continue;
      }
      fallback[i] = 1;
      has_from = has_from || (rollout != out_->rollouts.end() && rollout->second.from == spec.versions[i]);
    }
    if (has_from) {
      for (std::size_t i = 0; i < weights.size(); ++i) fallback[i] = rollout->second.from == spec.versions[i] ? 1 : 0;
    }
    const bool remaining = std::any_of(weights.begin(), weights.end(), [](std::uint64_t w) { return w != 0; });
    const std::vector<basis_points> shares = scale_to_shares(remaining ? weights : fallback, full_share);
    std::vector<version_share> out;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      if (shares[i] != 0) out.push_back({spec.versions[i], shares[i]});
    }
    return out;
  }

  const document_state& state_;
  std::shared_ptr<compiled_document> out_;
  by_service<parsed_service> services_;
  by_service<parsed_service_shares> shares_;
  by_service<parsed_rollout> rollouts_;
  by_service<parsed_limits> limits_;
  std::vector<const parsed_route*> routes_;
  std::vector<account_key_table::entry> keys_;
};

result<void> check_size(const document_state& state) {
  if (state.sections.size() > max_sections) {
    return document_error("the document has " + std::to_string(state.sections.size()) + " sections; the limit is " +
                              std::to_string(max_sections),
                          "merge small sections", "document");
  }
  std::size_t bytes = 0;
  for (const auto& [name, s] : state.sections) bytes += name.size() + s.text.size();
  if (bytes > max_document_bytes) {
    return document_error(
        "the document has " + std::to_string(bytes) + " bytes; the limit is " + std::to_string(max_document_bytes),
        "remove entries that are no longer used", "document");
  }
  return {};
}

result<void> check_version_usable(const document_state& state, const std::string& service, const std::string& name,
                                  const std::string& where) {
  const auto found = state.withdrawn.find({service, name});
  if (found == state.withdrawn.end()) return {};
  return fail(error_kind::withdrawn,
              "version '" + name + "' of " + describe("service", service) + " was withdrawn in version " +
                  found->second.withdrawn_in.text() + ": " + found->second.reason,
              "offer a version with a new name", where);
}

}  // namespace

result<std::shared_ptr<const parsed_section>> document_compiler::parse_cached(const section& s,
                                                                              const section_places& places) {
  const auto source_entry = places.find(s.name);
  const yaml_source source = source_entry != places.end() ? source_entry->second : section_source(s.name);
  const std::string location = source.name + ":" + std::to_string(source.line_offset);
  cached_section& cached = cache_[s.name];
  if (cached.parsed && cached.text == s.text && cached.location == location) return cached.parsed;
  cached.parsed = nullptr;
  BOOST_LEAF_AUTO(fresh, parse_section(s.name, s.text, source));
  cached = {s.text, location, std::make_shared<const parsed_section>(std::move(fresh))};
  return cached.parsed;
}

result<compiled_document_ptr> document_compiler::compile(const document_state& state, const section_places& places) {
  BOOST_LEAF_CHECK(check_size(state));
  std::erase_if(cache_, [&](const auto& item) { return !state.sections.contains(item.first); });
  document_linker linker(state);
  std::vector<std::shared_ptr<const parsed_section>> in_use;
  for (const auto& [name, s] : state.sections) {
    BOOST_LEAF_AUTO(one, parse_cached(s, places));
    in_use.push_back(one);
    BOOST_LEAF_CHECK(linker.add(name, *one));
  }
  return linker.finish();
}

result<void> document_compiler::check_not_withdrawn(const document_state& state,
                                                    const std::vector<std::string>& edited) {
  for (const std::string& name : edited) {
    const auto found = state.sections.find(name);
    if (found == state.sections.end()) continue;
    BOOST_LEAF_AUTO(one, parse_cached(found->second, {}));
    if (const auto* shares = std::get_if<shares_section>(one.get())) {
      for (const parsed_service_shares& service_shares : *shares) {
        for (const parsed_share& share : service_shares.shares) {
          if (share.share == 0) continue;
          BOOST_LEAF_CHECK(check_version_usable(state, service_shares.service, share.upstream_version, share.where));
        }
      }
    }
    if (const auto* rollouts = std::get_if<rollouts_section>(one.get())) {
      for (const parsed_rollout& rollout : *rollouts) {
        BOOST_LEAF_CHECK(check_version_usable(state, rollout.spec.service, rollout.spec.to, rollout.to_where));
      }
    }
  }
  return {};
}

result<compiled_document_ptr> compile_document(const document_state& state) {
  document_compiler compiler;
  return compiler.compile(state);
}

}  // namespace heatherdeck

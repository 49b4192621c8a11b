/// @file
/// The parsed, validated and immutable form of the document that traffic decisions use.
///
/// A node compiles a new document completely and then replaces one pointer, so a document takes effect as a whole or
/// not at all:
///
///     BOOST_LEAF_AUTO(next, compile_document(state));      // model/document_compiler.h
///     traffic.post(update_document{next});                    // std::shared_ptr<const compiled_document>
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/api_key.h"
#include "model/document.h"

namespace heatherdeck {

/// The effective share of one upstream version in its service's traffic.
struct version_share {
  std::string upstream_version;
  basis_points share = 0;

  bool operator==(const version_share&) const = default;
};

/// Entry of `service_spec::shares` that stands for every upstream version not in `explicit_versions`. Only services
/// with `versions_from_announcements` have it.
inline constexpr const char* other_versions = "*";

/// A service: its upstream versions, their effective shares of traffic and its limits.
struct service_spec {
  std::string name;
  std::vector<std::string> versions;
  bool versions_from_announcements = false;  ///< versions come from upstreams' announcements; `versions` is empty then
  std::vector<std::string> explicit_versions;    ///< versions that `other_versions` excludes
  std::uint32_t slots = 20;                      ///< requests that one target processes concurrently
  std::uint32_t connections = 130;               ///< connections that one target accepts
  std::vector<version_share> shares;             ///< after rollouts and withdrawals; the sum is full_share
  std::optional<std::uint32_t> in_flight_limit;  ///< upper bound of a node's adaptive concurrency limit
  double retry_ratio = 0.1;                      ///< retry budget: retries per call, at most
  std::chrono::milliseconds warmup{0};           ///< time for which an upstream is cold after its start
  double warmup_per_s = 0;                       ///< requests a second that a cold upstream accepts; 0: no limit
};

/// Whether requests of a route may be retried: `safe` and `download` are idempotent, `unsafe` is not. `download` has
/// large responses.
enum class route_kind { safe, unsafe, download };

template <>
struct enum_table<route_kind> {
  static constexpr auto entries = std::to_array<enum_entry<route_kind>>({
      {route_kind::safe, "safe"},
      {route_kind::unsafe, "unsafe"},
      {route_kind::download, "download"},
  });
};

/// One destination of a split route; it receives weight / (sum of weights) of the requests.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 0;
};

/// Limits on what callers may send and how long they may take.
struct caller_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::uint64_t body_bytes = std::uint64_t{64} << 20U;
  std::chrono::milliseconds header_timeout{60'000};
  std::chrono::milliseconds idle_timeout{60'000};
};

/// One rule that maps requests to a service. A routes section is either a list or a map by route name. Of the rules of
/// lists, the first match in document order wins; of the rules of maps (`keyed`), the match with the longest prefix.
struct route_rule {
  std::string name;
  std::string host;         ///< exact match, lower case; empty matches any host
  std::string path_prefix;  ///< starts with '/'; matches whole path segments
  bool keyed = false;       ///< from a map of routes: the path must also start with `path_prefix` verbatim
  std::string method;       ///< upper case; empty matches any method
  std::map<std::string, std::string> headers;  ///< lower-case name to exact value
  route_kind kind = route_kind::safe;          ///< set for keyed routes only; see also `idempotent`
  std::string service;                         ///< destination; with `split`, its first service
  std::vector<weighted_service> split;         ///< weighted destinations; empty: all go to `service`
  std::chrono::milliseconds timeout{1000};
  std::chrono::milliseconds objective{0};  ///< latency objective of the route; 0: none
  std::uint32_t priority = 0;              ///< 0 is the highest priority
  std::uint32_t attempts = 2;              ///< targets that one request may be sent to, retries included
  std::optional<bool> idempotent;    ///< unset: by method (GET, HEAD, OPTIONS, TRACE, PUT and DELETE are idempotent)
  bool anonymous = false;            ///< requests need no client account
  std::vector<std::string> regions;  ///< where its requests may be served; empty: anywhere
};

/// A client account, to which callers authenticate with an API key.
struct client_account {
  std::string name;
  std::optional<std::uint32_t> priority;  ///< takes precedence over the priority of the route; 0 is the highest
  double rate_per_s = 0;                  ///< requests a second that the whole fleet serves; 0: no limit
  double burst = 0;                       ///< requests beyond the rate that may come at once
  std::vector<std::string> regions;       ///< where its requests may be served; empty: anywhere

  bool operator==(const client_account&) const = default;
};

/// A rollout as the operator configured it; its progress is a `rollout_state`.
struct rollout_spec {
  std::string service;
  std::string from;  ///< may be empty for a service with versions_from_announcements: all other versions
  std::string to;
  std::chrono::seconds finish_within{600};  ///< time until `to` should have all traffic
  std::chrono::seconds watch_period{300};   ///< observation after that, during which a rollback is still possible
  basis_points max_first_share = 100;       ///< largest share of the first step
  /// Bound of what `to` may receive before it is known to be good, in time at the full traffic of the service (the
  /// integral of the share over time). None: the ramp alone bounds it.
  std::optional<std::chrono::milliseconds> max_exposure;
};

/// The whole document, ready for look-ups.
struct compiled_document {
  version document_version;  ///< version of the document
  std::string label;         ///< the operators' name for this version; empty if they gave none
  caller_limits callers;
  std::vector<route_rule> routes;                ///< in the order in which they are tried
  std::map<std::string, service_spec> services;  ///< by name
  bool has_accounts = false;  ///< requests to routes that are not anonymous need the key of an account
  std::map<std::string, client_account> accounts;         ///< by name
  std::set<std::string> evacuated_zones;                  ///< availability zones whose upstreams get no requests
  account_key_table account_keys;                         ///< of all accounts
  std::map<std::string, rollout_spec> rollouts;           ///< by service
  std::map<std::string, rollout_state> rollout_progress;  ///< by service

  /// @return the account with this name, or null.
  const client_account* find_account(const std::string& name) const {
    const auto found = accounts.find(name);
    return found != accounts.end() ? &found->second : nullptr;
  }

  /// @return the account that has the key, or null.
  const client_account* account_of_key(const key_digest& key) const {
    const std::string* name = account_keys.find(key);
    return name != nullptr ? find_account(*name) : nullptr;
  }

  static constexpr std::chrono::milliseconds min_evidence_period{200};
  static constexpr std::chrono::milliseconds max_evidence_period{1000};

  /// @return how often nodes report evidence and the leader decides: a fiftieth of the shortest finish time of the
  ///   rollouts in progress, so that a rollout of seconds gets a verdict within each of its steps.
  std::chrono::milliseconds evidence_period() const {
    std::chrono::milliseconds period = max_evidence_period;
    for (const auto& [service, progress] : rollout_progress) {
      const auto plan = rollouts.find(service);
      if (plan == rollouts.end() || !progress.active()) continue;
      period = std::min(period, std::chrono::milliseconds(plan->second.finish_within) / 50);
    }
    return std::max(period, min_evidence_period);
  }
};

using compiled_document_ptr = std::shared_ptr<const compiled_document>;

}  // namespace heatherdeck

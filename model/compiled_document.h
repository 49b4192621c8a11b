/// @file
/// The parsed, validated and immutable form of the document that traffic decisions use.
///
/// A node builds it completely before it swaps its one pointer, so a document is in force whole or not at all:
///
///     BOOST_LEAF_AUTO(next, compile_document(state));      // model/document_compiler.h
///     traffic.post(use_document{next});                    // std::shared_ptr<const compiled_document>
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model/document.h"

namespace heatherdeck {

/// One upstream version's effective part of a service's traffic.
struct version_share {
  std::string upstream_version;
  basis_points share = 0;

  bool operator==(const version_share&) const = default;
};

/// Stands in `shares` for all upstream versions that a service with open versions does not name.
inline constexpr const char* other_versions = "*";

/// A service: its upstream versions, their effective shares and its limits.
struct service_spec {
  std::string name;
  std::vector<std::string> versions;
  bool open_versions = false;               ///< versions are known from announcements only; `versions` is empty then
  std::vector<std::string> named_versions;  ///< open versions: those that `other_versions` does not stand for
  std::uint32_t slots = 20;                 ///< requests that one target works on at a time
  std::uint32_t connections = 130;          ///< connections that one target accepts
  std::vector<version_share> shares;        ///< after rollouts and withdrawals; adds up to whole_traffic
  std::optional<std::uint32_t> in_flight_limit;  ///< ceiling of the adaptive limit at one node
  double retry_ratio = 0.1;                      ///< retries per call, at most
};

/// What may be done again with a request. `download` is idempotent, with large answers.
enum class route_kind { safe, unsafe, download };

template <>
struct enum_table<route_kind> {
  static constexpr auto entries = std::to_array<enum_entry<route_kind>>({
      {route_kind::safe, "safe"},
      {route_kind::unsafe, "unsafe"},
      {route_kind::download, "download"},
  });
};

/// One part of a route's traffic.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 0;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::uint64_t body_bytes = std::uint64_t{64} << 20U;
  std::chrono::milliseconds header_timeout{60'000};
  std::chrono::milliseconds idle_timeout{60'000};
};

/// One rule that maps requests to a service. Listed rules are tried in document order and the first match wins; of
/// rules that are keyed by name the one with the longest prefix wins.
struct route_rule {
  std::string name;
  std::string host;         ///< exact, lower case; empty matches any
  std::string path_prefix;  ///< starts with '/'; matches whole path segments, or exactly when `keyed`
  bool keyed = false;       ///< the section is a map of routes: the path must begin with the prefix as it is written
  std::string method;       ///< upper case; empty matches any
  std::map<std::string, std::string> headers;  ///< lower-case name to exact value
  route_kind kind = route_kind::safe;          ///< only of keyed routes; see also `idempotent`
  std::string service;                         ///< the first of `split`, if there is one
  std::vector<weighted_service> split;         ///< empty: all requests go to `service`
  std::chrono::milliseconds timeout{1000};
  std::chrono::milliseconds objective{0};  ///< time within which an answer is of full use; 0: not stated
  std::uint32_t priority = 0;              ///< 0 is the most urgent
  std::uint32_t attempts = 2;              ///< targets to which one request may be sent
  std::optional<bool> idempotent;  ///< unset: by method (GET, HEAD, OPTIONS, TRACE, PUT and DELETE are idempotent)
};

/// A rollout as the operator asked for it.
struct rollout_spec {
  std::string service;
  std::string from;  ///< empty with open versions: all others
  std::string to;
  std::chrono::seconds finish_within{600};
  std::chrono::seconds watch{300};
  basis_points max_first_share = 100;
};

struct compiled_document {
  version current;
  std::string label;  ///< the operators' own name of this version, if they gave one
  caller_limits callers;
  std::vector<route_rule> routes;
  std::map<std::string, service_spec> services;
  std::map<std::string, rollout_spec> rollouts;           ///< by service
  std::map<std::string, rollout_state> rollout_progress;  ///< by service
};

using compiled_document_ptr = std::shared_ptr<const compiled_document>;

}  // namespace heatherdeck

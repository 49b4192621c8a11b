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

/// A service: its upstream versions, their effective shares and its limits.
struct service_spec {
  std::string name;
  std::vector<std::string> versions;
  std::uint32_t slots = 20;                      ///< requests that one target works on at a time
  std::uint32_t connections = 130;               ///< connections that one target accepts
  std::vector<version_share> shares;             ///< after rollouts and withdrawals; adds up to whole_traffic
  std::optional<std::uint32_t> in_flight_limit;  ///< ceiling of the adaptive limit at one node
  double retry_ratio = 0.1;                      ///< retries per call, at most
};

/// One rule that maps requests to a service. Rules are tried in document order; the first match wins.
struct route_rule {
  std::string name;
  std::string host;                            ///< exact, lower case; empty matches any
  std::string path_prefix;                     ///< starts with '/'; matches whole path segments
  std::string method;                          ///< upper case; empty matches any
  std::map<std::string, std::string> headers;  ///< lower-case name to exact value
  std::string service;
  std::chrono::milliseconds timeout{1000};
  std::optional<bool> idempotent;  ///< unset: by method (GET, HEAD, OPTIONS, TRACE, PUT and DELETE are idempotent)
};

/// A rollout as the operator asked for it.
struct rollout_spec {
  std::string service;
  std::string from;
  std::string to;
  std::chrono::seconds finish_within{600};
  std::chrono::seconds watch{300};
  basis_points max_first_share = 100;
};

struct compiled_document {
  version current;
  std::vector<route_rule> routes;
  std::map<std::string, service_spec> services;
  std::map<std::string, rollout_spec> rollouts;           ///< by service
  std::map<std::string, rollout_state> rollout_progress;  ///< by service
};

using compiled_document_ptr = std::shared_ptr<const compiled_document>;

}  // namespace heatherdeck

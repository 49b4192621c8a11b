/// @file
/// Typed messages of the subscription stream between a node and a control host (`POST /v1/subscribe`).
///
/// The codec in `wire/` turns them into bytes; `publisher_core` and `subscriber_core` see only these structs.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "kernel/error.h"
#include "model/document.h"

namespace heatherdeck {

/// First message of a node. `want_confirmed` asks for an offer that a quorum has confirmed after this request.
struct subscribe_request {
  std::string node_id;
  std::string availability_zone;
  version have;
  digest have_digest;
  bool want_confirmed = false;
};

/// The node acts on this version.
struct applied_report {
  version applied;
};

/// The node refused an offer as a whole and still acts on the version it held.
struct refused_report {
  version refused;
  error reason;
};

inline constexpr std::size_t latency_buckets = 8;

/// Counts of one upstream version on one route at one node since the previous report.
/// Bucket i of the histogram holds calls of up to 2^i ms; the last holds the rest.
struct evidence_row {
  std::string service;
  std::string upstream_version;
  std::string route;
  std::uint32_t calls = 0;
  std::uint32_t failures = 0;
  std::array<std::uint32_t, latency_buckets> latency{};
};

/// Evidence for services under rollout or watch; sent once a second and only when there is any.
struct evidence_report {
  std::vector<evidence_row> rows;
  std::vector<withdrawn_key> cut_locally;  ///< versions that this node has stopped using on its own evidence
};

using node_message = std::variant<subscribe_request, applied_report, refused_report, evidence_report>;

/// The whole document.
struct snapshot_offer {
  document_state state;
  digest result;
  bool confirmed = false;
};

/// The step from the node's version to the current one.
struct delta_offer {
  document_delta delta;
  bool confirmed = false;
};

/// Sent when there is nothing new; with `confirmed` it tells that the node's version is current.
struct keepalive {
  version current;
  bool confirmed = false;
};

/// The control host admits no further subscription at present.
struct busy_notice {
  std::chrono::milliseconds retry_after{0};
};

using control_message = std::variant<keepalive, snapshot_offer, delta_offer, busy_notice>;

}  // namespace heatherdeck

/// @file
/// Messages of the subscription stream (`POST /v1/subscribe`), over which a node receives the document from a control
/// host and reports which version it applied.
///
/// The codec in `wire/` encodes and decodes them; `publisher_core` (control host) and `subscriber_core` (node) handle
/// only these structs.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "kernel/error.h"
#include "model/directory_messages.h"
#include "model/document.h"
#include "model/permit_messages.h"

namespace heatherdeck {

/// First message of a node: which version it has. With `want_confirmed`, the node waits for a version that a quorum
/// confirmed as current after this request.
struct subscribe_request {
  std::string node_id;
  std::string availability_zone;
  version held_version;  ///< version that the node has; none: no document
  digest held_digest;    ///< digest of that document
  bool want_confirmed = false;
  bool want_departures = false;  ///< together with want_confirmed: send a departure_list first
};

/// The node has applied this version.
struct applied_report {
  version applied;
};

/// The node refused an offered version and still uses the one before.
struct refused_report {
  version refused;
  error reason;
};

/// Buckets of a latency histogram; see evidence_row.
inline constexpr std::size_t latency_buckets = 16;

/// Call counts of one upstream version on one route at one node since the node's previous report.
struct evidence_row {
  std::string service;
  std::string upstream_version;
  std::string route;
  std::uint32_t calls = 0;
  std::uint32_t failures = 0;                            ///< of `calls`
  std::array<std::uint32_t, latency_buckets> latency{};  ///< bucket i: calls of up to 2^i ms; last bucket: the rest
};

/// Call counts of the services with a rollout that is running or watching. Sent once a second, only when there are
/// counts to report.
struct evidence_report {
  std::vector<evidence_row> rows;
  std::vector<withdrawn_key> disabled_locally;  ///< versions that this node stopped using because of its own counts
};

/// A target on the node's host drains or has left.
struct departure_report {
  std::uint64_t id = 0;  ///< returned in departure_receipt
  target_departure departure;
};

using node_message =
    std::variant<subscribe_request, applied_report, refused_report, evidence_report, permit_request, departure_report>;

/// A new version, as the whole document.
struct snapshot_offer {
  document_state state;
  digest state_digest;     ///< digest of `state`
  bool confirmed = false;  ///< a quorum confirmed it as current
};

/// A new version, as the changes since the version that the node has.
struct delta_offer {
  document_delta delta;
  bool confirmed = false;  ///< a quorum confirmed the new version as current
};

/// Sent periodically while the document does not change. With `confirmed`, a quorum confirmed the node's version as
/// current.
struct keepalive {
  version document_version;
  bool confirmed = false;
};

/// The control host accepts no further subscription now; the node may retry after the given time.
struct busy_notice {
  std::chrono::milliseconds retry_after{0};
};

/// The departure of the report with this id is in the replicated log: committed, and so on the disks of a quorum.
struct departure_receipt {
  std::uint64_t id = 0;
};

/// The recorded departures on the node's host. Precedes the confirmed first offer to a node that wants them.
struct departure_list {
  std::vector<target_departure> departures;
};

using control_message =
    std::variant<keepalive, snapshot_offer, delta_offer, busy_notice, permit_answer, departure_receipt, departure_list>;

}  // namespace heatherdeck

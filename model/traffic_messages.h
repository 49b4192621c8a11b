/// @file
/// Messages of the traffic service: the decisions that every request needs.
///
/// A proxy session asks `pick_upstream` for each attempt and reports `finish_call` exactly once per choice, also after
/// a cancellation; the ticket releases the slot that the choice has reserved.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/mailbox.h"
#include "model/compiled_document.h"
#include "model/directory_messages.h"

namespace heatherdeck {

/// Why this upstream was chosen; part of the answer's `hd-served-by` header.
enum class choice_reason { local, zone, region, remote };

template <>
struct enum_table<choice_reason> {
  static constexpr auto entries = std::to_array<enum_entry<choice_reason>>({
      {choice_reason::local, "local"},
      {choice_reason::zone, "zone"},
      {choice_reason::region, "region"},
      {choice_reason::remote, "remote"},
  });
};

/// Why no upstream was chosen; part of the refusal's `hd-refused` header. All of these mean that nothing has run.
enum class refusal_reason { no_document, no_route, no_upstream, overloaded, deadline, draining, retry_budget, hops };

template <>
struct enum_table<refusal_reason> {
  static constexpr auto entries = std::to_array<enum_entry<refusal_reason>>({
      {refusal_reason::no_document, "no_document"},
      {refusal_reason::no_route, "no_route"},
      {refusal_reason::no_upstream, "no_upstream"},
      {refusal_reason::overloaded, "overloaded"},
      {refusal_reason::deadline, "deadline"},
      {refusal_reason::draining, "draining"},
      {refusal_reason::retry_budget, "retry_budget"},
      {refusal_reason::hops, "hops"},
  });
};

/// What the decision needs to know of a request.
struct request_facts {
  std::string host;
  std::string path;
  std::string method;
  std::map<std::string, std::string> headers;         ///< lower-case names
  std::optional<std::chrono::milliseconds> deadline;  ///< time left, from hd-deadline-ms
  bool from_peer = false;                  ///< arrived from another node: only this host's upstream may serve it
  std::string service;                     ///< from_peer: the service that the first node chose
  std::string upstream_version;            ///< from_peer: the version that the first node chose
  std::chrono::milliseconds age{0};        ///< since the first node took the request, or the caller's first attempt
  std::chrono::milliseconds time_gone{0};  ///< part of `age`: before this attempt of the caller, as traffic infers it
  std::uint32_t attempt = 0;               ///< 0 for the first attempt
  std::vector<std::string> avoid_targets;  ///< targets of the failed attempts before
  std::string kept_service;                ///< later attempts: the part of a split route that the first one drew
};

/// Load of a target, from its announcement (own host) or from the `hd-load` header of an answer.
struct load_report {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
};

/// An upstream for one attempt.
struct upstream_choice {
  std::uint64_t ticket = 0;
  std::string route;
  std::string service;
  std::string upstream_version;
  std::string target;
  std::string availability_zone;
  std::string node_id;  ///< node on the target's host
  bool local = false;   ///< true: connect to upstream_address; false: pass on to mesh_address
  std::string upstream_address;
  std::string mesh_address;
  choice_reason reason = choice_reason::local;
  bool idempotent = false;
  std::uint32_t attempts = 2;              ///< targets to which the request may be sent
  std::chrono::milliseconds timeout{0};    ///< the smaller of the route's time-out and the deadline
  std::chrono::milliseconds time_gone{0};  ///< by which the caller's first attempt came earlier; adds to the age
  std::optional<load_report> target_load;  ///< local: last reported load; goes into hd-load of the answer to a peer
};

struct refusal {
  refusal_reason reason = refusal_reason::no_upstream;
  std::chrono::milliseconds retry_after{0};
  std::optional<load_report> load;  ///< of this host's upstream, when it is the one that has no room
};

using pick_answer = std::variant<refusal, upstream_choice>;

enum class call_outcome { ok, upstream_error, not_run, timeout, connection_failed, cancelled };

template <>
struct enum_table<call_outcome> {
  static constexpr auto entries = std::to_array<enum_entry<call_outcome>>({
      {call_outcome::ok, "ok"},
      {call_outcome::upstream_error, "upstream_error"},
      {call_outcome::not_run, "not_run"},
      {call_outcome::timeout, "timeout"},
      {call_outcome::connection_failed, "connection_failed"},
      {call_outcome::cancelled, "cancelled"},
  });
};

struct traffic_tick {};

struct use_document {
  compiled_document_ptr document;
};

struct pick_upstream {
  request_facts facts;
  reply<pick_answer> answer;
};

struct finish_call {
  std::uint64_t ticket = 0;
  call_outcome outcome = call_outcome::ok;
  std::chrono::microseconds latency{0};  ///< to the first byte of the answer
  std::optional<load_report> load;
};

/// Sent by `announcements`: load that the upstream on this host reported.
struct local_load {
  std::string target;
  load_report load;
};

/// Sent by `proxy` at the start of a graceful shutdown; later picks from peers are refused as `draining`.
struct stop_new_work {};

using traffic_message =
    std::variant<traffic_tick, use_document, directory_view, pick_upstream, finish_call, local_load, stop_new_work>;

}  // namespace heatherdeck

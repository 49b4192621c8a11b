/// @file
/// Messages of the traffic service, which chooses an upstream for every request: routing, load balancing, concurrency
/// limits and retry budgets.
///
/// A proxy session sends `pick_upstream` for each attempt. A choice reserves a slot of the upstream; the session
/// releases it with `finish_call`, exactly once per choice, also after a cancellation.
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
#include "model/api_key.h"
#include "model/compiled_document.h"
#include "model/directory_messages.h"
#include "model/permit_messages.h"
#include "model/quarantine_list.h"

namespace heatherdeck {

/// Where the chosen upstream is, relative to this node: on this host, in its zone, in its region or elsewhere. Part of
/// the response's `hd-served-by` header.
enum class locality_class { local, zone, region, remote };

template <>
struct enum_table<locality_class> {
  static constexpr auto entries = std::to_array<enum_entry<locality_class>>({
      {locality_class::local, "local"},
      {locality_class::zone, "zone"},
      {locality_class::region, "region"},
      {locality_class::remote, "remote"},
  });
};

/// Why no upstream was chosen; sent in the response's `hd-refused` header. Whatever the reason, no upstream has
/// processed the request.
enum class refusal_reason {
  no_document,
  no_route,
  no_upstream,
  overloaded,
  deadline,
  draining,
  retry_budget,
  hops,
  quarantined,        ///< it has crashed upstreams
  on_trial,           ///< it is suspected to crash upstreams, and another copy of it is running
  unauthenticated,    ///< its route needs the key of a client account
  over_limit,         ///< its client account is over its limit
  limit_unavailable,  ///< the control host that grants permits to its client account has not answered
};

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
      {refusal_reason::quarantined, "quarantined"},
      {refusal_reason::on_trial, "on_trial"},
      {refusal_reason::unauthenticated, "unauthenticated"},
      {refusal_reason::over_limit, "over_limit"},
      {refusal_reason::limit_unavailable, "limit_unavailable"},
  });
};

/// @return whether the refusal is about the request and not about one upstream, so that no other one may be tried.
constexpr bool holds_everywhere(refusal_reason reason) {
  return reason == refusal_reason::quarantined || reason == refusal_reason::on_trial ||
         reason == refusal_reason::unauthenticated;
}

/// Attributes of a request that the choice of an upstream depends on.
struct request_attributes {
  std::string host;
  std::string path;
  std::string method;
  std::map<std::string, std::string> headers;         ///< lower-case names
  std::optional<std::chrono::milliseconds> deadline;  ///< time left, from hd-deadline-ms; unset: none
  bool from_peer = false;            ///< from another node: only the upstream on this host may serve it
  std::string service;               ///< from_peer: the service that the first node chose
  std::string upstream_version;      ///< from_peer: the version that the first node chose
  std::chrono::milliseconds age{0};  ///< since the first node received it, or since the caller's first attempt
  std::chrono::milliseconds elapsed_before_attempt{0};  ///< part of `age`, as inferred by traffic
  std::uint32_t attempt = 0;                            ///< 0 for the first attempt
  std::vector<std::string> tried_targets;               ///< targets of earlier failed attempts
  bool may_have_run = false;   ///< an earlier attempt may have run, for example at an upstream that has crashed
  std::string pinned_service;  ///< later attempts: service of a split route that the first attempt chose
  request_fingerprint fingerprint;
  bool body_unread = false;           ///< the fingerprint lacks the body, which has not been read
  std::optional<key_digest> api_key;  ///< of the key that the caller has presented; unset: none
  std::string account;                ///< from_peer: the account that the first node has authenticated; empty: none
  std::optional<key_id> account_key;  ///< from_peer: the key by which it has done so
};

/// Load of a target, from its announcement (own host) or from the `hd-load` header of a response.
struct load_report {
  std::uint32_t in_flight = 0;  ///< requests that it is processing
  std::uint32_t queued = 0;     ///< requests that wait in its queue
  /// How long work takes on its host now, as a multiple of the usual time (2.5: two and a half times as long); 0 when
  /// the target does not report it.
  double pace = 0;
};

/// What an upstream states about itself in a response; it holds until a later response states something else.
struct upstream_statement {
  std::optional<double> rate_limit;  ///< requests a second that it accepts from all nodes together
  bool leaving = false;              ///< it is about to shut down

  bool operator==(const upstream_statement&) const = default;
};

/// The upstream for one attempt, and how to reach it.
struct upstream_choice {
  std::uint64_t pick_id = 0;  ///< identifies this attempt in finish_call
  std::string route;
  std::string service;
  std::string upstream_version;
  std::string target;
  std::string availability_zone;
  std::string node_id;  ///< node on the target's host
  bool local = false;   ///< true: connect to upstream_address; false: forward to the node at mesh_address
  std::string upstream_address;
  std::string mesh_address;
  locality_class locality = locality_class::local;
  bool idempotent = false;
  std::uint32_t attempts = 2;            ///< targets that the request may be sent to, retries included
  std::chrono::milliseconds timeout{0};  ///< the route's time-out or the time left to the deadline, whichever is less
  std::chrono::milliseconds elapsed_before_attempt{0};  ///< since the caller's first attempt; to be added to the age
  std::optional<load_report> target_load;  ///< local: last reported load, for hd-load of the response to a peer
  upstream_statement statement;            ///< local: the upstream's last statement that traffic knows
  std::string account;                     ///< client account of the request; empty: none
  bool remove_credentials = false;         ///< the caller's key and the account that it names are not forwarded
};

/// No upstream may serve the request now.
struct refusal {
  refusal_reason reason = refusal_reason::no_upstream;
  std::chrono::milliseconds retry_after{0};  ///< when the caller may retry; 0: not stated
  std::optional<load_report> load;           ///< of this host's upstream, if it is the one that is overloaded
};

/// Whether the request may run depends on its body: the caller of `pick` reads it and asks again.
struct body_required {};

using pick_result = std::variant<refusal, upstream_choice, body_required>;

/// How an attempt ended. `not_executed`: the upstream or its node stated that it did not process the request.
enum class call_outcome { ok, upstream_error, not_executed, timeout, connection_failed, cancelled };

template <>
struct enum_table<call_outcome> {
  static constexpr auto entries = std::to_array<enum_entry<call_outcome>>({
      {call_outcome::ok, "ok"},
      {call_outcome::upstream_error, "upstream_error"},
      {call_outcome::not_executed, "not_run"},
      {call_outcome::timeout, "timeout"},
      {call_outcome::connection_failed, "connection_failed"},
      {call_outcome::cancelled, "cancelled"},
  });
};

/// What an attempt shows about whether the request crashes upstreams.
enum class call_ending {
  unknown,   ///< nothing: not sent, or given up
  lost,      ///< the upstream ended the connection while it was running the request
  answered,  ///< the upstream itself has responded
};

template <>
struct enum_table<call_ending> {
  static constexpr auto entries = std::to_array<enum_entry<call_ending>>({
      {call_ending::unknown, "unknown"},
      {call_ending::lost, "lost"},
      {call_ending::answered, "answered"},
  });
};

/// Periodic timer of the traffic service.
struct traffic_tick {};

/// Posted by a timer: a request that waits for the rate limit of an upstream may start.
struct answers_due {};

/// From the subscriber: the document to use from now on.
struct update_document {
  compiled_document_ptr document;
};

/// Asks for an upstream for one attempt.
struct pick_upstream {
  request_attributes attributes;
  reply<pick_result> answer;
};

/// Reports the end of an attempt and releases its slot.
struct finish_call {
  std::uint64_t pick_id = 0;
  call_outcome outcome = call_outcome::ok;
  std::chrono::microseconds latency{0};  ///< until the first byte of the response
  std::optional<load_report> load;       ///< from the response, if it had one
  call_ending ending = call_ending::unknown;
  request_fingerprint request;  ///< of all that has been read of it
};

/// What an upstream announces about its cold start.
struct warmup_report {
  std::optional<std::chrono::milliseconds> left;  ///< for how much longer it is cold; nothing: not given
  std::uint64_t start_time_ms = 0;                ///< when it started; 0: not given

  bool operator==(const warmup_report&) const = default;
};

/// Sent by `announcements`: what the upstream on this host reported about its load and its cold start.
struct local_load {
  std::string target;
  load_report load;
  warmup_report warmup;
};

/// Sent by a proxy session: the upstream on this host has made another statement than the one of the choice.
struct upstream_stated {
  std::string target;
  upstream_statement statement;
};

/// Sent by `proxy` when the process begins its graceful shutdown. Later requests from peers, and those from callers
/// that could be broken off, are refused as `draining`.
struct start_draining {
  time_point noticed_at;  ///< callers that come later may know that the process is stopping
  time_point ends_at;     ///< latest time at which a response begins that still reaches its caller
};

/// Sent by `subscriber` when its stream to a control host has been opened, with a number that is never reused; 0: there
/// is none.
struct permit_source_changed {
  std::uint64_t stream = 0;
};

using traffic_message =
    std::variant<traffic_tick, answers_due, update_document, directory_changed, pick_upstream, finish_call, local_load,
                 upstream_stated, start_draining, quarantine_changed, permit_source_changed, permit_answer>;

}  // namespace heatherdeck

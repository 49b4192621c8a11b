/// @file
/// Messages of the fleet-wide rate limit of client accounts: between a node and its control host (on the subscription
/// stream), between control hosts (stream_kind::loan), and those of the service "permits".
///
/// A permit allows one request of an account to be sent to an upstream. `permit_granter` (control host) and
/// `permit_store` (node) decide; docs/design/fleet-limit.md has the rules and the arithmetic.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/mailbox.h"
#include "model/compiled_document.h"
#include "model/raft_messages.h"

namespace heatherdeck {

/// How long a permit is valid, from the time at which the node sent the request for it. A control host counts a permit
/// as outstanding for the same time from when it received the request, so never for less.
inline constexpr std::chrono::milliseconds permit_life{1000};

/// What a node needs of one account, and what became of the permits that it received on this stream.
struct permit_demand {
  std::string account;
  std::uint32_t waiting = 0;  ///< requests that wait for a permit
  std::uint32_t ahead = 0;    ///< permits that it expects to need before long
  std::uint32_t held = 0;     ///< permits that it may still spend
  std::uint64_t spent = 0;    ///< permits spent since the stream was opened
};

/// From a node. A node has at most one request in flight: by sending the next one it gives up the answer to the one
/// before, so permits of that answer are never spent.
struct permit_request {
  std::uint64_t id = 0;  ///< rises on a stream
  std::vector<permit_demand> accounts;
};

/// What a node does with the requests that got no permit.
enum class permit_verdict {
  granted,     ///< there are none
  ask_again,   ///< they wait: the control host may get permits from another one, or others are returned soon
  over_limit,  ///< they are refused, as are later ones until the stated time
};

template <>
struct enum_table<permit_verdict> {
  static constexpr auto entries = std::to_array<enum_entry<permit_verdict>>({
      {permit_verdict::granted, "granted"},
      {permit_verdict::ask_again, "ask_again"},
      {permit_verdict::over_limit, "over_limit"},
  });
};

struct permit_grant {
  std::string account;
  std::uint32_t granted = 0;
  permit_verdict verdict = permit_verdict::granted;
  std::chrono::milliseconds wait{0};  ///< ask_again, over_limit: until when
  bool scarce = false;                ///< few permits may be outstanding: the node reports soon what it has spent
};

/// Answer to one permit_request.
struct permit_answer {
  std::uint64_t id = 0;
  std::vector<permit_grant> accounts;
};

/// Unused permits of one account, in millionths, that one control host asks of or lends to another.
struct loan_row {
  std::string account;
  std::uint64_t amount = 0;
};

/// Between control hosts, both ways on a stream that the borrower has opened.
struct loan_message {
  std::uint64_t id = 0;  ///< of the request, repeated in the answer
  std::vector<loan_row> accounts;
};

/// From the ledger: the document whose accounts are limited from now on.
struct limits_changed {
  compiled_document_ptr document;
};

/// From the publisher: a node's request; the encoded answer goes to the node's subscription.
struct permits_requested {
  std::uint64_t subscription = 0;
  permit_request request;
  address<std::shared_ptr<const std::string>> outgoing;
};

/// From the task of a stream of another control host.
struct loan_requested {
  std::string peer_id;
  loan_message request;
  address<std::shared_ptr<const std::string>> outgoing;
};

/// From the link to another control host.
struct loan_answered {
  std::string peer_id;
  loan_message answer;
};

/// The state of the replicated log, asked for periodically.
struct membership_reported {
  consensus_status status;
};

/// Posted by a timer: loans are to be asked for, or have not arrived in time.
struct loans_due {};

/// Periodic timer.
struct permits_tick {};

using permits_message = std::variant<permits_tick, loans_due, limits_changed, permits_requested, loan_requested,
                                     loan_answered, membership_reported>;

}  // namespace heatherdeck

/// @file
/// Messages of the service "quarantine", which finds the requests that crash upstreams (node/quarantine_core.h).
#pragma once

#include <string>
#include <variant>

#include "model/directory_messages.h"
#include "model/quarantine_list.h"

namespace heatherdeck {

/// Timer of the service.
struct quarantine_tick {};

/// Sent by "traffic": an upstream on this host ended the connection of a request that it was running.
struct call_lost {
  std::string service;
  std::string target;
  std::string upstream_address;
  request_fingerprint request;
};

/// Sent by "traffic": an upstream on this host has responded to a listed request.
struct listed_call_answered {
  std::string service;
  request_fingerprint request;
};

/// Sent by the service to itself: whether the upstream that lost calls accepts connections.
struct upstream_checked {
  std::string target;
  bool refused = false;
};

/// Sent by "directory": an update of another node.
struct quarantine_update_received {
  quarantine_update update;
};

using quarantine_message = std::variant<quarantine_tick, call_lost, listed_call_answered, upstream_checked,
                                        quarantine_update_received, directory_changed>;

}  // namespace heatherdeck

/// @file
/// Messages of the operators service, which serves the HTTP API for operators on a control host.
#pragma once

#include <variant>

#include "kernel/mailbox.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// From an API request that waits for a change (long poll): replies with the document's version once it is newer than
/// `after`.
struct await_newer_version {
  version after;
  time_point deadline;  ///< the request is not waiting any more after this
  reply<version> answer;
};

using operators_message = std::variant<document_changed, await_newer_version>;

}  // namespace heatherdeck

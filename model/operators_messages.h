/// @file
/// Messages of the operators service, which answers the operators' API of a control host.
#pragma once

#include <variant>

#include "kernel/mailbox.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// From a request of the API that waits: answered once the document is newer than `after`, with its version.
struct wait_newer {
  version after;
  time_point deadline;  ///< the asker no longer waits after this
  reply<version> answer;
};

using operators_message = std::variant<document_changed, wait_newer>;

}  // namespace heatherdeck

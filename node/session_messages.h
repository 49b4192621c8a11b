/// @file
/// Messages between the proxy service and the tasks that serve its sessions.
#pragma once

#include <cstdint>
#include <variant>

#include "kernel/mailbox.h"

namespace heatherdeck {

/// Service to session: complete the request in flight, then close the connection.
struct begin_drain {};

using session_message = std::variant<begin_drain>;

/// What a session serves: a caller's connection, or one call from another node.
enum class session_kind { caller, peer };

template <>
struct enum_table<session_kind> {
  static constexpr auto entries = std::to_array<enum_entry<session_kind>>({
      {session_kind::caller, "caller"},
      {session_kind::peer, "peer"},
  });
};

/// Session to service: the session's task has ended.
struct session_ended {
  std::uint64_t session_id = 0;
  session_kind kind = session_kind::caller;
  std::uint64_t requests = 0;             ///< requests served
  std::uint64_t aborted = 0;              ///< exchanges that ended before the response was complete
  std::uint64_t pipelined = 0;            ///< requests that were served as a part of a pipeline
  std::uint64_t pipelined_cancelled = 0;  ///< of these, requests without a response because the connection ended
};

}  // namespace heatherdeck

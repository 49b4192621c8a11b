/// @file
/// Messages between the proxy service and its sessions.
#pragma once

#include <cstdint>
#include <variant>

#include "kernel/mailbox.h"

namespace heatherdeck {

/// To a session: finish what is in flight, then close.
struct begin_drain {};

using session_message = std::variant<begin_drain>;

enum class session_kind { caller, peer };

template <>
struct enum_table<session_kind> {
  static constexpr auto entries = std::to_array<enum_entry<session_kind>>({
      {session_kind::caller, "caller"},
      {session_kind::peer, "peer"},
  });
};

/// To the service: the session's task has ended.
struct session_ended {
  std::uint64_t session_id = 0;
  session_kind kind = session_kind::caller;
  std::uint64_t requests = 0;
  std::uint64_t aborted = 0;  ///< answers or requests that did not end
};

}  // namespace heatherdeck

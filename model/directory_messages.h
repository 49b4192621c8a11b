/// @file
/// Members and endpoints, as the directory knows and spreads them, and the messages of the directory service.
///
/// Traffic decisions get the whole view by `directory_view` whenever it changes; nobody else holds the directory's
/// state.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/mailbox.h"

namespace heatherdeck {

enum class upstream_state { starting, ready, draining, gone };

template <>
struct enum_table<upstream_state> {
  static constexpr auto entries = std::to_array<enum_entry<upstream_state>>({
      {upstream_state::starting, "starting"},
      {upstream_state::ready, "ready"},
      {upstream_state::draining, "draining"},
      {upstream_state::gone, "gone"},
  });
};

enum class member_state { alive, suspect, left };

template <>
struct enum_table<member_state> {
  static constexpr auto entries = std::to_array<enum_entry<member_state>>({
      {member_state::alive, "alive"},
      {member_state::suspect, "suspect"},
      {member_state::left, "left"},
  });
};

enum class process_role { control, node };

template <>
struct enum_table<process_role> {
  static constexpr auto entries = std::to_array<enum_entry<process_role>>({
      {process_role::control, "control"},
      {process_role::node, "node"},
  });
};

/// The upstream on a member's host.
struct endpoint_record {
  std::string service;
  std::string upstream_version;
  std::string target;   ///< name of the upstream instance
  std::string address;  ///< "ip:port", reachable from the member's own host only
  upstream_state state = upstream_state::gone;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;

  bool operator==(const endpoint_record&) const = default;
};

/// One process of the mesh. A record with a higher (incarnation, sequence) replaces a lower one.
struct member_record {
  std::string node_id;
  std::string availability_zone;
  std::string region;
  std::string mesh_address;  ///< "ip:port", TCP and UDP
  process_role role = process_role::node;
  std::uint64_t incarnation = 0;  ///< chosen at process start, rises with each start
  std::uint64_t sequence = 0;     ///< rises with each change within an incarnation
  member_state state = member_state::alive;
  bool draining = false;  ///< the process is stopping: it takes no new work
  std::vector<endpoint_record> endpoints;

  bool operator==(const member_record&) const = default;
};

/// An immutable view of all members; shared between services of one process by value of the pointer.
using directory_view_ptr = std::shared_ptr<const std::vector<member_record>>;

/// Sent by `announcements` when the upstream on this host changes.
struct local_endpoint_changed {
  endpoint_record endpoint;
};

/// Sent by `proxy` when the process begins its graceful shutdown.
struct local_draining {};

/// Asks for the present view.
struct get_members {
  reply<directory_view_ptr> answer;
};

/// Other mesh addresses to look for members at, from settings that were read again.
struct use_seeds {
  std::vector<std::string> addresses;
};

struct directory_tick {};

using directory_message = std::variant<directory_tick, local_endpoint_changed, local_draining, get_members, use_seeds>;

/// Posted by `directory` to `traffic` (and to others that subscribe) after a change; see traffic_messages.h.
struct directory_view {
  directory_view_ptr members;
};

}  // namespace heatherdeck

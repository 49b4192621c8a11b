/// @file
/// Records of members and endpoints that the directory service spreads by gossip, and the messages of that service.
///
/// After each change the directory posts the list of all members as `directory_changed` to the traffic service and
/// other subscribers. The list is immutable; only the directory changes records.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/mailbox.h"
#include "model/quarantine_list.h"

namespace heatherdeck {

/// State of an upstream as it announces it. `gone` is set when it withdraws or its announcements stop.
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

/// `suspect`: the member did not respond to probes and may have failed; `left`: it announced that it shuts down.
enum class member_state { alive, suspect, left };

template <>
struct enum_table<member_state> {
  static constexpr auto entries = std::to_array<enum_entry<member_state>>({
      {member_state::alive, "alive"},
      {member_state::suspect, "suspect"},
      {member_state::left, "left"},
  });
};

/// What a process does in the mesh: `control` replicates the document, `node` serves traffic.
enum class process_role { control, node };

template <>
struct enum_table<process_role> {
  static constexpr auto entries = std::to_array<enum_entry<process_role>>({
      {process_role::control, "control"},
      {process_role::node, "node"},
  });
};

/// An upstream on a member's host.
struct endpoint_record {
  std::string service;
  std::string upstream_version;
  std::string target;   ///< name of this upstream instance
  std::string address;  ///< "ip:port"; only processes on the member's host connect to it
  upstream_state state = upstream_state::gone;
  std::uint32_t slots = 0;        ///< requests that it processes concurrently
  std::uint32_t connections = 0;  ///< connections that it accepts

  bool operator==(const endpoint_record&) const = default;
};

/// Orders the announcements of one target, so that those that arrive out of order can be ignored.
struct announcement_order {
  std::uint64_t start_time_ms = 0;  ///< start time of the target in milliseconds; 0: not given
  std::uint64_t sequence = 0;       ///< rises since this start; 0: not given

  // clang-tidy mistakes the zero in the compiler's rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const announcement_order&) const = default;
};

/// A target that drains or has left. Announcements of it up to `last` are outdated, also for a later process of its
/// host.
struct target_departure {
  std::string target;
  announcement_order last;

  bool operator==(const target_departure&) const = default;
};

/// One process of the mesh. Of two records of a member, the one with the higher (incarnation, sequence) is newer and
/// replaces the other.
struct member_record {
  std::string node_id;
  std::string availability_zone;
  std::string region;
  std::string mesh_address;  ///< "ip:port" for TCP and UDP
  process_role role = process_role::node;
  std::uint64_t incarnation = 0;  ///< chosen at process start; increases with every start
  std::uint64_t sequence = 0;     ///< increases with every change within an incarnation
  member_state state = member_state::alive;
  bool draining = false;  ///< the process is shutting down and accepts no new requests
  std::vector<endpoint_record> endpoints;
  std::vector<target_departure> departures;  ///< recent ones on this host, the oldest first

  bool operator==(const member_record&) const = default;
};

/// An immutable list of all members. Services of one process share it by copying the pointer.
using member_list_ptr = std::shared_ptr<const std::vector<member_record>>;

/// Sent by `announcements` when the upstream on this host changes.
struct local_endpoint_changed {
  endpoint_record endpoint;
};

/// Sent by `announcements` when a target on this host drains or has left. Answered once other members have recorded it,
/// with the number of those that have confirmed it; 0 when this process is the only one of the mesh.
struct keep_departure {
  target_departure departure;
  reply<std::size_t> answer;  ///< may be empty
};

/// Sent by `directory` to `announcements`: departures that an earlier process of this host has recorded.
struct departures_adopted {
  std::vector<target_departure> departures;
};

/// Sent by `subscriber` to `announcements`: all departures on this host that the control hosts had recorded when this
/// process subscribed.
struct departures_confirmed {
  std::vector<target_departure> departures;
};

/// Sent by `traffic` to `announcements` when the upstream on this host states in a response that it is leaving.
struct upstream_leaving {
  std::string target;
};

/// What other services tell `announcements`.
using announcement_notice = std::variant<upstream_leaving, departures_adopted, departures_confirmed>;

/// Sent by `proxy` when the process begins its graceful shutdown; sets `member_record::draining`.
struct announce_draining {};

/// Asks for the current list of members.
struct get_members {
  reply<member_list_ptr> answer;
};

/// Replaces the mesh addresses that gossip contacts first, after a reload of the settings.
struct set_seeds {
  std::vector<std::string> addresses;
};

/// Sent by "quarantine": an update for the process at a mesh address, whose "quarantine" gets it.
struct send_quarantine_update {
  std::string to;
  quarantine_update update;
};

/// Periodic timer of the directory.
struct directory_tick {};

using directory_message = std::variant<directory_tick, local_endpoint_changed, keep_departure, announce_draining,
                                       get_members, set_seeds, send_quarantine_update>;

/// Posted by `directory` to `traffic` and other subscribers after every change; an alternative of `traffic_message`,
/// `subscriber_message` and `consensus_message`.
struct directory_changed {
  member_list_ptr members;
};

}  // namespace heatherdeck

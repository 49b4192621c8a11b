/// @file
/// Decides on the operators' calls that start or end the evacuation of an availability zone: which edit of the section
/// "evacuations" a call needs, or why it is refused. Called by the configuration service
/// (platform/configuration_service.h):
///
///     zone_registry zones(founder_addresses);
///     zones.observe(members, now);                                                  // once a second
///     auto change = plan_evacuation(evacuation_call::start, "dar-1", document, zones.known());
///     if (change && *change) ...                                                    // submit **change
///
/// The section is a JSON list of zone names. It is never removed, because its revision must not return to an earlier
/// value: the id of a submission is derived from the revision and the text. Pure, no I/O.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/result.h"
#include "kernel/timer_service.h"
#include "model/directory_messages.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

enum class evacuation_call { start, end };

template <>
struct enum_table<evacuation_call> {
  static constexpr auto entries = std::to_array<enum_entry<evacuation_call>>({
      {evacuation_call::start, "start"},
      {evacuation_call::end, "end"},
  });
};

/// The availability zones that a control host knows.
struct known_zones {
  std::set<std::string> all;
  std::set<std::string> serving;  ///< those with nodes
  bool complete = false;          ///< a zone that is not listed does not exist
};

/// Collects the zones of the members of the mesh. A zone that was seen once stays known, because a zone that is cut off
/// leaves the list of members and can be evacuated all the same.
class zone_registry {
 public:
  /// Gossip takes this long to bring a process that has just started the whole list of members.
  static constexpr milliseconds settling_time{2000};

  /// @param control_addresses addresses ("ip" or "ip:port") of all control hosts, as far as the settings list them.
  explicit zone_registry(const std::vector<std::string>& control_addresses);

  void observe(const std::vector<member_record>& members, time_point now);

  /// @return the zones; complete from the time on when all control hosts and members have been in touch together for
  /// the
  ///   settling time. No zone was cut off then, and the members of a later zone are seen when they join.
  const known_zones& known() const { return zones_; }

 private:
  std::set<std::string> control_hosts_;  ///< IP addresses
  known_zones zones_;
  std::optional<time_point> all_in_touch_since_;
};

/// @return the zones that the document lists as evacuated.
result<std::set<std::string>> evacuated_zones(const document_state& document);

/// @return the change that the call needs, nothing if the document has it already, or why the call is refused:
///   `not_found` for a zone that does not exist, `conflict` for the last zone that serves, `unavailable` if that is not
///   certain now.
result<std::optional<submission>> plan_evacuation(evacuation_call call, const std::string& zone,
                                                  const document_state& document, const known_zones& zones);

}  // namespace heatherdeck

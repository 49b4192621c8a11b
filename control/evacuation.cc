// Invariant: two calls can only be accepted one after the other, because each change names the revision of the section
// that it was decided on; so the check for the last zone holds for the document that results. Cost: one pass over the
// members for each list, one parse of a short list for each call.
#include "control/evacuation.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "model/document_digest.h"
#include "model/section_parser.h"

namespace heatherdeck {
namespace {

const std::string section_name{to_name(section_kind::evacuations)};
constexpr const char* operator_name = "platform";

std::string without_port(const std::string& address) { return address.substr(0, address.rfind(':')); }

boost::leaf::error_id refuse(error_kind kind, const std::string& zone, std::string_view text, std::string remedy) {
  return fail(kind, fmt::format("zone '{}' {}", zone.substr(0, 64), text), std::move(remedy), "zone");
}

// A call is refused for good only if it could not succeed later: until the zones are known, it is to be sent again.
boost::leaf::error_id refuse(const known_zones& zones, error_kind kind, const std::string& zone, std::string_view text,
                             std::string remedy) {
  if (zones.complete) return refuse(kind, zone, text, std::move(remedy));
  return refuse(error_kind::unavailable, zone, fmt::format("{} as far as this host knows now", text), "try again");
}

result<void> check_start(const std::string& zone, const std::set<std::string>& evacuated, const known_zones& zones) {
  if (!zones.all.contains(zone)) {
    return refuse(zones, error_kind::not_found, zone, "does not exist", "name the zone of a member");
  }
  const bool other_serves = std::any_of(zones.serving.begin(), zones.serving.end(), [&](const std::string& other) {
    return other != zone && !evacuated.contains(other);
  });
  if (other_serves) return {};
  return refuse(zones, error_kind::conflict, zone, "is the last one that is not evacuated",
                "end the evacuation of another zone first");
}

}  // namespace

zone_registry::zone_registry(const std::vector<std::string>& control_addresses) {
  for (const std::string& address : control_addresses) control_hosts_.insert(without_port(address));
}

void zone_registry::observe(const std::vector<member_record>& members, time_point now) {
  std::set<std::string> missing = control_hosts_;
  bool in_touch = !members.empty();
  for (const member_record& member : members) {
    if (member.availability_zone.empty()) continue;
    zones_.all.insert(member.availability_zone);
    if (member.role == process_role::node) zones_.serving.insert(member.availability_zone);
    if (member.state == member_state::suspect) in_touch = false;
    if (member.state == member_state::alive) missing.erase(without_port(member.mesh_address));
  }
  if (!in_touch || !missing.empty()) {
    all_in_touch_since_.reset();
  } else if (!all_in_touch_since_) {
    all_in_touch_since_ = now;
  } else if (now - *all_in_touch_since_ >= settling_time) {
    zones_.complete = true;
  }
}

result<std::set<std::string>> evacuated_zones(const document_state& document) {
  const auto held = document.sections.find(section_name);
  if (held == document.sections.end()) return std::set<std::string>();
  BOOST_LEAF_AUTO(parsed, parse_section(section_name, held->second.text));
  const std::vector<std::string>& zones = std::get<evacuations_section>(parsed).zones;
  return std::set<std::string>(zones.begin(), zones.end());
}

result<std::optional<submission>> plan_evacuation(evacuation_call call, const std::string& zone,
                                                  const document_state& document, const known_zones& zones) {
  BOOST_LEAF_AUTO(evacuated, evacuated_zones(document));
  const bool start = call == evacuation_call::start;
  // A repeated call, also for a zone that no member is in any more.
  if (start && evacuated.contains(zone)) return std::optional<submission>();
  if (start) {
    BOOST_LEAF_CHECK(check_start(zone, evacuated, zones));
    evacuated.insert(zone);
  } else if (evacuated.erase(zone) == 0) {
    if (zones.all.contains(zone)) return std::optional<submission>();
    return refuse(zones, error_kind::not_found, zone, "does not exist", "name the zone of a member");
  }
  const auto held = document.sections.find(section_name);
  const version revision = held == document.sections.end() ? version{} : held->second.revision;
  const std::string text = boost::json::serialize(boost::json::array(evacuated.begin(), evacuated.end()));
  const std::string id = fmt::format("{}-{}-{:016x}", section_name, revision.text(), hash64(text));
  return std::optional<submission>({id, operator_name, {{section_name, text, revision}}, {}});
}

}  // namespace heatherdeck

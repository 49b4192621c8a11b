// Codec of member records.
// Invariant: the state and role of a decoded record are known enumerators.
#include "wire/codec.h"
#include "wire/codec_parts.h"

namespace heatherdeck::codec {
namespace {

void write(const endpoint_record& from, pb::EndpointRecord& to) {
  to.set_service(from.service);
  to.set_upstream_version(from.upstream_version);
  to.set_target(from.target);
  to.set_address(from.address);
  to.set_state(enum_number(from.state));
  to.set_slots(from.slots);
  to.set_connections(from.connections);
}

void read(const pb::EndpointRecord& from, endpoint_record& to, decode_context& context) {
  to.service = from.service();
  to.upstream_version = from.upstream_version();
  to.target = from.target();
  to.address = from.address();
  to.state = read_enum<upstream_state>(from.state(), context);
  to.slots = from.slots();
  to.connections = from.connections();
}

}  // namespace

void write(const target_departure& from, pb::TargetDeparture& to) {
  to.set_target(from.target);
  to.set_start_time_ms(from.last.start_time_ms);
  to.set_sequence(from.last.sequence);
}

void read(const pb::TargetDeparture& from, target_departure& to, decode_context& context) {
  to.target = from.target();
  to.last = {from.start_time_ms(), from.sequence()};
  if (to.target.empty()) context.set_error("a departure names no target");
}

void write(const member_record& from, pb::MemberRecord& to) {
  to.set_node_id(from.node_id);
  to.set_availability_zone(from.availability_zone);
  to.set_region(from.region);
  to.set_mesh_address(from.mesh_address);
  to.set_role(enum_number(from.role));
  to.set_incarnation(from.incarnation);
  to.set_sequence(from.sequence);
  to.set_state(enum_number(from.state));
  to.set_draining(from.draining);
  for (const endpoint_record& item : from.endpoints) write(item, *to.add_endpoints());
  for (const target_departure& item : from.departures) write(item, *to.add_departures());
}

void read(const pb::MemberRecord& from, member_record& to, decode_context& context) {
  to.node_id = from.node_id();
  to.availability_zone = from.availability_zone();
  to.region = from.region();
  to.mesh_address = from.mesh_address();
  to.role = read_enum<process_role>(from.role(), context);
  to.incarnation = from.incarnation();
  to.sequence = from.sequence();
  to.state = read_enum<member_state>(from.state(), context);
  to.draining = from.draining();
  for (const auto& item : from.endpoints()) {
    endpoint_record endpoint;
    read(item, endpoint, context);
    to.endpoints.push_back(std::move(endpoint));
  }
  for (const auto& item : from.departures()) read(item, to.departures.emplace_back(), context);
  if (to.node_id.empty()) context.set_error("a member record has no node_id");
}

void write(const std::vector<member_record>& from, pb::MemberList& to) {
  for (const member_record& item : from) write(item, *to.add_members());
}

void read(const pb::MemberList& from, std::vector<member_record>& to, decode_context& context) {
  for (const auto& item : from.members()) {
    member_record record;
    read(item, record, context);
    if (context.failed()) return;
    to.push_back(std::move(record));
  }
}

}  // namespace heatherdeck::codec

namespace heatherdeck {

std::string encode(const std::vector<member_record>& records) { return codec::encode_as<pb::MemberList>(records); }

template <>
result<std::vector<member_record>> decode<std::vector<member_record>>(std::string_view bytes) {
  return codec::decode_as<std::vector<member_record>, pb::MemberList>(bytes, "member records");
}

}  // namespace heatherdeck

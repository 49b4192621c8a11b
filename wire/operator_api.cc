// Conversion of the API types to and from JSON, member by member.
//
// Invariant: a parsed value is complete; enumerators are converted by their tables of names. Cost: one JSON tree per
// request.
#include "wire/operator_api.h"

#include <algorithm>
#include <charconv>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_from.hpp>

#include "model/operator_signature.h"

namespace heatherdeck {
namespace {

namespace json = boost::json;

boost::leaf::error_id bad_member(std::string_view name, std::string_view expected) {
  return fail(error_kind::bad_message, "member '" + std::string(name) + "' is not " + std::string(expected),
              "check that both programs are of the same release", std::string(name));
}

// Reads the members of one JSON object.
class object_reader {
 public:
  static result<object_reader> make(const json::value& value, std::string_view name) {
    if (!value.is_object()) return bad_member(name, "an object");
    return object_reader(value.get_object());
  }

  result<std::string> text(std::string_view name) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr || !found->is_string()) return bad_member(name, "a string");
    return std::string(found->get_string());
  }
  result<std::string> text_or_empty(std::string_view name) const {
    return object_->contains(name) ? text(name) : result<std::string>(std::string());
  }
  result<std::uint64_t> number(std::string_view name) const {
    const json::value* found = object_->if_contains(name);
    boost::system::error_code ec;
    const auto value = found == nullptr ? 0 : found->to_number<std::uint64_t>(ec);
    if (found == nullptr || ec) return bad_member(name, "a non-negative integer");
    return value;
  }
  result<bool> flag(std::string_view name) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr || !found->is_bool()) return bad_member(name, "true or false");
    return found->get_bool();
  }
  result<version> version_of(std::string_view name) const {
    BOOST_LEAF_AUTO(shown, text(name));
    return parse_version(shown);
  }
  template <class Enum>
  result<Enum> name_of(std::string_view name) const {
    BOOST_LEAF_AUTO(shown, text(name));
    if (const auto value = from_name<Enum>(shown)) return *value;
    return bad_member(name, "one of " + all_names<Enum>());
  }
  // Calls `read(object_reader)` for each object of an array.
  template <class Read>
  result<void> each(std::string_view name, Read read) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr || !found->is_array()) return bad_member(name, "an array");
    for (const json::value& item : found->get_array()) {
      BOOST_LEAF_AUTO(reader, make(item, name));
      BOOST_LEAF_CHECK(read(reader));
    }
    return {};
  }
  const json::value* find(std::string_view name) const { return object_->if_contains(name); }

 private:
  explicit object_reader(const json::object& object) : object_(&object) {}

  const json::object* object_;
};

template <class Items>
json::array to_array(const Items& items) {
  json::array out;
  for (const auto& item : items) out.emplace_back(to_json(item));
  return out;
}

result<rollout_state> read_rollout(const object_reader& in) {
  rollout_state out;
  BOOST_LEAF_ASSIGN(out.service, in.text("service"));
  BOOST_LEAF_ASSIGN(out.from, in.text("from"));
  BOOST_LEAF_ASSIGN(out.to, in.text("to"));
  BOOST_LEAF_AUTO(share, in.number("share"));
  out.share = static_cast<basis_points>(share);
  BOOST_LEAF_ASSIGN(out.status, in.name_of<rollout_status>("status"));
  BOOST_LEAF_ASSIGN(out.reason, in.text("reason"));
  BOOST_LEAF_ASSIGN(out.started_in, in.version_of("started"));
  return out;
}

result<withdrawn_version> read_withdrawn(const object_reader& in) {
  withdrawn_version out;
  BOOST_LEAF_ASSIGN(out.service, in.text("service"));
  BOOST_LEAF_ASSIGN(out.upstream_version, in.text("version"));
  BOOST_LEAF_ASSIGN(out.reason, in.text("reason"));
  BOOST_LEAF_ASSIGN(out.withdrawn_in, in.version_of("at"));
  return out;
}

result<subscriber_status> read_subscriber(const object_reader& in) {
  subscriber_status out;
  BOOST_LEAF_ASSIGN(out.node_id, in.text("node"));
  BOOST_LEAF_ASSIGN(out.availability_zone, in.text("zone"));
  BOOST_LEAF_ASSIGN(out.applied, in.version_of("applied"));
  BOOST_LEAF_AUTO(since, in.number("since_ms"));
  out.applied_for = std::chrono::milliseconds(since);
  if (const json::value* refused = in.find("refused")) {
    BOOST_LEAF_AUTO(reason, from_json<error>(*refused));
    out.refused = reason;
  }
  return out;
}

}  // namespace

json::object to_json(const section_edit& value) {
  return {{"section", value.name}, {"text", value.text}, {"base", value.base.text()}};
}

json::object to_json(const rollout_state& value) {
  return {{"service", value.service},
          {"from", value.from},
          {"to", value.to},
          {"share", value.share},
          {"status", to_name(value.status)},
          {"reason", value.reason},
          {"started", value.started_in.text()}};
}

json::object to_json(const rollout_view& value) {
  json::object out = to_json(value.state);
  out["time_left_s"] = std::max<std::int64_t>(value.time_left.count(), 0);
  out["evidence"] = value.evidence;
  return out;
}

json::object to_json(const withdrawn_version& value) {
  return {{"service", value.service},
          {"version", value.upstream_version},
          {"reason", value.reason},
          {"at", value.withdrawn_in.text()}};
}

json::object to_json(const subscriber_status& value) {
  json::object out{{"node", value.node_id},
                   {"zone", value.availability_zone},
                   {"applied", value.applied.text()},
                   {"since_ms", std::max<std::int64_t>(value.applied_for.count(), 0)}};
  if (value.refused) out["refused"] = to_json(*value.refused);
  return out;
}

json::object to_json(const known_node& value) { return {{"node", value.node_id}, {"zone", value.availability_zone}}; }

json::object to_json(const raft_member& value) {
  return {{"host", value.host_id}, {"mesh_address", value.mesh_address}, {"learner", value.learner}};
}

json::object to_json(const submission& value) {
  return {{"id", value.id},
          {"operator", value.operator_name},
          {"edits", to_array(value.edits)},
          {"signature", to_base64(value.signature)}};
}

json::object to_json(const submission_result& value) {
  if (value.answer.ok()) return {{"accepted", value.answer.accepted_version.text()}};
  json::object out{{"error", to_json(value.answer.refusal)}};
  if (!value.answer.current_revisions.empty()) {
    json::array current;
    for (const version& v : value.answer.current_revisions) current.emplace_back(v.text());
    out["current"] = std::move(current);
  }
  if (!value.leader.empty()) out["leader"] = value.leader;
  return out;
}

json::object to_json(const section& value) {
  return {{"name", value.name}, {"text", value.text}, {"revision", value.revision.text()}};
}

json::object to_json(const document_state& value) {
  json::array sections;
  for (const auto& [name, one] : value.sections) sections.emplace_back(to_json(one));
  json::array rollouts;
  for (const auto& [service, one] : value.rollouts) rollouts.emplace_back(to_json(one));
  json::array withdrawn;
  for (const auto& [key, one] : value.withdrawn) withdrawn.emplace_back(to_json(one));
  return {{"version", value.document_version.text()},
          {"sections", std::move(sections)},
          {"rollouts", std::move(rollouts)},
          {"withdrawn", std::move(withdrawn)}};
}

json::object to_json(const control_status& value) {
  return {{"host", value.host},
          {"zone", value.availability_zone},
          {"role", to_name(value.consensus.role)},
          {"term", value.consensus.term},
          {"commit", value.consensus.commit_index},
          {"leader", value.consensus.leader},
          {"leader_address", value.leader_address},
          {"quorum", value.consensus.has_quorum},
          {"control_addresses", json::value_from(value.control_addresses)},
          {"voters", to_array(value.consensus.voters)},
          {"version", value.document.text()},
          {"subscribers", to_array(value.subscribers)},
          {"nodes", to_array(value.nodes)}};
}

json::object to_json(const rollouts_status& value) {
  return {{"version", value.document.text()},
          {"rollouts", to_array(value.rollouts)},
          {"withdrawn", to_array(value.withdrawn)}};
}

template <>
result<error> from_json<error>(const json::value& body) {
  BOOST_LEAF_AUTO(in, object_reader::make(body, "error"));
  error out;
  BOOST_LEAF_AUTO(kind, in.text("kind"));
  out.kind = from_name<error_kind>(kind).value_or(error_kind::internal);
  BOOST_LEAF_ASSIGN(out.text, in.text("text"));
  BOOST_LEAF_ASSIGN(out.remedy, in.text_or_empty("remedy"));
  BOOST_LEAF_ASSIGN(out.where, in.text_or_empty("where"));
  return out;
}

template <>
result<submission> from_json<submission>(const json::value& body) {
  BOOST_LEAF_AUTO(in, object_reader::make(body, "submission"));
  submission out;
  BOOST_LEAF_ASSIGN(out.id, in.text("id"));
  BOOST_LEAF_ASSIGN(out.operator_name, in.text("operator"));
  BOOST_LEAF_AUTO(signature, in.text("signature"));
  BOOST_LEAF_ASSIGN(out.signature, from_base64(signature));
  BOOST_LEAF_CHECK(in.each("edits", [&](const object_reader& item) -> result<void> {
    section_edit edit;
    BOOST_LEAF_ASSIGN(edit.name, item.text("section"));
    BOOST_LEAF_ASSIGN(edit.text, item.text("text"));
    BOOST_LEAF_ASSIGN(edit.base, item.version_of("base"));
    out.edits.push_back(std::move(edit));
    return {};
  }));
  return out;
}

template <>
result<submission_result> from_json<submission_result>(const json::value& body) {
  BOOST_LEAF_AUTO(in, object_reader::make(body, "answer"));
  submission_result out;
  if (in.find("accepted") != nullptr) {
    BOOST_LEAF_ASSIGN(out.answer.accepted_version, in.version_of("accepted"));
    return out;
  }
  const json::value* refusal = in.find("error");
  if (refusal == nullptr) return bad_member("error", "present");
  BOOST_LEAF_ASSIGN(out.answer.refusal, from_json<error>(*refusal));
  BOOST_LEAF_ASSIGN(out.leader, in.text_or_empty("leader"));
  const json::value* current = in.find("current");
  if (current == nullptr || !current->is_array()) return out;
  for (const json::value& item : current->get_array()) {
    if (!item.is_string()) return bad_member("current", "an array of versions");
    BOOST_LEAF_AUTO(revision, parse_version(item.get_string()));
    out.answer.current_revisions.push_back(revision);
  }
  return out;
}

template <>
result<document_state> from_json<document_state>(const json::value& body) {
  BOOST_LEAF_AUTO(in, object_reader::make(body, "document"));
  document_state out;
  BOOST_LEAF_ASSIGN(out.document_version, in.version_of("version"));
  BOOST_LEAF_CHECK(in.each("sections", [&](const object_reader& item) -> result<void> {
    section one;
    BOOST_LEAF_ASSIGN(one.name, item.text("name"));
    BOOST_LEAF_ASSIGN(one.text, item.text("text"));
    BOOST_LEAF_ASSIGN(one.revision, item.version_of("revision"));
    out.sections[one.name] = one;
    return {};
  }));
  BOOST_LEAF_CHECK(in.each("rollouts", [&](const object_reader& item) -> result<void> {
    BOOST_LEAF_AUTO(one, read_rollout(item));
    out.rollouts[one.service] = one;
    return {};
  }));
  BOOST_LEAF_CHECK(in.each("withdrawn", [&](const object_reader& item) -> result<void> {
    BOOST_LEAF_AUTO(one, read_withdrawn(item));
    out.withdrawn[{one.service, one.upstream_version}] = one;
    return {};
  }));
  return out;
}

template <>
result<control_status> from_json<control_status>(const json::value& body) {
  BOOST_LEAF_AUTO(in, object_reader::make(body, "status"));
  control_status out;
  BOOST_LEAF_ASSIGN(out.host, in.text("host"));
  BOOST_LEAF_ASSIGN(out.availability_zone, in.text("zone"));
  BOOST_LEAF_ASSIGN(out.consensus.role, in.name_of<raft_role>("role"));
  BOOST_LEAF_ASSIGN(out.consensus.term, in.number("term"));
  BOOST_LEAF_ASSIGN(out.consensus.commit_index, in.number("commit"));
  BOOST_LEAF_ASSIGN(out.consensus.leader, in.text("leader"));
  BOOST_LEAF_ASSIGN(out.consensus.has_quorum, in.flag("quorum"));
  BOOST_LEAF_ASSIGN(out.leader_address, in.text("leader_address"));
  BOOST_LEAF_ASSIGN(out.document, in.version_of("version"));
  const json::value* addresses = in.find("control_addresses");
  if (addresses != nullptr && addresses->is_array()) {
    for (const json::value& item : addresses->get_array()) {
      if (item.is_string()) out.control_addresses.emplace_back(item.get_string());
    }
  }
  BOOST_LEAF_CHECK(in.each("voters", [&](const object_reader& item) -> result<void> {
    raft_member one;
    BOOST_LEAF_ASSIGN(one.host_id, item.text("host"));
    BOOST_LEAF_ASSIGN(one.mesh_address, item.text("mesh_address"));
    BOOST_LEAF_ASSIGN(one.learner, item.flag("learner"));
    out.consensus.voters.push_back(std::move(one));
    return {};
  }));
  BOOST_LEAF_CHECK(in.each("subscribers", [&](const object_reader& item) -> result<void> {
    BOOST_LEAF_AUTO(one, read_subscriber(item));
    out.subscribers.push_back(std::move(one));
    return {};
  }));
  // Control hosts of the previous release send no `nodes`.
  if (in.find("nodes") == nullptr) return out;
  BOOST_LEAF_CHECK(in.each("nodes", [&](const object_reader& item) -> result<void> {
    known_node one;
    BOOST_LEAF_ASSIGN(one.node_id, item.text("node"));
    BOOST_LEAF_ASSIGN(one.availability_zone, item.text("zone"));
    out.nodes.push_back(std::move(one));
    return {};
  }));
  return out;
}

template <>
result<rollouts_status> from_json<rollouts_status>(const json::value& body) {
  BOOST_LEAF_AUTO(in, object_reader::make(body, "rollouts"));
  rollouts_status out;
  BOOST_LEAF_ASSIGN(out.document, in.version_of("version"));
  BOOST_LEAF_CHECK(in.each("rollouts", [&](const object_reader& item) -> result<void> {
    rollout_view one;
    BOOST_LEAF_ASSIGN(one.state, read_rollout(item));
    BOOST_LEAF_AUTO(time_left, item.number("time_left_s"));
    one.time_left = std::chrono::seconds(time_left);
    BOOST_LEAF_ASSIGN(one.evidence, item.text("evidence"));
    out.rollouts.push_back(std::move(one));
    return {};
  }));
  BOOST_LEAF_CHECK(in.each("withdrawn", [&](const object_reader& item) -> result<void> {
    BOOST_LEAF_AUTO(one, read_withdrawn(item));
    out.withdrawn.push_back(std::move(one));
    return {};
  }));
  return out;
}

result<json::value> parse_json(std::string_view text) {
  boost::system::error_code ec;
  json::value parsed = json::parse(text, ec);
  if (ec) return fail(error_kind::bad_message, "the body is not valid JSON: " + ec.message(), "send a JSON object");
  return parsed;
}

result<version> parse_version(std::string_view text) {
  version parsed;
  const char* const end = text.data() + text.size();
  const auto epoch = std::from_chars(text.data(), end, parsed.epoch);
  if (epoch.ec == std::errc() && epoch.ptr != end && *epoch.ptr == '.') {
    const auto index = std::from_chars(epoch.ptr + 1, end, parsed.index);
    if (index.ec == std::errc() && index.ptr == end) return parsed;
  }
  return fail(error_kind::usage, "'" + std::string(text.substr(0, 64)) + "' is not a version",
              "write it as epoch.index, e.g. 1.17");
}

}  // namespace heatherdeck

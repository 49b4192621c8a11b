// Codec of the document (sections, states, deltas) and of errors.
// Invariant: a decoded state has no duplicate keys and is within the limits of model/document.h.
#include "wire/codec.h"
#include "wire/codec_parts.h"

namespace heatherdeck::codec {

void write(const digest& from, pb::Digest& to) {
  to.set_high(from.high);
  to.set_low(from.low);
}

digest read_digest(const pb::Digest& from) { return {from.high(), from.low()}; }

void write(const error& from, pb::Error& to) {
  to.set_kind(enum_number(from.kind));
  to.set_text(from.text);
  to.set_remedy(from.remedy);
  to.set_where(from.where);
}

void read(const pb::Error& from, error& to, decode_context&) {
  // An error kind that only a later release knows is decoded as `internal`; its text is kept.
  decode_context unknown;
  to.kind = read_enum<error_kind>(from.kind(), unknown);
  to.text = from.text();
  to.remedy = from.remedy();
  to.where = from.where();
}

void write(const section& from, pb::Section& to) {
  to.set_name(from.name);
  write_text(from.text, *to.mutable_text());
  write_version(from.revision, to, &pb::Section::mutable_revision);
}

void read(const pb::Section& from, section& to, decode_context& context) {
  to.name = from.name();
  read_text(from.text(), to.text, context);
  to.revision = read_version(from.revision());
}

void write(const rollout_state& from, pb::RolloutState& to) {
  to.set_service(from.service);
  to.set_from(from.from);
  to.set_to(from.to);
  to.set_share(from.share);
  to.set_status(enum_number(from.status));
  to.set_reason(from.reason);
  write_version(from.started_in, to, &pb::RolloutState::mutable_started);
}

void read(const pb::RolloutState& from, rollout_state& to, decode_context& context) {
  to.service = from.service();
  to.from = from.from();
  to.to = from.to();
  to.share = from.share();
  if (to.share > full_share) context.set_error("a rollout's share is above 10,000 basis points");
  to.status = read_enum<rollout_status>(from.status(), context);
  to.reason = from.reason();
  to.started_in = read_version(from.started());
}

void write(const withdrawn_version& from, pb::WithdrawnVersion& to) {
  to.set_service(from.service);
  to.set_upstream_version(from.upstream_version);
  to.set_reason(from.reason);
  write_version(from.withdrawn_in, to, &pb::WithdrawnVersion::mutable_at);
}

void read(const pb::WithdrawnVersion& from, withdrawn_version& to, decode_context&) {
  to.service = from.service();
  to.upstream_version = from.upstream_version();
  to.reason = from.reason();
  to.withdrawn_in = read_version(from.at());
}

void write(const document_state& from, pb::DocumentState& to) {
  write_version(from.document_version, to, &pb::DocumentState::mutable_current);
  for (const auto& [name, value] : from.sections) write(value, *to.add_sections());
  for (const auto& [service, value] : from.rollouts) write(value, *to.add_rollouts());
  for (const auto& [key, value] : from.withdrawn) write(value, *to.add_withdrawn());
}

void read(const pb::DocumentState& from, document_state& to, decode_context& context) {
  to.document_version = read_version(from.current());
  if (from.sections_size() > static_cast<int>(max_sections))
    return context.set_error("the document has too many sections");
  const auto insert = [&context](auto& map, auto key, auto& value) {
    if (!map.emplace(std::move(key), std::move(value)).second)
      context.set_error("the document has a duplicate section, rollout or withdrawn version");
  };
  for (const auto& item : from.sections()) {
    section value;
    read(item, value, context);
    if (context.failed()) return;
    insert(to.sections, value.name, value);
  }
  for (const auto& item : from.rollouts()) {
    rollout_state value;
    read(item, value, context);
    insert(to.rollouts, value.service, value);
  }
  for (const auto& item : from.withdrawn()) {
    withdrawn_version value;
    read(item, value, context);
    insert(to.withdrawn, withdrawn_key{value.service, value.upstream_version}, value);
  }
}

void write(const document_delta& from, pb::DocumentDelta& to) {
  write_version(from.from, to, &pb::DocumentDelta::mutable_from);
  write_version(from.to, to, &pb::DocumentDelta::mutable_to);
  write_all(from.sections_changed, to, &pb::DocumentDelta::add_changed);
  for (const auto& name : from.sections_removed) to.add_removed(name);
  write_all(from.rollouts_changed, to, &pb::DocumentDelta::add_rollouts_changed);
  for (const auto& name : from.rollouts_removed) to.add_rollouts_removed(name);
  write_all(from.withdrawn_added, to, &pb::DocumentDelta::add_withdrawn_added);
  write(from.result_digest, *to.mutable_result());
}

void read(const pb::DocumentDelta& from, document_delta& to, decode_context& context) {
  to.from = read_version(from.from());
  to.to = read_version(from.to());
  if (from.changed_size() > static_cast<int>(max_sections))
    return context.set_error("the document delta has too many sections");
  read_all(from.changed(), to.sections_changed, context);
  to.sections_removed.assign(from.removed().begin(), from.removed().end());
  read_all(from.rollouts_changed(), to.rollouts_changed, context);
  to.rollouts_removed.assign(from.rollouts_removed().begin(), from.rollouts_removed().end());
  read_all(from.withdrawn_added(), to.withdrawn_added, context);
  if (!from.has_result()) context.set_error("the document delta has no result digest");
  to.result_digest = read_digest(from.result());
}

}  // namespace heatherdeck::codec

namespace heatherdeck {

std::string encode(const document_state& state) { return codec::encode_as<pb::DocumentState>(state); }
std::string encode(const document_delta& delta) { return codec::encode_as<pb::DocumentDelta>(delta); }

template <>
result<document_state> decode<document_state>(std::string_view bytes) {
  return codec::decode_as<document_state, pb::DocumentState>(bytes, "document state");
}
template <>
result<document_delta> decode<document_delta>(std::string_view bytes) {
  return codec::decode_as<document_delta, pb::DocumentDelta>(bytes, "document delta");
}

}  // namespace heatherdeck

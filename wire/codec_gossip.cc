// Codec of the gossip messages of the directory.
// Invariant: a decoded message has a sender and complete pairs of hashes in `keys`. Cost: one allocation per record.
#include <algorithm>

#include "wire/codec.h"
#include "wire/codec_parts.h"

namespace heatherdeck::codec {

namespace {

void write(const quarantine_update& from, pb::Gossip& to) {
  for (const crash_report& report : from.crashes) {
    auto& added = *to.add_crashes();
    added.set_id(report.id);
    added.set_service(report.service);
    for (const request_fingerprint& request : report.running) {
      added.add_running(request.head);
      added.add_running(request.body);
    }
    added.set_age_ms(static_cast<std::uint64_t>(report.age.count()));
  }
  for (const request_acquittal& acquittal : from.acquittals) {
    auto& added = *to.add_acquittals();
    added.set_service(acquittal.service);
    added.set_head(acquittal.request.head);
    added.set_body(acquittal.request.body);
    added.set_age_ms(static_cast<std::uint64_t>(acquittal.age.count()));
  }
}

// An age beyond what is remembered anywhere, so that it fits into every duration.
constexpr std::uint64_t max_age_ms = 86'400'000;

milliseconds read_age(std::uint64_t age_ms) { return milliseconds(std::min(age_ms, max_age_ms)); }

void read(const pb::Gossip& from, quarantine_update& to, decode_context& context) {
  for (const auto& item : from.crashes()) {
    if (item.running_size() % 2 != 0)
      return context.set_error("a crash report has an odd number of hashes; each request needs two");
    crash_report report{item.id(), item.service(), {}, read_age(item.age_ms())};
    for (int i = 0; i < item.running_size(); i += 2) report.running.push_back({item.running(i), item.running(i + 1)});
    to.crashes.push_back(std::move(report));
  }
  for (const auto& item : from.acquittals()) {
    to.acquittals.push_back({item.service(), {item.head(), item.body()}, read_age(item.age_ms())});
  }
}

}  // namespace

void write(const gossip_message& from, pb::Gossip& to) {
  to.set_kind(enum_number(from.kind));
  to.set_from(from.from);
  to.set_nonce(from.nonce);
  to.set_summary(from.summary);
  to.set_subject(from.probe_address);
  to.mutable_buckets()->Add(from.buckets.begin(), from.buckets.end());
  to.set_bucket_count(from.bucket_count);
  to.mutable_bucket_numbers()->Add(from.bucket_numbers.begin(), from.bucket_numbers.end());
  for (const member_record_hash& key : from.record_hashes) {
    to.add_keys(key.id_hash);
    to.add_keys(key.version_hash);
  }
  to.mutable_wanted()->Add(from.wanted.begin(), from.wanted.end());
  for (const member_record_ptr& record : from.records) write(*record, *to.add_records());
  for (const member_record_version& status : from.statuses) {
    auto& added = *to.add_statuses();
    added.set_node_id(status.node_id);
    added.set_incarnation(status.incarnation);
    added.set_sequence(status.sequence);
    added.set_state(enum_number(status.state));
  }
  write(from.quarantine, to);
  to.set_recent(from.recent);
  for (const target_departure& item : from.departures) write(item, *to.add_departures());
}

void read(const pb::Gossip& from, gossip_message& to, decode_context& context) {
  to.kind = read_enum<gossip_kind>(from.kind(), context);
  to.from = from.from();
  if (to.from.empty()) context.set_error("the gossip message has no sender");
  to.nonce = from.nonce();
  to.summary = from.summary();
  to.probe_address = from.subject();
  to.buckets.assign(from.buckets().begin(), from.buckets().end());
  to.bucket_count = from.bucket_count();
  to.bucket_numbers.assign(from.bucket_numbers().begin(), from.bucket_numbers().end());
  if (from.keys_size() % 2 != 0)
    return context.set_error("the gossip message has an odd number of keys; each needs an id hash and a version hash");
  for (int i = 0; i < from.keys_size(); i += 2) to.record_hashes.push_back({from.keys(i), from.keys(i + 1)});
  to.wanted.assign(from.wanted().begin(), from.wanted().end());
  for (const auto& item : from.records()) {
    auto record = std::make_shared<member_record>();
    read(item, *record, context);
    to.records.push_back(std::move(record));
  }
  for (const auto& item : from.statuses()) {
    to.statuses.push_back(
        {item.node_id(), item.incarnation(), item.sequence(), read_enum<member_state>(item.state(), context)});
  }
  read(from, to.quarantine, context);
  to.recent = from.recent();
  for (const auto& item : from.departures()) read(item, to.departures.emplace_back(), context);
}

}  // namespace heatherdeck::codec

namespace heatherdeck {

std::string encode(const gossip_message& message) { return codec::encode_as<pb::Gossip>(message); }

template <>
result<gossip_message> decode<gossip_message>(std::string_view bytes) {
  return codec::decode_as<gossip_message, pb::Gossip>(bytes, "gossip");
}

}  // namespace heatherdeck

// Codec of the subscription stream (node_message, control_message) and of evidence reports.
// Invariant: a decoded message has exactly one known body; a latency histogram has at most latency_buckets buckets.
#include "wire/codec.h"
#include "wire/codec_parts.h"

namespace heatherdeck::codec {

void write(const evidence_report& from, pb::EvidenceReport& to) {
  for (const evidence_row& row : from.rows) {
    auto& added = *to.add_rows();
    added.set_service(row.service);
    added.set_upstream_version(row.upstream_version);
    added.set_route(row.route);
    added.set_calls(row.calls);
    added.set_failures(row.failures);
    std::size_t used = row.latency.size();
    while (used > 0 && row.latency[used - 1] == 0) --used;
    for (std::size_t i = 0; i < used; ++i) added.add_latency(row.latency[i]);
  }
  for (const auto& [service, upstream_version] : from.disabled_locally) {
    auto& added = *to.add_cut_locally();
    added.set_service(service);
    added.set_upstream_version(upstream_version);
  }
}

void read(const pb::EvidenceReport& from, evidence_report& to, decode_context& context) {
  for (const auto& item : from.rows()) {
    evidence_row row{item.service(), item.upstream_version(), item.route(), item.calls(), item.failures(), {}};
    if (item.latency_size() > static_cast<int>(latency_buckets))
      return context.set_error("a latency histogram of the evidence report has too many buckets");
    std::copy(item.latency().begin(), item.latency().end(), row.latency.begin());
    to.rows.push_back(std::move(row));
  }
  for (const auto& item : from.cut_locally()) to.disabled_locally.emplace_back(item.service(), item.upstream_version());
}

namespace {

void write_body(const subscribe_request& from, pb::NodeMessage& to) {
  auto& body = *to.mutable_subscribe();
  body.set_node_id(from.node_id);
  body.set_availability_zone(from.availability_zone);
  write_version(from.held_version, body, &pb::SubscribeRequest::mutable_have);
  write(from.held_digest, *body.mutable_have_digest());
  body.set_want_confirmed(from.want_confirmed);
  body.set_want_departures(from.want_departures);
}

void write_body(const applied_report& from, pb::NodeMessage& to) { *to.mutable_applied() = make_version(from.applied); }

void write_body(const refused_report& from, pb::NodeMessage& to) {
  write_version(from.refused, *to.mutable_refused(), &pb::RefusedReport::mutable_refused);
  write(from.reason, *to.mutable_refused()->mutable_reason());
}

void write_body(const evidence_report& from, pb::NodeMessage& to) { write(from, *to.mutable_evidence()); }

void write_body(const keepalive& from, pb::ControlMessage& to) {
  write_version(from.document_version, *to.mutable_keepalive(), &pb::Keepalive::mutable_current);
  to.mutable_keepalive()->set_confirmed(from.confirmed);
}

void write_body(const snapshot_offer& from, pb::ControlMessage& to) {
  auto& body = *to.mutable_snapshot();
  write(from.state, *body.mutable_state());
  write(from.state_digest, *body.mutable_result());
  body.set_confirmed(from.confirmed);
}

void write_body(const delta_offer& from, pb::ControlMessage& to) {
  write(from.delta, *to.mutable_delta()->mutable_delta());
  to.mutable_delta()->set_confirmed(from.confirmed);
}

void write_body(const busy_notice& from, pb::ControlMessage& to) {
  to.mutable_busy()->set_retry_after_ms(static_cast<std::uint32_t>(from.retry_after.count()));
}

void write_body(const permit_request& from, pb::NodeMessage& to) { write(from, *to.mutable_permits()); }

void write_body(const permit_answer& from, pb::ControlMessage& to) { write(from, *to.mutable_permits()); }

void write_body(const departure_report& from, pb::NodeMessage& to) {
  to.mutable_departure()->set_id(from.id);
  write(from.departure, *to.mutable_departure()->mutable_departure());
}

void write_body(const departure_receipt& from, pb::ControlMessage& to) { to.set_departure_receipt(from.id); }

void write_body(const departure_list& from, pb::ControlMessage& to) {
  write_all(from.departures, *to.mutable_departures(), &pb::DepartureList::add_departures);
}

}  // namespace

void read(const pb::NodeMessage& from, node_message& to, decode_context& context) {
  switch (from.body_case()) {
    case pb::NodeMessage::kSubscribe: {
      const auto& body = from.subscribe();
      to = subscribe_request{
          body.node_id(),        body.availability_zone(), read_version(body.have()), read_digest(body.have_digest()),
          body.want_confirmed(), body.want_departures()};
      return;
    }
    case pb::NodeMessage::kApplied:
      to = applied_report{read_version(from.applied())};
      return;
    case pb::NodeMessage::kRefused: {
      refused_report report{read_version(from.refused().refused()), {}};
      read(from.refused().reason(), report.reason, context);
      to = std::move(report);
      return;
    }
    case pb::NodeMessage::kEvidence: {
      evidence_report report;
      read(from.evidence(), report, context);
      to = std::move(report);
      return;
    }
    case pb::NodeMessage::kPermits: {
      permit_request request;
      read(from.permits(), request);
      to = std::move(request);
      return;
    }
    case pb::NodeMessage::kDeparture: {
      departure_report report{from.departure().id(), {}};
      read(from.departure().departure(), report.departure, context);
      to = std::move(report);
      return;
    }
    case pb::NodeMessage::BODY_NOT_SET:
      context.set_error("the message has no body that this release knows");
  }
}

void read(const pb::ControlMessage& from, control_message& to, decode_context& context) {
  switch (from.body_case()) {
    case pb::ControlMessage::kKeepalive:
      to = keepalive{read_version(from.keepalive().current()), from.keepalive().confirmed()};
      return;
    case pb::ControlMessage::kSnapshot: {
      if (!from.snapshot().has_result()) return context.set_error("the snapshot offer has no digest");
      snapshot_offer offer{{}, read_digest(from.snapshot().result()), from.snapshot().confirmed()};
      read(from.snapshot().state(), offer.state, context);
      to = std::move(offer);
      return;
    }
    case pb::ControlMessage::kDelta: {
      delta_offer offer{{}, from.delta().confirmed()};
      read(from.delta().delta(), offer.delta, context);
      to = std::move(offer);
      return;
    }
    case pb::ControlMessage::kBusy:
      to = busy_notice{std::chrono::milliseconds(from.busy().retry_after_ms())};
      return;
    case pb::ControlMessage::kPermits: {
      permit_answer answer;
      read(from.permits(), answer, context);
      to = std::move(answer);
      return;
    }
    case pb::ControlMessage::kDepartureReceipt:
      to = departure_receipt{from.departure_receipt()};
      return;
    case pb::ControlMessage::kDepartures: {
      departure_list list;
      read_all(from.departures().departures(), list.departures, context);
      to = std::move(list);
      return;
    }
    case pb::ControlMessage::BODY_NOT_SET:
      context.set_error("the message has no body that this release knows");
  }
}

void write(const node_message& from, pb::NodeMessage& to) {
  std::visit([&to](const auto& body) { write_body(body, to); }, from);
}

void write(const control_message& from, pb::ControlMessage& to) {
  std::visit([&to](const auto& body) { write_body(body, to); }, from);
}

}  // namespace heatherdeck::codec

namespace heatherdeck {

std::string encode(const node_message& message) { return codec::encode_as<pb::NodeMessage>(message); }
std::string encode(const control_message& message) { return codec::encode_as<pb::ControlMessage>(message); }
std::string encode(const evidence_report& report) { return codec::encode_as<pb::EvidenceReport>(report); }

template <>
result<node_message> decode<node_message>(std::string_view bytes) {
  return codec::decode_as<node_message, pb::NodeMessage>(bytes, "node message");
}
template <>
result<control_message> decode<control_message>(std::string_view bytes) {
  return codec::decode_as<control_message, pb::ControlMessage>(bytes, "control message");
}
template <>
result<evidence_report> decode<evidence_report>(std::string_view bytes) {
  return codec::decode_as<evidence_report, pb::EvidenceReport>(bytes, "evidence report");
}

}  // namespace heatherdeck

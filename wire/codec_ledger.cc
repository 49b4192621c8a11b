// Codec of the commands of the replicated state machine (the ledger) and of their results.
// Invariant: a decoded command has exactly one known body; edits are within the limits of a section.
#include "wire/codec.h"
#include "wire/codec_parts.h"

namespace heatherdeck::codec {
namespace {

void write_body(const submission& from, pb::LedgerCommand& to) {
  auto& body = *to.mutable_submission();
  body.set_id(from.id);
  body.set_operator_name(from.operator_name);
  body.set_signature(from.signature);
  for (const section_edit& edit : from.edits) {
    auto& added = *body.add_edits();
    added.set_name(edit.name);
    write_text(edit.text, *added.mutable_text());
    write_version(edit.base, added, &pb::SectionEdit::mutable_base);
  }
}

void write_body(const set_rollout_step& from, pb::LedgerCommand& to) {
  auto& body = *to.mutable_set_rollout_step();
  body.set_service(from.service);
  body.set_to(from.to);
  body.set_share(from.share);
  body.set_status(enum_number(from.status));
  write_version(from.base_version, body, &pb::SetRolloutStep::mutable_seen);
}

void write_body(const withdraw_version& from, pb::LedgerCommand& to) {
  auto& body = *to.mutable_withdraw_version();
  body.set_service(from.service);
  body.set_upstream_version(from.upstream_version);
  body.set_reason(from.reason);
}

void write_body(const record_departure& from, pb::LedgerCommand& to) {
  auto& body = *to.mutable_record_departure();
  body.set_host(from.host);
  write(from.departure, *body.mutable_departure());
}

submission read_submission(const pb::Submission& from, decode_context& context) {
  submission to{from.id(), from.operator_name(), {}, from.signature()};
  if (from.edits_size() > static_cast<int>(max_sections)) {
    context.set_error("the submission has too many edits");
    return to;
  }
  for (const auto& item : from.edits()) {
    section_edit edit{item.name(), {}, read_version(item.base())};
    read_text(item.text(), edit.text, context);
    if (context.failed()) return to;
    to.edits.push_back(std::move(edit));
  }
  return to;
}

set_rollout_step read_step(const pb::SetRolloutStep& from, decode_context& context) {
  if (from.share() > full_share) context.set_error("a rollout's share is above 10,000 basis points");
  return {from.service(), from.to(), from.share(), read_enum<rollout_status>(from.status(), context),
          read_version(from.seen())};
}

}  // namespace

void write(const ledger_command& from, pb::LedgerCommand& to) {
  std::visit([&to](const auto& body) { write_body(body, to); }, from);
}

void read(const pb::LedgerCommand& from, ledger_command& to, decode_context& context) {
  switch (from.body_case()) {
    case pb::LedgerCommand::kSubmission:
      to = read_submission(from.submission(), context);
      return;
    case pb::LedgerCommand::kSetRolloutStep:
      to = read_step(from.set_rollout_step(), context);
      return;
    case pb::LedgerCommand::kWithdrawVersion: {
      const auto& body = from.withdraw_version();
      to = withdraw_version{body.service(), body.upstream_version(), body.reason()};
      return;
    }
    case pb::LedgerCommand::kRecordDeparture: {
      record_departure command{from.record_departure().host(), {}};
      read(from.record_departure().departure(), command.departure, context);
      to = std::move(command);
      return;
    }
    case pb::LedgerCommand::BODY_NOT_SET:
      context.set_error("the command has no body that this release knows");
  }
}

void write(const command_result& from, pb::CommandAnswer& to) {
  write_version(from.accepted_version, to, &pb::CommandAnswer::mutable_accepted);
  for (const version& item : from.current_revisions) *to.add_current() = make_version(item);
  if (!from.ok()) write(from.refusal, *to.mutable_refusal());
}

void read(const pb::CommandAnswer& from, command_result& to, decode_context& context) {
  to.accepted_version = read_version(from.accepted());
  for (const auto& item : from.current()) to.current_revisions.push_back(read_version(item));
  if (to.accepted_version.none() && !from.has_refusal())
    context.set_error("the command result has neither an accepted version nor an error");
  read(from.refusal(), to.refusal, context);
}

}  // namespace heatherdeck::codec

namespace heatherdeck {

std::string encode(const ledger_command& command) { return codec::encode_as<pb::LedgerCommand>(command); }
std::string encode(const command_result& answer) { return codec::encode_as<pb::CommandAnswer>(answer); }

template <>
result<ledger_command> decode<ledger_command>(std::string_view bytes) {
  return codec::decode_as<ledger_command, pb::LedgerCommand>(bytes, "ledger command");
}
template <>
result<command_result> decode<command_result>(std::string_view bytes) {
  return codec::decode_as<command_result, pb::CommandAnswer>(bytes, "command answer");
}

}  // namespace heatherdeck

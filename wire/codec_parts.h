/// @file
/// Conversions between model structs and protobuf messages; used only by the codec's own source files.
///
/// `write` fills a protobuf message. `read` fills a struct and records the first error in `decode_context`; the caller
/// discards the struct if there is an error, so a partly filled value never leaves the codec.
///
///     decode_context context;
///     section value;
///     read(message, value, context);
///     return value_or_error(std::move(value), context, "section");
#pragma once

#include <string>
#include <string_view>

#include "kernel/enum_names.h"
#include "kernel/result.h"
#include "model/directory_messages.h"
#include "model/distribution_messages.h"
#include "model/gossip_messages.h"
#include "model/ledger_messages.h"
#include "model/raft_messages.h"
#include "wire/messages.pb.h"

namespace heatherdeck::codec {

/// State of one decode call: the first error, and how many bytes of section text (plain or decompressed) the message
/// may still use.
class decode_context {
 public:
  /// Records an error; later ones are ignored.
  void set_error(std::string text) {
    if (first_error_.empty()) first_error_ = std::move(text);
  }
  bool failed() const { return !first_error_.empty(); }
  const std::string& first_error() const { return first_error_; }

  /// Subtracts `bytes` from the text budget of the message (max_document_bytes).
  /// @return false if `bytes` is above max_section_bytes or the rest of the budget.
  bool consume_text_budget(std::size_t bytes);

 private:
  std::string first_error_;
  std::size_t text_budget_ = max_document_bytes;
};

/// @return the enumerator with this number; for an unknown number records an error and returns the first enumerator.
template <class Enum>
Enum read_enum(std::uint32_t number, decode_context& context) {
  for (const auto& entry : enum_table<Enum>::entries) {
    if (static_cast<std::uint32_t>(entry.value) == number) return entry.value;
  }
  context.set_error("the value " + std::to_string(number) + " is not one of: " + all_names<Enum>());
  return enum_table<Enum>::entries.front().value;
}

template <class Enum>
std::uint32_t enum_number(Enum value) {
  return static_cast<std::uint32_t>(value);
}

void write_text(const std::string& from, pb::Text& to);
void read_text(const pb::Text& from, std::string& to, decode_context& context);

inline pb::Version make_version(const version& from) {
  pb::Version to;
  to.set_epoch(from.epoch);
  to.set_index(from.index);
  return to;
}
inline version read_version(const pb::Version& from) { return {from.epoch(), from.index()}; }

/// The version "none" is encoded as an absent field.
template <class Message>
void write_version(const version& from, Message& to, pb::Version* (Message::*field)()) {
  if (!from.none()) *(to.*field)() = make_version(from);
}

void write(const digest& from, pb::Digest& to);
void write(const error& from, pb::Error& to);
void write(const section& from, pb::Section& to);
void write(const rollout_state& from, pb::RolloutState& to);
void write(const withdrawn_version& from, pb::WithdrawnVersion& to);
void write(const document_state& from, pb::DocumentState& to);
void write(const document_delta& from, pb::DocumentDelta& to);
void write(const log_entry& from, pb::LogEntry& to);
void write(const evidence_report& from, pb::EvidenceReport& to);
void write(const target_departure& from, pb::TargetDeparture& to);
void write(const member_record& from, pb::MemberRecord& to);
void write(const std::vector<member_record>& from, pb::MemberList& to);
void write(const raft_message& from, pb::RaftMessage& to);
void write(const std::vector<raft_member>& from, pb::VoterList& to);
void write(const ledger_command& from, pb::LedgerCommand& to);
void write(const command_result& from, pb::CommandAnswer& to);
void write(const node_message& from, pb::NodeMessage& to);
void write(const control_message& from, pb::ControlMessage& to);
void write(const gossip_message& from, pb::Gossip& to);
void write(const permit_request& from, pb::PermitRequest& to);
void write(const permit_answer& from, pb::PermitAnswer& to);
void write(const loan_message& from, pb::LoanMessage& to);

digest read_digest(const pb::Digest& from);
void read(const pb::Error& from, error& to, decode_context& context);
void read(const pb::Section& from, section& to, decode_context& context);
void read(const pb::RolloutState& from, rollout_state& to, decode_context& context);
void read(const pb::WithdrawnVersion& from, withdrawn_version& to, decode_context& context);
void read(const pb::DocumentState& from, document_state& to, decode_context& context);
void read(const pb::DocumentDelta& from, document_delta& to, decode_context& context);
void read(const pb::LogEntry& from, log_entry& to, decode_context& context);
void read(const pb::EvidenceReport& from, evidence_report& to, decode_context& context);
void read(const pb::PermitRequest& from, permit_request& to);
void read(const pb::PermitAnswer& from, permit_answer& to, decode_context& context);
void read(const pb::LoanMessage& from, loan_message& to, decode_context& context);
void read(const pb::TargetDeparture& from, target_departure& to, decode_context& context);
void read(const pb::MemberRecord& from, member_record& to, decode_context& context);
void read(const pb::MemberList& from, std::vector<member_record>& to, decode_context& context);
void read(const pb::RaftMessage& from, raft_message& to, decode_context& context);
void read(const pb::VoterList& from, std::vector<raft_member>& to, decode_context& context);
void read(const pb::LedgerCommand& from, ledger_command& to, decode_context& context);
void read(const pb::CommandAnswer& from, command_result& to, decode_context& context);
void read(const pb::NodeMessage& from, node_message& to, decode_context& context);
void read(const pb::ControlMessage& from, control_message& to, decode_context& context);
void read(const pb::Gossip& from, gossip_message& to, decode_context& context);

/// Converts a repeated field; the element type is deduced from the struct's vector.
template <class Repeated, class Vector>
void read_all(const Repeated& from, Vector& to, decode_context& context) {
  to.resize(static_cast<std::size_t>(from.size()));
  for (int i = 0; i < from.size() && !context.failed(); ++i) read(from[i], to[static_cast<std::size_t>(i)], context);
}

template <class Vector, class Message, class Element>
void write_all(const Vector& from, Message& to, Element* (Message::*add)()) {
  for (const auto& item : from) write(item, *(to.*add)());
}

/// @return the serialised message.
std::string serialise(const google::protobuf::MessageLite& message);

/// Parses `bytes` into `to`; records an error if they are malformed or longer than max_message_bytes.
/// @return true if `to` was filled.
bool parse(std::string_view bytes, google::protobuf::MessageLite& to, decode_context& context);

/// @return the value, or `bad_message` if an error was recorded; `what` names the message type in the error.
template <class T>
result<T> value_or_error(T&& value, const decode_context& context, std::string_view what) {
  if (context.failed()) {
    return fail(error_kind::bad_message, context.first_error(),
                "check that both processes run the same or adjacent releases", std::string(what));
  }
  return std::forward<T>(value);
}

/// Decodes a struct that has its own protobuf message.
template <class Struct, class Message>
result<Struct> decode_as(std::string_view bytes, std::string_view what) {
  decode_context context;
  Message message;
  Struct value;
  if (parse(bytes, message, context)) read(message, value, context);
  return value_or_error(std::move(value), context, what);
}

template <class Message, class Struct>
std::string encode_as(const Struct& value) {
  Message message;
  write(value, message);
  return serialise(message);
}

}  // namespace heatherdeck::codec

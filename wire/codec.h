/// @file
/// Encodes the message structs of model/ as bytes (Protocol Buffers) and decodes them again. All messages between
/// processes and all records of the replicated log go through these functions.
///
///     std::string bytes = encode(raft_message{...});
///     result<raft_message> message = decode<raft_message>(bytes);
///
/// `decode` rejects malformed, oversized or incomplete input with `bad_message`; it never throws and never returns a
/// partly filled value. Unknown fields are ignored, so that processes of adjacent releases stay compatible.
#pragma once

#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/directory_messages.h"
#include "model/distribution_messages.h"
#include "model/gossip_messages.h"
#include "model/ledger_messages.h"
#include "model/permit_messages.h"
#include "model/raft_messages.h"

namespace heatherdeck {

/// Longer input is rejected before it is parsed; equal to the longest message of a control stream (max_frame_bytes).
inline constexpr std::size_t max_message_bytes = 8UL * 1024 * 1024;

std::string encode(const raft_message& message);
std::string encode(const log_entry& entry);
std::string encode(const std::vector<raft_member>& voters);
std::string encode(const node_message& message);
std::string encode(const control_message& message);
std::string encode(const ledger_command& command);
std::string encode(const command_result& answer);
std::string encode(const document_state& state);
std::string encode(const document_delta& delta);
std::string encode(const std::vector<member_record>& records);
std::string encode(const evidence_report& report);
std::string encode(const gossip_message& message);
std::string encode(const loan_message& message);

/// Defined for every type that `encode` takes.
template <class Message>
result<Message> decode(std::string_view bytes);

template <>
result<raft_message> decode<raft_message>(std::string_view bytes);
template <>
result<log_entry> decode<log_entry>(std::string_view bytes);
template <>
result<std::vector<raft_member>> decode<std::vector<raft_member>>(std::string_view bytes);
template <>
result<node_message> decode<node_message>(std::string_view bytes);
template <>
result<control_message> decode<control_message>(std::string_view bytes);
template <>
result<ledger_command> decode<ledger_command>(std::string_view bytes);
template <>
result<command_result> decode<command_result>(std::string_view bytes);
template <>
result<document_state> decode<document_state>(std::string_view bytes);
template <>
result<document_delta> decode<document_delta>(std::string_view bytes);
template <>
result<std::vector<member_record>> decode<std::vector<member_record>>(std::string_view bytes);
template <>
result<evidence_report> decode<evidence_report>(std::string_view bytes);
template <>
result<gossip_message> decode<gossip_message>(std::string_view bytes);
template <>
result<loan_message> decode<loan_message>(std::string_view bytes);

}  // namespace heatherdeck

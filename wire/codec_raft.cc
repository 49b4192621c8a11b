// Codec of the Raft messages between control hosts, of log entries and of the member list.
// Invariant: a decoded raft_message has a known body. Cost: payloads are copied once in each direction.
#include "wire/codec.h"
#include "wire/codec_parts.h"

namespace heatherdeck::codec {

void write(const log_entry& from, pb::LogEntry& to) {
  to.set_term(from.term);
  to.set_index(from.index);
  to.set_kind(enum_number(from.kind));
  to.set_payload(from.payload);
}

void read(const pb::LogEntry& from, log_entry& to, decode_context& context) {
  to.term = from.term();
  to.index = from.index();
  to.kind = read_enum<entry_kind>(from.kind(), context);
  to.payload = from.payload();
}

namespace {

void write_body(const vote_request& from, pb::RaftMessage& to) {
  auto& body = *to.mutable_vote_request();
  body.set_pre_vote(from.pre_vote);
  body.set_last_index(from.last_index);
  body.set_last_term(from.last_term);
}

void write_body(const vote_response& from, pb::RaftMessage& to) {
  auto& body = *to.mutable_vote_answer();
  body.set_pre_vote(from.pre_vote);
  body.set_granted(from.granted);
}

void write_body(const append_request& from, pb::RaftMessage& to) {
  auto& body = *to.mutable_append_request();
  body.set_previous_index(from.previous_index);
  body.set_previous_term(from.previous_term);
  body.set_commit(from.commit_index);
  body.set_round(from.round);
  write_all(from.entries, body, &pb::AppendRequest::add_entries);
}

void write_body(const append_response& from, pb::RaftMessage& to) {
  auto& body = *to.mutable_append_answer();
  body.set_accepted(from.accepted);
  body.set_match(from.match_index);
  body.set_round(from.round);
}

void write_body(const snapshot_chunk& from, pb::RaftMessage& to) {
  auto& body = *to.mutable_snapshot_chunk();
  body.set_index(from.index);
  body.set_term(from.term);
  body.set_offset(from.offset);
  body.set_round(from.round);
  body.set_data(from.bytes);
  body.set_last(from.last);
}

void write_body(const snapshot_response& from, pb::RaftMessage& to) {
  auto& body = *to.mutable_snapshot_answer();
  body.set_index(from.index);
  body.set_next_offset(from.next_offset);
  body.set_round(from.round);
}

void write_body(const read_request& from, pb::RaftMessage& to) { to.mutable_read_request()->set_id(from.id); }

void write_body(const read_response& from, pb::RaftMessage& to) {
  auto& body = *to.mutable_read_answer();
  body.set_id(from.id);
  body.set_confirmed(from.confirmed);
  body.set_index(from.index);
}

void write_body(const forwarded_command& from, pb::RaftMessage& to) { to.set_forwarded_command(from.payload); }

append_request read_append(const pb::AppendRequest& from, decode_context& context) {
  append_request to;
  to.previous_index = from.previous_index();
  to.previous_term = from.previous_term();
  to.commit_index = from.commit();
  to.round = from.round();
  read_all(from.entries(), to.entries, context);
  return to;
}

raft_body read_body(const pb::RaftMessage& from, decode_context& context) {
  switch (from.body_case()) {
    case pb::RaftMessage::kVoteRequest: {
      const auto& body = from.vote_request();
      return vote_request{body.pre_vote(), body.last_index(), body.last_term()};
    }
    case pb::RaftMessage::kVoteAnswer:
      return vote_response{from.vote_answer().pre_vote(), from.vote_answer().granted()};
    case pb::RaftMessage::kAppendRequest:
      return read_append(from.append_request(), context);
    case pb::RaftMessage::kAppendAnswer: {
      const auto& body = from.append_answer();
      return append_response{body.accepted(), body.match(), body.round()};
    }
    case pb::RaftMessage::kSnapshotChunk: {
      const auto& body = from.snapshot_chunk();
      return snapshot_chunk{body.index(), body.term(), body.offset(), body.round(), body.data(), body.last()};
    }
    case pb::RaftMessage::kSnapshotAnswer: {
      const auto& body = from.snapshot_answer();
      return snapshot_response{body.index(), body.next_offset(), body.round()};
    }
    case pb::RaftMessage::kReadRequest:
      return read_request{from.read_request().id()};
    case pb::RaftMessage::kReadAnswer: {
      const auto& body = from.read_answer();
      return read_response{body.id(), body.confirmed(), body.index()};
    }
    case pb::RaftMessage::kForwardedCommand:
      return forwarded_command{from.forwarded_command()};
    case pb::RaftMessage::BODY_NOT_SET:
      break;
  }
  context.set_error("the message has no body that this release knows");
  return vote_request{};
}

}  // namespace

void write(const raft_message& from, pb::RaftMessage& to) {
  to.set_from(from.from);
  to.set_from_store(from.from_store);
  to.set_to(from.to);
  to.set_to_store(from.to_store);
  to.set_term(from.term);
  std::visit([&to](const auto& body) { write_body(body, to); }, from.body);
}

void read(const pb::RaftMessage& from, raft_message& to, decode_context& context) {
  to.from = from.from();
  to.from_store = from.from_store();
  to.to = from.to();
  to.to_store = from.to_store();
  to.term = from.term();
  to.body = read_body(from, context);
}

void write(const std::vector<raft_member>& from, pb::VoterList& to) {
  for (const raft_member& item : from) {
    auto& added = *to.add_voters();
    added.set_host_id(item.host_id);
    added.set_store_id(item.store_id);
    added.set_mesh_address(item.mesh_address);
    added.set_learner(item.learner);
  }
}

void read(const pb::VoterList& from, std::vector<raft_member>& to, decode_context&) {
  for (const auto& item : from.voters()) {
    to.push_back({item.host_id(), item.store_id(), item.mesh_address(), item.learner()});
  }
}

}  // namespace heatherdeck::codec

namespace heatherdeck {

std::string encode(const raft_message& message) { return codec::encode_as<pb::RaftMessage>(message); }
std::string encode(const log_entry& entry) { return codec::encode_as<pb::LogEntry>(entry); }
std::string encode(const std::vector<raft_member>& voters) { return codec::encode_as<pb::VoterList>(voters); }

template <>
result<raft_message> decode<raft_message>(std::string_view bytes) {
  return codec::decode_as<raft_message, pb::RaftMessage>(bytes, "raft message");
}
template <>
result<log_entry> decode<log_entry>(std::string_view bytes) {
  return codec::decode_as<log_entry, pb::LogEntry>(bytes, "log entry");
}
template <>
result<std::vector<raft_member>> decode<std::vector<raft_member>>(std::string_view bytes) {
  return codec::decode_as<std::vector<raft_member>, pb::VoterList>(bytes, "voter list");
}

}  // namespace heatherdeck

/// @file
/// The types of the operators API and their JSON; used by the operators service and by the command-line tool.
///
///     POST /v1/submissions                            submission          -> submission_result
///     GET  /v1/submission?operator=O&id=I                                 -> submission_result
///     GET  /v1/document[?confirmed=true][&after=V&wait_ms=N]              -> document_state
///     GET  /v1/section?name=S                                             -> one section
///     GET  /v1/status[?wanted=V&wait_ms=N]                                -> control_status
///     GET  /v1/rollouts[?after=V&wait_ms=N]                               -> rollouts_status
///     GET  /v1/dump                                                       -> state of every service of the process
///
/// `after` waits until the document is newer than V, `wanted` until every subscriber has applied V or later; both wait
/// at most `wait_ms` milliseconds and then return the current state. Versions are written "epoch.index", signatures in
/// base64. An error is {"error": {kind, text, remedy, where}}; the error of a submission may add `current` and
/// `leader`.
///
///     boost::json::object body = to_json(change);
///     BOOST_LEAF_AUTO(change, from_json<submission>(boost::json::parse(text)));
///
/// Parsing rejects missing members and wrong types with `bad_message` and ignores unknown members.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "kernel/result.h"
#include "model/ledger_messages.h"
#include "model/publisher_messages.h"
#include "model/raft_messages.h"
#include "model/rollout_messages.h"

namespace heatherdeck {

/// The result of a submission.
struct submission_result {
  command_result answer;
  std::string leader;  ///< not_leader: operator address of the leader, when it is known
};

/// A node that is a member of the mesh according to the directory of the control host.
struct known_node {
  std::string node_id;
  std::string availability_zone;
};

/// Status of one control host and of the nodes that subscribe to it.
struct control_status {
  std::string host;
  std::string availability_zone;
  consensus_status consensus;
  std::string leader_address;
  std::vector<std::string> control_addresses;  ///< operator addresses of all control hosts in this host's settings
  version document;
  std::vector<subscriber_status> subscribers;
  std::vector<known_node> nodes;  ///< all nodes that should apply the document, subscribed to any control host
};

/// All rollouts of the document, with their evidence if this control host has it.
struct rollouts_status {
  version document;
  std::vector<rollout_view> rollouts;
  std::vector<withdrawn_version> withdrawn;
};

boost::json::object to_json(const section_edit& value);
boost::json::object to_json(const submission& value);
boost::json::object to_json(const submission_result& value);
boost::json::object to_json(const section& value);
boost::json::object to_json(const document_state& value);
boost::json::object to_json(const control_status& value);
boost::json::object to_json(const rollout_state& value);
boost::json::object to_json(const rollout_view& value);
boost::json::object to_json(const rollouts_status& value);
boost::json::object to_json(const withdrawn_version& value);
boost::json::object to_json(const subscriber_status& value);
boost::json::object to_json(const known_node& value);
boost::json::object to_json(const raft_member& value);

/// Defined for submission, submission_result, document_state, control_status, rollouts_status and error.
template <class Value>
result<Value> from_json(const boost::json::value& body);
template <>
result<error> from_json<error>(const boost::json::value& body);
template <>
result<submission> from_json<submission>(const boost::json::value& body);
template <>
result<submission_result> from_json<submission_result>(const boost::json::value& body);
template <>
result<document_state> from_json<document_state>(const boost::json::value& body);
template <>
result<control_status> from_json<control_status>(const boost::json::value& body);
template <>
result<rollouts_status> from_json<rollouts_status>(const boost::json::value& body);

/// @return the parsed JSON, or `bad_message`.
result<boost::json::value> parse_json(std::string_view text);

/// @param text "epoch.index".
/// @return the version, or `usage`.
result<version> parse_version(std::string_view text);

}  // namespace heatherdeck

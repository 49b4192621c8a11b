/// @file
/// The typed error of the whole project.
///
/// An error says what is wrong (`text`), where (`where`: file:line, field or peer) and what to do about it (`remedy`).
///
///     return fail(error_kind::bad_settings, "unknown key 'listn'", "use one of: listen, zone", "node.yaml:3");
#pragma once

#include <string>

#include <boost/json/fwd.hpp>

#include "kernel/enum_names.h"

namespace heatherdeck {

/// What went wrong, by the kind of reaction that it calls for.
enum class error_kind {
  internal,         ///< a defect of the program
  usage,            ///< wrong flags or arguments
  bad_settings,     ///< a settings file is refused
  bad_document,     ///< a document is refused
  bad_message,      ///< a frame, record or message from another process is refused
  missing_service,  ///< a service name is not known in this process
  not_owner,        ///< the operator does not own the section
  conflict,         ///< the base revision is not the current one
  withdrawn,        ///< the upstream version has been withdrawn
  not_leader,       ///< this control host is not the leader
  no_quorum,        ///< no quorum can be reached
  unknown_outcome,  ///< whether the operation took effect is not known
  overloaded,       ///< a mailbox, queue or limit is full
  not_processed,    ///< the peer proved that it has not processed the request; it may be sent again
  timeout,          ///< no answer within the time allowed
  unreachable,      ///< the peer cannot be reached
  closed,           ///< the peer or the mailbox has closed
  unauthorised,     ///< a key or proof is wrong
  storage,          ///< a file operation or sync failed
  corrupt,          ///< stored or received data does not match its checksum or digest
  limit,            ///< an explicit limit is exceeded
  not_found,        ///< the named thing does not exist
  unavailable,      ///< nothing can serve the request at present
  stopped,          ///< the process is stopping
};

template <>
struct enum_table<error_kind> {
  static constexpr auto entries = std::to_array<enum_entry<error_kind>>({
      {error_kind::internal, "internal"},
      {error_kind::usage, "usage"},
      {error_kind::bad_settings, "bad_settings"},
      {error_kind::bad_document, "bad_document"},
      {error_kind::bad_message, "bad_message"},
      {error_kind::missing_service, "missing_service"},
      {error_kind::not_owner, "not_owner"},
      {error_kind::conflict, "conflict"},
      {error_kind::withdrawn, "withdrawn"},
      {error_kind::not_leader, "not_leader"},
      {error_kind::no_quorum, "no_quorum"},
      {error_kind::unknown_outcome, "unknown_outcome"},
      {error_kind::overloaded, "overloaded"},
      {error_kind::timeout, "timeout"},
      {error_kind::not_processed, "not_processed"},
      {error_kind::unreachable, "unreachable"},
      {error_kind::closed, "closed"},
      {error_kind::unauthorised, "unauthorised"},
      {error_kind::storage, "storage"},
      {error_kind::corrupt, "corrupt"},
      {error_kind::limit, "limit"},
      {error_kind::not_found, "not_found"},
      {error_kind::unavailable, "unavailable"},
      {error_kind::stopped, "stopped"},
  });
};

/// A typed error with its remedy. Plain value: it may be copied, stored, sent to another task or process.
struct error {
  error_kind kind = error_kind::internal;
  std::string text;
  std::string remedy;
  std::string where;

  /// @return one line for people: "kind: where: text (remedy)".
  std::string message() const;
};

/// @param e the error to encode.
/// @return an object with the members kind, text, remedy and where.
boost::json::object to_json(const error& e);

}  // namespace heatherdeck

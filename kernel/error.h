/// @file
/// The error type that all modules use.
///
/// An error states what is wrong (`text`), where (`where`: file:line, field or peer) and how to correct it (`remedy`).
///
///     return fail(error_kind::bad_settings, "unknown key 'listn'", "use one of: listen, zone", "node.yaml:3");
#pragma once

#include <string>

#include <boost/json/fwd.hpp>

#include "kernel/enum_names.h"

namespace heatherdeck {

/// The category of an error. Callers choose by it whether to retry, to try another host or to give up.
enum class error_kind {
  internal,         ///< a bug in the program
  usage,            ///< invalid flags or arguments
  bad_settings,     ///< a settings file is invalid
  bad_document,     ///< a document is invalid
  bad_message,      ///< a frame, record or message from another process is malformed
  missing_service,  ///< no service of that name runs in this process
  not_owner,        ///< the operator does not own the section
  conflict,         ///< an edit's base revision is not the section's current one
  withdrawn,        ///< the upstream version has been withdrawn
  not_leader,       ///< this control host is not the leader
  no_quorum,        ///< a majority of the control hosts cannot be reached
  unknown_outcome,  ///< whether the operation took effect is not known
  overloaded,       ///< a mailbox, queue or limit is full
  not_processed,    ///< the peer states that it did not process the request, so a retry is safe
  timeout,          ///< no response before the timeout
  refused,          ///< the peer's host refuses the connection: nothing listens at its address
  unreachable,      ///< the peer cannot be reached
  closed,           ///< the connection or the mailbox is closed
  unauthorised,     ///< a key, signature or message authentication code is invalid
  storage,          ///< a file operation or sync failed
  corrupt,          ///< stored or received data does not match its checksum or digest
  limit,            ///< a size or count exceeds its configured maximum
  not_found,        ///< the named thing does not exist
  unavailable,      ///< nothing can serve the request now; a later retry may succeed
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
      {error_kind::refused, "refused"},
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

/// An error as a plain value: it can be copied, stored and sent to another task or process.
struct error {
  error_kind kind = error_kind::internal;
  std::string text;
  std::string remedy;
  std::string where;

  /// @return one human-readable line: "kind: where: text (remedy)"; empty parts are left out.
  std::string message() const;
};

/// @param e the error to encode.
/// @return a JSON object with the members kind, text, remedy and where.
boost::json::object to_json(const error& e);

}  // namespace heatherdeck

/// @file
/// How callers and upstreams name what travels with a request. Between nodes the names are always those of the project.
///
/// A dialect is a table of names, one for each meaning; an empty name means that the meaning does not exist there. The
/// proxy reads and writes heads through it, so that decisions see one form only:
///
///     const http_dialect& spoken = native_dialect();
///     head.add(spoken.native_request_field("hd-deadline-ms"), "250");
///
/// Another dialect is added by whoever speaks it, see platform/dialect.h.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "model/traffic_messages.h"

namespace heatherdeck {

struct http_dialect {
  // Names are in lower case.
  std::string_view request_id;           ///< in requests and answers
  std::string_view deadline_ms;          ///< time that the caller still waits, in milliseconds
  std::string_view hops_left;            ///< calls that may still follow
  std::string_view retries_left;         ///< repeats that the path may still use
  std::string_view caller_service;       ///< set for upstreams: the service on whose host the request began
  std::string_view expected_target;      ///< set for upstreams: the target that is meant; any other refuses
  std::string_view execution;            ///< in answers: whether the request may have run
  std::string_view refused_reason;       ///< in answers: why the request was refused
  std::string_view served_by;            ///< in answers: target and reason of the choice
  std::string_view load;                 ///< in answers of upstreams: their load
  std::string_view not_executed;         ///< in answers of upstreams: present when the upstream did not run the request
  std::string_view required_on_success;  ///< in answers of upstreams: must be present in a success

  /// Reads the value of `load`.
  std::optional<load_report> (*read_load)(std::string_view) = nullptr;
  /// An answer must carry the id of its request; one with another id belongs to another request.
  bool responses_echo_request_id = false;
  /// Retry-After may have a fraction of a second.
  bool fractional_retry_after = false;
  /// These statuses promise that the request has not run, whatever else the answer says.
  bool statuses_imply_not_executed = false;

  /// @return the project's name of a field of a caller's request; other names are returned as they are.
  std::string_view native_request_field(std::string_view lower_name) const;

  /// @return true when the status promises that the request has not run.
  static bool implies_not_executed(unsigned status);
};

/// The project's own interface.
const http_dialect& native_dialect();

}  // namespace heatherdeck

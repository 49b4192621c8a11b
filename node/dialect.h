/// @file
/// The header field names that callers and upstreams use. Nodes always use the native dialect among themselves.
///
/// A dialect is a table with one field name per meaning; an empty name means that the dialect has no such field. The
/// proxy parses and writes heads through the table, so that decisions do not depend on the dialect:
///
///     const http_dialect& dialect = native_dialect();
///     head.add(dialect.native_request_field("hd-deadline-ms"), "250");
///
/// Other dialects are defined outside of node/; see platform/dialect.h.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "model/traffic_messages.h"

namespace heatherdeck {

struct http_dialect {
  // Field names are in lower case.
  std::string_view request_id;           ///< requests and responses: id of the request
  std::string_view deadline_ms;          ///< requests: remaining time that the caller waits, in milliseconds
  std::string_view hops_left;            ///< requests: further calls that the request may cause in sequence
  std::string_view retries_left;         ///< requests: resends that the path may still use
  std::string_view caller_service;       ///< requests to upstreams: service of the host where the request originated
  std::string_view account;              ///< requests to upstreams: name of the client account
  std::string_view expected_target;      ///< requests to upstreams: the chosen target; any other rejects the request
  std::string_view execution;            ///< responses: whether the request may have been executed
  std::string_view refused_reason;       ///< responses: why the request was rejected
  std::string_view served_by;            ///< responses: target, and why it was chosen
  std::string_view load;                 ///< responses of upstreams: their load
  std::string_view rate_limit;           ///< responses of upstreams: requests a second that they accept, a decimal
  std::string_view leaving;              ///< responses of upstreams: "1" if the upstream is about to shut down
  std::string_view not_executed;         ///< responses of upstreams: present if the request was not executed
  std::string_view required_on_success;  ///< responses of upstreams: must be present if the status is below 300

  /// Parses the value of the field `load`.
  std::optional<load_report> (*read_load)(std::string_view) = nullptr;
  /// Responses carry the id of their request. One with another id, or without any, proves nothing about the request,
  /// but for a rejection that is the first response on its connection.
  bool responses_echo_request_id = false;
  /// Retry-After is written with milliseconds (0.150) instead of whole seconds.
  bool fractional_retry_after = false;
  /// Callers take some statuses as a statement that the request was not executed; see `implies_not_executed`.
  bool statuses_imply_not_executed = false;

  /// @return the native name of a field in a caller's request; names that the dialect does not define are unchanged.
  std::string_view native_request_field(std::string_view lower_name) const;

  /// @return true if the status implies that the request was not executed (408, 421, 429, 503).
  static bool implies_not_executed(unsigned status);
};

/// The dialect with heatherdeck's own field names (`hd-*`).
const http_dialect& native_dialect();

}  // namespace heatherdeck

/// @file
/// Requests that crash the upstreams that run them: what nodes report to each other, and the list that follows from it.
///
///     if (list->standing_of(service, request) == request_standing::quarantined) refuse();
///
/// A crash names all requests that were running at the upstream; which of them caused it follows from several crashes.
/// A list is immutable; only the service "quarantine" makes new ones.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"
#include "model/request_fingerprint.h"

namespace heatherdeck {

/// What the crashes say about a request.
enum class request_standing {
  clear,        ///< nothing
  suspected,    ///< it was running at an upstream that crashed
  quarantined,  ///< it crashes the upstreams that run it, and is refused
};

template <>
struct enum_table<request_standing> {
  static constexpr auto entries = std::to_array<enum_entry<request_standing>>({
      {request_standing::clear, "clear"},
      {request_standing::suspected, "suspected"},
      {request_standing::quarantined, "quarantined"},
  });
};

/// All requests of one service that are not clear.
using listed_requests = std::map<request_fingerprint, request_standing>;

struct quarantine_list {
  std::map<std::string, listed_requests, std::less<>> services;

  request_standing standing_of(std::string_view service, const request_fingerprint& request) const {
    const auto listed = services.find(service);
    if (listed == services.end()) return request_standing::clear;
    const auto found = listed->second.find(request);
    return found == listed->second.end() ? request_standing::clear : found->second;
  }

  /// @return whether a request with this head is listed, so that the body decides.
  bool lists_head(std::string_view service, std::uint64_t head) const {
    const auto listed = services.find(service);
    if (listed == services.end()) return false;
    const auto found = listed->second.lower_bound({head, 0});
    return found != listed->second.end() && found->first.head == head;
  }
};

using quarantine_list_ptr = std::shared_ptr<const quarantine_list>;

/// One crash of an upstream, as its node reports it. A later report with the same id adds requests.
struct crash_report {
  std::uint64_t id = 0;  ///< random
  std::string service;
  std::vector<request_fingerprint> running;
  milliseconds age{0};  ///< time since the crash
};

/// An upstream has responded to a listed request, so the request does not crash upstreams.
struct request_acquittal {
  std::string service;
  request_fingerprint request;
  milliseconds age{0};  ///< time since the response
};

/// What one node tells others.
struct quarantine_update {
  std::vector<crash_report> crashes;
  std::vector<request_acquittal> acquittals;
};

/// Posted by "quarantine" to "traffic" after each change: the list to decide by from now on.
struct quarantine_changed {
  quarantine_list_ptr list;
};

}  // namespace heatherdeck

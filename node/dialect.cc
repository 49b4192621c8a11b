// The native dialect and lookups in any dialect. Invariant: a field that callers must not set, such as the expected
// target, is mapped to a name that is dropped from every head. Cost: a few comparisons per field.
#include "node/dialect.h"

#include "node/message_head.h"

namespace heatherdeck {
namespace {

// The mesh's field for the kind of a stream, which is dropped from every request head.
constexpr std::string_view dropped_name = "hd-stream";

}  // namespace

std::string_view http_dialect::native_request_field(std::string_view lower_name) const {
  if (lower_name == request_id) return "hd-request-id";
  if (lower_name == deadline_ms) return "hd-deadline-ms";
  const bool set_by_nodes = lower_name == caller_service || lower_name == expected_target;
  if (set_by_nodes && !lower_name.empty()) return dropped_name;
  return lower_name;
}

bool http_dialect::implies_not_executed(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

const http_dialect& native_dialect() {
  static constexpr http_dialect dialect{.request_id = "hd-request-id",
                                        .deadline_ms = "hd-deadline-ms",
                                        .hops_left = "hd-hops-left",
                                        .retries_left = "hd-retries-left",
                                        .account = "hd-account",
                                        .execution = "hd-outcome",
                                        .refused_reason = "hd-refused",
                                        .served_by = "hd-served-by",
                                        .load = "hd-load",
                                        .rate_limit = "hd-rate-limit",
                                        .leaving = "hd-leaving",
                                        .read_load = &parse_load};
  return dialect;
}

}  // namespace heatherdeck

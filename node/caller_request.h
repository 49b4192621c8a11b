/// @file
/// Parses the heads of callers' requests from HTTP/1.1. Used by the caller session.
///
///     h1_reader<true> reader(stream);
///     if (co_await reader.read_head()) ...
///     auto parsed = parse_request_head(reader, dialect);
///     if (auto* rejected = std::get_if<rejected_request>(&parsed)) respond(rejected->status, rejected->text);
#pragma once

#include <string>
#include <variant>

#include "node/h1_stream.h"

namespace heatherdeck {

using request_reader = h1_reader<true>;

/// Status and text of the error response to a request with an invalid head.
struct rejected_request {
  unsigned status = 400;
  std::string text;
};

/// @param reader has read the head.
/// @return the head, or why it is rejected.
std::variant<request_head, rejected_request> parse_request_head(request_reader& reader, const http_dialect& dialect);

}  // namespace heatherdeck

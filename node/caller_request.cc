// Beast checks the syntax of a message; this module checks its framing, and the number and the contents of its fields.
// Invariant: an accepted head has exactly one body framing. Cost: one pass over the fields.
#include "node/caller_request.h"

namespace heatherdeck {
namespace {

// Checks what Beast does not: the HTTP version, and that at most one body framing is declared, once.
// @return a description of the problem; empty if there is none.
std::string check_framing(request_reader& reader) {
  const auto& message = reader.message();
  if (message.version() != 10 && message.version() != 11) return "the HTTP version is not supported; use 1.0 or 1.1";
  const auto lengths = message.count(boost::beast::http::field::content_length);
  const auto codings = message.count(boost::beast::http::field::transfer_encoding);
  if (lengths > 1) return "the request has more than one content-length";
  const auto length = message[boost::beast::http::field::content_length];
  if (lengths == 1 && !parse_number({length.data(), length.size()}))
    return "content-length is not a single decimal number";
  if (codings == 0) return {};
  if (lengths != 0) return "the request has both content-length and transfer-encoding";
  if (message.version() == 10) return "transfer-encoding is not allowed in HTTP/1.0";
  const auto coding = message[boost::beast::http::field::transfer_encoding];
  if (codings > 1 || lower_case({coding.data(), coding.size()}) != "chunked")
    return "the transfer-encoding is not 'chunked', the only one that is supported";
  return {};
}

}  // namespace

std::variant<request_head, rejected_request> parse_request_head(request_reader& reader, const http_dialect& dialect) {
  if (std::string problem = check_framing(reader); !problem.empty()) return rejected_request{400, std::move(problem)};
  const auto& message = reader.message();
  request_head head;
  head.method = std::string_view(message.method_string().data(), message.method_string().size());
  head.target = std::string_view(message.target().data(), message.target().size());
  head.http_1_0 = message.version() == 10;
  head.keep_alive = message.keep_alive();
  std::size_t count = 0;
  head.headers.reserve(16);
  for (const auto& field : message) {
    if (++count > max_header_fields) return rejected_request{431, "more than 100 header fields"};
    const std::string_view name(field.name_string().data(), field.name_string().size());
    const std::string lower = lower_case(name);
    if (!head.add(dialect.native_request_field(lower), {field.value().data(), field.value().size()})) {
      return rejected_request{
          400, "the header field '" + std::string(name) + "' is refused: it is repeated or its value is invalid"};
    }
  }
  if (std::string problem = head.finish(); !problem.empty()) return rejected_request{400, std::move(problem)};
  const auto length = reader.parser().content_length();
  if (reader.parser().chunked()) {
    head.body = body_framing::streamed;
  } else if (length && *length != 0) {
    head.body = body_framing::sized;
    head.content_length = *length;
  }
  return head;
}

}  // namespace heatherdeck

/// @file
/// Heads of HTTP requests and responses, independent of their encoding (HTTP/1.1 or HTTP/2).
///
/// Header field names are lower case. Hop-by-hop fields and heatherdeck's own fields (`hd-*`) are removed from
/// `headers` when a head is parsed and are generated again when it is forwarded, so that neither a caller nor an
/// upstream can set them for another hop. Used on both sides of an exchange, by sessions and upstream links.
///
///     request_head head;
///     head.add("Accept", "text/plain");                        // kept, as "accept"
///     head.add("hd-deadline-ms", "250");                       // parsed into head.limits
///     auto problem = head.finish();                            // empty, or why the head is invalid
///     socket.write(serialize_h1_request(head, upstream_address, limits));
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "node/dialect.h"
#include "node/exchange_core.h"
#include "wire/h2_stream.h"
#include "wire/http_status.h"

namespace heatherdeck {

/// Limits of one message head; a request with a larger one is rejected with 431.
inline constexpr std::size_t max_header_bytes = 16UL * 1024;
inline constexpr std::size_t max_header_fields = 100;

/// How the length of a body is known: no body, declared in advance (content-length), or only from its end.
enum class body_framing { none, sized, streamed };

template <>
struct enum_table<body_framing> {
  static constexpr auto entries = std::to_array<enum_entry<body_framing>>({
      {body_framing::none, "none"},
      {body_framing::sized, "sized"},
      {body_framing::streamed, "streamed"},
  });
};

struct request_head {
  std::string method;
  std::string target;  ///< request target: path and query
  std::string host;
  std::string request_id;
  std::string service;           ///< from a peer: hd-service
  std::string upstream_version;  ///< from a peer: hd-upstream-version
  milliseconds age{0};           ///< from a peer: hd-age-ms, time since the first node received the request
  std::string caller_service;    ///< service of the host where the request originated; from a peer: hd-caller-service
  std::string account;           ///< client account; from a peer: hd-account
  std::optional<key_id> account_key;  ///< from a peer: hd-account-key
  std::optional<key_digest> api_key;  ///< of the bearer token in `authorization`; see node/credentials.h
  exchange_limits limits;
  header_list headers;  ///< end-to-end fields, without host
  body_framing body = body_framing::none;
  std::uint64_t content_length = 0;  ///< only if `body` is `sized`
  bool expects_continue = false;     ///< the caller waits for "100 Continue"
  bool http_1_0 = false;
  bool keep_alive = true;

  /// Adds one header field as received.
  /// @return false if the request must be rejected: invalid number, second host, or control characters.
  bool add(std::string_view name, std::string_view value);

  /// Removes the fields listed in `connection` and validates the head. Call after the last `add`.
  /// @return a description of the problem; empty if the head is valid.
  std::string finish();

 private:
  std::string connection_options_;
  bool has_host_ = false;
};

struct response_head {
  unsigned status = 0;
  header_list headers;  ///< end-to-end fields
  body_framing body = body_framing::none;
  std::uint64_t content_length = 0;
  std::optional<std::uint64_t> declared_length;  ///< content-length of a response without a body (to HEAD, or 304)
  execution_status execution = execution_status::none;  ///< hd-outcome; trusted only if it comes from the next node
  std::string refused_reason;                           ///< hd-refused: why the request was rejected
  std::string served_by;                                ///< hd-served-by: target, and why it was chosen
  std::string request_id;
  std::optional<load_report> load;  ///< hd-load
  upstream_statement statement;     ///< of the upstream on this host
  milliseconds retry_after{0};      ///< earliest time for a retry (retry-after); 0: not stated

  /// Adds one header field as received; invalid fields are dropped.
  void add(std::string_view name, std::string_view value);

  /// Removes the fields listed in `connection`. Call after the last `add`.
  void finish();

 private:
  std::string connection_options_;
};

/// @return the text with ASCII letters in lower case.
std::string lower_case(std::string_view text);

/// @return true if the text is allowed in a field value or a request target: no control characters except tab.
bool has_no_control_characters(std::string_view text);

/// Parses a decimal number of 1 to 18 digits.
/// @return the number; nothing if the text is anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);

/// Formats and parses the value of hd-load: "in_flight=3;queued=0", with ";pace=250" (in percent) where it is known.
std::string format_load(const load_report& load);
std::optional<load_report> parse_load(std::string_view text);

/// Parses a number of requests a second, such as "57.8".
/// @return the number; nothing if the text is anything else, or not finite, or negative.
std::optional<double> parse_rate(std::string_view text);

/// @param default_host value of the host field if the request has none.
/// @param limits those of the next hop.
/// @param target name of the chosen target; sent only in dialects that have a field for it.
/// @return the HTTP/1.1 head of a request to an upstream.
std::string serialize_h1_request(const request_head& head, std::string_view default_host, const exchange_limits& limits,
                                 std::string_view target = {}, const http_dialect& dialect = native_dialect());

/// @param keep_alive false adds "connection: close".
/// @param chunked the body will be sent in chunked coding.
/// @return the HTTP/1.1 head of a response to a caller.
std::string serialize_h1_response(const response_head& head, bool keep_alive, bool chunked,
                                  const http_dialect& dialect = native_dialect());

/// @return the HTTP/2 header fields of a request to another node.
header_list make_h2_request_fields(const request_head& head, const upstream_choice& choice,
                                   const exchange_limits& limits);
/// @return the HTTP/2 header fields of a response to another node.
header_list make_h2_response_fields(const response_head& head);

/// Parses the header fields of a request from another node.
/// @return the head; `bad_message` if it is invalid.
outcome<request_head> parse_h2_request(const header_list& fields);
/// Parses the header fields of a response from another node.
/// @param request_method decides whether the response has a body (none after HEAD).
/// @return the head; `bad_message` if it has no valid status.
outcome<response_head> parse_h2_response(const header_list& fields, std::string_view request_method);

}  // namespace heatherdeck

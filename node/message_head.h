/// @file
/// Heads of requests and answers as the exchange sees them, free of their encoding.
///
/// Field names are lower case. Hop-by-hop fields and the fields of heatherdeck itself are taken out of `headers` when a
/// head is read and are written anew when it is passed on, so that neither a caller nor an upstream can set them for
/// another hop.
///
///     request_head head;
///     head.add("Accept", "text/plain");                        // kept, as "accept"
///     head.add("hd-deadline-ms", "250");                       // goes to head.limits
///     auto problem = head.finish();                            // nothing, or what is wrong
///     socket.write(serialize_h1_request(head, upstream_address, limits));
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "node/dialect.h"
#include "node/exchange_core.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

inline constexpr std::size_t max_header_bytes = 16UL * 1024;
inline constexpr std::size_t max_header_fields = 100;

/// How a body's end is known.
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
  std::string target;
  std::string host;
  std::string request_id;
  std::string service;           ///< from a peer: hd-service
  std::string upstream_version;  ///< from a peer: hd-upstream-version
  milliseconds age{0};           ///< from a peer: hd-age-ms, time that the request has spent at the first node
  std::string caller_service;    ///< service on whose host the request began; from a peer: hd-caller-service
  exchange_limits limits;
  header_list headers;  ///< end-to-end fields, without host
  body_framing body = body_framing::none;
  std::uint64_t content_length = 0;
  bool expects_continue = false;
  bool http_1_0 = false;
  bool keep_alive = true;

  /// Takes one field as read.
  /// @return false when the field must be refused (bad number, second host, characters that break a line).
  bool add(std::string_view name, std::string_view value);

  /// Removes the fields that `connection` has named and checks the whole head.
  /// @return what is wrong, in words; empty when the head is good.
  std::string finish();

 private:
  std::string connection_options_;
  bool has_host_ = false;
};

struct answer_head {
  unsigned status = 0;
  header_list headers;  ///< end-to-end fields
  body_framing body = body_framing::none;
  std::uint64_t content_length = 0;
  std::optional<std::uint64_t> declared_length;  ///< content-length of an answer to HEAD, passed on without a body
  execution_status execution = execution_status::none;  ///< hd-outcome; believed from the next node only
  std::string refused_reason;                           ///< hd-refused
  std::string served_by;                                ///< hd-served-by
  std::string request_id;
  std::optional<load_report> load;  ///< hd-load
  milliseconds retry_after{0};      ///< of a refusal: when to come back; 0: not stated

  void add(std::string_view name, std::string_view value);

  /// Removes the fields that `connection` has named.
  void finish();

 private:
  std::string connection_options_;
};

/// @return the name in lower case.
std::string lower_case(std::string_view text);

/// @return true when the text may stand in a field value or a request target: no control characters except tab.
bool has_no_control_characters(std::string_view text);

/// Parses a decimal number of at most 18 digits; anything else is refused.
std::optional<std::uint64_t> parse_number(std::string_view text);

/// Text form of hd-load: "in_flight=3;queued=0".
std::string format_load(const load_report& load);
std::optional<load_report> parse_load(std::string_view text);

/// @param target name of the upstream's target, for dialects that tell it.
/// @return the HTTP/1.1 head of a request to an upstream; `limits` are those of the next hop.
std::string serialize_h1_request(const request_head& head, std::string_view default_host, const exchange_limits& limits,
                                 std::string_view target = {}, const http_dialect& dialect = native_dialect());

/// @param keep_alive false adds "connection: close".
/// @param chunked the body is written in chunks.
std::string serialize_h1_response(const answer_head& head, bool keep_alive, bool chunked,
                                  const http_dialect& dialect = native_dialect());

/// @return the fields of a request to another node.
header_list make_h2_request_fields(const request_head& head, const upstream_choice& choice,
                                   const exchange_limits& limits);
header_list make_h2_response_fields(const answer_head& head);

/// Reads the fields of a request from another node.
/// @return the head, or what is wrong with it.
outcome<request_head> parse_h2_request(const header_list& fields);
outcome<answer_head> parse_h2_response(const header_list& fields, std::string_view request_method);

}  // namespace heatherdeck

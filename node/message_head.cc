// One table lookup per field decides whether it is kept, dropped (hop-by-hop) or parsed into a member (hd-*).
// Invariant: a head that `finish` has accepted contains no control characters, exactly one body framing and no
// hop-by-hop field, so its serialized form cannot contain a second message (request smuggling). Cost: one pass and one
// copy of each field.
#include "node/message_head.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include "node/credentials.h"

namespace heatherdeck {
namespace {

using field_reader = bool (*)(request_head&, std::string_view);

constexpr double percent = 100;

bool drop(request_head&, std::string_view) { return true; }

template <class Number>
bool read_number(std::string_view text, std::uint64_t limit, Number& into) {
  const auto number = parse_number(text);
  if (!number || *number > limit) return false;
  into = static_cast<Number>(*number);
  return true;
}

bool read_deadline(request_head& head, std::string_view text) {
  std::uint64_t left = 0;
  if (!read_number(text, 86'400'000, left)) return false;
  head.limits.deadline = milliseconds(left);
  return true;
}

bool read_request_id(request_head& head, std::string_view text) {
  if (text.empty() || text.size() > 128) return false;
  head.request_id = text;
  return true;
}

// Values above the defaults are rejected, so that a caller cannot raise the limits of a path.
bool read_hops(request_head& head, std::string_view text) {
  return read_number(text, default_hop_limit, head.limits.hops_left);
}
bool read_retries(request_head& head, std::string_view text) {
  return read_number(text, default_retry_limit, head.limits.retries_left);
}
bool read_service(request_head& head, std::string_view text) {
  head.service = text;
  return true;
}
bool read_upstream_version(request_head& head, std::string_view text) {
  head.upstream_version = text;
  return true;
}
bool read_caller_service(request_head& head, std::string_view text) {
  head.caller_service = text;
  return true;
}
bool read_account(request_head& head, std::string_view text) {
  head.account = text;
  return true;
}
bool read_account_key(request_head& head, std::string_view text) {
  head.account_key = parse_key_id(text);
  return true;
}
// The field itself is kept: without accounts it is forwarded like any other.
bool read_authorization(request_head& head, std::string_view text) {
  add_authorization(head, text);
  return true;
}
bool read_age(request_head& head, std::string_view text) {
  std::uint64_t age = 0;
  if (!read_number(text, 86'400'000, age)) return false;
  head.age = milliseconds(age);
  return true;
}
bool read_expect(request_head& head, std::string_view text) {
  head.expects_continue = lower_case(text) == "100-continue";
  return head.expects_continue;
}

struct request_field_row {
  std::string_view name;
  field_reader read;
};

constexpr auto request_field_rows = std::to_array<request_field_row>({
    {"keep-alive", drop},
    {"proxy-connection", drop},
    {"te", drop},
    {"trailer", drop},
    {"upgrade", drop},
    {"proxy-authorization", drop},
    {"http2-settings", drop},
    {"transfer-encoding", drop},
    {"content-length", drop},
    {"expect", read_expect},
    {"hd-deadline-ms", read_deadline},
    {"hd-hops-left", read_hops},
    {"hd-retries-left", read_retries},
    {"hd-request-id", read_request_id},
    {"hd-service", read_service},
    {"hd-upstream-version", read_upstream_version},
    {"hd-caller-service", read_caller_service},
    {"hd-age-ms", read_age},
    {"hd-account", read_account},
    {"hd-account-key", read_account_key},
    {"authorization", read_authorization},
    {"hd-stream", drop},
    {"hd-body", drop},
    {"hd-outcome", drop},
    {"hd-refused", drop},
    {"hd-served-by", drop},
    {"hd-load", drop},
    {"hd-rate-limit", drop},
    {"hd-leaving", drop},
});

constexpr auto hop_by_hop_response_fields = std::to_array<std::string_view>({
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "proxy-authenticate",
    "transfer-encoding",
});

// Removes the header fields whose names are in a comma-separated list.
void remove_listed_headers(header_list& headers, std::string_view names) {
  while (!names.empty()) {
    const std::size_t comma = std::min(names.find(','), names.size());
    std::string_view name = names.substr(0, comma);
    names.remove_prefix(std::min(comma + 1, names.size()));
    const std::size_t begin = name.find_first_not_of(" \t");
    if (begin == std::string_view::npos) continue;
    name = name.substr(begin, name.find_last_not_of(" \t") - begin + 1);
    std::erase_if(headers, [name](const auto& field) { return field.first == name; });
  }
}

void append_field(std::string& text, std::string_view name, std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reason_phrase(unsigned status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 508:
      return "Loop Detected";
    default:
      return "Status";
  }
}

// Adds a field unless the dialect has no name for it or the value is empty.
void add_field_if_set(header_list& fields, std::string_view name, std::string value) {
  if (!name.empty() && !value.empty()) fields.emplace_back(name, std::move(value));
}

void add_limit_fields(header_list& fields, const request_head& head, const exchange_limits& limits,
                      const http_dialect& dialect) {
  add_field_if_set(fields, dialect.request_id, head.request_id);
  if (limits.deadline) add_field_if_set(fields, dialect.deadline_ms, std::to_string(limits.deadline->count()));
  add_field_if_set(fields, dialect.hops_left, std::to_string(limits.hops_left));
  add_field_if_set(fields, dialect.retries_left, std::to_string(limits.retries_left));
}

header_list response_metadata_fields(const response_head& head, const http_dialect& dialect) {
  header_list fields;
  if (head.execution != execution_status::none)
    add_field_if_set(fields, dialect.execution, std::string(to_name(head.execution)));
  add_field_if_set(fields, dialect.refused_reason, head.refused_reason);
  add_field_if_set(fields, dialect.served_by, head.served_by);
  add_field_if_set(fields, dialect.request_id, head.request_id);
  if (head.load) add_field_if_set(fields, dialect.load, format_load(*head.load));
  return fields;
}

// Standard Retry-After has whole seconds, so the delay is rounded up.
std::string retry_after_text(milliseconds wait, const http_dialect& dialect) {
  if (!dialect.fractional_retry_after) return std::to_string((wait.count() + 999) / 1000);
  return fmt::format("{:.3f}", static_cast<double>(wait.count()) / 1000);
}

error invalid_head(std::string text) {
  return {error_kind::bad_message,
          std::move(text),
          "correct the sender, whose message violates HTTP; see section 5.2 of the design page",
          {}};
}

}  // namespace

std::string lower_case(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

bool has_no_control_characters(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= 0x20 && byte != 0x7f) || c == '\t';
  });
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  if (text.empty() || text.size() > 18) return std::nullopt;
  std::uint64_t number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

std::string format_load(const load_report& load) {
  std::string text = fmt::format("in_flight={};queued={}", load.in_flight, load.queued);
  if (load.pace > 0) text += fmt::format(";pace={}", std::lround(load.pace * percent));
  return text;
}

std::optional<double> parse_rate(std::string_view text) {
  double rate = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), rate, std::chars_format::fixed);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(rate) || rate < 0) return std::nullopt;
  return rate;
}

std::optional<load_report> parse_load(std::string_view text) {
  constexpr std::string_view first = "in_flight=";
  constexpr std::string_view second = ";queued=";
  if (!text.starts_with(first)) return std::nullopt;
  text.remove_prefix(first.size());
  const std::size_t split = text.find(second);
  if (split == std::string_view::npos) return std::nullopt;
  load_report load;
  if (!read_number(text.substr(0, split), 1'000'000, load.in_flight)) return std::nullopt;
  text.remove_prefix(split + second.size());
  constexpr std::string_view third = ";pace=";
  const std::size_t end = std::min(text.find(third), text.size());
  if (!read_number(text.substr(0, end), 1'000'000, load.queued)) return std::nullopt;
  if (end == text.size()) return load;
  std::uint64_t pace = 0;
  if (!read_number(text.substr(end + third.size()), 1'000'000, pace)) return std::nullopt;
  load.pace = static_cast<double>(pace) / percent;
  return load;
}

bool request_head::add(std::string_view name, std::string_view value) {
  if (!has_no_control_characters(value) || name.empty()) return false;
  std::string lower = lower_case(name);
  if (lower == "host") {
    if (has_host_) return false;
    has_host_ = true;
    host = value;
    return true;
  }
  if (lower == "connection") {
    connection_options_.append(lower_case(value)).append(",");
    return true;
  }
  const auto* row = std::find_if(request_field_rows.begin(), request_field_rows.end(),
                                 [&lower](const request_field_row& r) { return r.name == lower; });
  if (row != request_field_rows.end()) return row->read(*this, value);
  headers.emplace_back(std::move(lower), value);
  return true;
}

std::string request_head::finish() {
  remove_listed_headers(headers, connection_options_);
  if (headers.size() > max_header_fields) return "more than 100 header fields";
  if (method.empty() || method == "CONNECT") return "the method is missing or not supported";
  if (!has_no_control_characters(target) || target.find(' ') != std::string::npos)
    return "the request target contains a space or a control character";
  // The host of an absolute-form target replaces the host field (RFC 9112, 3.2.2).
  constexpr std::string_view scheme = "http://";
  if (target.starts_with(scheme)) {
    const std::size_t path = std::min(target.find_first_of("/?", scheme.size()), target.size());
    host = target.substr(scheme.size(), path - scheme.size());
    has_host_ = true;
    target.erase(0, path);
    if (target.empty() || target.front() == '?') target.insert(0, "/");
  }
  if (target.empty() || (target.front() != '/' && !(target == "*" && method == "OPTIONS"))) {
    return "the request target is neither a path nor '*' with OPTIONS";
  }
  if (!has_host_ && !http_1_0) return "the host header field is missing";
  return {};
}

void response_head::add(std::string_view name, std::string_view value) {
  if (!has_no_control_characters(value) || name.empty()) return;
  std::string lower = lower_case(name);
  if (lower == "connection") {
    connection_options_.append(lower_case(value)).append(",");
  } else if (lower == "content-length") {
    declared_length = parse_number(value);
  } else if (lower == "hd-outcome") {
    execution = from_name<execution_status>(value).value_or(execution_status::none);
  } else if (lower == "hd-refused") {
    refused_reason = value;
  } else if (lower == "hd-load") {
    load = parse_load(value);
  } else if (lower == "hd-rate-limit") {
    statement.rate_limit = parse_rate(value);
  } else if (lower == "hd-leaving") {
    statement.leaving = value == "1";
  } else if (lower == "hd-retry-after-ms") {
    retry_after = milliseconds(parse_number(value).value_or(0));
  } else if (lower.starts_with("hd-")) {
    return;
  } else if (std::find(hop_by_hop_response_fields.begin(), hop_by_hop_response_fields.end(), lower) ==
             hop_by_hop_response_fields.end()) {
    headers.emplace_back(std::move(lower), value);
  }
}

void response_head::finish() { remove_listed_headers(headers, connection_options_); }

std::string serialize_h1_request(const request_head& head, std::string_view default_host, const exchange_limits& limits,
                                 std::string_view target, const http_dialect& dialect) {
  std::string text;
  text.reserve(512);
  text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  append_field(text, "host", head.host.empty() ? default_host : std::string_view(head.host));
  for (const auto& [name, value] : head.headers) append_field(text, name, value);
  header_list own;
  add_limit_fields(own, head, limits, dialect);
  add_field_if_set(own, dialect.expected_target, std::string(target));
  add_field_if_set(own, dialect.caller_service, head.caller_service);
  add_field_if_set(own, dialect.account, head.account);
  for (const auto& [name, value] : own) append_field(text, name, value);
  if (head.body == body_framing::sized) append_field(text, "content-length", std::to_string(head.content_length));
  if (head.body == body_framing::streamed) append_field(text, "transfer-encoding", "chunked");
  text.append("\r\n");
  return text;
}

std::string serialize_h1_response(const response_head& head, bool keep_alive, bool chunked,
                                  const http_dialect& dialect) {
  std::string text;
  text.reserve(512);
  text.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ").append(reason_phrase(head.status));
  text.append("\r\n");
  for (const auto& [name, value] : head.headers) append_field(text, name, value);
  for (const auto& [name, value] : response_metadata_fields(head, dialect)) append_field(text, name, value);
  if (head.retry_after > milliseconds::zero())
    append_field(text, "retry-after", retry_after_text(head.retry_after, dialect));
  if (head.body == body_framing::sized) {
    append_field(text, "content-length", std::to_string(head.content_length));
  } else if (chunked) {
    append_field(text, "transfer-encoding", "chunked");
  } else if (head.body == body_framing::none && head.status != 204) {
    if (head.declared_length) append_field(text, "content-length", std::to_string(*head.declared_length));
    if (!head.declared_length && head.status != 304) append_field(text, "content-length", "0");
  }
  if (!keep_alive) append_field(text, "connection", "close");
  text.append("\r\n");
  return text;
}

header_list make_h2_request_fields(const request_head& head, const upstream_choice& choice,
                                   const exchange_limits& limits) {
  header_list fields;
  fields.reserve(head.headers.size() + 10);
  fields.emplace_back(":method", head.method);
  fields.emplace_back(":path", head.target);
  if (!head.host.empty()) fields.emplace_back("host", head.host);
  fields.emplace_back("hd-service", choice.service);
  fields.emplace_back("hd-upstream-version", choice.upstream_version);
  if (head.age.count() > 0) fields.emplace_back("hd-age-ms", std::to_string(head.age.count()));
  if (!head.caller_service.empty()) fields.emplace_back("hd-caller-service", head.caller_service);
  if (!head.account.empty()) fields.emplace_back("hd-account", head.account);
  if (!head.account.empty() && head.api_key)
    fields.emplace_back("hd-account-key", format_key_id(key_id_of(*head.api_key)));
  add_limit_fields(fields, head, limits, native_dialect());
  if (head.body == body_framing::sized) fields.emplace_back("content-length", std::to_string(head.content_length));
  fields.insert(fields.end(), head.headers.begin(), head.headers.end());
  // A body of unknown length has no content-length; hd-body distinguishes it from a request without a body.
  if (head.body == body_framing::streamed) fields.emplace_back("hd-body", "streamed");
  return fields;
}

header_list make_h2_response_fields(const response_head& head) {
  header_list fields;
  fields.reserve(head.headers.size() + 6);
  fields.emplace_back(":status", std::to_string(head.status));
  for (auto& field : response_metadata_fields(head, native_dialect())) fields.push_back(std::move(field));
  if (head.retry_after > milliseconds::zero()) {
    fields.emplace_back("hd-retry-after-ms", std::to_string(head.retry_after.count()));
  }
  if (head.body == body_framing::sized) {
    fields.emplace_back("content-length", std::to_string(head.content_length));
  } else if (head.body == body_framing::none && head.declared_length) {
    fields.emplace_back("content-length", std::to_string(*head.declared_length));
  }
  fields.insert(fields.end(), head.headers.begin(), head.headers.end());
  return fields;
}

outcome<request_head> parse_h2_request(const header_list& fields) {
  request_head head;
  head.limits.from_peer = true;
  if (fields.size() > max_header_fields) return invalid_head("more than 100 header fields");
  for (const auto& [name, value] : fields) {
    if (name == ":method") {
      head.method = value;
    } else if (name == ":path") {
      head.target = value;
    } else if (name == ":authority") {
      if (head.host.empty()) head.host = value;
    } else if (name == "content-length") {
      const auto length = parse_number(value);
      if (!length) return invalid_head("content-length is not a number");
      head.body = *length == 0 ? body_framing::none : body_framing::sized;
      head.content_length = *length;
    } else if (name == "hd-body") {
      head.body = body_framing::streamed;
    } else if (!name.starts_with(':') && !head.add(name, value)) {
      return invalid_head("the header field '" + name + "' is refused: it is repeated or its value is invalid");
    }
  }
  head.http_1_0 = head.host.empty();  // an HTTP/1.0 caller need not send a host
  if (std::string problem = head.finish(); !problem.empty()) return invalid_head(std::move(problem));
  return head;
}

outcome<response_head> parse_h2_response(const header_list& fields, std::string_view request_method) {
  response_head head;
  for (const auto& [name, value] : fields) {
    if (name == ":status") {
      const auto status = value.size() == 3 && head.status == 0 ? parse_number(value) : std::nullopt;
      if (!status || !is_final_status(*status)) return invalid_head("the response has an invalid status");
      head.status = static_cast<unsigned>(*status);
    } else {
      head.add(name, value);
    }
  }
  head.finish();
  if (head.status == 0) return invalid_head("the response has no status");
  const bool bodiless = request_method == "HEAD" || head.status == 204 || head.status == 304;
  if (!bodiless && head.declared_length) {
    head.body = *head.declared_length == 0 ? body_framing::none : body_framing::sized;
    head.content_length = *head.declared_length;
  } else if (!bodiless) {
    head.body = body_framing::streamed;
  }
  return head;
}

}  // namespace heatherdeck

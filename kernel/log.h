/// @file
/// Structured logs through glog: one event per line, each a JSON object.
///
///     init_logging("heatherdeckd", log_level::info);
///     set_log_field("node", "dar-1-03");                 // added to every later line of this process
///     log_event(log_level::info, "document_applied", {{"version", 17}});
///     log_error("submission_refused", e);
///
/// A line: {"time":"2026-01-31T08:00:00.123Z","level":"info","event":"document_applied","node":"dar-1-03",...}.
/// Rate limits: an error event (by name and error kind) is written at most once a second, and its next line has the
/// number of suppressed ones in the member `repeated`. Any other event is written at most 50 times a second, and its
/// next line has the number of suppressed ones in the member `left_out`. When the log's reader is too slow, lines are
/// dropped instead of blocking the process, and the event `log_lines_dropped` reports their number.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include <boost/json/value.hpp>

#include "kernel/enum_names.h"
#include "kernel/error.h"

namespace heatherdeck {

enum class log_level { debug, info, warning, error };

template <>
struct enum_table<log_level> {
  static constexpr auto entries = std::to_array<enum_entry<log_level>>({
      {log_level::debug, "debug"},
      {log_level::info, "info"},
      {log_level::warning, "warning"},
      {log_level::error, "error"},
  });
};

/// One member of a log line's JSON object.
struct log_field {
  std::string_view name;
  boost::json::value value;

  log_field(std::string_view field_name, boost::json::value field_value)
      : name(field_name), value(std::move(field_value)) {}
  log_field(std::string_view field_name, std::string_view text) : name(field_name), value(boost::json::string(text)) {}
  log_field(std::string_view field_name, const std::string& text) : log_field(field_name, std::string_view(text)) {}
  log_field(std::string_view field_name, const char* text) : log_field(field_name, std::string_view(text)) {}
};

enum class log_stream { standard_output, standard_error };

template <>
struct enum_table<log_stream> {
  static constexpr auto entries = std::to_array<enum_entry<log_stream>>({
      {log_stream::standard_output, "standard_output"},
      {log_stream::standard_error, "standard_error"},
  });
};

/// Redirects all glog output of the process to a stream as JSON lines. Must be called once, from `main`.
/// @param stream standard_error for tools whose result goes to standard output.
void init_logging(const char* program, log_level min_level, log_stream stream = log_stream::standard_output);

/// Sets the minimum level: events below it are discarded. Does not apply to `log_error`.
void set_log_level(log_level min_level);

/// Adds a field to every later line of this process.
void set_log_field(std::string_view name, std::string_view value);

/// Writes one event.
/// @param event a fixed name in snake_case; details go into the fields.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes an error event, with the error's members in the member `error`, at most once a second (see above).
void log_error(std::string_view event, const error& e, std::initializer_list<log_field> fields = {});

}  // namespace heatherdeck

/// @file
/// JSON-line logs through glog: one event a line.
///
///     init_logging("heatherdeckd", log_level::info);
///     set_log_field("node", "dar-1-03");                 // added to every later line of this process
///     log_event(log_level::info, "document_applied", {{"version", 17}});
///     log_error("submission_refused", e);
///
/// A line: {"time":"2026-01-31T08:00:00.123Z","level":"info","event":"document_applied","node":"dar-1-03",...}.
/// The same error event (name and kind) is written at most once a second; the next line tells how many were left out
/// in the member `repeated`. Of any other event at most 50 lines are written in a second; the next line tells in the
/// member `left_out` how many were not. A reader that does not keep up loses lines and never delays the process: the
/// event `log_lines_dropped` tells their number.
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

/// A named value of a log line.
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

/// Sends all glog output of the process to a stream as JSON lines. Call once, from `main`.
/// @param stream standard error for tools that print their result.
void init_logging(const char* program, log_level lowest, log_stream stream = log_stream::standard_output);

/// Changes the lowest level that is written.
void set_log_level(log_level lowest);

/// Adds a field to every later line of this process.
void set_log_field(std::string_view name, std::string_view value);

/// Writes one event.
/// @param event a fixed name in snake_case; details go into the fields.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes an error with its kind, text, remedy and place, subject to the limit on repetition.
void log_error(std::string_view event, const error& e, std::initializer_list<log_field> fields = {});

}  // namespace heatherdeck

/// @file
/// Finds the log lines of one request in the log files of several processes. Used by `heatherdeck explain`.
///
///     const log_search_result found = find_request("9c41d07be2a35f68", {"n1.log", "n2.log"});
///     for (const log_line& line : found.lines) ...     // ordered by time
///
/// A line is a JSON object; text before its first brace, such as the prefix of a log collector, is ignored. Truncated
/// lines, lines in other formats and unreadable files are reported in the result instead of failing the search, because
/// logs are often incomplete after a failure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace heatherdeck {

struct log_line {
  std::string time;     ///< as in the log, UTC
  std::string process;  ///< empty if the line has none
  std::string event;
  boost::json::object fields;  ///< all members of the line
};

struct log_search_result {
  std::vector<log_line> lines;
  std::vector<std::string> unreadable_files;  ///< files that cannot be read
  std::uint64_t skipped_lines = 0;            ///< lines that are not a JSON object
  /// Index in `lines` of the refusal that the caller received: that of the first node if it logged one, else the last
  /// refusal by an upstream's node; -1: none.
  int decisive = -1;
};

/// @param id the request id.
/// @param files paths of the log files.
log_search_result find_request(const std::string& id, const std::vector<std::string>& files);

}  // namespace heatherdeck

/// @file
/// Reads the log lines of several processes that name one request.
///
///     const log_search found = find_request("9c41d07be2a35f68", {"n1.log", "n2.log"});
///     for (const found_line& line : found.lines) ...     // in the order of their times
///
/// A line is a JSON object; what a log collector has written before its first brace is passed over. A cut or foreign
/// line and a file that cannot be read are counted, not refused: after a failure logs are seldom complete.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace heatherdeck {

struct found_line {
  std::string time;     ///< as written, UTC
  std::string process;  ///< empty: the line names none
  std::string event;
  boost::json::object fields;  ///< the whole line
};

struct log_search {
  std::vector<found_line> lines;
  std::vector<std::string> missing;  ///< files that cannot be read
  std::uint64_t unreadable = 0;      ///< lines that are no JSON object
  /// The line that decided the caller's answer: the first node's own, else the last refusal of an upstream's node; -1:
  /// none.
  int decisive = -1;
};

log_search find_request(const std::string& id, const std::vector<std::string>& files);

}  // namespace heatherdeck

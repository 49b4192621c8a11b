// Searches each file in one pass. Invariant: lines with the same time stay in the order of the files. Cost: that of
// reading the files, as only lines that contain the id are parsed.
#include "cli/log_lines.h"

#include <algorithm>
#include <fstream>

#include <boost/json/parse.hpp>

namespace heatherdeck {
namespace {

std::string string_member(const boost::json::object& line, std::string_view name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool bool_member(const boost::json::object& line, std::string_view name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}

void search_file(log_search_result& found, const std::string& id, std::ifstream& file) {
  for (std::string text; std::getline(file, text);) {
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos) {
      ++found.skipped_lines;
      continue;
    }
    if (text.find(id) == std::string::npos) continue;
    boost::system::error_code ec;
    const boost::json::value value = boost::json::parse(std::string_view(text).substr(brace), ec);
    const auto* line = ec ? nullptr : value.if_object();
    if (line == nullptr) {
      ++found.skipped_lines;
    } else if (string_member(*line, "request") == id) {
      found.lines.push_back(
          {string_member(*line, "time"), string_member(*line, "process"), string_member(*line, "event"), *line});
    }
  }
}

// The first node (the one that received the request) forwards a refusal by the upstream's node without logging it. So
// if the first node has logged a refusal, it decided the response itself.
int find_decisive_line(const std::vector<log_line>& lines) {
  int decisive = -1;
  bool decided_by_first_node = false;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (lines[i].event != "request_refused") continue;
    const bool from_peer = bool_member(lines[i].fields, "from_peer");
    if (from_peer && decided_by_first_node) continue;
    decided_by_first_node = !from_peer;
    decisive = static_cast<int>(i);
  }
  return decisive;
}

}  // namespace

log_search_result find_request(const std::string& id, const std::vector<std::string>& files) {
  log_search_result found;
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (file) {
      search_file(found, id, file);
    } else {
      found.unreadable_files.push_back(path);
    }
  }
  std::stable_sort(found.lines.begin(), found.lines.end(),
                   [](const log_line& a, const log_line& b) { return a.time < b.time; });
  found.decisive = find_decisive_line(found.lines);
  return found;
}

}  // namespace heatherdeck

// One pass over each file; only lines that contain the id are parsed, so the cost is that of reading. Invariant: lines
// of one time keep the order of the files.
#include "cli/log_lines.h"

#include <algorithm>
#include <fstream>

#include <boost/json/parse.hpp>

namespace heatherdeck {
namespace {

std::string text_of(const boost::json::object& line, std::string_view name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool is_true(const boost::json::object& line, std::string_view name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}

void read_into(log_search& found, const std::string& id, std::ifstream& file) {
  for (std::string text; std::getline(file, text);) {
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos) {
      ++found.unreadable;
      continue;
    }
    if (text.find(id) == std::string::npos) continue;
    boost::system::error_code ec;
    const boost::json::value value = boost::json::parse(std::string_view(text).substr(brace), ec);
    const auto* line = ec ? nullptr : value.if_object();
    if (line == nullptr) {
      ++found.unreadable;
    } else if (text_of(*line, "request") == id) {
      found.lines.push_back({text_of(*line, "time"), text_of(*line, "process"), text_of(*line, "event"), *line});
    }
  }
}

// A refusal that the upstream's node has sent is passed on without a line of its own; where the first node has written
// one, it has decided by itself.
int decisive_of(const std::vector<found_line>& lines) {
  int decisive = -1;
  bool by_first_node = false;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (lines[i].event != "request_refused") continue;
    const bool from_peer = is_true(lines[i].fields, "from_peer");
    if (from_peer && by_first_node) continue;
    by_first_node = !from_peer;
    decisive = static_cast<int>(i);
  }
  return decisive;
}

}  // namespace

log_search find_request(const std::string& id, const std::vector<std::string>& files) {
  log_search found;
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (file) {
      read_into(found, id, file);
    } else {
      found.missing.push_back(path);
    }
  }
  std::stable_sort(found.lines.begin(), found.lines.end(),
                   [](const found_line& a, const found_line& b) { return a.time < b.time; });
  found.decisive = decisive_of(found.lines);
  return found;
}

}  // namespace heatherdeck

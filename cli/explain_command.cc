// explain: prints the lines of one request from several processes' logs, ordered by time, and marks the line that
// decided the response.
#include <algorithm>

#include <boost/json/serialize.hpp>

#include "cli/command.h"
#include "cli/log_lines.h"

namespace heatherdeck {
namespace {

// Members that are printed before the others, or that are the same in every printed line.
constexpr std::string_view omitted_fields[] = {"time", "level", "process", "event", "request"};

std::string format_line(const log_line& line, bool decisive) {
  std::string text = (decisive ? "> " : "  ") + line.time + "  " + line.process + "  " + line.event;
  for (const auto& field : line.fields) {
    const std::string_view name = field.key();
    if (std::find(std::begin(omitted_fields), std::end(omitted_fields), name) != std::end(omitted_fields)) continue;
    text += "  " + std::string(name) + "=" + boost::json::serialize(field.value());
  }
  return text;
}

}  // namespace

awaitable<exit_code> run_explain(command_context context) {
  const std::string id = context.arguments.front();
  const log_search_result found = find_request(id, {context.arguments.begin() + 1, context.arguments.end()});
  for (const std::string& path : found.unreadable_files) {
    context.out.print("file cannot be read: " + path, {{"not_read", path}});
  }
  if (found.skipped_lines > 0) {
    context.out.print("lines skipped because they are truncated or not JSON: " + std::to_string(found.skipped_lines),
                      {{"unreadable_lines", found.skipped_lines}});
  }
  for (std::size_t i = 0; i < found.lines.size(); ++i) {
    const bool decisive = static_cast<int>(i) == found.decisive;
    boost::json::object fields = found.lines[i].fields;
    fields["decisive"] = decisive;
    context.out.print(format_line(found.lines[i], decisive), fields);
  }
  if (found.lines.empty()) {
    co_return context.out.print_error(
        {error_kind::not_found,
         "no log line has the request id '" + id + "'",
         "give the logs of the node that received it and of the nodes beside the upstreams; a "
         "request that its upstream answered leaves no log line",
         {}});
  }
  co_return exit_code::done;
}

}  // namespace heatherdeck

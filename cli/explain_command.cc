// explain: prints what the logs of several processes say of one request, in order, with the deciding line marked.
#include <algorithm>

#include <boost/json/serialize.hpp>

#include "cli/command.h"
#include "cli/log_lines.h"

namespace heatherdeck {
namespace {

// Members of a line that stand in its head or repeat what was asked for.
constexpr std::string_view shown_before[] = {"time", "level", "process", "event", "request"};

std::string shown(const found_line& line, bool decisive) {
  std::string text = (decisive ? "> " : "  ") + line.time + "  " + line.process + "  " + line.event;
  for (const auto& field : line.fields) {
    const std::string_view name = field.key();
    if (std::find(std::begin(shown_before), std::end(shown_before), name) != std::end(shown_before)) continue;
    text += "  " + std::string(name) + "=" + boost::json::serialize(field.value());
  }
  return text;
}

}  // namespace

awaitable<exit_code> run_explain(command_context context) {
  const std::string id = context.arguments.front();
  const log_search found = find_request(id, {context.arguments.begin() + 1, context.arguments.end()});
  for (const std::string& path : found.missing) {
    context.out.tell("not read: " + path, {{"not_read", path}});
  }
  if (found.unreadable > 0) {
    context.out.tell("lines that are cut or no log lines: " + std::to_string(found.unreadable),
                     {{"unreadable_lines", found.unreadable}});
  }
  for (std::size_t i = 0; i < found.lines.size(); ++i) {
    const bool decisive = static_cast<int>(i) == found.decisive;
    boost::json::object fields = found.lines[i].fields;
    fields["decisive"] = decisive;
    context.out.tell(shown(found.lines[i], decisive), fields);
  }
  if (found.lines.empty()) {
    co_return context.out.refuse({error_kind::not_found,
                                  "no line names the request '" + id + "'",
                                  "give the logs of the node that took it and of the nodes beside the upstreams; a "
                                  "request that was answered by its upstream leaves no line",
                                  {}});
  }
  co_return exit_code::done;
}

}  // namespace heatherdeck

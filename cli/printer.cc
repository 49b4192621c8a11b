// Both output formats and the table that maps error kinds to exit codes. Invariant: each line is flushed at once,
// because a command may wait for minutes between two lines. Cost: one write per line.
#include "cli/printer.h"

#include <cstdio>

#include <boost/json/serialize.hpp>

namespace heatherdeck {
namespace {

struct exit_code_row {
  error_kind kind;
  exit_code code;
};

constexpr exit_code_row exit_code_table[] = {
    {error_kind::usage, exit_code::usage},
    {error_kind::conflict, exit_code::conflict},
    {error_kind::unknown_outcome, exit_code::unknown_outcome},
    {error_kind::timeout, exit_code::unknown_outcome},
    {error_kind::unreachable, exit_code::unreachable},
};

void write_line(std::FILE* stream, const std::string& line) {
  std::fputs((line + "\n").c_str(), stream);
  std::fflush(stream);
}

}  // namespace

exit_code exit_code_of(error_kind kind) {
  for (const exit_code_row& row : exit_code_table) {
    if (row.kind == kind) return row.code;
  }
  return exit_code::failed;
}

void printer::print(const std::string& text, const boost::json::object& fields) const {
  write_line(stdout, json_ ? boost::json::serialize(fields) : text);
}

exit_code printer::print_error(const error& e) const {
  if (json_) {
    write_line(stdout, boost::json::serialize(boost::json::object{{"error", to_json(e)}}));
    return exit_code_of(e.kind);
  }
  std::string text = "heatherdeck: ";
  if (!e.where.empty()) text += e.where + ": ";
  text += e.text;
  if (!e.remedy.empty()) text += "\n  remedy: " + e.remedy;
  write_line(stderr, text);
  return exit_code_of(e.kind);
}

}  // namespace heatherdeck

/// @file
/// Output of a command: human-readable lines, or with --json one JSON object per line.
///
///     out.print("accepted as version 1.17", {{"accepted", "1.17"}});
///     return out.print_error(e);                                      // prints the error, returns its exit code
#pragma once

#include <string>

#include <boost/json/object.hpp>

#include "cli/exit_code.h"
#include "kernel/error.h"

namespace heatherdeck {

class printer {
 public:
  explicit printer(bool json) : json_(json) {}

  bool json() const { return json_; }

  /// Prints one result to stdout.
  /// @param text printed without --json.
  /// @param fields printed with --json.
  void print(const std::string& text, const boost::json::object& fields) const;

  /// Prints an error: as text to stderr, or with --json as an object to stdout.
  /// @return its exit code.
  exit_code print_error(const error& e) const;

 private:
  bool json_;
};

}  // namespace heatherdeck

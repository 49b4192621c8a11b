/// @file
/// What a command tells: lines for people, or one JSON object a line with --json.
///
///     out.tell("accepted as version 1.17", {{"accepted", "1.17"}});
///     return out.refuse(e);                                           // prints the error, gives the exit code
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

  /// Prints one piece of news to stdout, in the form that was asked for.
  void tell(const std::string& text, const boost::json::object& fields) const;

  /// Prints an error: to stderr for people, to stdout as JSON.
  /// @return its exit code.
  exit_code refuse(const error& e) const;

 private:
  bool json_;
};

}  // namespace heatherdeck

// Formats errors as text for people and as JSON for programs. Invariant: the JSON object holds every member of the
// error separately, so a reader never has to parse the text. Cost: one string or object per error, on the failure path
// only.
#include "kernel/error.h"

#include <boost/json/object.hpp>

namespace heatherdeck {

std::string error::message() const {
  std::string line(to_name(kind));
  if (!where.empty()) line += ": " + where;
  line += ": " + text;
  if (!remedy.empty()) line += " (" + remedy + ")";
  return line;
}

boost::json::object to_json(const error& e) {
  return {{"kind", to_name(e.kind)}, {"text", e.text}, {"remedy", e.remedy}, {"where", e.where}};
}

}  // namespace heatherdeck

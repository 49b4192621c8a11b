// Renders typed errors for people and for programs. The members are independent, so either form can be rebuilt from
// the other fields without parsing; cost is one string or object per error, paid only on the failure path.
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

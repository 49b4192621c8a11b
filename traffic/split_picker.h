/// @file
/// Divides the requests of a route among the services of its split, each by its weight.
///
///     split_picker parts;
///     const std::string& service = parts.pick(rule);       // rule.split is not empty
///
/// Smooth weighted round robin: after any number of requests each part is within one request of its weight, which
/// random draws reach only after thousands.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/compiled_document.h"

namespace heatherdeck {

class split_picker {
 public:
  /// @return the service for the next request of the route.
  const std::string& pick(const route_rule& rule);

  /// Forgets routes that the document no longer splits.
  void set_document(const compiled_document& document);

 private:
  std::map<std::string, std::vector<double>> credits_;  ///< by route, in the order of the split
};

}  // namespace heatherdeck

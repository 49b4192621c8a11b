/// @file
/// Distributes the requests of a route over the services of its split in proportion to their weights.
///
///     split_picker picker;
///     const std::string& service = picker.pick(rule);      // rule.split is not empty
///
/// Smooth weighted round robin: after any number of requests each service is within one request of its exact
/// proportion. Random selection reaches the same relative accuracy only after thousands of requests. traffic_core keeps
/// one picker for all routes.
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

  /// Drops the state of routes that the document no longer splits, or splits into another number of services.
  void set_document(const compiled_document& document);

 private:
  std::map<std::string, std::vector<double>> current_weights_;  ///< by route name, in the order of the split
};

}  // namespace heatherdeck

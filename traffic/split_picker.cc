// Smooth weighted round robin, as in nginx: each pick adds to every service's current weight its configured weight,
// selects the service with the highest current weight and subtracts the sum of the configured weights from it.
// Invariant: the current weights of a route add up to zero. Cost: O(services of the split) for each pick.
#include "traffic/split_picker.h"

#include <algorithm>

namespace heatherdeck {

const std::string& split_picker::pick(const route_rule& rule) {
  std::vector<double>& current_weights = current_weights_[rule.name];
  current_weights.resize(rule.split.size(), 0);
  double sum = 0;
  for (std::size_t i = 0; i < rule.split.size(); ++i) {
    current_weights[i] += rule.split[i].weight;
    sum += rule.split[i].weight;
  }
  const auto selected = std::max_element(current_weights.begin(), current_weights.end());
  *selected -= sum;
  return rule.split[static_cast<std::size_t>(selected - current_weights.begin())].service;
}

void split_picker::set_document(const compiled_document& document) {
  std::map<std::string, std::vector<double>> kept;
  for (const route_rule& rule : document.routes) {
    const auto known = current_weights_.find(rule.name);
    if (!rule.split.empty() && known != current_weights_.end() && known->second.size() == rule.split.size()) {
      kept.insert(current_weights_.extract(known));
    }
  }
  current_weights_ = std::move(kept);
}

}  // namespace heatherdeck

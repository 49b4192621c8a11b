// Each part earns its weight with every request; the richest part is chosen and pays the sum of all weights. Invariant:
// the credits of a route add up to zero. Cost: O(parts) for each pick.
#include "traffic/split_picker.h"

#include <algorithm>

namespace heatherdeck {

const std::string& split_picker::pick(const route_rule& rule) {
  std::vector<double>& credits = credits_[rule.name];
  credits.resize(rule.split.size(), 0);
  double sum = 0;
  for (std::size_t i = 0; i < rule.split.size(); ++i) {
    credits[i] += rule.split[i].weight;
    sum += rule.split[i].weight;
  }
  const auto richest = std::max_element(credits.begin(), credits.end());
  *richest -= sum;
  return rule.split[static_cast<std::size_t>(richest - credits.begin())].service;
}

void split_picker::set_document(const compiled_document& document) {
  std::map<std::string, std::vector<double>> kept;
  for (const route_rule& rule : document.routes) {
    const auto known = credits_.find(rule.name);
    if (!rule.split.empty() && known != credits_.end() && known->second.size() == rule.split.size()) {
      kept.insert(credits_.extract(known));
    }
  }
  credits_ = std::move(kept);
}

}  // namespace heatherdeck

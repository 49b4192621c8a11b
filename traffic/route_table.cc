// One prefix tree of path segments for each host and one for rules without a host. A lookup descends along the path's
// segments in the tree of the host and in the one without a host, and keeps the lowest index of a matching rule, so
// that document order decides. Invariant: the rule indexes of a node are in ascending order. Cost: O(segments of the
// path + rules whose prefix is a prefix of the path), independent of the number of other rules.
#include "traffic/route_table.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace heatherdeck {
namespace {

constexpr std::size_t no_rule = std::numeric_limits<std::size_t>::max();

std::string normalize_host(std::string_view host) {
  // An IPv6 literal contains colons within its brackets.
  const auto bracket = host.rfind(']');
  const auto colon = host.rfind(':');
  if (colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket)) {
    host = host.substr(0, colon);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return lower;
}

// Removes the first segment from the path and returns it. The path must start with '/'.
std::string_view take_segment(std::string_view& path) {
  path.remove_prefix(1);
  const auto end = std::min(path.find('/'), path.size());
  const std::string_view segment = path.substr(0, end);
  path.remove_prefix(end);
  return segment;
}

bool rule_matches(const route_rule& rule, const request_attributes& attributes) {
  if (rule.keyed && !attributes.path.starts_with(rule.path_prefix)) return false;
  if (!rule.method.empty() && rule.method != attributes.method) return false;
  return std::all_of(rule.headers.begin(), rule.headers.end(), [&](const auto& wanted) {
    const auto found = attributes.headers.find(wanted.first);
    return found != attributes.headers.end() && found->second == wanted.second;
  });
}

}  // namespace

route_table::route_table(compiled_document_ptr document) : document_(std::move(document)) {
  for (std::size_t i = 0; i < document_->routes.size(); ++i) {
    const std::string& host = document_->routes[i].host;
    insert(host.empty() ? any_host_ : by_host_[normalize_host(host)], i);
  }
}

void route_table::insert(segment_tree& tree, std::size_t rule_index) {
  if (tree.empty()) tree.emplace_back();
  std::string_view prefix = document_->routes[rule_index].path_prefix;
  while (!prefix.empty() && prefix.back() == '/') prefix.remove_suffix(1);
  std::size_t node = 0;
  while (!prefix.empty()) {
    const std::string_view segment = take_segment(prefix);
    const auto found = tree[node].children.find(segment);
    if (found != tree[node].children.end()) {
      node = found->second;
      continue;
    }
    const std::size_t child = tree.size();
    tree[node].children.emplace(segment, child);
    tree.emplace_back();
    node = child;
  }
  tree[node].rules.push_back(rule_index);
}

std::size_t route_table::first_match(const segment_tree& tree, const request_attributes& attributes,
                                     std::size_t best) const {
  if (tree.empty()) return best;
  std::string_view path = attributes.path;
  path = path.substr(0, std::min(path.find_first_of("?#"), path.size()));
  std::size_t node = 0;
  for (;;) {
    for (const std::size_t index : tree[node].rules) {
      if (index >= best) break;
      if (rule_matches(document_->routes[index], attributes)) {
        best = index;
        break;
      }
    }
    if (path.empty() || path.front() != '/') return best;
    const auto child = tree[node].children.find(take_segment(path));
    if (child == tree[node].children.end()) return best;
    node = child->second;
  }
}

const route_rule* route_table::match(const request_attributes& attributes) const {
  if (!document_) return nullptr;
  std::size_t best = no_rule;
  const auto host = by_host_.find(normalize_host(attributes.host));
  if (host != by_host_.end()) best = first_match(host->second, attributes, best);
  best = first_match(any_host_, attributes, best);
  return best == no_rule ? nullptr : &document_->routes[best];
}

bool idempotent_method(std::string_view method) {
  static constexpr std::array<std::string_view, 6> methods{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

}  // namespace heatherdeck

/// @file
/// Finds the route of a request: the first rule in document order whose host, path prefix, method and headers match.
///
///     route_table table(document);
///     if (const route_rule* rule = table.match(facts)) use(rule->service);
///
/// Host names are compared in lower case and without a port. A path prefix matches whole segments: `/certificates`
/// matches `/certificates` and `/certificates/7`, not `/certificates-old`. The query is ignored.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "model/compiled_document.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

class route_table {
 public:
  route_table() = default;

  /// @param document keeps the rules alive as long as the table.
  explicit route_table(compiled_document_ptr document);

  /// @return the matching rule, or null. It lives as long as the table.
  const route_rule* match(const request_facts& facts) const;

 private:
  /// One path segment below its parent; `rules` are the rules whose prefix ends here, in document order.
  struct segment_node {
    std::map<std::string, std::size_t, std::less<>> children;
    std::vector<std::size_t> rules;
  };
  using segment_tree = std::vector<segment_node>;

  void insert(segment_tree& tree, std::size_t rule_index);
  std::size_t first_match(const segment_tree& tree, const request_facts& facts, std::size_t best) const;

  compiled_document_ptr document_;
  std::unordered_map<std::string, segment_tree> by_host_;
  segment_tree any_host_;
};

/// @return true for a method that may be repeated: GET, HEAD, OPTIONS, TRACE, PUT, DELETE.
bool idempotent_method(std::string_view method);

}  // namespace heatherdeck

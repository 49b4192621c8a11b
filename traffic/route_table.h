/// @file
/// Finds the route of a request: the first rule in document order whose host, path prefix, method and headers match.
///
///     route_table table(document);
///     if (const route_rule* rule = table.match(attributes)) use(rule->service);
///
/// Host names are compared without case and without the port. A path prefix matches whole segments: `/certificates`
/// matches `/certificates` and `/certificates/7`, but not `/certificates-old`. The query is ignored. traffic_core
/// builds a new table for each document; a table is immutable.
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

  /// @param document holds the rules; the table shares ownership of it.
  explicit route_table(compiled_document_ptr document);

  /// @return the matching rule, or null; valid as long as the table exists.
  const route_rule* match(const request_attributes& attributes) const;

 private:
  /// Node of a prefix tree of path segments.
  struct segment_node {
    std::map<std::string, std::size_t, std::less<>> children;  ///< next path segment to index of its node
    std::vector<std::size_t> rules;  ///< indexes of the rules whose prefix ends at this node, in document order
  };
  using segment_tree = std::vector<segment_node>;

  void insert(segment_tree& tree, std::size_t rule_index);
  std::size_t first_match(const segment_tree& tree, const request_attributes& attributes, std::size_t best) const;

  compiled_document_ptr document_;
  std::unordered_map<std::string, segment_tree> by_host_;
  segment_tree any_host_;  ///< rules without a host
};

/// @return true for a method that is idempotent by RFC 9110: GET, HEAD, OPTIONS, TRACE, PUT, DELETE.
bool idempotent_method(std::string_view method);

}  // namespace heatherdeck

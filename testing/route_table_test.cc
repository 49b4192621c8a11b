// Tests of route matching: document order, whole path segments, host and header rules.
#include "traffic/route_table.h"

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

route_table table_of(std::vector<route_rule> rules) {
  auto document = std::make_shared<compiled_document>();
  document->routes = std::move(rules);
  return route_table(document);
}

std::string matched(const route_table& table, const request_attributes& attributes) {
  const route_rule* rule = table.match(attributes);
  return rule != nullptr ? rule->name : "none";
}

// A lookup by the longest prefix would silently ignore the order of the rules in the document.
TEST(route_table, first_rule_in_document_order_wins_over_a_longer_prefix) {
  const route_table table = table_of({{.name = "all", .path_prefix = "/"}, {.name = "jobs", .path_prefix = "/jobs"}});
  EXPECT_EQ(matched(table, {.path = "/jobs/7"}), "all");
  const route_table other = table_of({{.name = "jobs", .path_prefix = "/jobs"}, {.name = "all", .path_prefix = "/"}});
  EXPECT_EQ(matched(other, {.path = "/jobs/7"}), "jobs");
  EXPECT_EQ(matched(other, {.path = "/soles"}), "all");
}

TEST(route_table, order_holds_between_rules_with_and_without_a_host) {
  const route_table table = table_of({{.name = "any", .path_prefix = "/a"},
                                      {.name = "host", .host = "orders.cairo", .path_prefix = "/"},
                                      {.name = "rest", .path_prefix = "/"}});
  EXPECT_EQ(matched(table, {.host = "orders.cairo", .path = "/a/b"}), "any");
  EXPECT_EQ(matched(table, {.host = "orders.cairo", .path = "/b"}), "host");
  EXPECT_EQ(matched(table, {.host = "else", .path = "/b"}), "rest");
}

// If the prefix "/certificates" matched "/certificates-old", requests would reach another team's service.
TEST(route_table, prefix_matches_whole_segments) {
  const route_table table = table_of({{.name = "c", .path_prefix = "/certificates/"}});
  EXPECT_EQ(matched(table, {.path = "/certificates"}), "c");
  EXPECT_EQ(matched(table, {.path = "/certificates?x=/y"}), "c");
  EXPECT_EQ(matched(table, {.path = "/certificates/7/pages"}), "c");
  EXPECT_EQ(matched(table, {.path = "/certificates-old"}), "none");
  EXPECT_EQ(matched(table, {.path = "/x/certificates"}), "none");
  EXPECT_EQ(matched(table, {.path = ""}), "none");
  EXPECT_EQ(matched(table, {.path = "certificates"}), "none");
}

TEST(route_table, host_ignores_case_and_port_and_method_and_headers_are_exact) {
  const route_table table = table_of(
      {{.name = "r", .host = "certdesk.pwani", .path_prefix = "/", .method = "GET", .headers = {{"x-team", "ferry"}}}});
  request_attributes attributes{
      .host = "CertDesk.Pwani:8080", .path = "/", .method = "GET", .headers = {{"x-team", "ferry"}}};
  EXPECT_EQ(matched(table, attributes), "r");
  attributes.method = "POST";
  EXPECT_EQ(matched(table, attributes), "none");
  attributes.method = "GET";
  attributes.headers["x-team"] = "rail";
  EXPECT_EQ(matched(table, attributes), "none");
  EXPECT_EQ(matched(table_of({{.name = "v6", .host = "[::1]", .path_prefix = "/"}}), {.host = "[::1]:80", .path = "/"}),
            "v6");
}

// Guards against errors in the prefix trees: the result must equal that of a linear scan of the rules.
TEST(route_table, agrees_with_a_linear_scan) {
  std::vector<route_rule> rules;
  const std::vector<std::string> segments{"/a", "/b", "/c", ""};
  for (const auto& host : {"h1", "h2", ""}) {
    for (const auto& first : segments) {
      for (const auto& second : segments) {
        if (first.empty() && !second.empty()) continue;
        const std::string prefix = std::string(first).append(second).append("/");
        rules.push_back({.name = host + prefix, .host = host, .path_prefix = prefix});
      }
    }
  }
  std::rotate(rules.begin(), rules.begin() + 17, rules.end());
  const route_table table = table_of(rules);
  for (const auto& host : {"h1", "h2", "h3"}) {
    for (const auto& first : segments) {
      for (const auto& second : segments) {
        const std::string path = std::string(first).append(second).append("/x");
        const auto scan = std::find_if(rules.begin(), rules.end(), [&](const route_rule& r) {
          return (r.host.empty() || r.host == host) && path.starts_with(r.path_prefix);
        });
        EXPECT_EQ(matched(table, {.host = host, .path = path}), scan == rules.end() ? "none" : scan->name);
      }
    }
  }
}

}  // namespace
}  // namespace heatherdeck

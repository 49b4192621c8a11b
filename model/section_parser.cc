// Parses a section with the function that a table lists for its kind.
//
// Invariant: a section that is returned has only known keys, values within their limits and no duplicate names. Cost:
// one pass over the section's tree.
#include "model/section_parser.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "model/document_parser.h"

namespace heatherdeck {
namespace {

constexpr std::size_t max_identifier_bytes = 64;
constexpr std::size_t max_versions = 32;
constexpr std::size_t max_match_headers = 16;
constexpr std::size_t max_match_bytes = 1024;
constexpr std::uint64_t max_weight = 1'000'000;
constexpr std::uint64_t max_route_timeout_ms = 600'000;
constexpr std::uint32_t max_priority = 1000;
constexpr std::uint32_t max_route_attempts = 100;
constexpr double max_warmup_s = 600;
constexpr double max_warmup_per_s = 1'000'000;
constexpr std::size_t max_regions = 64;

bool is_identifier_character(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string to_lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return text;
}

result<std::string> check_identifier(std::string name, const yaml_node& at, std::string_view what) {
  if (!name.empty() && name.size() <= max_identifier_bytes &&
      std::all_of(name.begin(), name.end(), is_identifier_character)) {
    return name;
  }
  return at.error_at(std::string(what) + " '" + name.substr(0, max_identifier_bytes) + "' is not a valid identifier",
                     "use 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'");
}

result<std::string> read_identifier(const yaml_node& node, std::string_view what) {
  BOOST_LEAF_AUTO(name, node.as_string());
  return check_identifier(std::move(name), node, what);
}

result<std::string> read_required_identifier(const yaml_node& map, std::string_view key, std::string_view what) {
  BOOST_LEAF_AUTO(node, map.require(key));
  return read_identifier(*node, what);
}

template <class Number>
result<Number> number_or(const yaml_node& map, std::string_view key, Number fallback, Number min_value,
                         Number max_value) {
  const yaml_node* node = map.find(key);
  if (node == nullptr) return fallback;
  BOOST_LEAF_AUTO(value, node->as_unsigned(min_value, max_value));
  return static_cast<Number>(value);
}

result<bool> bool_or(const yaml_node& map, std::string_view key, bool fallback) {
  const yaml_node* node = map.find(key);
  if (node == nullptr) return fallback;
  return node->as_bool();
}

result<basis_points> read_percent(const yaml_node& node, double min_value) {
  BOOST_LEAF_AUTO(value, node.as_double(min_value, 100));
  const double scaled = value * 100;
  const double rounded = std::round(scaled);
  if (std::abs(scaled - rounded) > 1e-6) {
    return node.error_at("'" + node.text() + "' is finer than 0.01 percent", "write at most two decimals");
  }
  return static_cast<basis_points>(rounded);
}

// Calls `read` for each entry of a map whose keys are service names.
template <class Value, class Read>
result<parsed_section> read_map_by_service(const yaml_node& root, Read read) {
  BOOST_LEAF_CHECK(root.expect_kind(yaml_kind::map));
  std::vector<Value> values;
  for (const yaml_node::entry& e : root.entries()) {
    BOOST_LEAF_AUTO(service, check_identifier(e.key, e.value, "service name"));
    BOOST_LEAF_AUTO(value, read(service, e.value));
    values.push_back(std::move(value));
  }
  return parsed_section(std::move(values));
}

result<std::vector<std::string>> read_versions(const yaml_node& node) {
  BOOST_LEAF_CHECK(node.expect_kind(yaml_kind::list));
  if (node.items().empty() || node.items().size() > max_versions) {
    return node.error_at("a service has 1 to " + std::to_string(max_versions) + " versions", "list its versions");
  }
  std::vector<std::string> versions;
  for (const yaml_node& item : node.items()) {
    BOOST_LEAF_AUTO(name, read_identifier(item, "version"));
    if (std::find(versions.begin(), versions.end(), name) != versions.end()) {
      return item.error_at("version '" + name + "' appears twice", "remove one of the two");
    }
    versions.push_back(std::move(name));
  }
  return versions;
}

// Upstreams are called over plain HTTP/1.1 only. A document may state that, but nothing else.
result<void> check_transport(const yaml_node& node) {
  if (const yaml_node* protocol = node.find("protocol"); protocol != nullptr && protocol->text() != "h1") {
    return protocol->error_at("protocol '" + protocol->text() + "' is not supported", "use h1");
  }
  if (const yaml_node* tls = node.find("tls")) {
    BOOST_LEAF_AUTO(enabled, tls->as_bool());
    if (enabled) return tls->error_at("TLS to upstreams is not supported", "use false");
  }
  return {};
}

result<parsed_service> read_service(const std::string& name, const yaml_node& node) {
  BOOST_LEAF_CHECK(node.expect_keys(
      {"versions", "slots", "connections", "health_path", "protocol", "tls", "warmup_s", "warmup_per_s"}));
  parsed_service out;
  out.where = node.where();
  out.spec.name = name;
  const yaml_node* versions = node.find("versions");
  out.spec.versions_from_announcements = versions == nullptr;
  if (versions != nullptr) {
    BOOST_LEAF_ASSIGN(out.spec.versions, read_versions(*versions));
  }
  BOOST_LEAF_CHECK(check_transport(node));
  BOOST_LEAF_ASSIGN(out.spec.slots, number_or<std::uint32_t>(node, "slots", out.spec.slots, 1, 100'000));
  BOOST_LEAF_ASSIGN(out.spec.connections,
                    number_or<std::uint32_t>(node, "connections", out.spec.connections, 1, 1'000'000));
  if (const yaml_node* warmup = node.find("warmup_s")) {
    BOOST_LEAF_AUTO(seconds, warmup->as_double(0, max_warmup_s));
    out.spec.warmup = std::chrono::milliseconds(std::llround(seconds * 1000));
  }
  if (const yaml_node* rate = node.find("warmup_per_s")) {
    BOOST_LEAF_ASSIGN(out.spec.warmup_per_s, rate->as_double(0, max_warmup_per_s));
  }
  return out;
}

result<parsed_section> read_services(const yaml_node& root) {
  return read_map_by_service<parsed_service>(root, read_service);
}

result<std::string> read_match_value(const yaml_node& node) {
  BOOST_LEAF_AUTO(text, node.as_string());
  if (text.size() > max_match_bytes) {
    return node.error_at("the value has more than " + std::to_string(max_match_bytes) + " bytes", "shorten it");
  }
  return text;
}

result<void> read_match_headers(const yaml_node& node, route_rule& rule) {
  BOOST_LEAF_CHECK(node.expect_kind(yaml_kind::map));
  if (node.entries().size() > max_match_headers) {
    return node.error_at("a route matches at most " + std::to_string(max_match_headers) + " headers", "remove some");
  }
  for (const yaml_node::entry& e : node.entries()) {
    BOOST_LEAF_AUTO(name, check_identifier(e.key, e.value, "header name"));
    BOOST_LEAF_AUTO(value, read_match_value(e.value));
    if (!rule.headers.emplace(to_lower(name), value).second) {
      return e.value.error_at("header '" + to_lower(name) + "' appears twice", "remove one of the two");
    }
  }
  return {};
}

result<void> read_path_prefix(const yaml_node& node, route_rule& rule) {
  BOOST_LEAF_ASSIGN(rule.path_prefix, read_match_value(node));
  if (rule.path_prefix.front() != '/' || rule.path_prefix.find_first_of("?# \t") != std::string::npos) {
    return node.error_at("'" + rule.path_prefix + "' is not a valid path prefix",
                         "begin with '/' and leave out '?', '#' and spaces");
  }
  return {};
}

result<void> read_method(const yaml_node& node, route_rule& rule) {
  BOOST_LEAF_ASSIGN(rule.method, read_identifier(node, "method"));
  if (!std::all_of(rule.method.begin(), rule.method.end(), [](char c) { return c >= 'A' && c <= 'Z'; })) {
    return node.error_at("'" + rule.method + "' is not an HTTP method", "write it in upper case, e.g. GET");
  }
  return {};
}

result<void> read_match(const yaml_node& node, route_rule& rule) {
  BOOST_LEAF_CHECK(node.expect_keys({"host", "path_prefix", "method", "headers"}));
  if (const yaml_node* host = node.find("host")) {
    BOOST_LEAF_AUTO(text, read_identifier(*host, "host"));
    rule.host = to_lower(text);
  }
  if (const yaml_node* path = node.find("path_prefix")) BOOST_LEAF_CHECK(read_path_prefix(*path, rule));
  if (const yaml_node* method = node.find("method")) BOOST_LEAF_CHECK(read_method(*method, rule));
  if (const yaml_node* headers = node.find("headers")) BOOST_LEAF_CHECK(read_match_headers(*headers, rule));
  return {};
}

result<std::vector<std::string>> read_regions(const yaml_node& node) {
  BOOST_LEAF_CHECK(node.expect_kind(yaml_kind::list));
  if (node.items().size() > max_regions) {
    return node.error_at("a list has at most " + std::to_string(max_regions) + " regions", "shorten it");
  }
  std::vector<std::string> regions;
  for (const yaml_node& item : node.items()) {
    BOOST_LEAF_AUTO(name, read_identifier(item, "region"));
    regions.push_back(std::move(name));
  }
  return regions;
}

result<parsed_route> read_route(const yaml_node& node) {
  BOOST_LEAF_CHECK(
      node.expect_keys({"name", "match", "service", "timeout_ms", "idempotent", "anonymous", "allowed_regions"}));
  parsed_route out;
  out.where = node.where();
  BOOST_LEAF_ASSIGN(out.rule.name, read_required_identifier(node, "name", "route name"));
  BOOST_LEAF_AUTO(service, node.require("service"));
  out.service_where = service->where();
  BOOST_LEAF_ASSIGN(out.rule.service, read_identifier(*service, "service name"));
  if (const yaml_node* match = node.find("match")) BOOST_LEAF_CHECK(read_match(*match, out.rule));
  BOOST_LEAF_AUTO(timeout, number_or<std::uint64_t>(node, "timeout_ms", 1000, 1, 600'000));
  out.rule.timeout = std::chrono::milliseconds(timeout);
  if (const yaml_node* flag = node.find("idempotent")) {
    BOOST_LEAF_AUTO(value, flag->as_bool());
    out.rule.idempotent = value;
  }
  if (const yaml_node* regions = node.find("allowed_regions")) {
    BOOST_LEAF_ASSIGN(out.rule.regions, read_regions(*regions));
  }
  BOOST_LEAF_ASSIGN(out.rule.anonymous, bool_or(node, "anonymous", false));
  return out;
}

result<std::vector<weighted_service>> read_split(const yaml_node& node) {
  BOOST_LEAF_CHECK(node.expect_kind(yaml_kind::list));
  std::vector<weighted_service> parts;
  std::uint64_t sum = 0;
  for (const yaml_node& item : node.items()) {
    BOOST_LEAF_CHECK(item.expect_keys({"service", "weight"}));
    weighted_service part;
    BOOST_LEAF_ASSIGN(part.service, read_required_identifier(item, "service", "service name"));
    BOOST_LEAF_AUTO(weight, item.require("weight"));
    BOOST_LEAF_AUTO(value, weight->as_unsigned(0, max_weight));
    part.weight = static_cast<std::uint32_t>(value);
    sum += value;
    parts.push_back(std::move(part));
  }
  if (sum == 0) return node.error_at("all weights of the split are 0", "give one part a weight above 0");
  return parts;
}

// Reads one entry of a map of routes. A path must start with the whole prefix, as it is written.
result<parsed_route> read_keyed_route(const std::string& name, const yaml_node& node) {
  BOOST_LEAF_CHECK(node.expect_keys({"host", "path_prefix", "kind", "timeout_ms", "objective_ms", "priority", "service",
                                     "split", "attempts", "name", "anonymous", "allowed_regions"}));
  parsed_route out;
  out.where = node.where();
  out.rule.name = name;
  out.rule.keyed = true;
  BOOST_LEAF_AUTO(host, read_required_identifier(node, "host", "host"));
  out.rule.host = to_lower(host);
  BOOST_LEAF_AUTO(prefix, node.require("path_prefix"));
  BOOST_LEAF_CHECK(read_path_prefix(*prefix, out.rule));
  BOOST_LEAF_AUTO(kind_node, node.require("kind"));
  BOOST_LEAF_AUTO(kind, kind_node->as_enum<route_kind>());
  out.rule.kind = kind;
  out.rule.idempotent = kind != route_kind::unsafe;
  BOOST_LEAF_AUTO(timeout_node, node.require("timeout_ms"));
  BOOST_LEAF_AUTO(timeout, timeout_node->as_unsigned(1, max_route_timeout_ms));
  out.rule.timeout = std::chrono::milliseconds(timeout);
  BOOST_LEAF_AUTO(objective, number_or<std::uint64_t>(node, "objective_ms", 0, 0, max_route_timeout_ms));
  out.rule.objective = std::chrono::milliseconds(objective);
  BOOST_LEAF_ASSIGN(out.rule.priority, number_or<std::uint32_t>(node, "priority", 0, 0, max_priority));
  BOOST_LEAF_ASSIGN(out.rule.attempts, number_or<std::uint32_t>(node, "attempts", 1, 1, max_route_attempts));
  if (const yaml_node* regions = node.find("allowed_regions")) {
    BOOST_LEAF_ASSIGN(out.rule.regions, read_regions(*regions));
  }
  BOOST_LEAF_ASSIGN(out.rule.anonymous, bool_or(node, "anonymous", false));
  const yaml_node* split = node.find("split");
  const yaml_node* service = node.find("service");
  if ((split == nullptr) == (service == nullptr)) {
    return node.error_at("the route must have either 'service' or 'split'", "give exactly one of the two");
  }
  out.service_where = (split != nullptr ? split : service)->where();
  if (split != nullptr) {
    BOOST_LEAF_ASSIGN(out.rule.split, read_split(*split));
    out.rule.service = out.rule.split.front().service;
  } else {
    BOOST_LEAF_ASSIGN(out.rule.service, read_identifier(*service, "service name"));
  }
  return out;
}

result<parsed_section> read_routes(const yaml_node& root) {
  if (root.kind() == yaml_kind::map) {
    routes_section keyed;
    for (const yaml_node::entry& e : root.entries()) {
      BOOST_LEAF_AUTO(name, check_identifier(e.key, e.value, "route name"));
      BOOST_LEAF_AUTO(route, read_keyed_route(name, e.value));
      keyed.push_back(std::move(route));
    }
    return parsed_section(std::move(keyed));
  }
  BOOST_LEAF_CHECK(root.expect_kind(yaml_kind::list));
  routes_section routes;
  for (const yaml_node& item : root.items()) {
    BOOST_LEAF_AUTO(route, read_route(item));
    routes.push_back(std::move(route));
  }
  return parsed_section(std::move(routes));
}

result<parsed_service_shares> read_service_shares(const std::string& service, const yaml_node& node) {
  BOOST_LEAF_CHECK(node.expect_kind(yaml_kind::map));
  parsed_service_shares out{service, {}, node.where()};
  basis_points sum = 0;
  for (const yaml_node::entry& e : node.entries()) {
    BOOST_LEAF_AUTO(name, check_identifier(e.key, e.value, "version"));
    BOOST_LEAF_AUTO(share, read_percent(e.value, 0));
    out.shares.push_back({name, share, e.value.where()});
    sum += share;
  }
  if (sum == full_share) return out;
  std::string sum_text = std::to_string(sum / 100);
  if (sum % 100 != 0) sum_text += (sum % 100 < 10 ? ".0" : ".") + std::to_string(sum % 100);
  return node.error_at("the shares of service '" + service + "' add up to " + sum_text, "make them add up to 100");
}

result<parsed_section> read_shares(const yaml_node& root) {
  return read_map_by_service<parsed_service_shares>(root, read_service_shares);
}

result<parsed_rollout> read_rollout(const std::string& service, const yaml_node& node) {
  BOOST_LEAF_CHECK(
      node.expect_keys({"from", "to", "finish_within_s", "watch_s", "max_first_share", "max_exposure_ms"}));
  parsed_rollout out;
  out.where = node.where();
  out.spec.service = service;
  BOOST_LEAF_AUTO(to, node.require("to"));
  out.to_where = to->where();
  out.from_where = out.where;
  if (const yaml_node* from = node.find("from")) {
    out.from_where = from->where();
    BOOST_LEAF_ASSIGN(out.spec.from, read_identifier(*from, "version"));
  }
  BOOST_LEAF_ASSIGN(out.spec.to, read_identifier(*to, "version"));
  if (out.spec.from == out.spec.to) {
    return to->error_at("the rollout goes from version '" + out.spec.from + "' to itself",
                        "name the new version in 'to'");
  }
  constexpr std::uint64_t week_s = 604'800;
  BOOST_LEAF_AUTO(finish, number_or<std::uint64_t>(node, "finish_within_s", 600, 1, week_s));
  BOOST_LEAF_AUTO(watch, number_or<std::uint64_t>(node, "watch_s", 300, 0, week_s));
  out.spec.finish_within = std::chrono::seconds(finish);
  out.spec.watch_period = std::chrono::seconds(watch);
  if (const yaml_node* first = node.find("max_first_share")) {
    BOOST_LEAF_ASSIGN(out.spec.max_first_share, read_percent(*first, 0.01));
  }
  if (const yaml_node* exposure = node.find("max_exposure_ms")) {
    BOOST_LEAF_AUTO(value, exposure->as_unsigned(1, week_s * 1000));
    out.spec.max_exposure = std::chrono::milliseconds(value);
  }
  return out;
}

result<parsed_section> read_rollouts(const yaml_node& root) {
  return read_map_by_service<parsed_rollout>(root, read_rollout);
}

result<parsed_limits> read_service_limits(const std::string& service, const yaml_node& node) {
  BOOST_LEAF_CHECK(node.expect_keys({"in_flight", "retry_ratio"}));
  parsed_limits out;
  out.service = service;
  out.where = node.where();
  if (const yaml_node* limit = node.find("in_flight")) {
    BOOST_LEAF_AUTO(value, limit->as_unsigned(1, 1'000'000));
    out.in_flight = static_cast<std::uint32_t>(value);
  }
  if (const yaml_node* ratio = node.find("retry_ratio")) {
    BOOST_LEAF_AUTO(value, ratio->as_double(0, 1));
    out.retry_ratio = value;
  }
  return out;
}

result<parsed_section> read_limits(const yaml_node& root) {
  return read_map_by_service<parsed_limits>(root, read_service_limits);
}

result<parsed_section> read_callers(const yaml_node& root) {
  BOOST_LEAF_CHECK(root.expect_keys({"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"}));
  caller_limits limits;
  constexpr std::uint64_t day_ms = 86'400'000;
  BOOST_LEAF_ASSIGN(limits.header_bytes,
                    number_or<std::uint64_t>(root, "max_header_bytes", limits.header_bytes, 256, 1 << 20));
  BOOST_LEAF_ASSIGN(limits.body_bytes,
                    number_or<std::uint64_t>(root, "max_body_bytes", limits.body_bytes, 0, std::uint64_t{1} << 40U));
  BOOST_LEAF_AUTO(header, number_or<std::uint64_t>(root, "header_timeout_ms", 60'000, 1, day_ms));
  BOOST_LEAF_AUTO(idle, number_or<std::uint64_t>(root, "idle_timeout_ms", 60'000, 1, day_ms));
  limits.header_timeout = std::chrono::milliseconds(header);
  limits.idle_timeout = std::chrono::milliseconds(idle);
  return parsed_section(limits);
}

result<parsed_section> read_label(const yaml_node& root) {
  BOOST_LEAF_AUTO(label, read_identifier(root, "label"));
  return parsed_section(label_section{std::move(label)});
}

// A list of the availability zones to which no request is sent.
result<parsed_section> read_evacuations(const yaml_node& root) {
  BOOST_LEAF_CHECK(root.expect_kind(yaml_kind::list));
  evacuations_section out;
  for (const yaml_node& item : root.items()) {
    BOOST_LEAF_AUTO(zone, read_identifier(item, "availability zone"));
    out.zones.push_back(std::move(zone));
  }
  return parsed_section(std::move(out));
}

result<parsed_section> read_accounts(std::string_view text, const yaml_source& source) {
  BOOST_LEAF_AUTO(accounts, parse_accounts_section(text, source));
  return parsed_section(std::move(accounts));
}

result<parsed_section> read_account_keys(std::string_view text, const yaml_source& source) {
  BOOST_LEAF_CHECK(check_account_keys_section(text, source));
  return parsed_section(account_keys_section{});
}

struct section_reader {
  section_kind kind;
  result<parsed_section> (*read)(const yaml_node&);
};

/// Reader of a kind whose sections are JSON that this system itself has written.
struct text_reader {
  section_kind kind;
  result<parsed_section> (*read)(std::string_view text, const yaml_source& source);
};

constexpr auto text_readers = std::to_array<text_reader>({
    {section_kind::accounts, read_accounts},
    {section_kind::account_keys, read_account_keys},
});

constexpr auto section_readers = std::to_array<section_reader>({
    {section_kind::services, read_services},
    {section_kind::routes, read_routes},
    {section_kind::shares, read_shares},
    {section_kind::rollouts, read_rollouts},
    {section_kind::limits, read_limits},
    {section_kind::callers, read_callers},
    {section_kind::label, read_label},
    {section_kind::evacuations, read_evacuations},
});

}  // namespace

yaml_source section_source(std::string_view name) {
  return {.name = "section " + std::string(name), .max_bytes = max_section_bytes};
}

result<parsed_section> parse_section(std::string_view name, std::string_view text, yaml_source source) {
  BOOST_LEAF_AUTO(kind, kind_of_section(name));
  for (const text_reader& reader : text_readers) {
    if (reader.kind == kind) return reader.read(text, source);
  }
  BOOST_LEAF_AUTO(root, read_yaml(text, std::move(source)));
  for (const section_reader& reader : section_readers) {
    if (reader.kind == kind) return reader.read(root);
  }
  return root.error_at("section '" + std::string(name) + "' has no parser", "report this as a bug");
}

result<parsed_section> parse_section(std::string_view name, std::string_view text) {
  return parse_section(name, text, section_source(name));
}

}  // namespace heatherdeck

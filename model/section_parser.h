/// @file
/// Parses the text of one section into typed values and checks everything that needs no other section.
///
///     BOOST_LEAF_AUTO(parsed, parse_section("routes.certdesk", text));
///     std::get<routes_section>(parsed)[0].rule.service;
///
/// model/document_compiler.h checks references to other sections (the service of a route, the version of a share). The
/// members named `where` are the locations for its errors.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/result.h"
#include "model/account_section.h"
#include "model/compiled_document.h"
#include "model/document.h"
#include "model/yaml_reader.h"

namespace heatherdeck {

struct parsed_service {
  service_spec spec;
  std::string where;
};

struct parsed_route {
  route_rule rule;
  std::string where;
  std::string service_where;
};

struct parsed_share {
  std::string upstream_version;
  basis_points share = 0;
  std::string where;
};

/// Shares of one service; their sum is full_share.
struct parsed_service_shares {
  std::string service;
  std::vector<parsed_share> shares;
  std::string where;
};

struct parsed_rollout {
  rollout_spec spec;
  std::string where;
  std::string from_where;
  std::string to_where;
};

struct parsed_limits {
  std::string service;
  std::optional<std::uint32_t> in_flight;
  std::optional<double> retry_ratio;
  std::string where;
};

using services_section = std::vector<parsed_service>;
using routes_section = std::vector<parsed_route>;
using shares_section = std::vector<parsed_service_shares>;
using rollouts_section = std::vector<parsed_rollout>;
using limits_section = std::vector<parsed_limits>;
using callers_section = caller_limits;
struct label_section {
  std::string label;
};
struct evacuations_section {
  std::vector<std::string> zones;
};

using accounts_section = std::vector<parsed_account>;
/// Only checked: nothing but the configuration that is read back uses its content.
struct account_keys_section {};

/// The values of one section. The alternatives are in the order of `section_kind`.
using parsed_section =
    std::variant<services_section, routes_section, shares_section, rollouts_section, limits_section, callers_section,
                 label_section, evacuations_section, accounts_section, account_keys_section>;

/// @return the source of a section whose text does not come from a file: errors name the section.
yaml_source section_source(std::string_view name);

/// @param name the section's name; its kind selects the parser.
/// @param source name and offsets for the locations in errors.
/// @return the values, or `bad_document` with location and remedy.
result<parsed_section> parse_section(std::string_view name, std::string_view text, yaml_source source);
result<parsed_section> parse_section(std::string_view name, std::string_view text);

}  // namespace heatherdeck

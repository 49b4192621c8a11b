// Routes are distributed over a fixed number of sections by a hash of their names. Invariant: the text of each routes
// section is a JSON object, so concatenating the members of all of them restores the submitted map of routes. Cost: one
// parse of the text and one hash for each route.
#include "control/configuration.h"

#include <algorithm>
#include <charconv>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "control/account_sections.h"
#include "model/document_digest.h"

namespace heatherdeck {
namespace {

namespace json = boost::json;

// With 400 routes a section has about 5 KiB, small enough for a change to be cheap to send and to parse.
constexpr std::uint64_t route_sections = 16;
constexpr std::string_view label_name = "label";
constexpr std::string_view routes_prefix = "routes.";
constexpr std::size_t max_json_depth = 12;

boost::leaf::error_id refuse(std::string text, std::string remedy) {
  return fail(error_kind::bad_document, std::move(text), std::move(remedy), "configuration");
}

std::string section_of_route(std::string_view name) {
  return fmt::format("{}{:02x}", routes_prefix, hash64(name) % route_sections);
}

/// A member of the JSON text that is stored whole in one section.
struct member_row {
  std::string_view member;
  std::string_view section;
};
constexpr member_row member_rows[] = {{"services", "services"}, {"limits", "callers"}};

// Optional: without it the deployment has no accounts.
constexpr std::string_view accounts_member = "accounts";

constexpr std::string_view required_members[] = {"version", "routes", "services", "limits"};

bool is_configuration_section(std::string_view section_name) {
  const auto same = [&](const member_row& row) { return row.section == section_name; };
  return section_name == label_name || section_name.starts_with(routes_prefix) || is_account_section(section_name) ||
         std::any_of(std::begin(member_rows), std::end(member_rows), same);
}

result<void> add_routes(configuration& out, const json::value& routes) {
  const auto* by_name = routes.if_object();
  if (by_name == nullptr) return refuse("the member 'routes' is not a map of routes by name", "send a JSON object");
  std::map<std::string, json::object> parts;
  for (const auto& route : *by_name) {
    parts[section_of_route({route.key().data(), route.key().size()})].emplace(route.key(), route.value());
  }
  for (auto& [name, part] : parts) out.sections[name] = json::serialize(part);
  return {};
}

// Returns the members of a JSON object without its braces, or a JSON string without its quotes.
std::string_view without_delimiters(std::string_view object) { return object.substr(1, object.size() - 2); }

}  // namespace

result<std::uint64_t> parse_label(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (text.size() != label_hex_digits || ec != std::errc{} || end != text.data() + text.size()) {
    return refuse("'" + std::string(text.substr(0, 32)) + "' is not a version", "use eight hexadecimal digits");
  }
  return number;
}

result<configuration> parse_configuration(std::string_view text) {
  boost::system::error_code ec;
  json::parse_options options;
  options.max_depth = max_json_depth;
  const json::value parsed = json::parse({text.data(), text.size()}, ec, {}, options);
  const auto* whole = ec ? nullptr : parsed.if_object();
  if (whole == nullptr) return refuse("the text is not one JSON object: " + ec.message(), "send the whole text");
  // A member that is missing would remove all that it held before.
  for (const std::string_view required : required_members) {
    if (!whole->contains({required.data(), required.size()}))
      return refuse("the member '" + std::string(required) + "' is missing", "send the whole configuration");
  }
  configuration out;
  for (const auto& member : *whole) {
    const std::string_view name(member.key().data(), member.key().size());
    const auto* row = std::find_if(std::begin(member_rows), std::end(member_rows),
                                   [name](const member_row& r) { return r.member == name; });
    if (name == "version") {
      const auto* label = member.value().if_string();
      if (label == nullptr) return refuse("the member 'version' is not a string", "use eight hexadecimal digits");
      BOOST_LEAF_ASSIGN(out.label, parse_label({label->data(), label->size()}));
    } else if (name == "routes") {
      BOOST_LEAF_CHECK(add_routes(out, member.value()));
    } else if (name == accounts_member) {
      BOOST_LEAF_CHECK(add_account_sections(member.value(), out.sections));
    } else if (row != std::end(member_rows)) {
      if (!member.value().is_object())
        return refuse("the member is not a JSON object: " + std::string(name), "send an object");
      out.sections[std::string(row->section)] = json::serialize(member.value());
    } else {
      return refuse("unknown member '" + std::string(name.substr(0, 64)) + "'",
                    "use version, routes, services, limits and accounts");
    }
  }
  if (out.label == 0) return refuse("the member 'version' is 0", "send a version above the current one");
  out.sections[std::string(label_name)] = fmt::format("\"{:08x}\"", out.label);
  return out;
}

std::uint64_t configuration_label(const document_state& document) {
  const auto found = document.sections.find(std::string(label_name));
  if (found == document.sections.end()) return 0;
  const auto number = capture([&] { return parse_label(without_delimiters(found->second.text)); });
  return number ? *number : 0;
}

std::vector<section_edit> diff_configuration(const configuration& wanted, const document_state& document) {
  std::vector<section_edit> edits;
  for (const auto& [name, text] : wanted.sections) {
    const auto held = document.sections.find(name);
    if (held == document.sections.end()) {
      edits.push_back({name, text, {}});
    } else if (held->second.text != text) {
      edits.push_back({name, text, held->second.revision});
    }
  }
  for (const auto& [name, held] : document.sections) {
    if (is_configuration_section(name) && !wanted.sections.contains(name)) edits.push_back({name, {}, held.revision});
  }
  return edits;
}

std::string serialize_configuration(const document_state& document) {
  const auto label = document.sections.find(std::string(label_name));
  if (label == document.sections.end()) return {};
  std::string routes;
  for (const auto& [name, held] : document.sections) {
    if (!name.starts_with(routes_prefix)) continue;
    if (!routes.empty()) routes += ',';
    routes += without_delimiters(held.text);
  }
  std::string whole = "{\"version\":" + label->second.text + ",\"routes\":{" + routes + "}";
  for (const member_row& row : member_rows) {
    const auto held = document.sections.find(std::string(row.section));
    if (held != document.sections.end()) whole += fmt::format(",\"{}\":{}", row.member, held->second.text);
  }
  if (const auto accounts = read_account_sections(document))
    whole += fmt::format(",\"{}\":{}", accounts_member, *accounts);
  return whole + "}";
}

}  // namespace heatherdeck

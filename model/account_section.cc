// One table lists the members of an account and their readers. Invariant: whatever form is read, an unknown member or a
// value outside of its limits is refused, and no error contains a value. Cost: one pass over the JSON text.
#include "model/account_section.h"

#include <algorithm>
#include <cmath>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace heatherdeck {
namespace {

namespace json = boost::json;

constexpr std::size_t max_account_name_bytes = 128;
constexpr std::size_t max_keys = 64;
constexpr std::size_t max_regions = 64;
constexpr std::uint32_t max_priority = 1000;
constexpr double max_rate = 1e9;
constexpr std::size_t max_json_depth = 8;

boost::leaf::error_id refuse(std::string text, std::string remedy, std::string where) {
  return fail(error_kind::bad_document, std::move(text), std::move(remedy), std::move(where));
}

/// The value of one member, and what an error says about it.
struct member_value {
  const json::value& value;
  std::string_view account;
  std::string_view member;
  const std::string& where;

  boost::leaf::error_id refuse(std::string_view problem, std::string_view remedy) const {
    return heatherdeck::refuse(
        "account '" + std::string(account) + "': '" + std::string(member) + "' " + std::string(problem),
        std::string(remedy), where);
  }
};

result<double> read_rate(const member_value& m) {
  const double rate = m.value.is_number() ? m.value.to_number<double>() : -1;
  if (rate >= 0 && rate <= max_rate) return rate;
  return m.refuse("is not a number from 0 to 1e9", "write requests a second; 0 is no limit");
}

result<void> read_rate_per_s(const member_value& m, parsed_account& out) {
  BOOST_LEAF_ASSIGN(out.account.rate_per_s, read_rate(m));
  return {};
}

result<void> read_burst(const member_value& m, parsed_account& out) {
  BOOST_LEAF_ASSIGN(out.account.burst, read_rate(m));
  return {};
}

result<void> read_priority(const member_value& m, parsed_account& out) {
  const double number = m.value.is_number() ? m.value.to_number<double>() : -1;
  if (number < 0 || number > max_priority || number != std::floor(number))
    return m.refuse("is not an integer from 0 to 1000", "0 is the most urgent");
  out.account.priority = static_cast<std::uint32_t>(number);
  return {};
}

result<void> read_regions(const member_value& m, parsed_account& out) {
  const json::array* list = m.value.if_array();
  if (list == nullptr || list->size() > max_regions)
    return m.refuse("is not a list of at most 64 regions", "list them");
  for (const json::value& item : *list) {
    const json::string* region = item.if_string();
    if (region == nullptr || region->empty() || region->size() > max_account_name_bytes)
      return m.refuse("has an item that is not the name of a region", "list names of regions");
    out.account.regions.emplace_back(region->data(), region->size());
  }
  return {};
}

// Calls `read` for the text of each key; `read` returns whether the text is valid.
template <class Read>
result<void> read_key_list(const member_value& m, Read read) {
  const json::array* list = m.value.if_array();
  if (list == nullptr || list->size() > max_keys) return m.refuse("is not a list of at most 64 keys", "list the keys");
  for (const json::value& item : *list) {
    const json::string* key = item.if_string();
    if (key == nullptr || !read(std::string_view(key->data(), key->size())))
      return m.refuse("has an item that is not a key", "use strings of 1 to 512 visible ASCII characters");
  }
  return {};
}

result<void> read_api_keys(const member_value& m, parsed_account& out) {
  return read_key_list(m, [&](std::string_view key) {
    if (!is_api_key(key)) return false;
    out.keys.push_back(digest_of_key(key));
    return true;
  });
}

result<void> read_key_digests(const member_value& m, parsed_account& out) {
  return read_key_list(m, [&](std::string_view hex) {
    const auto digest = parse_key_digest(hex);
    if (digest) out.keys.push_back(*digest);
    return digest.has_value();
  });
}

struct account_member {
  std::string_view name;
  result<void> (*read)(const member_value&, parsed_account&);
  std::optional<key_form> only_in{};
  bool required = false;
};

constexpr account_member account_members[] = {
    {"api_keys", read_api_keys, key_form::plain, true},
    {"keys", read_key_digests, key_form::digest, true},
    {"priority", read_priority},
    {"rate_per_s", read_rate_per_s},
    {"burst", read_burst},
    {"allowed_regions", read_regions},
};

bool is_account_name(std::string_view name) {
  return !name.empty() && name.size() <= max_account_name_bytes &&
         std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

result<json::object> parse_map(std::string_view text, const yaml_source& source) {
  if (text.size() > source.max_bytes) {
    return refuse(
        "the section has " + std::to_string(text.size()) + " bytes; the limit is " + std::to_string(source.max_bytes),
        "use fewer accounts", source.name);
  }
  boost::system::error_code ec;
  json::parse_options options;
  options.max_depth = max_json_depth;
  json::value parsed = json::parse({text.data(), text.size()}, ec, {}, options);
  if (ec || !parsed.is_object())
    return refuse("the section is not one JSON object", "send accounts by name", source.name);
  return std::move(parsed.get_object());
}

result<std::vector<parsed_account>> read_accounts(const json::object& by_name, key_form form,
                                                  const std::string& where) {
  std::vector<parsed_account> accounts;
  accounts.reserve(by_name.size());
  for (const auto& member : by_name) {
    BOOST_LEAF_AUTO(one, read_account({member.key().data(), member.key().size()}, member.value(), form, where));
    accounts.push_back(std::move(one));
  }
  return accounts;
}

}  // namespace

result<parsed_account> read_account(std::string_view name, const json::value& value, key_form form,
                                    const std::string& where) {
  if (!is_account_name(name))
    return refuse("the name of an account is invalid", "use 1 to 128 visible ASCII characters", where);
  const json::object* members = value.if_object();
  if (members == nullptr)
    return refuse("account '" + std::string(name) + "' is not a JSON object", "send api_keys and its limits", where);
  parsed_account out;
  out.account.name = name;
  std::size_t known = 0;
  for (const account_member& row : account_members) {
    if (row.only_in && *row.only_in != form) continue;
    const json::value* found = members->if_contains({row.name.data(), row.name.size()});
    if (found != nullptr) {
      ++known;
      BOOST_LEAF_CHECK(row.read({*found, name, row.name, where}, out));
    } else if (row.required) {
      return refuse("account '" + std::string(name) + "' has no member '" + std::string(row.name) + "'",
                    "send a list, which may be empty", where);
    }
  }
  if (known != members->size()) {
    return refuse("account '" + std::string(name) + "' has an unknown member",
                  "use api_keys, priority, rate_per_s, burst and regions", where);
  }
  return out;
}

std::string format_accounts(const std::vector<parsed_account>& accounts) {
  json::object by_name;
  for (const parsed_account& one : accounts) {
    json::array keys;
    for (const key_digest& digest : one.keys) keys.emplace_back(to_hex(digest));
    json::object members{{"keys", std::move(keys)}};
    if (one.account.priority) members["priority"] = *one.account.priority;
    if (one.account.rate_per_s > 0) members["rate_per_s"] = one.account.rate_per_s;
    if (one.account.burst > 0) members["burst"] = one.account.burst;
    if (!one.account.regions.empty())
      members["allowed_regions"] = json::array(one.account.regions.begin(), one.account.regions.end());
    by_name[one.account.name] = std::move(members);
  }
  return json::serialize(by_name);
}

result<std::vector<parsed_account>> parse_accounts_section(std::string_view text, const yaml_source& source) {
  BOOST_LEAF_AUTO(by_name, parse_map(text, source));
  return read_accounts(by_name, key_form::digest, source.name);
}

result<void> check_account_keys_section(std::string_view text, const yaml_source& source) {
  BOOST_LEAF_AUTO(by_name, parse_map(text, source));
  BOOST_LEAF_CHECK(read_accounts(by_name, key_form::plain, source.name));
  return {};
}

}  // namespace heatherdeck

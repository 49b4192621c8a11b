// Invariant: an account is in the two sections with the number of its hash, so a change of one account changes this
// pair only. Cost: one hash for each account, and one SHA-256 for each key.
#include "control/account_sections.h"

#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "model/account_section.h"
#include "model/document_digest.h"

namespace heatherdeck {
namespace {

namespace json = boost::json;

// 10,000 accounts with two keys of 42 characters have 2.1 MB of distributed text: in 64 sections at most 40 KiB, with
// 32 the average would be at the limit of 64 KiB for a section.
constexpr std::uint64_t account_sections = 64;
constexpr std::string_view sent_kind = to_name(section_kind::account_keys);
constexpr std::string_view distributed_kind = to_name(section_kind::accounts);
constexpr std::string_view empty_map = "{}";

std::string numbered(std::string_view kind, std::uint64_t number) { return fmt::format("{}.{:02x}", kind, number); }

}  // namespace

result<void> add_account_sections(const json::value& accounts, std::map<std::string, std::string>& sections) {
  const std::string where = "member accounts";
  const json::object* by_name = accounts.if_object();
  if (by_name == nullptr) {
    return fail(error_kind::bad_document, "the member 'accounts' is not a map of accounts by name",
                "send a JSON object", where);
  }
  std::map<std::uint64_t, json::object> sent;
  std::map<std::uint64_t, std::vector<parsed_account>> distributed;
  for (const auto& member : *by_name) {
    const std::string_view name(member.key().data(), member.key().size());
    BOOST_LEAF_AUTO(parsed, read_account(name, member.value(), key_form::plain, where));
    const std::uint64_t number = hash64(name) % account_sections;
    sent[number].emplace(member.key(), member.value());
    distributed[number].push_back(std::move(parsed));
  }
  sections[std::string(sent_kind)] = empty_map;
  sections[std::string(distributed_kind)] = empty_map;
  for (const auto& [number, part] : sent) sections[numbered(sent_kind, number)] = json::serialize(part);
  for (const auto& [number, part] : distributed) sections[numbered(distributed_kind, number)] = format_accounts(part);
  return {};
}

std::optional<std::string> read_account_sections(const document_state& document) {
  if (!document.sections.contains(std::string(sent_kind))) return std::nullopt;
  std::string members;
  for (const auto& [name, held] : document.sections) {
    if (!name.starts_with(sent_kind) || held.text.size() <= empty_map.size()) continue;
    if (!members.empty()) members += ',';
    members.append(held.text, 1, held.text.size() - 2);
  }
  return "{" + members + "}";
}

bool is_account_section(std::string_view section_name) {
  const std::string_view kind = section_name.substr(0, section_name.find('.'));
  return kind == sent_kind || kind == distributed_kind;
}

}  // namespace heatherdeck

/// @file
/// Converts between the member `accounts` of a configuration and the sections that store it; see
/// model/account_section.h. Used by control/configuration.h.
///
///     BOOST_LEAF_CHECK(add_account_sections(member, sections));
///     if (const auto member = read_account_sections(document)) text += ",\"accounts\":" + *member;
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "kernel/result.h"
#include "model/document.h"

namespace heatherdeck {

/// Adds the sections of all accounts.
/// @param accounts a map of accounts by name.
/// @return `bad_document` if the member is malformed; the error contains no key.
result<void> add_account_sections(const boost::json::value& accounts, std::map<std::string, std::string>& sections);

/// @return the member as it was sent; nothing if the configuration had none.
std::optional<std::string> read_account_sections(const document_state& document);

/// @return whether the section belongs to the member `accounts`.
bool is_account_section(std::string_view section_name);

}  // namespace heatherdeck

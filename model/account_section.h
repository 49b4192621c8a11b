/// @file
/// The two sections in which a document stores client accounts, and their JSON form.
///
/// `account_keys.NN` holds accounts as the operators sent them, with their API keys; only control hosts have it (see
/// model/distributed_document.h). `accounts.NN` is what nodes need of the same accounts: the keys are replaced by their
/// digests. An account is in the sections whose number is the hash of its name. The sections `account_keys` and
/// `accounts` without a number are empty maps; they show that the configuration has accounts, possibly none.
///
///     BOOST_LEAF_AUTO(parsed, read_account("orders-eu", value, key_form::plain, "member accounts"));
///     std::string text = format_accounts({parsed});             // {"orders-eu":{"keys":["5e88..."],"priority":1}}
///
/// Both kinds are JSON and are not read as YAML: yaml-cpp needs a second for the sections of 10,000 accounts.
/// No error of this module quotes anything but names of accounts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "kernel/result.h"
#include "model/api_key.h"
#include "model/compiled_document.h"
#include "model/yaml_reader.h"

namespace heatherdeck {

struct parsed_account {
  client_account account;
  std::vector<key_digest> keys;
};

/// How the keys of an account are written: `plain` as the operators send them (`api_keys`), `digest` as nodes receive
/// them (`keys`).
enum class key_form { plain, digest };

/// Reads one account.
/// @param where location for errors.
/// @return the account, or `bad_document`.
result<parsed_account> read_account(std::string_view name, const boost::json::value& value, key_form form,
                                    const std::string& where);

/// @return the text of a section of kind `accounts`.
std::string format_accounts(const std::vector<parsed_account>& accounts);

/// Parses the text of a section of kind `accounts`.
result<std::vector<parsed_account>> parse_accounts_section(std::string_view text, const yaml_source& source);

/// Checks the text of a section of kind `account_keys`.
result<void> check_account_keys_section(std::string_view text, const yaml_source& source);

}  // namespace heatherdeck

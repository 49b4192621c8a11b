/// @file
/// Adds client accounts to a compiled document of a test. Each account has one key, the text "key of NAME".
///
///     set_accounts(document, {{.name = "acme", .priority = 0}});
///     attributes.api_key = key_of_account("acme");
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "model/compiled_document.h"

namespace heatherdeck {

inline key_digest key_of_account(const std::string& name) { return digest_of_key("key of " + name); }

inline void set_accounts(compiled_document& document, const std::vector<client_account>& accounts) {
  std::vector<account_key_table::entry> keys;
  document.has_accounts = true;
  document.accounts.clear();
  for (const client_account& account : accounts) {
    document.accounts.emplace(account.name, account);
    keys.push_back({key_of_account(account.name), account.name});
  }
  document.account_keys.build(std::move(keys));
}

}  // namespace heatherdeck

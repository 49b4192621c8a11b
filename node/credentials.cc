// Cost: one SHA-256 for each request with a bearer token.
#include "node/credentials.h"

#include <algorithm>

#include <openssl/crypto.h>

namespace heatherdeck {
namespace {

constexpr std::string_view authorization = "authorization";
constexpr std::string_view bearer = "bearer";
constexpr std::string_view blanks = " \t";

// Returns the token of the scheme Bearer (RFC 6750, 2.1); empty if the value has none.
std::string_view bearer_token(std::string_view value) {
  const std::size_t end = std::min(value.find_first_of(blanks), value.size());
  if (lower_case(value.substr(0, end)) != bearer) return {};
  value.remove_prefix(end);
  const std::size_t begin = value.find_first_not_of(blanks);
  if (begin == std::string_view::npos) return {};
  return value.substr(begin, value.find_last_not_of(blanks) - begin + 1);
}

}  // namespace

void add_authorization(request_head& head, std::string_view value) {
  const bool repeated = std::any_of(head.headers.begin(), head.headers.end(),
                                    [](const auto& field) { return field.first == authorization; });
  if (repeated) {
    head.api_key = key_digest{};  // the digest of no key
  } else if (const std::string_view token = bearer_token(value); !token.empty()) {
    head.api_key = digest_of_key(token);
  }
  head.headers.emplace_back(authorization, value);
}

void remove_credentials(header_list& headers, const http_dialect& dialect) {
  std::erase_if(headers, [&](auto& field) {
    if (field.first != authorization && field.first != dialect.account) return false;
    OPENSSL_cleanse(field.second.data(), field.second.size());
    return true;
  });
}

}  // namespace heatherdeck

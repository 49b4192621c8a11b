/// @file
/// API keys of client accounts. Nodes know keys only by their SHA-256 digest; the keys themselves are kept by control
/// hosts, which return them to the operators with the configuration.
///
///     const key_digest presented = digest_of_key("k-7f...");
///     if (const std::string* account = document.account_keys.find(presented)) use(*account);
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heatherdeck {

/// SHA-256 of an API key.
using key_digest = std::array<std::uint8_t, 32>;

inline constexpr std::size_t max_api_key_bytes = 512;

/// @return whether the text can be sent as a bearer token: 1 to 512 visible ASCII characters.
bool is_api_key(std::string_view text);

key_digest digest_of_key(std::string_view key);

/// The first eight bytes of a digest, by which one node names a key to another: enough to notice that a key was
/// withdrawn, and useless to a caller.
using key_id = std::uint64_t;
key_id key_id_of(const key_digest& digest);

/// Formats and parses a key id: 16 lower-case hexadecimal digits.
std::string format_key_id(key_id id);
std::optional<key_id> parse_key_id(std::string_view text);

/// @return the digest as 64 hexadecimal digits.
std::string to_hex(const key_digest& digest);

/// @return the digest; nothing if the text is not 64 lower-case hexadecimal digits.
std::optional<key_digest> parse_key_digest(std::string_view hex);

/// Two accounts with the same key.
using shared_key = std::pair<std::string, std::string>;

/// Accounts by the digests of their keys. Immutable after `build`.
class account_key_table {
 public:
  struct entry {
    key_digest digest{};
    std::string account;
  };

  /// Replaces the content.
  /// @return the names of two accounts that share a key, in which case the table is not usable.
  std::optional<shared_key> build(std::vector<entry> entries);

  /// @return the name of the account, or null; valid as long as the table is.
  const std::string* find(const key_digest& presented) const;

  /// @return whether any account has a key with this id.
  bool contains(key_id id) const;

  std::size_t size() const { return entries_.size(); }

 private:
  std::vector<entry>::const_iterator first_with(key_id id) const;

  std::vector<entry> entries_;  ///< sorted by digest
};

}  // namespace heatherdeck

// The table is sorted by digest. The search compares the first eight bytes only; whole digests are compared in constant
// time, so the time of a look-up says nothing about how much of a digest was right. Cost of a look-up: log2 of the
// number of keys comparisons of integers.
#include "model/api_key.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace heatherdeck {
namespace {

bool same_digest(const key_digest& a, const key_digest& b) { return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0; }

int hex_value(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

}  // namespace

bool is_api_key(std::string_view text) {
  return !text.empty() && text.size() <= max_api_key_bytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

key_digest digest_of_key(std::string_view key) {
  key_digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
  return digest;
}

key_id key_id_of(const key_digest& digest) {
  key_id id = 0;
  for (std::size_t i = 0; i < sizeof id; ++i) id = id << 8U | digest[i];
  return id;
}

std::string format_key_id(key_id id) { return fmt::format("{:016x}", id); }

std::optional<key_id> parse_key_id(std::string_view text) {
  key_id id = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  if (text.size() != 2 * sizeof id || ec != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return id;
}

std::string to_hex(const key_digest& digest) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * digest.size());
  for (const std::uint8_t byte : digest) {
    text += digits[byte >> 4U];
    text += digits[byte & 0xfU];
  }
  return text;
}

std::optional<key_digest> parse_key_digest(std::string_view hex) {
  key_digest digest{};
  if (hex.size() != 2 * digest.size()) return std::nullopt;
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const int high = hex_value(hex[2 * i]);
    const int low = hex_value(hex[2 * i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    digest[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return digest;
}

std::optional<shared_key> account_key_table::build(std::vector<entry> entries) {
  entries_ = std::move(entries);
  std::sort(entries_.begin(), entries_.end(), [](const entry& a, const entry& b) { return a.digest < b.digest; });
  const auto same = [](const entry& a, const entry& b) { return a.digest == b.digest; };
  const auto shared = std::adjacent_find(entries_.begin(), entries_.end(), [&](const entry& a, const entry& b) {
    return same(a, b) && a.account != b.account;
  });
  if (shared != entries_.end()) {
    const auto [first, second] = std::minmax(shared->account, std::next(shared)->account);
    return shared_key{first, second};
  }
  entries_.erase(std::unique(entries_.begin(), entries_.end(), same), entries_.end());
  entries_.shrink_to_fit();
  return std::nullopt;
}

std::vector<account_key_table::entry>::const_iterator account_key_table::first_with(key_id id) const {
  return std::lower_bound(entries_.begin(), entries_.end(), id,
                          [](const entry& e, key_id wanted) { return key_id_of(e.digest) < wanted; });
}

const std::string* account_key_table::find(const key_digest& presented) const {
  const key_id id = key_id_of(presented);
  for (auto found = first_with(id); found != entries_.end() && key_id_of(found->digest) == id; ++found) {
    if (same_digest(found->digest, presented)) return &found->account;
  }
  return nullptr;
}

bool account_key_table::contains(key_id id) const {
  const auto found = first_with(id);
  return found != entries_.end() && key_id_of(found->digest) == id;
}

}  // namespace heatherdeck

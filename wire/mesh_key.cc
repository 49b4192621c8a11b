// HMAC-SHA256 by OpenSSL. Invariant: different labels or parts never encode to the same bytes. Cost: about 1
// microsecond for a short message.
#include "wire/mesh_key.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace heatherdeck {

namespace {
void append_part(std::string& to, std::string_view part) {
  const std::size_t size = part.size();
  for (unsigned shift = 32; shift > 0; shift -= 8) to.push_back(static_cast<char>((size >> (shift - 8)) & 0xFFU));
  to += part;
}
}  // namespace

std::string mesh_mac(std::string_view key, std::string_view label, std::initializer_list<std::string_view> parts) {
  std::string text;
  append_part(text, label);
  for (const std::string_view part : parts) append_part(text, part);
  std::string mac(mesh_mac_bytes, '\0');
  unsigned size = mesh_mac_bytes;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()),
       text.size(), reinterpret_cast<unsigned char*>(mac.data()), &size);
  return mac;
}

bool macs_equal(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_bytes(std::size_t count) {
  std::string bytes(count, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1) return {};
  return bytes;
}

}  // namespace heatherdeck

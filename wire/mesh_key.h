/// @file
/// Message authentication codes (MACs) with the mesh key: HMAC-SHA256 over a label and length-prefixed parts. Used by
/// the mesh handshake and by the gossip datagrams.
///
///     std::string mac = mesh_mac(key, "mesh datagram 1", {payload});
///     if (!macs_equal(mac, received)) drop();
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace heatherdeck {

inline constexpr std::size_t mesh_mac_bytes = 32;
inline constexpr std::size_t mesh_nonce_bytes = 32;

/// @param label separates the uses of the key, so that a MAC made for one use is not valid for another.
/// @param parts each is preceded by its length, so that moving bytes between parts changes the MAC.
std::string mesh_mac(std::string_view key, std::string_view label, std::initializer_list<std::string_view> parts);

/// Compares two MACs in constant time (for equal lengths).
bool macs_equal(std::string_view left, std::string_view right);

/// @return cryptographically secure random bytes (OpenSSL RAND_bytes); empty if the source fails.
std::string random_bytes(std::size_t count);

}  // namespace heatherdeck

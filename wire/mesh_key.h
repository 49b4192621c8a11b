/// @file
/// Proofs of the mesh key: HMAC-SHA256 over labelled, length-prefixed parts.
///
///     std::string proof = mesh_proof(key, "datagram", {payload});
///     if (!equal_proof(proof, received)) drop();
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace heatherdeck {

inline constexpr std::size_t mesh_proof_bytes = 32;
inline constexpr std::size_t mesh_nonce_bytes = 32;

/// @param label separates the uses of the key, so that a proof of one use is worthless in another.
/// @param parts each is preceded by its length, so that bytes cannot move between parts.
std::string mesh_proof(std::string_view key, std::string_view label, std::initializer_list<std::string_view> parts);

/// Compares in constant time.
bool equal_proof(std::string_view left, std::string_view right);

/// @return bytes from the system's random source; empty when it fails.
std::string random_bytes(std::size_t count);

}  // namespace heatherdeck

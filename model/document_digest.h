/// @file
/// XXH3-128 digest of a document state. A node compares it after each update, so that it never uses a
/// document that differs from the control host's.
///
///     if (digest_of(state) != offer.state_digest) refuse(offer);
///
/// The digest covers the version, every section with its revision, the rollouts and the withdrawn versions. Strings are
/// hashed with their length, so two different states never give the same hash input.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "model/document.h"

namespace heatherdeck {

/// @return the digest of the whole state. Cost: linear in the size of the state.
digest digest_of(const document_state& state);

/// @return the 64-bit XXH3 hash, for assigning names to buckets, ranking hosts and comparing contents.
std::uint64_t hash64(std::string_view bytes);

/// @return the digest as 32 hexadecimal digits.
std::string to_hex(const digest& value);

}  // namespace heatherdeck

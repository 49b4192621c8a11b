/// @file
/// XXH3-128 digest of a document state: the proof that two processes hold the same document.
///
///     if (digest_of(state) != offer.result) refuse(offer);
///
/// The digest covers the version, every section with its revision, the rollouts and the withdrawn versions. Strings are
/// hashed with their length, so that no two different states give the same input.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "model/document.h"

namespace heatherdeck {

/// @return the digest of the whole state; cost is linear in the state's size.
digest digest_of(const document_state& state);

/// @return a 64-bit XXH3 hash, for placement and for comparing contents.
std::uint64_t hash_of(std::string_view bytes);

/// @return 32 hexadecimal digits.
std::string to_text(const digest& value);

}  // namespace heatherdeck

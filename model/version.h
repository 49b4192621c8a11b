/// @file
/// Version number of the document, and the digest that verifies its content.
///
///     version held{1, 17};                              // version of the local document
///     if (offered <= held) return;                      // not newer: ignored
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace heatherdeck {

/// Version of the document, ordered by epoch, then index.
/// `index` is the index of the log entry that changed the document. `epoch` changes only when an operator restores the
/// document after the disks of all control hosts were lost.
struct version {
  std::uint64_t epoch = 0;
  std::uint64_t index = 0;

  // clang-tidy mistakes the zero in the compiler's rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const version&) const = default;
  /// @return true for the version that stands for "no document".
  bool none() const { return epoch == 0 && index == 0; }
  /// @return "epoch.index".
  std::string text() const { return std::to_string(epoch) + "." + std::to_string(index); }
};

/// XXH3-128 hash over a whole document state; see model/document_digest.h.
struct digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const digest&) const = default;
};

}  // namespace heatherdeck

/// @file
/// Version numbers of the accepted document and the digest that proves its content.
///
///     version held{1, 17};
///     if (offer.version <= held) ignore(offer);
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace heatherdeck {

/// Version of the accepted document, ordered by epoch, then index.
/// `index` is the log index of the entry that changed the document; `epoch` rises only when an operator restores the
/// document after all control disks were lost.
struct version {
  std::uint64_t epoch = 0;
  std::uint64_t index = 0;

  // clang-tidy takes the zero in the compiler's rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const version&) const = default;
  /// @return true for the version that stands for "no document".
  bool none() const { return epoch == 0 && index == 0; }
  /// @return "epoch.index".
  std::string text() const { return std::to_string(epoch) + "." + std::to_string(index); }
};

/// XXH3-128 over the whole document state.
struct digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const digest&) const = default;
};

}  // namespace heatherdeck

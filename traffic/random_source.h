/// @file
/// Seeded pseudo-random number generator (SplitMix64) for traffic decisions and simulations: the same seed gives the
/// same sequence. Not for cryptographic use.
///
///     random_source random(42);
///     random.below(6);      // 0..5
///     random.fraction();    // [0, 1)
#pragma once

#include <cstdint>

namespace heatherdeck {

class random_source {
 public:
  explicit random_source(std::uint64_t seed) : state_(seed) {}

  /// @return 64 uniformly distributed bits.
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }

  /// @param bound greater than zero.
  /// @return a number from 0 to bound - 1.
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }

  /// @return a uniformly distributed number in [0, 1).
  double fraction() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace heatherdeck

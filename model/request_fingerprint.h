/// @file
/// Identity of a request that is sent again: equal for the same method, host, path, calling service and body, whatever
/// the request's id and the node that it passes.
///
///     body_hasher body;
///     body.update(part);                                     // in parts of any size
///     const request_fingerprint f{hash_request_head("GET", "orders", "/parcels/7", "catalogue"), body.value()};
///     log(to_text(f));
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace heatherdeck {

/// Bodies are compared by their first part of this size.
inline constexpr std::size_t max_hashed_body_bytes = 64UL * 1024;

struct request_fingerprint {
  std::uint64_t head = 0;
  std::uint64_t body = 0;  ///< 0: no body

  // clang-tidy mistakes the zero in the compiler's rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const request_fingerprint&) const = default;
};

/// @param target path and query.
/// @param caller_service service of the host where the request originated.
/// @return the hash of everything that identifies a request but its body.
std::uint64_t hash_request_head(std::string_view method, std::string_view host, std::string_view target,
                                std::string_view caller_service);

/// @return the rank of `name` for a request: every process ranks the same names alike, and other requests otherwise.
std::uint64_t rank_for(const request_fingerprint& request, std::string_view name);

/// @return 32 hexadecimal digits, as logs show the fingerprint.
std::string to_text(const request_fingerprint& fingerprint);

/// Hashes a body as its parts pass.
class body_hasher {
 public:
  /// Adds the next part; what lies beyond max_hashed_body_bytes is not hashed.
  void update(std::string_view part);

  /// @return whether further parts cannot change the value.
  bool full() const { return size_ == max_hashed_body_bytes; }

  /// @return the hash of all parts; 0 for an empty body.
  std::uint64_t value() const;

 private:
  /// Created with the first part, as most requests have no body.
  std::unique_ptr<XXH3_state_s, void (*)(XXH3_state_s*)> state_{nullptr, nullptr};
  std::size_t size_ = 0;
};

}  // namespace heatherdeck

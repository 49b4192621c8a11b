// Each field of the head is hashed with its length, so that no two different heads give the same bytes. Cost: one pass;
// the state of a body takes half a kilobyte while the body passes.
#include "model/request_fingerprint.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace heatherdeck {

void body_hasher::update(std::string_view part) {
  part = part.substr(0, max_hashed_body_bytes - size_);
  if (part.empty()) return;
  if (!state_) {
    state_ = {XXH3_createState(), [](XXH3_state_s* state) { XXH3_freeState(state); }};
    XXH3_64bits_reset(state_.get());
  }
  XXH3_64bits_update(state_.get(), part.data(), part.size());
  size_ += part.size();
}

std::uint64_t body_hasher::value() const {
  return state_ ? std::max<std::uint64_t>(XXH3_64bits_digest(state_.get()), 1) : 0;
}

std::uint64_t hash_request_head(std::string_view method, std::string_view host, std::string_view target,
                                std::string_view caller_service) {
  std::uint64_t hash = 0;
  for (const std::string_view field : {method, host, target, caller_service}) {
    const std::uint64_t seed = XXH3_64bits_withSeed(&hash, sizeof hash, field.size());
    hash = XXH3_64bits_withSeed(field.data(), field.size(), seed);
  }
  return hash;
}

std::uint64_t rank_for(const request_fingerprint& request, std::string_view name) {
  return XXH3_64bits_withSeed(name.data(), name.size(), request.head ^ request.body);
}

std::string to_text(const request_fingerprint& fingerprint) {
  return fmt::format("{:016x}{:016x}", fingerprint.head, fingerprint.body);
}

}  // namespace heatherdeck

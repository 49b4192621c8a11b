/// @file
/// What it costs callers that a request is delayed or rejected, as an order: the queue runs the request first whose
/// delay costs most, and rejects the one first whose rejection costs least.
///
///     const rejection_rank a = rank_request({.priority = 1, .objective = t, .service_ms = 90});
///     const rejection_rank b = rank_request({.priority = 2, .objective = t, .service_ms = 30});
///     a < b;   // a runs first, and b is rejected first
///
/// Used by admission_queue. Pure.
#pragma once

#include <compare>
#include <cstdint>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"

namespace heatherdeck {

/// The claim of a request on a slot, which goes before its priority.
enum class slot_claim {
  nested,  ///< called on behalf of a running request, whose work is lost with it
  owed,    ///< of an account or kind that gets less than its guaranteed share
  usual,
};

template <>
struct enum_table<slot_claim> {
  static constexpr auto entries = std::to_array<enum_entry<slot_claim>>({
      {slot_claim::nested, "nested"},
      {slot_claim::owed, "owed"},
      {slot_claim::usual, "usual"},
  });
};

/// What the cost of a request depends on.
struct rejection_criteria {
  slot_claim claim = slot_claim::usual;
  bool due = false;                  ///< a start is due to its account, which ranks with the most urgent ones
  bool excess = false;               ///< beyond what its account usually sends
  std::uint32_t priority = 0;        ///< of its account, or of its route without one; 0 is the most urgent
  std::uint32_t route_priority = 0;  ///< decides between requests of equal priority
  time_point objective{};
  double service_ms = 0;  ///< expected service time; 0 when unknown
};

/// The place of a request in the order; the least goes first.
struct rejection_rank {
  slot_claim claim = slot_claim::usual;
  std::uint32_t priority = 0;
  std::uint32_t route_priority = 0;
  bool excess = false;
  int log2_work = 0;  ///< expected service time in factors of two
  time_point objective{};

  // clang-tidy mistakes the zero in the compiler's rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const rejection_rank&) const = default;
};

rejection_rank rank_request(const rejection_criteria& criteria);

}  // namespace heatherdeck

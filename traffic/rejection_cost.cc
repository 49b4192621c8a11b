// The cost of a rejection rises with the priority of the account, then with that of the route. The order between
// priorities is strict: weights that work could outweigh would serve a less urgent kind with little work more often
// than an urgent one with much. Within one priority the most requests are answered in time when those with little work
// go first; work is compared in factors of two, so that small changes of measured service times do not reorder kinds of
// about the same work, and among equals the earliest objective goes first. The part that an account sends beyond its
// usual share comes after the others of its priority only: behind all others, its urgent requests would be rejected in
// favour of those of least worth. Cost: O(1).
#include "traffic/rejection_cost.h"

#include <algorithm>
#include <cmath>

namespace heatherdeck {
namespace {

constexpr double min_service_ms = 1;

}  // namespace

rejection_rank rank_request(const rejection_criteria& c) {
  const double log2_work = std::log2(std::max(c.service_ms, min_service_ms));
  return {c.claim,    c.due ? 0 : c.priority, c.route_priority, c.excess, static_cast<int>(std::lround(log2_work)),
          c.objective};
}

}  // namespace heatherdeck

// A ring of at most 8 entries, indexed by the number of the request. Invariant: only the front is open, and a request
// that is not repeatable is the only entry. Cost: O(1) each, without allocation.
#include "node/pipeline_core.h"

#include <utility>

namespace heatherdeck {

bool pipeline_core::may_begin() const {
  if (closed_ || blocked_ || last_begun_ || size() == max_pipelined) return false;
  if (held_total_ > max_held_total - max_held_response) return false;
  return empty() || at(next_ - 1).repeatable;
}

pipeline_core::request_number pipeline_core::begin(request_kind kind) {
  const request_number id = next_++;
  at(id) = entry{.repeatable = kind.repeatable};
  last_begun_ = kind.last;
  blocked_ = false;
  return id;
}

bool pipeline_core::may_hold(request_number id, std::size_t bytes) const {
  const entry& request = at(id);
  return request.state == pipeline_state::held && request.held + bytes <= max_held_response &&
         held_total_ + bytes <= max_held_total;
}

void pipeline_core::hold(request_number id, std::size_t bytes) {
  at(id).held += bytes;
  held_total_ += bytes;
}

void pipeline_core::release(request_number id) { held_total_ -= std::exchange(at(id).held, 0); }

void pipeline_core::open(request_number id) {
  at(id).state = pipeline_state::open;
  release(id);
}

void pipeline_core::end(request_number id, bool reusable) {
  at(id).ended = true;
  at(id).reusable = reusable;
}

bool pipeline_core::pop() {
  const bool reusable = at(front_).reusable;
  ++front_;
  if (!reusable || (empty() && last_begun_)) closed_ = true;
  return !closed_;
}

}  // namespace heatherdeck

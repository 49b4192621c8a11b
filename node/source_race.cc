// Invariant: after k steps at most 2^k attempts have begun. Cost: linear in the control hosts, of which there are few.
#include "node/source_race.h"

#include <utility>

namespace heatherdeck {

void source_race::begin(time_point now) {
  attempts_.clear();
  tried_.clear();
  next_step_ = now + step;
}

void source_race::add(std::uint64_t generation, std::string host_id, time_point now) {
  tried_.insert(host_id);
  attempts_[generation] = {std::move(host_id), now};
}

std::size_t source_race::due(time_point now) {
  if (attempts_.empty() || now < next_step_) return 0;
  next_step_ = now + step;
  return tried_.size();
}

std::vector<std::string> source_race::win(std::uint64_t generation, time_point now) {
  std::vector<std::string> silent;
  for (const auto& [other, a] : attempts_) {
    if (other != generation && now - a.since >= step) silent.push_back(a.host_id);
  }
  attempts_.clear();
  return silent;
}

}  // namespace heatherdeck

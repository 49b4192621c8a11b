// Within a host the entries are in log order, so its oldest is the first, and the oldest of all is the first of some
// host. Cost: linear in the entries of one host; above the total bound, in the number of hosts.
#include "control/departure_log.h"

#include <algorithm>
#include <utility>

namespace heatherdeck {
namespace {

bool is_valid_name(const std::string& name) { return !name.empty() && name.size() <= departure_log::max_name_bytes; }

}  // namespace

departure_log departure_log::restore(entry_map entries) {
  departure_log restored;
  for (const auto& [host, list] : entries) restored.size_ += list.size();
  restored.entries_ = std::move(entries);
  return restored;
}

bool departure_log::is_valid(const record_departure& command) {
  return is_valid_name(command.host) && is_valid_name(command.departure.target);
}

bool departure_log::contains(const record_departure& command) const {
  const auto host = entries_.find(command.host);
  return host != entries_.end() && std::any_of(host->second.begin(), host->second.end(), [&](const entry& known) {
           return known.departure.target == command.departure.target && command.departure.last <= known.departure.last;
         });
}

void departure_log::record(std::uint64_t index, const record_departure& command) {
  if (contains(command)) return;
  std::vector<entry>& list = entries_[command.host];
  size_ -= std::erase_if(list, [&](const entry& e) { return e.departure.target == command.departure.target; });
  if (list.size() == max_per_host) {
    list.erase(list.begin());
    --size_;
  }
  list.push_back({command.departure, index});
  if (++size_ > max_departures) drop_oldest();
}

void departure_log::drop_oldest() {
  const auto oldest = std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
    return a.second.front().index < b.second.front().index;
  });
  oldest->second.erase(oldest->second.begin());
  if (oldest->second.empty()) entries_.erase(oldest);
  --size_;
}

std::vector<target_departure> departure_log::of_host(const std::string& host) const {
  std::vector<target_departure> departures;
  if (const auto found = entries_.find(host); found != entries_.end()) {
    for (const entry& one : found->second) departures.push_back(one.departure);
  }
  return departures;
}

}  // namespace heatherdeck

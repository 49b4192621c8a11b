// Two lists: the departures on this host, which the own record carries, and those that other members have published.
// Invariant: of two departures of one target the later one is kept; a departure is offered only to a process that did
// not publish it, so one that its host has discarded does not come back from other members. Cost: linear in the
// departures of one host, at most 16.
#include "node/departure_table.h"

#include <algorithm>

namespace heatherdeck {
namespace {

// Shorter than the second for which an upstream waits for the response to an announcement.
constexpr duration confirmation_timeout = std::chrono::milliseconds(900);

}  // namespace

bool departure_table::add_own(time_point now, const target_departure& departure) {
  const auto known =
      std::find_if(own_.begin(), own_.end(), [&](const auto& o) { return o.departure.target == departure.target; });
  if (known != own_.end()) {
    if (departure.last <= known->departure.last) return false;
    own_.erase(known);
  }
  own_.push_back({departure, now + departure_retention});
  if (own_.size() > max_own_departures) drop_oldest_own();
  return true;
}

std::vector<target_departure> departure_table::adopt(time_point now, const std::vector<target_departure>& departures) {
  std::vector<target_departure> adopted;
  for (const target_departure& departure : departures) {
    if (add_own(now, departure)) adopted.push_back(departure);
  }
  return adopted;
}

std::vector<target_departure> departure_table::own(time_point now) {
  std::erase_if(own_, [now](const auto& o) { return o.discard_at <= now; });
  std::vector<target_departure> departures;
  departures.reserve(own_.size());
  for (const own_departure& o : own_) departures.push_back(o.departure);
  return departures;
}

void departure_table::drop_oldest_own() {
  if (!own_.empty()) own_.erase(own_.begin());
}

bool departure_table::is_kept(const target_departure& departure) const {
  return std::any_of(own_.begin(), own_.end(), [&](const auto& o) {
    return o.kept && o.departure.target == departure.target && o.departure.last >= departure.last;
  });
}

void departure_table::await_copies(time_point now, std::uint64_t request, const target_departure& departure,
                                   std::size_t copies) {
  pending_[request] = {departure, copies, 0, now};
}

std::vector<departure_table::decided_request> departure_table::count_copy(std::uint64_t request) {
  const auto counted = pending_.find(request);
  if (counted == pending_.end() || ++counted->second.copies < counted->second.wanted) return {};
  const pending_request complete = counted->second;
  pending_.erase(counted);
  for (own_departure& o : own_) {
    if (o.departure == complete.departure) o.kept = true;
  }
  return {{request, complete.copies, true}};
}

std::vector<departure_table::decided_request> departure_table::expire(time_point now) {
  std::vector<decided_request> given_up;
  std::erase_if(pending_, [&](const auto& item) {
    if (now - item.second.since < confirmation_timeout) return false;
    given_up.push_back({item.first, item.second.copies, false});
    return true;
  });
  for (auto& [node_id, kept] : kept_) std::erase_if(kept, [now](const auto& k) { return k.discard_at <= now; });
  std::erase_if(kept_, [](const auto& item) { return item.second.empty(); });
  return given_up;
}

void departure_table::put(time_point now, const member_record& record) {
  if (record.departures.empty()) return;
  std::vector<kept_departure>& kept = kept_[record.node_id];
  for (const target_departure& departure : record.departures) {
    const auto known =
        std::find_if(kept.begin(), kept.end(), [&](const auto& k) { return k.departure.target == departure.target; });
    if (known == kept.end()) {
      kept.push_back({departure, record.incarnation, now + departure_retention});
    } else if (departure.last > known->departure.last || record.incarnation > known->incarnation) {
      known->departure.last = std::max(known->departure.last, departure.last);
      known->incarnation = std::max(known->incarnation, record.incarnation);
      known->discard_at = now + departure_retention;
    }
  }
  while (kept.size() > max_own_departures) kept.erase(kept.begin());
}

std::vector<target_departure> departure_table::of_earlier_process(time_point now, const std::string& node_id,
                                                                  std::uint64_t incarnation) const {
  std::vector<target_departure> departures;
  const auto kept = kept_.find(node_id);
  if (kept == kept_.end()) return departures;
  for (const kept_departure& k : kept->second) {
    if (k.incarnation != incarnation && k.discard_at > now) departures.push_back(k.departure);
  }
  return departures;
}

}  // namespace heatherdeck

// The reports are kept as they came, and the list is computed from them anew after each change: crashes are rare and
// few are remembered. Invariant: nodes with the same reports and acquittals have the same list, whatever the order in
// which they came. Cost: O(crashes x requests of a crash) for a change; nothing while no upstream crashes.
#include "node/quarantine_core.h"

#include <algorithm>

namespace heatherdeck {
namespace {

// Calls that are lost later than this after the first one belong to another crash.
constexpr duration loss_period = std::chrono::seconds(1);
// Crashes in which a request must have been running to be quarantined without further evidence.
constexpr std::size_t crashes_for_quarantine = 3;
constexpr std::size_t crashes_for_quarantine_if_alone = 2;
constexpr std::size_t max_crashes = 128;
constexpr std::size_t max_requests_per_crash = 64;
constexpr std::size_t max_acquittals = 1024;
// Recipients of a new report: everybody in a small mesh, otherwise some members, each of which passes it on to a few.
constexpr std::size_t max_direct_recipients = 24;
constexpr std::size_t relay_recipients = 3;
// Keeps a datagram below its limit: 16 bytes for a request, and as many reports as fit.
constexpr std::size_t max_requests_per_update = 40;

std::vector<quarantine_update> split(const quarantine_update& update) {
  std::vector<quarantine_update> parts;
  std::size_t left = 0;
  const auto part_with_room = [&](std::size_t size) -> quarantine_update& {
    if (parts.empty() || left < size) {
      parts.emplace_back();
      left = max_requests_per_update;
    }
    left -= std::min(left, size);
    return parts.back();
  };
  for (const crash_report& report : update.crashes) {
    // A large report is sent in pieces with the same id, which the receiver joins.
    for (std::size_t from = 0; from < report.running.size(); from += max_requests_per_update / 2) {
      const std::size_t to = std::min(report.running.size(), from + max_requests_per_update / 2);
      crash_report piece{report.id, report.service, {}, report.age};
      piece.running.assign(report.running.begin() + static_cast<std::ptrdiff_t>(from),
                           report.running.begin() + static_cast<std::ptrdiff_t>(to));
      part_with_room(piece.running.size() + 2).crashes.push_back(std::move(piece));
    }
  }
  for (const request_acquittal& acquittal : update.acquittals) part_with_room(3).acquittals.push_back(acquittal);
  return parts;
}

}  // namespace

quarantine_core::quarantine_core(quarantine_options options)
    : mesh_address_(std::move(options.mesh_address)),
      random_(options.random_seed),
      list_(std::make_shared<quarantine_list>()) {}

quarantine_output quarantine_core::on_call_lost(time_point now, const call_lost& lost) {
  quarantine_output out;
  loss& l = losses_[lost.target];
  if (l.calls.empty() || now - l.first > loss_period) l = {.service = lost.service, .first = now};
  if (l.calls.size() >= max_requests_per_crash) return out;
  l.calls.push_back(lost.request);
  if (l.crash_id != 0) {
    const std::vector<request_fingerprint> added{lost.request};
    if (!add_crash(l.crash_id, l.service, added, l.first)) return out;
    spread({.crashes = {{l.crash_id, l.service, added, std::chrono::duration_cast<milliseconds>(now - l.first)}}},
           max_direct_recipients, out);
    update_list(now, out);
  } else if (!l.checking) {
    l.checking = true;
    out.checks.push_back({lost.target, lost.upstream_address});
  }
  return out;
}

quarantine_output quarantine_core::on_checked(time_point now, const upstream_checked& checked) {
  quarantine_output out;
  const auto found = losses_.find(checked.target);
  if (found == losses_.end() || !found->second.checking) return out;
  loss& l = found->second;
  l.checking = false;
  if (!checked.refused) {
    losses_.erase(found);
    return out;
  }
  l.crash_id = std::max<std::uint64_t>(random_(), 1);
  add_crash(l.crash_id, l.service, l.calls, l.first);
  spread({.crashes = {make_report(l.crash_id, crashes_[l.crash_id], now)}}, max_direct_recipients, out);
  update_list(now, out);
  return out;
}

quarantine_output quarantine_core::on_answered(time_point now, const listed_call_answered& answered) {
  quarantine_output out;
  if (list_->standing_of(answered.service, answered.request) == request_standing::clear) return out;
  add_acquittal({answered.service, answered.request}, now);
  spread({.acquittals = {{answered.service, answered.request, milliseconds(0)}}}, max_direct_recipients, out);
  update_list(now, out);
  return out;
}

quarantine_output quarantine_core::receive(time_point now, const quarantine_update& update) {
  quarantine_output out;
  quarantine_update news;
  for (const crash_report& report : update.crashes) {
    if (report.id != 0 && add_crash(report.id, report.service, report.running, now - report.age)) {
      news.crashes.push_back(report);
    }
  }
  for (const request_acquittal& acquittal : update.acquittals) {
    if (add_acquittal({acquittal.service, acquittal.request}, now - acquittal.age)) {
      news.acquittals.push_back(acquittal);
    }
  }
  if (news.crashes.empty() && news.acquittals.empty()) return out;
  if (members_.size() > max_direct_recipients) spread(news, relay_recipients, out);
  update_list(now, out);
  return out;
}

quarantine_output quarantine_core::set_members(time_point now, const std::vector<member_record>& members) {
  quarantine_output out;
  std::map<std::string, std::uint64_t> known;
  for (const member_record& member : members) {
    if (member.mesh_address == mesh_address_ || member.state == member_state::left) continue;
    known.emplace(member.mesh_address, member.incarnation);
    const auto before = members_.find(member.mesh_address);
    if (before != members_.end() && before->second == member.incarnation) continue;
    // In a large mesh a few of the others are enough to inform a member that has started.
    if (members_.size() <= max_direct_recipients || random_() % members_.size() < max_direct_recipients) {
      send_everything(now, member.mesh_address, out);
    }
  }
  members_ = std::move(known);
  return out;
}

quarantine_output quarantine_core::tick(time_point now) {
  quarantine_output out;
  std::erase_if(losses_, [&](const auto& l) { return !l.second.checking && now - l.second.first > loss_period; });
  if (crashes_.empty()) return out;
  std::erase_if(crashes_, [&](const auto& item) {
    const crash& c = item.second;
    // The evidence of a quarantine is kept longer than the quarantine, so that one more crash renews it.
    const bool evidence = std::any_of(c.running.begin(), c.running.end(), [&](const request_fingerprint& request) {
      return guilty_.contains({c.service, request});
    });
    return now - c.at > (evidence ? 2 * quarantine_period : suspicion_period);
  });
  std::erase_if(acquittals_, [&](const auto& item) {
    return now - item.second > suspicion_period && !named_by_a_crash(item.first);
  });
  update_list(now, out);
  if (members_.empty() || crashes_.empty()) return out;
  auto member = members_.begin();
  std::advance(member, static_cast<std::ptrdiff_t>(random_() % members_.size()));
  send_everything(now, member->first, out);
  return out;
}

// Returns whether something was not known before.
bool quarantine_core::add_crash(std::uint64_t id, const std::string& service,
                                const std::vector<request_fingerprint>& running, time_point at) {
  if (crashes_.size() >= max_crashes && !crashes_.contains(id)) {
    const auto oldest = std::min_element(crashes_.begin(), crashes_.end(),
                                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    if (oldest->second.at >= at) return false;
    crashes_.erase(oldest);
  }
  crash& known = crashes_.try_emplace(id, crash{service, {}, at}).first->second;
  bool added = false;
  for (const request_fingerprint& request : running) {
    const bool present = std::find(known.running.begin(), known.running.end(), request) != known.running.end();
    if (present || known.running.size() >= max_requests_per_crash) continue;
    known.running.push_back(request);
    added = true;
  }
  return added;
}

bool quarantine_core::add_acquittal(const request_key& key, time_point at) {
  if (acquittals_.size() >= max_acquittals && !acquittals_.contains(key)) return false;
  time_point& last = acquittals_.try_emplace(key, time_point::min()).first->second;
  // Two reports of one response differ by the time that they were on the way.
  const bool later = last == time_point::min() || at - last > milliseconds(100);
  last = std::max(last, at);
  return later;
}

bool quarantine_core::acquitted(const request_key& key, time_point crash_at) const {
  const auto found = acquittals_.find(key);
  return found != acquittals_.end() && crash_at <= found->second;
}

bool quarantine_core::named_by_a_crash(const request_key& key) const {
  return std::any_of(crashes_.begin(), crashes_.end(), [&](const auto& item) {
    const crash& c = item.second;
    return c.service == key.first && std::find(c.running.begin(), c.running.end(), key.second) != c.running.end();
  });
}

void quarantine_core::update_list(time_point now, quarantine_output& out) {
  struct evidence {
    std::vector<time_point> crashes;
    bool alone = false;  // in one of them no other request was running at more than one crash
  };
  std::map<request_key, evidence> requests;
  std::vector<std::vector<evidence*>> running_at_crashes;
  for (const auto& [id, c] : crashes_) {
    std::vector<evidence*>& running = running_at_crashes.emplace_back();
    for (const request_fingerprint& request : c.running) {
      if (acquitted({c.service, request}, c.at)) continue;
      evidence& e = requests[{c.service, request}];
      e.crashes.push_back(c.at);
      running.push_back(&e);
    }
  }
  for (const std::vector<evidence*>& running : running_at_crashes) {
    const auto repeated = [](const evidence* e) { return e->crashes.size() > 1; };
    if (std::count_if(running.begin(), running.end(), repeated) != 1) continue;
    (*std::find_if(running.begin(), running.end(), repeated))->alone = true;
  }
  auto list = std::make_shared<quarantine_list>();
  guilty_.clear();
  for (auto& [key, e] : requests) {
    const std::size_t needed = e.alone ? crashes_for_quarantine_if_alone : crashes_for_quarantine;
    std::sort(e.crashes.begin(), e.crashes.end());
    // Only crashes in close succession count together.
    std::size_t successive = 0;
    bool guilty = false;
    for (std::size_t i = 0; i < e.crashes.size(); ++i) {
      successive = i > 0 && e.crashes[i] - e.crashes[i - 1] <= suspicion_period ? successive + 1 : 1;
      guilty = guilty || successive >= needed;
    }
    if (guilty) guilty_.insert(key);
    const duration since = now - e.crashes.back();
    if (guilty && since <= quarantine_period) {
      list->services[key.first][key.second] = request_standing::quarantined;
    } else if (since <= suspicion_period) {
      list->services[key.first][key.second] = request_standing::suspected;
    }
  }
  if (list->services == list_->services) return;
  list_ = std::move(list);
  out.list_changed = true;
}

void quarantine_core::spread(const quarantine_update& update, std::size_t recipients, quarantine_output& out) {
  std::vector<std::string> chosen;
  for (const auto& [address, incarnation] : members_) chosen.push_back(address);
  if (chosen.size() > recipients) {
    std::shuffle(chosen.begin(), chosen.end(), random_);
    chosen.resize(recipients);
  }
  const std::vector<quarantine_update> parts = split(update);
  for (const std::string& to : chosen) {
    for (const quarantine_update& part : parts) out.updates.push_back({to, part});
  }
}

crash_report quarantine_core::make_report(std::uint64_t id, const crash& known, time_point now) const {
  return {id, known.service, known.running, std::chrono::duration_cast<milliseconds>(now - known.at)};
}

void quarantine_core::send_everything(time_point now, const std::string& to, quarantine_output& out) const {
  quarantine_update all;
  for (const auto& [id, c] : crashes_) all.crashes.push_back(make_report(id, c, now));
  for (const auto& [key, at] : acquittals_) {
    all.acquittals.push_back({key.first, key.second, std::chrono::duration_cast<milliseconds>(now - at)});
  }
  for (quarantine_update& part : split(all)) out.updates.push_back({to, std::move(part)});
}

}  // namespace heatherdeck

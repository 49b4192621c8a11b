// The faults of a simulation: those that a schedule draws while it runs, and the final one right after an
// acknowledgement. Invariant: no more disks are lost at the same time than the plan tolerates.
#include <algorithm>
#include <array>
#include <numeric>

#include <fmt/format.h>

#include "testing/raft_simulation.h"

namespace heatherdeck {

namespace {
// A final fault that waits for an acknowledgement for this time is dropped, and the faults end.
constexpr std::chrono::seconds final_fault_patience{6};
}  // namespace

// A quorum of the stores must survive: another disk may be lost only when every member of the committed membership is a
// voter with an intact store; a host that never returns counts as lost until it is removed from the membership.
bool raft_simulation::may_lose_disk(const host& h) const {
  const raft_core* leader = nullptr;
  for (const host& other : hosts_) {
    if (!other.core || other.core->role() != raft_role::leader) continue;
    if (leader == nullptr || other.core->term() > leader->term()) leader = &*other.core;
  }
  if (leader == nullptr) return committed_.empty() && !disk_lost_before_bootstrap_;
  if (leader->log().voters_index() > leader->commit_index()) return false;
  const std::vector<raft_member>* voters = &leader->log().voters();
  return std::all_of(hosts_.begin(), hosts_.end(),
                     [&](const host& other) {
                       if (other.permanently_removed) return find_member(*voters, other.id) == nullptr;
                       return is_voter(*voters, other.id, other.disk.store_id);
                     }) &&
         h.core.has_value();
}

void raft_simulation::inject_fault() {
  if (faults_ended() || plan_.faults.empty()) return;
  schedule(random_ms(40, 700), [this] { inject_fault(); });
  host& h = random_host();
  const std::size_t a = index_of(h.id);
  const std::size_t b = (a + 1 + random_() % (hosts_.size() - 1)) % hosts_.size();
  switch (plan_.faults[random_() % plan_.faults.size()]) {
    case fault::kill:
      if (!chance(15)) return kill(h, outage::kill);
      for (host& other : hosts_) kill(other, outage::kill);
      return;
    case fault::lost_disk:
      if (plan_.tolerated_losses > 0) return lose_disks_simultaneously();
      if (may_lose_disk(h)) kill(h, outage::lost_disk);
      return;
    case fault::one_way_cut:
      blocked_links_.insert({a, b});
      return schedule(random_ms(100, 1500), [this, a, b] { blocked_links_.erase({a, b}); });
    case fault::lost_direction:
      blocked_links_.insert({a, b});
      return schedule(random_ms(1500, 8000), [this, a, b] { blocked_links_.erase({a, b}); });
    case fault::two_way_cut:
      for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other != a) blocked_links_.insert({a, other});
        if (other != a) blocked_links_.insert({other, a});
      }
      return schedule(random_ms(100, 2000), [this, a] {
        std::erase_if(blocked_links_, [a](auto& c) { return c.first == a || c.second == a; });
      });
    case fault::freeze:
      h.frozen_until = now_ + random_ms(50, 2500);
      return;
    case fault::replaced_host:
      return replace_host(h);
    case fault::frozen_leader:
      return freeze_leader();
    case fault::split:
      return split_hosts();
    case fault::outage:
      return stop_hosts_for_long();
    case fault::blank_host:
      return empty_disk(h);
    case fault::reorder:
    case fault::duplicate:
    case fault::killed_writers:
      return;  // applied to messages in transmit, and to requests
  }
}

// A host and its disk are removed permanently, and a new host with an empty disk is started in its place. The other
// hosts discover it as they would through gossip.
void raft_simulation::replace_host(host& h) {
  if (hosts_.size() >= plan_.hosts + max_replacements || committed_.empty() || !may_lose_disk(h)) return;
  ++statistics_.replaced;
  kill(h, outage::lost_disk);
  h.permanently_removed = true;
  host added;
  added.id = fmt::format("c{}", hosts_.size());
  added.disk.store_id = fmt::format("s{}", next_store_++);
  hosts_.push_back(std::move(added));
  start(hosts_.back());
  const std::size_t index = hosts_.size() - 1;
  for (std::size_t i = 0; i < index; ++i) {
    hosts_discovered learned;
    for (std::size_t j = 0; j < hosts_.size(); ++j) {
      if (j != i && !hosts_[j].permanently_removed) learned.hosts.push_back({hosts_[j].id, {}, "", false});
    }
    deliver_event(i, hosts_[i].generation, std::move(learned));
  }
}

// Loses as many disks at the same time as are tolerated; in half of the cases the other hosts lose power as well.
void raft_simulation::lose_disks_simultaneously() {
  const std::size_t first = random_() % hosts_.size();
  if (!may_lose_disk(hosts_[first])) return;
  const bool all_lose_power = chance(50);
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    host& h = hosts_[(first + i) % hosts_.size()];
    if (i < plan_.tolerated_losses) {
      kill(h, outage::lost_disk);
    } else if (all_lose_power) {
      kill(h, outage::power_loss);
    }
  }
}

void raft_simulation::freeze_leader() {
  for (host& h : hosts_) {
    if (h.core && h.core->role() == raft_role::leader) h.frozen_until = now_ + random_ms(50, 2500);
  }
}

// Half of the splits are into halves, so that no group has a quorum when all hosts are voters.
void raft_simulation::split_hosts() {
  std::vector<std::size_t> order(hosts_.size());
  std::iota(order.begin(), order.end(), 0);
  std::shuffle(order.begin(), order.end(), random_);
  const std::size_t size = chance(50) ? hosts_.size() / 2 : 1 + random_() % (hosts_.size() - 1);
  for (std::size_t i = 0; i < size; ++i) {
    for (std::size_t j = size; j < order.size(); ++j) {
      blocked_links_.insert({order[i], order[j]});
      blocked_links_.insert({order[j], order[i]});
    }
  }
  schedule(random_ms(200, 5000), [this] { blocked_links_.clear(); });
}

// The leader stays, so it counts what the restarted hosts acknowledge of the entry that they were writing.
void raft_simulation::kill_writers() {
  if (faults_ended()) return;
  for (host& h : hosts_) {
    const bool leads = h.core && h.core->role() == raft_role::leader;
    if (!leads && !h.pending_writes.empty() && chance(80)) kill(h, outage::kill, milliseconds(30));
  }
}

// Keeps a quorum running, so that the leader can remove the stopped hosts and the next outage stops some of the rest.
void raft_simulation::stop_hosts_for_long() {
  std::vector<std::size_t> running = voters_by([](const host& a, const host& b) { return a.id < b.id; });
  std::shuffle(running.begin(), running.end(), random_);
  const std::size_t spare = running.size() - std::min(running.size(), quorum_size(committed_members_));
  for (std::size_t i = 0; i < std::min<std::size_t>(spare, 3); ++i) {
    go_down(hosts_[running[i]], outage::power_loss);
    start_later(hosts_[running[i]], plan_.removal_timeout + random_ms(300, 9000));
  }
}

void raft_simulation::empty_disk(host& h) {
  if (acknowledged_.empty() || losses_to_replace() >= plan_.tolerated_losses) return;
  kill(h, outage::lost_disk);
}

// The final fault.

const raft_core* raft_simulation::most_committed() const {
  const raft_core* found = nullptr;
  for (const host& h : hosts_) {
    if (h.core && (found == nullptr || h.core->commit_index() > found->commit_index())) found = &*h.core;
  }
  return found;
}

// A lost disk is replaced when the host's new store votes.
std::size_t raft_simulation::losses_to_replace() const {
  return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [&](const host& h) {
    return h.lost_disk && !is_voter(committed_members_, h.id, h.disk.store_id);
  }));
}

// The tolerated losses, on top of those that are still to be replaced when the group is large enough for all of them.
// One voter more than needed, because the next change of the membership may be on some disks already.
std::size_t raft_simulation::allowed_losses() const {
  const std::size_t earlier = losses_to_replace();
  const bool is_large = voter_count(committed_members_) >= 2 * (plan_.tolerated_losses + earlier) + 2;
  return is_large ? plan_.tolerated_losses : plan_.tolerated_losses - std::min(earlier, plan_.tolerated_losses);
}

void raft_simulation::schedule_final_fault() {
  acknowledged_until_final_fault_ = 1 + random_() % plan_.acknowledged_before_final_fault;
  heal_at_ += final_fault_patience;  // or at the final fault, if that is earlier
}

void raft_simulation::record_acknowledgement(const std::string& payload) {
  const std::uint64_t first = first_index_.at(payload);
  const auto [known, added] = acknowledged_.try_emplace(payload, first);
  if (!added) ++statistics_.resent;
  if (known->second != first) {
    record_failure(
        fmt::format("the resent '{}' is answered with entry {}, first with {}", payload, first, known->second));
  }
  const bool is_late = now_ >= heal_at_ - final_fault_patience;
  if (!plan_.ends_with_final_fault || final_fault_due_ || healed_ || !is_late) return;
  if (--acknowledged_until_final_fault_ > 0) return;
  final_fault_due_ = true;
  // The hosts that have synced the entry are often a bare quorum only for a few milliseconds.
  duration delay = random_ms(0, 400);
  if (chance(40)) {
    delay = {};
  } else if (chance(50)) {
    delay = std::chrono::microseconds(random_() % 5000);
  }
  schedule(delay, [this] { inject_final_fault(); });
}

std::vector<std::size_t> raft_simulation::voters_by(
    const std::function<bool(const host&, const host&)>& precedes) const {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].core && is_voter(committed_members_, hosts_[i].id, hosts_[i].disk.store_id)) found.push_back(i);
  }
  std::sort(found.begin(), found.end(), [&](std::size_t a, std::size_t b) { return precedes(hosts_[a], hosts_[b]); });
  return found;
}

std::vector<std::size_t> raft_simulation::newest_disks() {
  const auto last = [](const host& h) {
    const std::uint64_t in_snapshot = h.disk.snapshot ? h.disk.snapshot->index : 0;
    return h.disk.entries.empty() ? in_snapshot : h.disk.entries.back().index;
  };
  return voters_by(
      [&](const host& a, const host& b) { return std::pair(last(a), a.synced_at) > std::pair(last(b), b.synced_at); });
}

std::vector<std::size_t> raft_simulation::oldest_disks() {
  const auto number = [](const host& h) { return std::stoul(h.disk.store_id.substr(1)); };
  return voters_by([&](const host& a, const host& b) { return number(a) < number(b); });
}

std::vector<std::size_t> raft_simulation::leader_disk() {
  std::vector<std::size_t> found = newest_disks();
  std::stable_partition(found.begin(), found.end(),
                        [this](std::size_t i) { return hosts_[i].core->role() == raft_role::leader; });
  return found;
}

void raft_simulation::inject_final_fault() {
  if (faults_ended() || !failure_.empty()) return;
  struct kind {
    final_fault name;
    std::vector<std::size_t> (raft_simulation::*disks)();  ///< hosts in the order in which their disks are lost
    std::optional<outage> others;                          ///< empty: random
  };
  static constexpr std::array kinds{
      kind{final_fault::newest_disks, &raft_simulation::newest_disks, std::nullopt},
      kind{final_fault::oldest_disks, &raft_simulation::oldest_disks, std::nullopt},
      kind{final_fault::leader_disk, &raft_simulation::leader_disk, std::nullopt},
      kind{final_fault::all_lose_power, &raft_simulation::no_disks, outage::power_loss},
      kind{final_fault::all_killed, &raft_simulation::no_disks, outage::kill},
  };
  // Half of them the first kind, which leaves the newest entry on the fewest disks.
  const kind& chosen = chance(50) ? kinds[0] : kinds[random_() % kinds.size()];
  final_fault_name_ = to_name(chosen.name);
  std::vector<std::size_t> disks = (this->*chosen.disks)();
  disks.resize(std::min(disks.size(), allowed_losses()));
  const std::uint64_t voters = voter_count(committed_members_);
  ++statistics_.final_faults;
  statistics_.final_disks += disks.size();
  statistics_.final_voters += voters;
  statistics_.smallest_group = std::min(statistics_.smallest_group, voters);
  constexpr milliseconds longest_downtime{2000};
  for (const std::size_t i : disks) kill(hosts_[i], outage::lost_disk, longest_downtime);
  const std::optional<outage> others = chosen.others ? chosen.others : random_outage();
  for (host& h : hosts_) {
    if (others) kill(h, *others, longest_downtime);
  }
  heal_at_ = now_ + longest_downtime;  // hosts that were down before start at the latest then
}

std::optional<raft_simulation::outage> raft_simulation::random_outage() {
  if (chance(60)) return outage::power_loss;
  return chance(50) ? std::optional(outage::kill) : std::nullopt;
}

}  // namespace heatherdeck

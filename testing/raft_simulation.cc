// A discrete-event simulation: one priority queue of events drives all hosts. A disk keeps what is durable; a kill or a
// power loss also keeps a random prefix of the pending writes, a kill only until the next power loss. Invariant of the
// checks: `committed_` holds every entry that any host has ever applied; what a host applies, restores from a snapshot,
// acknowledges or holds when it becomes leader is compared with it.
#include "testing/raft_simulation.h"

#include <algorithm>
#include <array>
#include <numeric>

#include <fmt/format.h>

#include "consensus/wire_entry_codec.h"

namespace heatherdeck {

namespace {
std::uint64_t extend_hash(std::uint64_t hash, const log_entry& e) {
  for (const char c : e.payload) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return (hash ^ e.term ^ (e.index << 20U)) * 1099511628211ULL;
}
// Small limits, so that short runs reach snapshots, several chunks and the limit of entries in flight.
constexpr std::uint64_t entries_per_snapshot = 12;
constexpr std::size_t max_replacements = 4;
// A final fault that waits for an acknowledgement for this time is dropped, and the faults end.
constexpr std::chrono::seconds final_fault_patience{6};
}  // namespace

std::string raft_simulation::run(const plan& p, statistics* sum) {
  raft_simulation simulation(p);
  std::string failure = simulation.run_plan();
  if (sum != nullptr) {
    const statistics& f = simulation.statistics_;
    sum->steps += f.steps;
    sum->committed += simulation.committed_.size();
    sum->elections += simulation.leaders_.size();
    sum->reads += f.reads;
    sum->restores += f.restores;
    sum->unknown_outcomes += f.unknown_outcomes;
    sum->lost_disks += f.lost_disks;
    sum->promoted += f.promoted;
    sum->replaced += f.replaced;
    sum->final_faults += f.final_faults;
    sum->final_disks += f.final_disks;
    sum->final_voters += f.final_voters;
    sum->smallest_group = std::min(sum->smallest_group, f.smallest_group);
    sum->removals += f.removals;
    sum->resent += f.resent;
  }
  return failure;
}

raft_simulation::raft_simulation(const plan& p) : plan_(p), random_(p.seed * 0x9E3779B97F4A7C15ULL) {
  now_ += std::chrono::hours(1);
  const std::size_t founders = p.founders == 0 ? p.hosts : p.founders;
  for (std::size_t i = 0; i < founders; ++i) founders_.push_back({fmt::format("c{}", i), {}, "", false});
  hosts_.reserve(p.hosts + max_replacements);
  hosts_.resize(p.hosts);
  for (std::size_t i = 0; i < p.hosts; ++i) {
    hosts_[i].id = fmt::format("c{}", i);
    hosts_[i].disk.store_id = fmt::format("s{}", next_store_++);
    if (i < founders || p.start_spread == milliseconds(0)) {
      start(hosts_[i]);
    } else {
      start_later(hosts_[i], random_ms(0, static_cast<unsigned>(p.start_spread.count())));
    }
  }
}

void raft_simulation::record_failure(const std::string& text) {
  if (!failure_.empty()) return;
  std::string kinds;
  for (const fault f : plan_.faults) kinds += std::string(kinds.empty() ? "" : "+") + std::string(to_name(f));
  if (!final_fault_name_.empty()) kinds += fmt::format(" then {}", final_fault_name_);
  failure_ = fmt::format("seed {} ({} hosts, {}) at {} ms: {}", plan_.seed, plan_.hosts, kinds,
                         (now_.time_since_epoch() - std::chrono::hours(1)) / milliseconds(1), text);
}

bool raft_simulation::injects(fault f) const {
  return !faults_ended() && std::find(plan_.faults.begin(), plan_.faults.end(), f) != plan_.faults.end();
}

std::size_t raft_simulation::index_of(const std::string& id) const { return std::stoul(id.substr(1)); }

void raft_simulation::schedule(duration delay, std::function<void()> action) {
  events_.push({now_ + delay, order_++, std::move(action)});
}

void raft_simulation::run_until(time_point end, const std::function<bool()>& stop_when) {
  while (!stop_when() && !events_.empty() && events_.top().at < end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
  }
}

milliseconds raft_simulation::leaderless_time_after_power_loss(const plan& p) {
  raft_simulation s(p);
  s.schedule(milliseconds(50), [&s] { s.send_client_request(); });
  s.run_until(s.now_ + std::chrono::seconds(4), [] { return false; });
  const std::uint64_t term_before = s.leaders_.empty() ? 0 : s.leaders_.rbegin()->first;
  for (host& h : s.hosts_) s.kill(h, outage::kill);
  const auto up = [&s] { return std::count_if(s.hosts_.begin(), s.hosts_.end(), [](auto& h) { return !!h.core; }); };
  const time_point end = s.now_ + std::chrono::seconds(10);
  s.run_until(end, [&] { return static_cast<std::size_t>(up()) > s.hosts_.size() / 2; });
  const time_point quorum_at = s.now_;
  s.run_until(end, [&] { return !s.leaders_.empty() && s.leaders_.rbegin()->first > term_before; });
  return std::chrono::duration_cast<milliseconds>(s.now_ - quorum_at);
}

std::string raft_simulation::run_plan() {
  schedule(random_ms(1, 300), [this] { inject_fault(); });
  schedule(milliseconds(50), [this] { send_client_request(); });
  schedule(milliseconds(400), [this] { run_operator(); });
  heal_at_ = now_ + plan_.fault_duration;
  if (plan_.ends_with_final_fault) schedule_final_fault();
  while (failure_.empty() && !events_.empty() && events_.top().at < heal_at_ + std::chrono::seconds(8)) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    if (!healed_ && now_ >= heal_at_) heal();
    next.action();
    // The group has recovered when commands that were proposed after the faults are committed.
    const bool settled = now_ > heal_at_ + std::chrono::seconds(1) && check_membership().empty();
    if (healed_ && committed_.size() >= committed_at_heal_ + 20 && settled && check_acknowledged().empty()) break;
  }
  const bool recovery_impossible = disk_lost_before_bootstrap_ && committed_.empty();
  if (healed_ && !recovery_impossible && committed_.size() < committed_at_heal_ + 20) {
    record_failure(
        fmt::format("only {} entries were committed after the faults", committed_.size() - committed_at_heal_));
    failure_ += describe_hosts();
  }
  if (healed_ && failure_.empty() && !recovery_impossible) {
    if (const std::string problem = check_membership(); !problem.empty()) record_failure(problem + describe_hosts());
    if (const std::string problem = check_acknowledged(); !problem.empty()) record_failure(problem + describe_hosts());
  }
  return failure_;
}

void raft_simulation::heal() {
  healed_ = true;
  heal_at_ = now_;
  blocked_links_.clear();
  committed_at_heal_ = committed_.size();
  for (host& h : hosts_) {
    h.frozen_until = {};
    if (!h.core && !h.permanently_removed) start(h);
  }
}

// Every acknowledged command must be committed again, at the index of its first acknowledgement.
std::string raft_simulation::check_acknowledged() const {
  if (!plan_.ends_with_final_fault) return {};
  const raft_core* core = most_committed();
  for (const auto& [payload, index] : acknowledged_) {
    if (core == nullptr || core->commit_index() < index) {
      return fmt::format("the acknowledged entry {} ({}) is not committed after the faults", index, payload);
    }
  }
  return {};
}

std::string raft_simulation::describe_hosts() const {
  std::string text;
  for (const host& h : hosts_) {
    if (!h.core) continue;
    text += fmt::format("; {} ({}) {} term {} last {} commit {}, members", h.id, h.disk.store_id,
                        to_name(h.core->role()), h.core->term(), h.core->log().last_index(), h.core->commit_index());
    for (const raft_member& v : h.core->log().voters()) {
      text += fmt::format(" {}/{}{}", v.host_id, v.store_id, v.learner ? " (learner)" : "");
    }
  }
  return text;
}

std::size_t raft_simulation::remaining_hosts() const {
  return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [](const host& h) { return !h.permanently_removed; }));
}

// After hosts were replaced, the members must be exactly the remaining hosts, all of them voters: a member that never
// returns would raise the quorum size permanently.
std::string raft_simulation::check_membership() const {
  if (statistics_.replaced == 0) return {};
  const raft_core* leader = nullptr;
  for (const host& h : hosts_) {
    const bool leads = h.core && h.core->role() == raft_role::leader;
    if (leads && (leader == nullptr || h.core->term() > leader->term())) leader = &*h.core;
  }
  if (leader == nullptr) return "no host is the leader";
  for (const raft_member& member : leader->log().voters()) {
    if (hosts_[index_of(member.host_id)].permanently_removed)
      return member.host_id + " was replaced but is still a member";
    if (member.learner) return member.host_id + " has not been promoted";
  }
  if (leader->log().voters().size() != remaining_hosts()) {
    return fmt::format("{} of {} hosts are members", leader->log().voters().size(), remaining_hosts());
  }
  return {};
}

// Hosts and disks.

void raft_simulation::start(host& h) {
  ++h.generation;
  if (plan_.syncs_on_start) h.synced_disk.reset();
  raft_config config;
  config.host_id = h.id;
  config.founders = founders_;
  config.seed = random_();
  config.max_append_bytes = 64;
  config.max_chunk_bytes = 64;
  config.max_in_flight_entries = 16;
  config.trailing_entries = 4;
  config.codec = wire_entry_codec();
  if (plan_.founders != 0) {
    config.automatic_membership = true;
    config.min_voters = plan_.min_voters.value_or(2 * plan_.tolerated_losses + 1);
    config.removal_timeout = plan_.removal_timeout;
    config.may_bootstrap = std::stoul(h.disk.store_id.substr(1)) <= plan_.hosts;  // only the first store of a host
  }
  outcome<raft_core> made = capture([&] { return raft_core::make(config, h.disk, now_); });
  if (!made) return record_failure("a host failed to start: " + made.failure().message());
  h.core.emplace(std::move(*made));
  h.pending_writes.clear();
  h.timer_at = time_point::max();
  h.applied = h.hash = h.last_snapshot_index = 0;
  const std::size_t index = index_of(h.id);
  if (plan_.founders != 0) {
    hosts_discovered learned;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (i != index && !hosts_[i].permanently_removed) learned.hosts.push_back({fmt::format("c{}", i), {}, "", false});
    }
    for (raft_action& action : h.core->step(now_, std::move(learned))) execute(index, action);
  }
  if (h.disk.snapshot) {
    raft_action restore = restore_state{h.disk.snapshot};
    execute(index, restore);
  }
  arm(index);
}

void raft_simulation::kill(host& h, outage how, milliseconds max_downtime) {
  if (!h.core) return;
  go_down(h, how);
  start_later(h, random_ms(1, static_cast<unsigned>(max_downtime.count())));
}

void raft_simulation::start_later(const host& h, milliseconds delay) {
  const std::size_t index = index_of(h.id);
  schedule(delay, [this, index] {
    if (!hosts_[index].core && !hosts_[index].permanently_removed) start(hosts_[index]);
  });
}

void raft_simulation::go_down(host& h, outage how) {
  std::size_t kept = h.pending_writes.empty() ? 0 : random_() % (h.pending_writes.size() + 1);
  if (how == outage::power_loss && h.synced_disk && chance(75)) {
    h.disk = *h.synced_disk;
    kept = 0;  // what follows lost bytes is lost too
  }
  if (how == outage::kill && !h.pending_writes.empty() && !h.synced_disk) h.synced_disk = h.disk;
  for (std::size_t i = 0; i < kept; ++i) write(h, h.pending_writes[i]);
  if (kept < h.pending_writes.size() && h.pending_writes[kept].hard && chance(50))
    h.disk.hard = *h.pending_writes[kept].hard;
  h.pending_writes.clear();
  if (how != outage::kill) h.synced_disk.reset();
  h.core.reset();
  ++h.generation;
  if (how != outage::lost_disk) return;
  disk_lost_before_bootstrap_ |= committed_.empty();
  ++statistics_.lost_disks;
  h.lost_disk = true;
  h.disk = {};
  h.disk.store_id = fmt::format("s{}", next_store_++);
}

void raft_simulation::write(host& h, const persist_state& action) {
  if (action.hard) h.disk.hard = *action.hard;
  if (action.snapshot) {
    h.disk.snapshot = action.snapshot;
    if (action.replace_log) h.disk.entries.clear();
    std::erase_if(h.disk.entries, [&](const log_entry& e) { return e.index <= action.snapshot->index; });
  }
  if (action.truncate_after) {
    std::erase_if(h.disk.entries, [&](const log_entry& e) { return e.index > *action.truncate_after; });
  }
  h.disk.entries.insert(h.disk.entries.end(), action.entries.begin(), action.entries.end());
}

void raft_simulation::deliver_event(std::size_t index, std::uint64_t generation, raft_event e) {
  host& h = hosts_[index];
  if (h.generation != generation || !h.core || !failure_.empty()) return;
  if (h.frozen_until > now_) {
    schedule(h.frozen_until - now_,
             [this, index, generation, e = std::move(e)] { deliver_event(index, generation, e); });
    return;
  }
  ++statistics_.steps;
  std::vector<raft_action> actions = h.core->step(now_, std::move(e));
  for (raft_action& action : actions) execute(index, action);
  check_host(h);
  arm(index);
}

void raft_simulation::arm(std::size_t index) {
  host& h = hosts_[index];
  if (!h.core || h.core->timer_deadline() >= h.timer_at) return;
  h.timer_at = std::max(now_, h.core->timer_deadline());
  schedule(h.timer_at - now_, [this, index, generation = h.generation] { timer_fired(index, generation); });
}

void raft_simulation::timer_fired(std::size_t index, std::uint64_t generation) {
  host& h = hosts_[index];
  if (h.generation != generation) return;
  h.timer_at = time_point::max();
  if (h.core && h.core->timer_deadline() > now_) return arm(index);
  deliver_event(index, generation, timer_expired{});
}

void raft_simulation::execute(std::size_t index, raft_action& action) {
  host& h = hosts_[index];
  if (auto* begun = std::get_if<persist_state>(&action)) {
    h.pending_writes.push_back(*begun);
    const duration delay =
        chance(100 - plan_.slow_writes_percent) ? std::chrono::microseconds(200 + random_() % 3000) : random_ms(1, 120);
    // A kill during a write reveals messages that were sent before their state was durable.
    if (injects(fault::kill) && chance(begun->hard ? 10 : 2)) {
      schedule(std::chrono::microseconds(random_() % 3000), [this, index, generation = h.generation] {
        if (hosts_[index].generation == generation) kill(hosts_[index], outage::kill);
      });
    }
    schedule(delay, [this, index, generation = h.generation, ticket = begun->ticket] {
      host& target = hosts_[index];
      if (target.generation != generation) return;
      while (!target.pending_writes.empty() && target.pending_writes.front().ticket <= ticket) {
        write(target, target.pending_writes.front());
        target.pending_writes.erase(target.pending_writes.begin());
      }
      target.synced_disk.reset();
      target.synced_at = now_;
      deliver_event(index, generation, persisted{ticket});
    });
    if (plan_.acknowledges_before_sync) {
      schedule({}, [this, index, generation = h.generation, ticket = begun->ticket] {
        deliver_event(index, generation, persisted{ticket});
      });
    }
  } else if (auto* send = std::get_if<send_message>(&action)) {
    transmit(index, send->message);
  } else if (auto* entries = std::get_if<apply_committed>(&action)) {
    for (const log_entry& entry : entries->entries) apply(h, entry);
  } else if (auto* restore = std::get_if<restore_state>(&action)) {
    ++statistics_.restores;
    const std::uint64_t restored = restore->snapshot->index;
    const std::string expected =
        restored <= committed_.size() ? fmt::format("{}", committed_[restored - 1].hash) : "beyond the committed log";
    if (restore->snapshot->state() != expected)
      record_failure(h.id + " restores an image that differs from the committed log");
    h.applied = h.last_snapshot_index = restored;
    h.hash = restored <= committed_.size() ? committed_[restored - 1].hash : 0;
  } else if (auto* done = std::get_if<answer_proposal>(&action)) {
    const std::string payload = proposals_[done->id];
    if (done->answer) {
      const std::uint64_t i = done->answer->index;
      if (!payload.empty() && (i > committed_.size() || committed_[i - 1].entry.payload != payload)) {
        record_failure("an acknowledged command is not in the committed log");
      } else if (!payload.empty()) {
        record_acknowledgement(payload);
      }
    } else if (done->answer.failure().kind == error_kind::unknown_outcome) {
      ++statistics_.unknown_outcomes;
    } else if (!payload.empty() && !resent_.contains(payload)) {
      refused_.insert(payload);
    }
  } else if (auto* read = std::get_if<answer_read>(&action)) {
    ++statistics_.reads;
    if (read->answer && *read->answer < reads_[read->id]) {
      record_failure(fmt::format("{} confirms a read at {}, but {} was committed before the request", h.id,
                                 *read->answer, reads_[read->id]));
    }
  } else if (auto* stop = std::get_if<halt>(&action)) {
    record_failure(h.id + " halts: " + stop->reason.text);
  }
}

// Network.

void raft_simulation::transmit(std::size_t from, const raft_message& message) {
  check_vote(hosts_[from], message);
  const std::size_t to = index_of(message.to);
  const int copies = injects(fault::duplicate) && chance(20) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (blocked_links_.contains({from, to})) continue;
    duration delay = plan_.latency;
    if (injects(fault::reorder)) delay += std::chrono::microseconds(random_() % (chance(5) ? 400'000 : 15'000));
    if (injects(fault::duplicate) && i == 1) delay += random_ms(0, 700);
    schedule(delay, [this, to, message] {
      if (hosts_[to].core) deliver_event(to, hosts_[to].generation, message_received{message});
    });
  }
}

// Checks.

void raft_simulation::check_vote(const host& h, const raft_message& message) {
  const auto* answer = std::get_if<vote_response>(&message.body);
  if (answer == nullptr || answer->pre_vote || !answer->granted) return;
  if (!member_stores_.contains(message.from_store))
    record_failure(h.id + " votes with a store that was never a member");
  const std::string candidate = message.to + "/" + message.to_store;
  const auto [vote, added] = votes_.try_emplace({message.from_store, message.term}, candidate);
  if (!added && vote->second != candidate) record_failure(fmt::format("{} votes twice in term {}", h.id, message.term));
}

void raft_simulation::apply(host& h, const log_entry& entry) {
  if (entry.index != h.applied + 1)
    return record_failure(fmt::format("{} applies entry {} out of order", h.id, entry.index));
  h.hash = extend_hash(h.hash, entry);
  h.applied = entry.index;
  if (entry.index == committed_.size() + 1) {
    if (refused_.contains(entry.payload)) record_failure("a command that was reported as not appended is committed");
    if (entry.kind == entry_kind::command) first_index_.try_emplace(entry.payload, entry.index);
    if (entry.kind == entry_kind::membership) record_membership(entry);
    committed_.push_back({entry, h.hash, h.core->term()});
  } else if (entry.index > committed_.size() || committed_[entry.index - 1].entry != entry) {
    record_failure(fmt::format("{} applies an entry {} that differs from the committed one", h.id, entry.index));
  }
}

void raft_simulation::record_membership(const log_entry& entry) {
  const outcome<std::vector<raft_member>> members = wire_entry_codec().decode_voters(entry.payload);
  if (!members) return record_failure("a committed membership cannot be decoded");
  if (members->size() < committed_members_.size()) ++statistics_.removals;
  committed_members_ = *members;
}

void raft_simulation::check_host(host& h) {
  const raft_core& core = *h.core;
  for (const raft_member& member : core.log().voters()) member_stores_.insert(member.store_id);
  if (h.applied >= h.last_snapshot_index + entries_per_snapshot) {
    h.last_snapshot_index = h.applied;
    schedule(random_ms(0, 30),
             [this, index = index_of(h.id), generation = h.generation, taken = h.applied, hash = h.hash] {
               deliver_event(index, generation, image_taken{taken, fmt::format("{}", hash)});
             });
  }
  if (core.role() != raft_role::leader || core.term() == h.led_term) return;
  h.led_term = core.term();
  const auto [leader, added] = leaders_.try_emplace(core.term(), h.id);
  if (!added && leader->second != h.id) record_failure(fmt::format("two leaders in term {}", core.term()));
  // A leader must hold the entries committed in earlier terms; a leader of an old term may lack entries of later terms.
  for (std::uint64_t i = core.log().base_index() + 1; i <= committed_.size(); ++i) {
    if (committed_[i - 1].commit_term >= core.term()) break;
    const bool held = i <= core.log().last_index() && core.log().at(i) == committed_[i - 1].entry;
    if (!held) return record_failure(fmt::format("{} is the leader without the committed entry {}", h.id, i));
  }
}

// Faults and requests.

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

// A new command, or one that was sent before and whose first answer must be repeated.
std::string raft_simulation::next_payload(std::uint64_t id) {
  if (!plan_.ends_with_final_fault || acknowledged_.empty() || !chance(30)) return fmt::format("command {}", id);
  std::string payload = fmt::format("command {}", 1 + random_() % id);
  resent_.insert(payload);  // another copy may be committed although this one is refused
  refused_.erase(payload);
  return payload;
}

void raft_simulation::send_client_request() {
  const milliseconds max_interval = healed_ ? milliseconds(60) : plan_.max_request_interval;
  schedule(random_ms(5, static_cast<unsigned>(max_interval.count())), [this] { send_client_request(); });
  if (injects(fault::killed_writers) && chance(70)) {
    schedule(std::chrono::microseconds(random_() % 6000), [this] { kill_writers(); });
  }
  const std::size_t index = index_of(random_host().id);
  const std::uint64_t id = next_id_++;
  if (chance(60)) {
    std::size_t target = index;
    for (host& h : hosts_) {
      if (h.core && h.core->role() == raft_role::leader && chance(80)) target = index_of(h.id);
    }
    proposals_[id] = next_payload(id);
    deliver_event(target, hosts_[target].generation, proposal_received{id, proposals_[id]});
  } else {
    reads_[id] = committed_.size();
    deliver_event(index, hosts_[index].generation, read_received{id});
  }
}

// Acts as the operator: adds a host whose store was replaced, and promotes it when it has caught up.
void raft_simulation::run_operator() {
  if (plan_.founders != 0) return;  // the leader adds hosts itself
  schedule(random_ms(50, 400), [this] { run_operator(); });
  for (host& h : hosts_) {
    if (!h.core || h.core->role() != raft_role::leader) continue;
    membership_change change{next_id_++, change_membership::action_kind::add_learner, {}};
    for (const raft_member& member : h.core->log().voters()) {
      if (!member.learner) continue;
      change.action = change_membership::action_kind::promote;
      change.member.host_id = member.host_id;
      ++statistics_.promoted;
    }
    if (change.member.host_id.empty() && !h.core->unadmitted_stores().empty()) {
      change.member.host_id = h.core->unadmitted_stores().begin()->first;
    }
    if (!change.member.host_id.empty()) return deliver_event(index_of(h.id), h.generation, std::move(change));
  }
}

}  // namespace heatherdeck

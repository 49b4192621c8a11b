// A discrete-event simulation: one priority queue of events drives all hosts. A disk keeps what is durable; a kill or a
// power loss also keeps a random prefix of the pending writes, a kill only until the next power loss. Invariant of the
// checks: `committed_` holds every entry that any host has ever applied; what a host applies, restores from a snapshot,
// acknowledges or holds when it becomes leader is compared with it.
#include "testing/raft_simulation.h"

#include <algorithm>

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
constexpr milliseconds staleness_check_period{50};
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
  schedule(staleness_check_period, [this] { check_staleness(); });
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
    h.frozen_until = std::min(h.frozen_until, now_);
    if (!h.core && !h.permanently_removed) start(h);
  }
}

// A host that states a quorum and a current log serves its document to nodes. At the latest it learns of an entry with
// the next heartbeat or finds that it has lost its leader, and it reports a lag an election timeout after it has
// reached what it awaited before. A host that was frozen first handles what came meanwhile, so its time counts from its
// end.
void raft_simulation::check_staleness() {
  const raft_config defaults;
  const duration bound = defaults.heartbeat_interval + 2 * defaults.election_timeout + defaults.lease;
  const auto due = std::upper_bound(committed_at_.begin(), committed_at_.end(), now_ - bound);
  const auto required = static_cast<std::uint64_t>(due - committed_at_.begin());
  for (const host& h : hosts_) {
    if (!h.core || h.frozen_until + bound > now_) continue;
    const consensus_status status = h.core->status(now_);
    if (!status.has_quorum || (!status.is_current && !plan_.ignores_lag) || status.commit_index >= required) continue;
    record_failure(
        fmt::format("{} ({} of term {}, leader {}) states that it is current at entry {}, {} was committed long before",
                    h.id, to_name(status.role), status.term, status.leader, status.commit_index, required));
  }
  schedule(staleness_check_period, [this] { check_staleness(); });
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
    committed_at_.push_back(now_);
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

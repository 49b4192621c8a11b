// Gossip of member records. Every record has one author, the member itself; all others only compare versions, so any
// order, repetition or loss of datagrams leads to the same table. Suspicion is the one statement about another member:
// it raises the state of a version, and the author overrules it with the next sequence.
// Invariants: versions in the table never go down; no output exceeds one datagram; the own record is never taken from
// others. Cost when idle: one probe and its answer a second, about 40 bytes of payload each, whatever the number of
// members.
#include "node/directory_core.h"

#include <algorithm>
#include <bit>

namespace heatherdeck {

namespace {

constexpr duration probe_period = std::chrono::seconds(1);
constexpr duration relay_after = milliseconds(400);
constexpr duration probe_limit = std::chrono::seconds(1);
constexpr duration removal_after = std::chrono::seconds(4);
constexpr duration relay_kept = std::chrono::seconds(2);
constexpr std::size_t spread_members = 3;
constexpr std::size_t relay_members = 2;
constexpr std::size_t leave_members = 8;
// A probe of a lost member or seed, so that halves of a network find each other after a partition.
constexpr std::uint64_t lost_probe_every = 10;
constexpr unsigned zone_percent = 80;
constexpr unsigned region_percent = 15;
// Payload that surely fits a datagram beside sender, proof and field headers.
constexpr std::size_t payload_room = 1'000;
constexpr std::size_t max_sync_datagrams = 16;
constexpr std::size_t key_bytes = 16;
constexpr std::size_t max_suspicions = 12;
// Under constant change no two tables may ever be equal; a member counts as joined after this time at the latest.
constexpr duration join_limit = std::chrono::seconds(5);

/// An upper bound of the encoded size: strings, and at most 6 bytes for each number with its header.
std::size_t size_of(const member_record& record) {
  constexpr std::size_t fixed = 48;
  std::size_t size = fixed + record.node_id.size() + record.availability_zone.size() + record.region.size() +
                     record.mesh_address.size();
  for (const endpoint_record& e : record.endpoints) {
    size += fixed + e.service.size() + e.upstream_version.size() + e.target.size() + e.address.size();
  }
  return size;
}

std::size_t size_of(const member_status& status) {
  constexpr std::size_t fixed = 24;
  return fixed + status.node_id.size();
}

member_status status_of(const member_record& record, member_state state) {
  return {record.node_id, record.incarnation, record.sequence, state};
}

}  // namespace

const directory_core::handler directory_core::handlers[] = {
    &directory_core::on_probe,   &directory_core::on_answer, &directory_core::on_sync,
    &directory_core::on_records, &directory_core::on_relay,  &directory_core::on_suspicion,
};

directory_core::directory_core(directory_options options)
    : self_(std::move(options.self)), seeds_(std::move(options.seeds)), random_(options.random_seed) {
  std::erase(seeds_, self_.mesh_address);
}

gossip_message directory_core::make(gossip_kind kind) const {
  gossip_message message;
  message.kind = kind;
  message.from = self_.node_id;
  return message;
}

directory_output directory_core::start(time_point now) {
  directory_output out;
  table_.put(now, std::make_shared<member_record>(self_));
  mark_recent(self_.node_id);
  // Phases are spread, or all members of a restarted zone would probe in the same instant.
  next_probe_ = now + directory_period * (random_() % 5);
  join_until_ = now + join_limit;
  for (const std::string& seed : seeds_) send_probe(now, seed, {}, out);
  out.view_changed = true;
  return out;
}

directory_output directory_core::tick(time_point now) {
  directory_output out;
  if (left_) return out;
  check_probes(now, out);
  check_suspects(now, out);
  spread_recent(out);
  if (now >= join_until_) joined_ = true;
  if (now >= next_probe_ || !joined_) {
    next_probe_ = now + probe_period;
    probe(now, out);
    table_.expire(now);
  }
  return out;
}

directory_output directory_core::receive(time_point now, const std::string& from_address, const gossip_message& m) {
  directory_output out;
  if (left_ || m.from == self_.node_id) return out;
  (this->*handlers[static_cast<std::size_t>(m.kind)])(now, from_address, m, out);
  check_sender(from_address, m.from, out);
  return out;
}

// --- own record ---

void directory_core::renew_self(time_point now, directory_output& out) {
  ++self_.sequence;
  table_.put(now, std::make_shared<member_record>(self_));
  mark_recent(self_.node_id);
  out.view_changed = true;
  spread_recent(out);
}

directory_output directory_core::set_endpoint(time_point now, const endpoint_record& endpoint) {
  directory_output out;
  std::vector<endpoint_record> changed = self_.endpoints;
  std::erase_if(changed, [&](const endpoint_record& e) { return e.target == endpoint.target; });
  if (endpoint.state != upstream_state::gone) changed.push_back(endpoint);
  if (left_ || changed == self_.endpoints) return out;
  self_.endpoints = std::move(changed);
  renew_self(now, out);
  return out;
}

directory_output directory_core::set_draining(time_point now) {
  directory_output out;
  if (left_ || self_.draining) return out;
  self_.draining = true;
  renew_self(now, out);
  return out;
}

directory_output directory_core::leave(time_point now) {
  directory_output out;
  if (left_) return out;
  left_ = true;
  ++self_.sequence;
  self_.state = member_state::left;
  self_.endpoints.clear();
  const auto record = std::make_shared<member_record>(self_);
  table_.put(now, record);
  for (std::size_t i = 0; i < leave_members; ++i) {
    const member_record_ptr member = pick_any();
    if (!member) break;
    gossip_message message = make(gossip_kind::records);
    message.records = {record};
    message.recent = true;
    out.datagrams.push_back({member->mesh_address, std::move(message)});
  }
  out.view_changed = true;
  return out;
}

// --- what others say ---

bool directory_core::learn(time_point now, const member_record_ptr& record, bool spread, directory_output& out) {
  if (record->node_id == self_.node_id) {
    if (supersedes(*record, self_)) answer_suspicion(now, status_of(*record, record->state), out);
    return false;
  }
  if (table_.put(now, record) != record_change::newer) return false;
  if (record->state == member_state::suspect) {
    suspected_.emplace(record->node_id, now);
  } else {
    suspected_.erase(record->node_id);
  }
  if (spread) mark_recent(record->node_id);
  out.view_changed = true;
  return true;
}

void directory_core::suspect(time_point now, const member_status& status, bool spread, directory_output& out) {
  if (status.node_id == self_.node_id) return answer_suspicion(now, status, out);
  const member_record_ptr known = table_.find(status.node_id);
  if (!known || known->incarnation != status.incarnation || known->sequence != status.sequence) return;
  auto changed = std::make_shared<member_record>(*known);
  changed->state = member_state::suspect;
  if (!learn(now, changed, spread, out)) {
    const auto recent = recent_.find(status.node_id);
    if (recent != recent_.end()) --recent->second;
  }
}

void directory_core::answer_suspicion(time_point now, const member_status& status, directory_output& out) {
  if (std::pair(status.incarnation, status.sequence) < std::pair(self_.incarnation, self_.sequence)) {
    // Already overruled: the asker only has to hear it.
    return mark_recent(self_.node_id);
  }
  // A higher incarnation under this id belongs to an earlier start whose clock ran ahead.
  if (status.incarnation > self_.incarnation) self_.incarnation = status.incarnation + 1;
  self_.sequence = std::max(self_.sequence, status.sequence);
  renew_self(now, out);
}

void directory_core::check_sender(const std::string& address, const std::string& node_id, directory_output& out) {
  member_record_ptr known = table_.find(node_id);
  if (known && known->state == member_state::alive) return;
  if (!known) known = table_.find_removed(node_id);
  if (!known) return;
  gossip_message suspicion = make(gossip_kind::suspicion);
  suspicion.statuses = {status_of(*known, member_state::suspect)};
  out.datagrams.push_back({address, std::move(suspicion)});
}

void directory_core::on_probe(time_point now, const std::string& address, const gossip_message& m,
                              directory_output& out) {
  for (const auto& record : m.records) learn(now, record, true, out);
  gossip_message answer = make(gossip_kind::answer);
  answer.nonce = m.nonce;
  answer.summary = table_.summary();
  if (m.summary != 0 && m.summary != answer.summary) answer.buckets = table_.buckets(table_.bucket_count());
  out.datagrams.push_back({address, std::move(answer)});
}

void directory_core::on_answer(time_point, const std::string& address, const gossip_message& m, directory_output& out) {
  const auto relay = relays_.find(m.nonce);
  if (relay != relays_.end()) {
    gossip_message passed = make(gossip_kind::answer);
    passed.nonce = relay->second.nonce;
    out.datagrams.push_back({relay->second.asker, std::move(passed)});
    relays_.erase(relay);
    return;
  }
  if (probes_.erase(m.nonce) == 0) return;
  if (m.summary == table_.summary()) joined_ = joined_ || table_.members().size() > 1;
  if (!m.buckets.empty()) request_buckets(address, m.buckets, out);
}

void directory_core::request_buckets(const std::string& address, const std::vector<std::uint32_t>& theirs,
                                     directory_output& out) {
  const auto count = static_cast<std::uint32_t>(theirs.size());
  const std::vector<std::uint32_t> own = table_.buckets(count);
  gossip_message sync = make(gossip_kind::sync);
  sync.bucket_count = count;
  std::size_t size = 0;
  // A random first bucket lets every bucket have its turn when not all fit.
  const std::uint32_t first = static_cast<std::uint32_t>(random_()) % count;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::uint32_t number = (first + i) % count;
    if (own[number] == theirs[number]) continue;
    const auto records = table_.in_bucket(number, count);
    size += records.size() * key_bytes + 2;
    if (size > payload_room && !sync.bucket_numbers.empty()) break;
    sync.bucket_numbers.push_back(number);
    for (const auto& record : records) {
      sync.keys.push_back({directory_table::id_hash(record->node_id), directory_table::version_hash(*record)});
    }
  }
  if (!sync.bucket_numbers.empty()) out.datagrams.push_back({address, std::move(sync)});
}

void directory_core::on_sync(time_point, const std::string& address, const gossip_message& m, directory_output& out) {
  constexpr std::uint32_t most_buckets = 1024;
  if (m.bucket_count == 0 || m.bucket_count > most_buckets) return;
  std::unordered_map<std::uint64_t, std::uint64_t> theirs;
  for (const member_key& key : m.keys) theirs.emplace(key.id_hash, key.version_hash);
  std::vector<member_record_ptr> differing;
  gossip_message wanted = make(gossip_kind::records);
  for (const std::uint32_t number : m.bucket_numbers) {
    for (const auto& record : table_.in_bucket(number % m.bucket_count, m.bucket_count)) {
      const std::uint64_t id = directory_table::id_hash(record->node_id);
      const auto found = theirs.find(id);
      if (found == theirs.end()) {
        differing.push_back(record);
        continue;
      }
      // Which of the two is newer shows when the records have been exchanged.
      if (found->second != directory_table::version_hash(*record)) {
        differing.push_back(record);
        wanted.wanted.push_back(id);
      }
      theirs.erase(found);
    }
  }
  for (const auto& [id, version] : theirs) {
    if (!table_.find_hash(id)) wanted.wanted.push_back(id);
  }
  constexpr std::size_t most_wanted = payload_room / sizeof(std::uint64_t);
  if (wanted.wanted.size() > most_wanted) wanted.wanted.resize(most_wanted);
  if (!wanted.wanted.empty()) out.datagrams.push_back({address, std::move(wanted)});
  send_records(address, std::move(differing), out);
}

void directory_core::on_records(time_point now, const std::string& address, const gossip_message& m,
                                directory_output& out) {
  gossip_message suspicion = make(gossip_kind::suspicion);
  for (const auto& record : m.records) {
    if (learn(now, record, m.recent || joined_, out)) continue;
    const auto recent = recent_.find(record->node_id);
    if (m.recent && recent != recent_.end()) --recent->second;
    // Removed here but alive for the sender: let the member say so itself.
    const member_record_ptr gone = table_.find_removed(record->node_id);
    if (gone && record->state != member_state::left && suspicion.statuses.size() < max_suspicions) {
      suspicion.statuses.push_back(status_of(*gone, member_state::suspect));
    }
  }
  for (const member_status& status : m.statuses) suspect(now, status, m.recent, out);
  if (!suspicion.statuses.empty()) out.datagrams.push_back({address, std::move(suspicion)});
  std::vector<member_record_ptr> answers;
  for (const std::uint64_t id : m.wanted) {
    if (auto record = table_.find_hash(id)) answers.push_back(std::move(record));
  }
  send_records(address, std::move(answers), out);
}

void directory_core::on_relay(time_point now, const std::string& address, const gossip_message& m,
                              directory_output& out) {
  std::erase_if(relays_, [now](const auto& item) { return now - item.second.since > relay_kept; });
  gossip_message probe = make(gossip_kind::probe);
  probe.nonce = static_cast<std::uint32_t>(random_());
  relays_[probe.nonce] = {address, m.nonce, now};
  out.datagrams.push_back({m.subject, std::move(probe)});
}

void directory_core::on_suspicion(time_point now, const std::string&, const gossip_message& m, directory_output& out) {
  for (const member_status& status : m.statuses) {
    if (status.node_id == self_.node_id) {
      answer_suspicion(now, status, out);
      continue;
    }
    // Passed on to the member in question: it is asked directly there.
    const member_record_ptr known = table_.find(status.node_id);
    if (!known || known->mesh_address == self_.mesh_address) continue;
    if (std::pair(known->incarnation, known->sequence) > std::pair(status.incarnation, status.sequence)) continue;
    gossip_message passed = make(gossip_kind::suspicion);
    passed.statuses = {status};
    out.datagrams.push_back({known->mesh_address, std::move(passed)});
    // It may be that the others are right and only this region has not noticed, because it probes far members rarely.
    const bool pending = std::any_of(probes_.begin(), probes_.end(),
                                     [&](const auto& item) { return item.second.node_id == status.node_id; });
    if (!pending) send_probe(now, known->mesh_address, known->node_id, out);
  }
}

// --- probes and suspicion ---

bool directory_core::lost_member_address(std::string& address) {
  std::vector<std::string> lost;
  for (const auto& [id, gone] : table_.removed()) {
    if (gone.record->state != member_state::left) lost.push_back(gone.record->mesh_address);
  }
  for (const std::string& seed : seeds_) {
    const bool known = std::any_of(table_.members().begin(), table_.members().end(),
                                   [&](const auto& item) { return item.second->mesh_address == seed; });
    if (!known) lost.push_back(seed);
  }
  if (lost.empty()) return false;
  address = lost[random_() % lost.size()];
  return true;
}

void directory_core::probe(time_point now, directory_output& out) {
  ++probe_count_;
  std::string lost;
  const bool alone = table_.members().size() == 1;
  if ((alone || probe_count_ % lost_probe_every == 0) && lost_member_address(lost)) {
    send_probe(now, lost, {}, out);
    return;
  }
  if (const member_record_ptr member = pick_probed()) send_probe(now, member->mesh_address, member->node_id, out);
}

void directory_core::send_probe(time_point now, const std::string& address, const std::string& node_id,
                                directory_output& out) {
  gossip_message probe = make(gossip_kind::probe);
  probe.nonce = static_cast<std::uint32_t>(random_());
  probe.summary = table_.summary();
  if (!joined_ || node_id.empty()) probe.records = {std::make_shared<member_record>(self_)};
  probes_[probe.nonce] = {node_id, address, now, node_id.empty()};
  out.datagrams.push_back({address, std::move(probe)});
}

void directory_core::check_probes(time_point now, directory_output& out) {
  std::vector<probe_state> failed;
  for (auto item = probes_.begin(); item != probes_.end();) {
    probe_state& pending = item->second;
    if (now - pending.sent >= probe_limit) {
      failed.push_back(pending);
      item = probes_.erase(item);
      continue;
    }
    if (!pending.relayed && now - pending.sent >= relay_after) {
      pending.relayed = true;
      gossip_message again = make(gossip_kind::probe);
      again.nonce = item->first;
      out.datagrams.push_back({pending.address, std::move(again)});
      for (std::size_t i = 0; i < relay_members; ++i) {
        const member_record_ptr helper = pick_any();
        if (!helper || helper->node_id == pending.node_id) continue;
        gossip_message relay = make(gossip_kind::relay);
        relay.nonce = item->first;
        relay.subject = pending.address;
        out.datagrams.push_back({helper->mesh_address, std::move(relay)});
      }
    }
    ++item;
  }
  for (const probe_state& pending : failed) {
    const member_record_ptr known = table_.find(pending.node_id);
    if (known) suspect(now, status_of(*known, member_state::suspect), true, out);
  }
}

void directory_core::check_suspects(time_point now, directory_output& out) {
  for (auto item = suspected_.begin(); item != suspected_.end();) {
    if (now - item->second < removal_after) {
      ++item;
      continue;
    }
    table_.remove(now, item->first);
    recent_.erase(item->first);
    item = suspected_.erase(item);
    out.view_changed = true;
  }
}

// --- spreading ---

void directory_core::mark_recent(const std::string& node_id) {
  recent_[node_id] = static_cast<int>(std::bit_width(table_.members().size())) + 1;
}

void directory_core::spread_recent(directory_output& out) {
  std::erase_if(recent_, [](const auto& item) { return item.second <= 0; });
  if (recent_.empty() || table_.members().size() <= 1) return;
  std::vector<std::pair<int, std::string>> order;
  for (const auto& [id, rounds] : recent_) order.emplace_back(-rounds, id);
  std::sort(order.begin(), order.end());
  gossip_message message = make(gossip_kind::records);
  message.recent = true;
  std::size_t size = 0;
  for (const auto& [rounds, id] : order) {
    member_record_ptr record = table_.find(id);
    if (!record) record = table_.find_removed(id);
    if (!record) {
      recent_.erase(id);
      continue;
    }
    const bool suspicion = record->state == member_state::suspect;
    const member_status status = status_of(*record, member_state::suspect);
    size += suspicion ? size_of(status) : size_of(*record);
    if (size > payload_room && !(message.records.empty() && message.statuses.empty())) break;
    if (suspicion) {
      message.statuses.push_back(status);
    } else {
      message.records.push_back(std::move(record));
    }
    --recent_[id];
  }
  for (std::size_t i = 0; i < spread_members; ++i) {
    if (const member_record_ptr member = pick_any()) out.datagrams.push_back({member->mesh_address, message});
  }
}

void directory_core::send_records(const std::string& address, std::vector<member_record_ptr> records,
                                  directory_output& out) const {
  std::size_t sent = 0;
  for (std::size_t i = 0; i < records.size() && sent < max_sync_datagrams; ++sent) {
    gossip_message message = make(gossip_kind::records);
    std::size_t size = 0;
    while (i < records.size()) {
      size += size_of(*records[i]);
      if (size > payload_room && !message.records.empty()) break;
      message.records.push_back(records[i++]);
    }
    out.datagrams.push_back({address, std::move(message)});
  }
}

// --- choice of members ---

member_record_ptr directory_core::pick_any() {
  const auto& members = table_.members();
  if (members.size() < 2) return nullptr;
  // Two random ids in the order of the ids differ when one of them is this process.
  for (int attempt = 0; attempt < 4; ++attempt) {
    const auto picked = std::next(members.begin(), static_cast<std::ptrdiff_t>(random_() % members.size()));
    if (picked->first != self_.node_id) return picked->second;
  }
  return nullptr;
}

member_record_ptr directory_core::pick_probed() {
  enum { zone, region, other, classes };
  member_record_ptr picked[classes];
  std::uint64_t seen[classes] = {};
  for (const auto& [id, record] : table_.members()) {
    if (id == self_.node_id) continue;
    const int place = record->availability_zone == self_.availability_zone ? zone
                      : record->region == self_.region                     ? region
                                                                           : other;
    if (random_() % ++seen[place] == 0) picked[place] = record;
  }
  const std::uint64_t percent = random_() % 100;
  const int wanted = percent < zone_percent ? zone : percent < zone_percent + region_percent ? region : other;
  for (int step = 0; step < classes; ++step) {
    if (const auto& found = picked[(wanted + step) % classes]) return found;
  }
  return nullptr;
}

directory_view_ptr directory_core::view() const {
  auto members = std::make_shared<std::vector<member_record>>();
  members->reserve(table_.members().size());
  for (const auto& [id, record] : table_.members()) members->push_back(*record);
  return members;
}

}  // namespace heatherdeck

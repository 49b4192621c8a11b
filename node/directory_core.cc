// Gossip of member records. Only the member itself issues new versions of its record; all others just compare versions,
// so the tables converge whatever the order, repetition or loss of datagrams. The exception is suspicion: any member
// may raise the state of a version from alive to suspect, and the suspected member refutes it with the next sequence.
// Invariants: versions in the table never decrease; no message exceeds one datagram; the own record is never replaced
// by a received one. Cost when idle: one probe and its answer per second, about 40 bytes of payload each, whatever the
// number of members.
#include "node/directory_core.h"

#include <algorithm>
#include <bit>

namespace heatherdeck {

namespace {

constexpr duration probe_period = std::chrono::seconds(1);
constexpr duration indirect_probe_delay = milliseconds(400);
constexpr duration probe_timeout = std::chrono::seconds(1);
constexpr duration suspicion_timeout = std::chrono::seconds(4);
constexpr duration relay_retention = std::chrono::seconds(2);
constexpr std::size_t gossip_fanout = 3;
constexpr std::size_t indirect_probe_fanout = 2;
constexpr std::size_t leave_fanout = 8;
// A departure is confirmed by two members, so that it outlasts this process and one more; four are asked, since
// datagrams may be lost.
constexpr std::size_t departure_copies = 2;
constexpr std::size_t departure_fanout = 4;
// Every tenth probe goes to a removed member or unreachable seed, so that the sides of a partition find each other
// again after it has healed.
constexpr std::uint64_t probes_per_lost_probe = 10;
constexpr unsigned zone_probe_percent = 80;
constexpr unsigned region_probe_percent = 15;
// Budget in bytes for records, chosen so that they fit into one datagram together with the sender's id, the MAC and the
// field headers.
constexpr std::size_t max_payload_bytes = 1'000;
constexpr std::size_t max_sync_datagrams = 16;
constexpr std::size_t record_hash_bytes = 16;
constexpr std::size_t max_suspicions = 12;
// A member counts as joined once its table has equalled another one. Under constant change no two tables may ever be
// equal, so it counts as joined after this time at the latest.
constexpr duration join_timeout = std::chrono::seconds(5);

/// @return an upper bound of the encoded size in bytes: the strings, and at most 6 bytes for each number with its field
///         header.
std::size_t max_encoded_size(const member_record& record) {
  constexpr std::size_t fixed = 48;
  std::size_t size = fixed + record.node_id.size() + record.availability_zone.size() + record.region.size() +
                     record.mesh_address.size();
  for (const endpoint_record& e : record.endpoints) {
    size += fixed + e.service.size() + e.upstream_version.size() + e.target.size() + e.address.size();
  }
  constexpr std::size_t departure_fixed = 28;
  for (const target_departure& d : record.departures) size += departure_fixed + d.target.size();
  return size;
}

std::size_t max_encoded_size(const member_record_version& status) {
  constexpr std::size_t fixed = 24;
  return fixed + status.node_id.size();
}

member_record_version version_of(const member_record& record, member_state state) {
  return {record.node_id, record.incarnation, record.sequence, state};
}

}  // namespace

const directory_core::handler directory_core::handlers[] = {
    &directory_core::on_probe, &directory_core::on_answer,    &directory_core::on_sync, &directory_core::on_records,
    &directory_core::on_relay, &directory_core::on_suspicion, &directory_core::ignore,
};

directory_core::directory_core(directory_options options)
    : self_(std::move(options.self)), seeds_(std::move(options.seeds)), random_(options.random_seed) {
  std::erase(seeds_, self_.mesh_address);
}

// Messages of kind `quarantine` are for the service of that name.
void directory_core::ignore(time_point, const std::string&, const gossip_message&, directory_output&) {}

gossip_message directory_core::make_message(gossip_kind kind) const {
  gossip_message message;
  message.kind = kind;
  message.from = self_.node_id;
  return message;
}

directory_output directory_core::start(time_point now) {
  directory_output out;
  table_.put(now, std::make_shared<member_record>(self_));
  mark_recent(self_.node_id);
  // A random phase, since otherwise all members of a restarted zone would probe at the same moment.
  next_probe_ = now + directory_period * (random_() % 5);
  join_deadline_ = now + join_timeout;
  for (const std::string& seed : seeds_) send_probe(now, seed, {}, out);
  out.view_changed = true;
  return out;
}

directory_output directory_core::tick(time_point now) {
  directory_output out;
  if (left_) return out;
  out.decided_departures = departures_.expire(now);
  handle_probe_timeouts(now, out);
  remove_expired_suspects(now, out);
  propagate_recent(out);
  if (now >= join_deadline_) joined_ = true;
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
  notify_suspected_sender(from_address, m.from, out);
  return out;
}

// Changes of the own record.

void directory_core::publish_self(time_point now, directory_output& out) {
  ++self_.sequence;
  self_.departures = departures_.own(now);
  while (!self_.departures.empty() && max_encoded_size(self_) > max_payload_bytes) {
    departures_.drop_oldest_own();
    self_.departures = departures_.own(now);
  }
  table_.put(now, std::make_shared<member_record>(self_));
  mark_recent(self_.node_id);
  out.view_changed = true;
  propagate_recent(out);
}

directory_output directory_core::set_endpoint(time_point now, const endpoint_record& endpoint) {
  directory_output out;
  std::vector<endpoint_record> changed = self_.endpoints;
  std::erase_if(changed, [&](const endpoint_record& e) { return e.target == endpoint.target; });
  if (endpoint.state != upstream_state::gone) changed.push_back(endpoint);
  if (left_ || changed == self_.endpoints) return out;
  self_.endpoints = std::move(changed);
  publish_self(now, out);
  return out;
}

// The members that a later process of this host contacts first: the seeds, then any others.
std::vector<std::string> directory_core::pick_departure_keepers() {
  std::vector<std::string> addresses;
  std::vector<std::string> others;
  for (const auto& [id, record] : table_.members()) {
    if (id == self_.node_id || record->state != member_state::alive) continue;
    const bool is_seed = std::find(seeds_.begin(), seeds_.end(), record->mesh_address) != seeds_.end();
    (is_seed ? addresses : others).push_back(record->mesh_address);
  }
  std::shuffle(others.begin(), others.end(), random_);
  addresses.insert(addresses.end(), others.begin(), others.end());
  if (addresses.size() > departure_fanout) addresses.resize(departure_fanout);
  return addresses;
}

directory_output directory_core::keep_departure(time_point now, const target_departure& departure,
                                                std::uint64_t request) {
  directory_output out;
  if (left_) {
    out.decided_departures.push_back({request, 0, false});
    return out;
  }
  if (departures_.add_own(now, departure)) publish_self(now, out);
  const bool only_member = seeds_.empty() && table_.members().size() == 1 && table_.removed().empty();
  if (only_member || departures_.is_kept(departure)) {
    out.decided_departures.push_back({request, only_member ? 0 : departure_copies, true});
    return out;
  }
  const std::vector<std::string> keepers = pick_departure_keepers();
  departures_.await_copies(now, request, departure, std::clamp<std::size_t>(keepers.size(), 1, departure_copies));
  for (const std::string& address : keepers) send_probe(now, address, {}, out).departure_request = request;
  return out;
}

void directory_core::adopt_departures(time_point now, const std::vector<target_departure>& departures,
                                      directory_output& out) {
  const std::vector<target_departure> adopted = departures_.adopt(now, departures);
  if (adopted.empty()) return;
  out.adopted_departures.insert(out.adopted_departures.end(), adopted.begin(), adopted.end());
  publish_self(now, out);
}

directory_output directory_core::set_draining(time_point now) {
  directory_output out;
  if (left_ || self_.draining) return out;
  self_.draining = true;
  publish_self(now, out);
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
  for (std::size_t i = 0; i < leave_fanout; ++i) {
    const member_record_ptr member = pick_random_member();
    if (!member) break;
    gossip_message message = make_message(gossip_kind::records);
    message.records = {record};
    message.recent = true;
    out.datagrams.push_back({member->mesh_address, std::move(message)});
  }
  out.view_changed = true;
  return out;
}

// Received messages.

bool directory_core::apply_record(time_point now, const member_record_ptr& record, bool propagate,
                                  directory_output& out) {
  if (record->node_id == self_.node_id) {
    if (record->incarnation != self_.incarnation) adopt_departures(now, record->departures, out);
    if (supersedes(*record, self_)) refute_suspicion(now, version_of(*record, record->state), out);
    return false;
  }
  departures_.put(now, *record);
  if (table_.put(now, record) != record_change::newer) return false;
  if (record->state == member_state::suspect) {
    suspected_.emplace(record->node_id, now);
  } else {
    suspected_.erase(record->node_id);
  }
  if (propagate) mark_recent(record->node_id);
  out.view_changed = true;
  return true;
}

void directory_core::suspect(time_point now, const member_record_version& status, bool propagate,
                             directory_output& out) {
  if (status.node_id == self_.node_id) return refute_suspicion(now, status, out);
  const member_record_ptr known = table_.find(status.node_id);
  if (!known || known->incarnation != status.incarnation || known->sequence != status.sequence) return;
  auto changed = std::make_shared<member_record>(*known);
  changed->state = member_state::suspect;
  if (!apply_record(now, changed, propagate, out)) {
    const auto recent = recent_.find(status.node_id);
    if (recent != recent_.end()) --recent->second;
  }
}

void directory_core::refute_suspicion(time_point now, const member_record_version& status, directory_output& out) {
  if (std::pair(status.incarnation, status.sequence) < std::pair(self_.incarnation, self_.sequence)) {
    // The published version already refutes this suspicion; it only has to reach the sender.
    return mark_recent(self_.node_id);
  }
  // A higher incarnation under this id belongs to an earlier start of this process, when the clock was ahead.
  if (status.incarnation > self_.incarnation) self_.incarnation = status.incarnation + 1;
  self_.sequence = std::max(self_.sequence, status.sequence);
  publish_self(now, out);
}

void directory_core::notify_suspected_sender(const std::string& address, const std::string& node_id,
                                             directory_output& out) {
  member_record_ptr known = table_.find(node_id);
  if (known && known->state == member_state::alive) return;
  if (!known) known = table_.find_removed(node_id);
  if (!known) return;
  gossip_message suspicion = make_message(gossip_kind::suspicion);
  suspicion.statuses = {version_of(*known, member_state::suspect)};
  out.datagrams.push_back({address, std::move(suspicion)});
}

void directory_core::on_probe(time_point now, const std::string& address, const gossip_message& m,
                              directory_output& out) {
  for (const auto& record : m.records) apply_record(now, record, true, out);
  gossip_message answer = make_message(gossip_kind::answer);
  answer.nonce = m.nonce;
  answer.summary = table_.summary();
  if (m.summary != 0 && m.summary != answer.summary) answer.buckets = table_.bucket_summaries(table_.bucket_count());
  if (const member_record_ptr sender = table_.find(m.from))
    answer.departures = departures_.of_earlier_process(now, m.from, sender->incarnation);
  out.datagrams.push_back({address, std::move(answer)});
}

void directory_core::on_answer(time_point now, const std::string& address, const gossip_message& m,
                               directory_output& out) {
  const auto relay = relays_.find(m.nonce);
  if (relay != relays_.end()) {
    gossip_message forwarded = make_message(gossip_kind::answer);
    forwarded.nonce = relay->second.nonce;
    out.datagrams.push_back({relay->second.requester_address, std::move(forwarded)});
    relays_.erase(relay);
    return;
  }
  const auto answered = probes_.find(m.nonce);
  if (answered == probes_.end()) return;
  const std::uint64_t departure_request = answered->second.departure_request;
  probes_.erase(answered);
  if (departure_request != 0) out.decided_departures = departures_.count_copy(departure_request);
  adopt_departures(now, m.departures, out);
  if (m.summary == table_.summary()) joined_ = joined_ || table_.members().size() > 1;
  if (!m.buckets.empty()) request_buckets(address, m.buckets, out);
}

void directory_core::request_buckets(const std::string& address, const std::vector<std::uint32_t>& theirs,
                                     directory_output& out) {
  const auto count = static_cast<std::uint32_t>(theirs.size());
  const std::vector<std::uint32_t> own = table_.bucket_summaries(count);
  gossip_message sync = make_message(gossip_kind::sync);
  sync.bucket_count = count;
  std::size_t size = 0;
  // The first bucket is random, so that over several rounds every bucket is compared even if not all fit.
  const std::uint32_t first = static_cast<std::uint32_t>(random_()) % count;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::uint32_t number = (first + i) % count;
    if (own[number] == theirs[number]) continue;
    const auto records = table_.records_in_bucket(number, count);
    size += records.size() * record_hash_bytes + 2;
    if (size > max_payload_bytes && !sync.bucket_numbers.empty()) break;
    sync.bucket_numbers.push_back(number);
    for (const auto& record : records) {
      sync.record_hashes.push_back({directory_table::id_hash(record->node_id), directory_table::version_hash(*record)});
    }
  }
  if (!sync.bucket_numbers.empty()) out.datagrams.push_back({address, std::move(sync)});
}

void directory_core::on_sync(time_point, const std::string& address, const gossip_message& m, directory_output& out) {
  constexpr std::uint32_t max_bucket_count = 1024;
  if (m.bucket_count == 0 || m.bucket_count > max_bucket_count) return;
  std::unordered_map<std::uint64_t, std::uint64_t> theirs;
  for (const member_record_hash& key : m.record_hashes) theirs.emplace(key.id_hash, key.version_hash);
  std::vector<member_record_ptr> differing;
  gossip_message wanted = make_message(gossip_kind::records);
  for (const std::uint32_t number : m.bucket_numbers) {
    for (const auto& record : table_.records_in_bucket(number % m.bucket_count, m.bucket_count)) {
      const std::uint64_t id = directory_table::id_hash(record->node_id);
      const auto found = theirs.find(id);
      if (found == theirs.end()) {
        differing.push_back(record);
        continue;
      }
      // Hashes do not tell which of the two versions is newer, so both records are exchanged.
      if (found->second != directory_table::version_hash(*record)) {
        differing.push_back(record);
        wanted.wanted.push_back(id);
      }
      theirs.erase(found);
    }
  }
  for (const auto& [id, version] : theirs) {
    if (!table_.find_by_hash(id)) wanted.wanted.push_back(id);
  }
  constexpr std::size_t max_wanted_ids = max_payload_bytes / sizeof(std::uint64_t);
  if (wanted.wanted.size() > max_wanted_ids) wanted.wanted.resize(max_wanted_ids);
  if (!wanted.wanted.empty()) out.datagrams.push_back({address, std::move(wanted)});
  send_records(address, std::move(differing), out);
}

void directory_core::on_records(time_point now, const std::string& address, const gossip_message& m,
                                directory_output& out) {
  gossip_message suspicion = make_message(gossip_kind::suspicion);
  for (const auto& record : m.records) {
    if (apply_record(now, record, m.recent || joined_, out)) continue;
    const auto recent = recent_.find(record->node_id);
    if (m.recent && recent != recent_.end()) --recent->second;
    // Removed here but alive for the sender: the suspicion makes the member publish a new version if it still runs.
    const member_record_ptr gone = table_.find_removed(record->node_id);
    if (gone && record->state != member_state::left && suspicion.statuses.size() < max_suspicions) {
      suspicion.statuses.push_back(version_of(*gone, member_state::suspect));
    }
  }
  for (const member_record_version& status : m.statuses) suspect(now, status, m.recent, out);
  if (!suspicion.statuses.empty()) out.datagrams.push_back({address, std::move(suspicion)});
  std::vector<member_record_ptr> answers;
  for (const std::uint64_t id : m.wanted) {
    if (auto record = table_.find_by_hash(id)) answers.push_back(std::move(record));
  }
  send_records(address, std::move(answers), out);
}

void directory_core::on_relay(time_point now, const std::string& address, const gossip_message& m,
                              directory_output& out) {
  std::erase_if(relays_, [now](const auto& item) { return now - item.second.received_at > relay_retention; });
  gossip_message probe = make_message(gossip_kind::probe);
  probe.nonce = static_cast<std::uint32_t>(random_());
  relays_[probe.nonce] = {address, m.nonce, now};
  out.datagrams.push_back({m.probe_address, std::move(probe)});
}

void directory_core::on_suspicion(time_point now, const std::string&, const gossip_message& m, directory_output& out) {
  for (const member_record_version& status : m.statuses) {
    if (status.node_id == self_.node_id) {
      refute_suspicion(now, status, out);
      continue;
    }
    // Forwarded to the suspected member, so that it can refute the suspicion.
    const member_record_ptr known = table_.find(status.node_id);
    if (!known || known->mesh_address == self_.mesh_address) continue;
    if (std::pair(known->incarnation, known->sequence) > std::pair(status.incarnation, status.sequence)) continue;
    gossip_message forwarded = make_message(gossip_kind::suspicion);
    forwarded.statuses = {status};
    out.datagrams.push_back({known->mesh_address, std::move(forwarded)});
    // The suspicion may be right and unnoticed in this region only because members elsewhere are probed rarely.
    const bool pending = std::any_of(probes_.begin(), probes_.end(),
                                     [&](const auto& item) { return item.second.node_id == status.node_id; });
    if (!pending) send_probe(now, known->mesh_address, known->node_id, out);
  }
}

// Probes and suspicion.

bool directory_core::pick_lost_address(std::string& address) {
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
  const bool no_other_member = table_.members().size() == 1;
  if ((no_other_member || probe_count_ % probes_per_lost_probe == 0) && pick_lost_address(lost)) {
    send_probe(now, lost, {}, out);
    return;
  }
  if (const member_record_ptr member = pick_probe_target()) send_probe(now, member->mesh_address, member->node_id, out);
}

directory_core::probe_state& directory_core::send_probe(time_point now, const std::string& address,
                                                        const std::string& node_id, directory_output& out) {
  gossip_message probe = make_message(gossip_kind::probe);
  probe.nonce = static_cast<std::uint32_t>(random_());
  probe.summary = table_.summary();
  if (!joined_ || node_id.empty()) probe.records = {std::make_shared<member_record>(self_)};
  probe_state& sent = probes_[probe.nonce];
  sent = {node_id, address, now, node_id.empty()};
  out.datagrams.push_back({address, std::move(probe)});
  return sent;
}

void directory_core::handle_probe_timeouts(time_point now, directory_output& out) {
  std::vector<probe_state> failed;
  for (auto item = probes_.begin(); item != probes_.end();) {
    probe_state& pending = item->second;
    if (now - pending.sent >= probe_timeout) {
      failed.push_back(pending);
      item = probes_.erase(item);
      continue;
    }
    if (!pending.relayed && now - pending.sent >= indirect_probe_delay) {
      pending.relayed = true;
      gossip_message again = make_message(gossip_kind::probe);
      again.nonce = item->first;
      out.datagrams.push_back({pending.address, std::move(again)});
      for (std::size_t i = 0; i < indirect_probe_fanout; ++i) {
        const member_record_ptr helper = pick_random_member();
        if (!helper || helper->node_id == pending.node_id) continue;
        gossip_message relay = make_message(gossip_kind::relay);
        relay.nonce = item->first;
        relay.probe_address = pending.address;
        out.datagrams.push_back({helper->mesh_address, std::move(relay)});
      }
    }
    ++item;
  }
  for (const probe_state& pending : failed) {
    const member_record_ptr known = table_.find(pending.node_id);
    if (known) suspect(now, version_of(*known, member_state::suspect), true, out);
  }
}

void directory_core::remove_expired_suspects(time_point now, directory_output& out) {
  for (auto item = suspected_.begin(); item != suspected_.end();) {
    if (now - item->second < suspicion_timeout) {
      ++item;
      continue;
    }
    table_.remove(now, item->first);
    recent_.erase(item->first);
    item = suspected_.erase(item);
    out.view_changed = true;
  }
}

// Dissemination.

void directory_core::mark_recent(const std::string& node_id) {
  recent_[node_id] = static_cast<int>(std::bit_width(table_.members().size())) + 1;
}

void directory_core::propagate_recent(directory_output& out) {
  std::erase_if(recent_, [](const auto& item) { return item.second <= 0; });
  if (recent_.empty() || table_.members().size() <= 1) return;
  std::vector<std::pair<int, std::string>> order;
  for (const auto& [id, rounds] : recent_) order.emplace_back(-rounds, id);
  std::sort(order.begin(), order.end());
  gossip_message message = make_message(gossip_kind::records);
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
    const member_record_version status = version_of(*record, member_state::suspect);
    size += suspicion ? max_encoded_size(status) : max_encoded_size(*record);
    if (size > max_payload_bytes && !(message.records.empty() && message.statuses.empty())) break;
    if (suspicion) {
      message.statuses.push_back(status);
    } else {
      message.records.push_back(std::move(record));
    }
    --recent_[id];
  }
  for (std::size_t i = 0; i < gossip_fanout; ++i) {
    if (const member_record_ptr member = pick_random_member()) out.datagrams.push_back({member->mesh_address, message});
  }
}

void directory_core::send_records(const std::string& address, std::vector<member_record_ptr> records,
                                  directory_output& out) const {
  std::size_t sent = 0;
  for (std::size_t i = 0; i < records.size() && sent < max_sync_datagrams; ++sent) {
    gossip_message message = make_message(gossip_kind::records);
    std::size_t size = 0;
    while (i < records.size()) {
      size += max_encoded_size(*records[i]);
      if (size > max_payload_bytes && !message.records.empty()) break;
      message.records.push_back(records[i++]);
    }
    out.datagrams.push_back({address, std::move(message)});
  }
}

// Choice of members to contact.

member_record_ptr directory_core::pick_random_member() {
  const auto& members = table_.members();
  if (members.size() < 2) return nullptr;
  // Draws again if the draw is this process, 4 times in all.
  for (int attempt = 0; attempt < 4; ++attempt) {
    const auto picked = std::next(members.begin(), static_cast<std::ptrdiff_t>(random_() % members.size()));
    if (picked->first != self_.node_id) return picked->second;
  }
  return nullptr;
}

member_record_ptr directory_core::pick_probe_target() {
  enum { zone, region, other, proximity_count };
  member_record_ptr picked[proximity_count];
  std::uint64_t seen[proximity_count] = {};
  for (const auto& [id, record] : table_.members()) {
    if (id == self_.node_id) continue;
    const int proximity = record->availability_zone == self_.availability_zone ? zone
                          : record->region == self_.region                     ? region
                                                                               : other;
    if (random_() % ++seen[proximity] == 0) picked[proximity] = record;
  }
  const std::uint64_t percent = random_() % 100;
  const int wanted = percent < zone_probe_percent                          ? zone
                     : percent < zone_probe_percent + region_probe_percent ? region
                                                                           : other;
  for (int step = 0; step < proximity_count; ++step) {
    if (const auto& found = picked[(wanted + step) % proximity_count]) return found;
  }
  return nullptr;
}

member_list_ptr directory_core::view() const {
  auto members = std::make_shared<std::vector<member_record>>();
  members->reserve(table_.members().size());
  for (const auto& [id, record] : table_.members()) members->push_back(*record);
  return members;
}

}  // namespace heatherdeck

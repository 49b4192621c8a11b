/// @file
/// Many directory cores on a simulated network with a virtual clock: latency, loss, partitions, crashes and restarts of
/// processes.
///
///     directory_network net(seed);
///     for (...) net.start(record);
///     net.run_for(10s);
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include "node/directory_core.h"
#include "wire/codec.h"

namespace heatherdeck {

class directory_network {
 public:
  struct process {
    std::unique_ptr<directory_core> core;
    member_record self;
    std::uint64_t run_id = 0;  ///< rises with each start and stop, so that events of an earlier run are ignored
    /// Highest (incarnation, sequence) seen, by node id, to detect versions that decrease.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> highest_versions;
    std::vector<departure_table::decided_request> decided_departures;
    std::vector<target_departure> adopted_departures;
  };

  explicit directory_network(std::uint64_t seed) : random_(seed) {}

  static member_record make_record(const std::string& id, const std::string& zone, const std::string& region) {
    member_record record;
    record.node_id = id;
    record.availability_zone = zone;
    record.region = region;
    record.mesh_address = "10." + id;  // unique; the simulation does not parse it
    record.incarnation = 1'796'371'200'000;
    record.endpoints = {{"certdesk", "v1", id + "-up", "127.0.0.1:9000", upstream_state::ready, 20, 130}};
    return record;
  }

  void start(const member_record& self) {
    process& p = processes_[self.mesh_address];
    p.self = self;
    ++p.run_id;
    p.highest_versions.clear();
    p.decided_departures.clear();
    p.adopted_departures.clear();
    p.core = std::make_unique<directory_core>(directory_options{self, seeds, random_()});
    send(self.mesh_address, p.core->start(now));
    schedule_tick(self.mesh_address, directory_period * (random_() % 1000) / 1000);
  }

  /// Ends a process without any message, as a crash does.
  void stop(const std::string& address) {
    ++processes_[address].run_id;
    processes_[address].core.reset();
  }

  /// Gives every process the records of all others, which saves simulating the discovery.
  void fill_tables() {
    gossip_message all;
    all.kind = gossip_kind::records;
    all.from = "bootstrap";
    for (const auto& [address, p] : processes_) all.records.push_back(std::make_shared<member_record>(p.self));
    for (const auto& [address, p] : processes_) (void)p.core->receive(now, "none", all);
  }

  /// Calls `action` on the core of a process and sends the resulting datagrams.
  void apply(const std::string& address, const std::function<directory_output(directory_core&)>& action) {
    send(address, action(*processes_.at(address).core));
  }

  void run_for(duration time) {
    const time_point until = now + time;
    while (!events_.empty() && events_.top().at <= until) {
      const event next = events_.top();
      events_.pop();
      now = next.at;
      next.run();
    }
    now = until;
  }

  /// @return the time until `done` holds, checked every 20 ms of virtual time, or about `limit`.
  duration time_until(const std::function<bool()>& done, duration limit) {
    const time_point started_at = now;
    while (!done() && now - started_at < limit) run_for(milliseconds(20));
    return now - started_at;
  }

  bool all_tables_equal() const {
    std::set<std::uint64_t> sums;
    for (const auto& [address, p] : processes_) {
      if (p.core) sums.insert(p.core->table().summary());
    }
    return sums.size() <= 1;
  }

  std::map<std::string, process>& processes() { return processes_; }

  std::vector<std::string> seeds;
  double loss_ratio = 0;  ///< probability that a datagram is lost
  /// If set and true for two members, datagrams between them are lost.
  std::function<bool(const member_record&, const member_record&)> partitioned;
  std::uint64_t datagrams = 0;
  std::uint64_t payload_bytes = 0;        ///< UDP payload of all datagrams sent, MAC included
  std::uint64_t version_regressions = 0;  ///< records seen with a lower version than before in the same process
  std::uint64_t oversized_datagrams = 0;  ///< datagrams longer than max_datagram_bytes
  time_point now{};

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  void schedule(duration delay, std::function<void()> run) { events_.push({now + delay, ++order_, std::move(run)}); }

  void schedule_tick(const std::string& address, duration delay) {
    const std::uint64_t run_id = processes_[address].run_id;
    schedule(delay, [this, address, run_id] {
      process& p = processes_[address];
      if (p.run_id != run_id) return;
      send(address, p.core->tick(now));
      schedule_tick(address, directory_period);
    });
  }

  void send(const std::string& from, directory_output out) {
    process& sender = processes_[from];
    if (out.view_changed) count_version_regressions(sender);
    for (const auto& decided : out.decided_departures) sender.decided_departures.push_back(decided);
    for (const auto& adopted : out.adopted_departures) sender.adopted_departures.push_back(adopted);
    for (outgoing_gossip& item : out.datagrams) {
      const std::size_t size = encode(item.message).size() + datagram_mac_bytes;
      ++datagrams;
      payload_bytes += size;
      if (size > max_datagram_bytes) ++oversized_datagrams;
      const auto target = processes_.find(item.to);
      if (target == processes_.end() || (partitioned && partitioned(sender.self, target->second.self))) continue;
      if (std::uniform_real_distribution<>(0, 1)(random_) < loss_ratio) continue;
      const duration latency = sender.self.region == target->second.self.region ? milliseconds(1) : milliseconds(12);
      schedule(latency, [this, from, to = item.to, message = std::move(item.message)] {
        process& receiver = processes_[to];
        if (receiver.core) send(to, receiver.core->receive(now, from, message));
      });
    }
  }

  void count_version_regressions(process& p) {
    for (const auto& [id, record] : p.core->table().members()) {
      const std::pair seen(record->incarnation, record->sequence);
      auto& highest_versions = p.highest_versions[id];
      if (seen < highest_versions) ++version_regressions;
      highest_versions = std::max(highest_versions, seen);
    }
  }

  std::mt19937_64 random_;
  std::map<std::string, process> processes_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace heatherdeck

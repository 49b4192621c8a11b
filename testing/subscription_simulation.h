/// @file
/// Control hosts and their nodes under a virtual clock, with the decisions of the publisher and the subscriber; the
/// driver does what publisher_service and subscriber_service do. Control hosts can be cut off, freeze or lose power,
/// and streams can be reset.
///
///     subscription_simulation simulation(seed, {.hosts = {1, 4}, .at = time_point{} + 8s});
///     std::vector<std::string> late = simulation.run(time_point{} + 16s);
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/publisher_core.h"
#include "node/source_race.h"
#include "node/subscriber_core.h"

namespace heatherdeck {

using namespace std::chrono_literals;

inline constexpr std::size_t zone_count = 6;
inline constexpr std::size_t zones_per_region = 2;
inline constexpr std::size_t nodes_per_zone = 3;
inline constexpr auto stable_after = 3s;         // from then on after a cut the bound below holds
inline constexpr auto propagation_bound = 2s;    // an acknowledged change is in force everywhere within this time
inline constexpr auto election_timeout = 600ms;  // a host without contact for this long has no quorum
inline constexpr auto keepalive_period = 500ms;
inline constexpr auto service_tick = 500ms;
inline constexpr auto connect_limit = 300ms;  // of an attempt to reach a host that is off
inline constexpr auto attempt_limit = 2s;     // of an attempt to reach a host that is frozen
inline constexpr auto confirmation_round = 30ms;
inline constexpr auto confirmation_retry_delay = 50ms;

inline std::string region_of(std::size_t zone) { return "region-" + std::to_string(zone / zones_per_region); }
inline std::string zone_name(std::size_t zone) { return "zone-" + std::to_string(zone); }

inline document_state_ptr make_document(std::uint64_t index) {
  auto s = std::make_shared<document_state>();
  s->document_version = {1, index};
  s->sections["services"] = {"services", "web: {versions: [v1]}\n", {1, 1}};
  s->sections["shares"] = {"shares", "web: {v1: 100}\n", {1, 1}};
  s->sections["routes"] = {
      "routes",
      "- {name: all, match: {path_prefix: /}, service: web, timeout_ms: " + std::to_string(100 + index) + "}\n",
      {1, index}};
  return s;
}

/// What happens to the control hosts of some zones.
struct cut_plan {
  std::set<std::size_t> hosts;  ///< zones of the control hosts that are cut off from the others
  time_point at;
  bool powered_off = false;        ///< these hosts lose power instead
  std::set<std::size_t> frozen;    ///< zones of control hosts that freeze: they accept connections and send nothing
  duration election{0};            ///< then no host has a quorum, and no change is accepted
  std::vector<time_point> resets;  ///< nine of ten streams to control hosts that run are reset
  std::size_t nodes = zone_count * nodes_per_zone;
  duration host_delay{0};  ///< longest time that a host takes to respond to an attempt
  bool parallel = true;    ///< several attempts at a time
  /// Part of the connections between nodes and control hosts, in percent, that go silent at `at`. One is replaced after
  /// an attempt on it has failed or its stream has fallen silent.
  unsigned silent_percent = 0;
  bool replaces_silent = true;  ///< false: a silent connection is used again
};

class subscription_simulation {
 public:
  subscription_simulation(std::uint64_t seed, cut_plan cut) : random_(seed), cut_(std::move(cut)) {
    for (std::size_t zone = 0; zone < zone_count; ++zone) {
      auto host = std::make_unique<control_host_model>();
      host->core =
          std::make_unique<publisher_core>(publisher_core::limits{.keepalive = keepalive_period}, seed * 31 + zone);
      host->zone = zone;
      hosts_.push_back(std::move(host));
    }
    for (std::size_t i = 0; i < cut_.nodes; ++i) add_node(i, seed);
  }

  /// Commits a change every 400 ms from the start on and runs until `end`.
  /// @param restarts restarts each node at a random time of the 4 s after the cut, and checks instead that it has a
  ///   document 3 s later.
  /// @return what each node that broke the bound held, and when; empty if none did.
  std::vector<std::string> run(time_point end, bool restarts = false) {
    for (time_point t{}; t < end; t += 400ms) at(t, [this] { commit(); });
    for (auto& host : hosts_) at(time_point{} + random_delay(service_tick), [this, h = host.get()] { tick(*h); });
    for (auto& node : nodes_) {
      at(time_point{} + random_delay(300ms), [this, n = node.get()] { schedule_attempt(*n, std::nullopt); });
      at(time_point{} + random_delay(service_tick), [this, n = node.get()] { tick(*n); });
      // The settings name three hosts; the directory adds the others after the node has subscribed.
      at(time_point{} + 1500ms + random_delay(500ms), [this, n = node.get()] { n->core->set_members(members()); });
    }
    for (std::size_t i = 0; restarts && i < nodes_.size(); ++i) {
      at(cut_.at + random_delay(4s), [this, i] { restart(i, random_()); });
    }
    for (time_point t = cut_.at + stable_after; !restarts && t < end; t += 20ms) at(t, [this] { check(); });
    for (const time_point t : cut_.resets) at(t, [this] { reset_streams(); });
    at(cut_.at, [this] { silence_connections(); });
    while (!events_.empty() && events_.begin()->first < end) {
      now_ = events_.begin()->first;
      const std::function<void()> event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    return late_;
  }

  /// @return the longest time from the loss of a stream to the next one on which a host has responded.
  duration longest_search() const { return longest_search_; }
  /// @return the most attempts that a node had under way at a time.
  std::size_t most_attempts() const { return most_attempts_; }

 private:
  struct control_host_model {
    std::unique_ptr<publisher_core> core;
    std::size_t zone = 0;
    bool quorum = false;
  };

  struct node_model {
    std::unique_ptr<subscriber_core> core;
    std::string name;
    std::size_t zone = 0;
    std::uint64_t generation = 0;
    std::uint64_t stream = 0;  ///< 0 when not subscribed
    control_host_model* host = nullptr;
    source_race race;
    std::set<std::size_t> silent;       ///< zones of the hosts to which the connection is silent
    std::optional<time_point> lost_at;  ///< when the last stream was lost; nothing while there is one
    bool late = false;
  };

  static std::string host_id(std::size_t zone) { return "10." + std::to_string(zone + 1) + ".0.16"; }

  void add_node(std::size_t index, std::uint64_t seed) {
    auto node = std::make_unique<node_model>();
    node->zone = index % zone_count;
    node->core = std::make_unique<subscriber_core>(make_core(*node, index, seed));
    nodes_.push_back(std::move(node));
  }

  static subscriber_core make_core(node_model& node, std::size_t index, std::uint64_t seed) {
    settings s;
    s.id = node.name = "10." + std::to_string(node.zone + 1) + ".0." + std::to_string(20 + index);
    s.availability_zone = zone_name(node.zone);
    s.region = region_of(node.zone);
    s.seed = seed * 1000 + index + 1;
    s.keepalive = keepalive_period;
    for (std::size_t zone = 0; zone < zone_count; zone += zones_per_region) {
      s.control_hosts.push_back({host_id(zone), zone_name(zone), region_of(zone), host_id(zone), ""});
    }
    return subscriber_core::make(s);
  }

  // The new process knows the hosts of the settings, and soon those of the directory.
  void restart(std::size_t index, std::uint64_t seed) {
    node_model& node = *nodes_[index];
    if (node.host != nullptr) node.host->core->close(node.stream);
    node.stream = 0;
    node.late = false;
    node.lost_at = now_;
    node.core = std::make_unique<subscriber_core>(make_core(node, index, seed));
    schedule_attempt(node, std::nullopt);
    at(now_ + 300ms, [this, n = &node] { n->core->set_members(members()); });
    at(now_ + stable_after, [this, n = &node] {
      if (!n->core->has_document()) late_.push_back(n->name + " has no document 3 s after its restart");
    });
  }

  std::vector<member_record> members() const {
    std::vector<member_record> all;
    for (std::size_t zone = 0; zone < zone_count; ++zone) {
      member_record m;
      m.node_id = m.mesh_address = host_id(zone);
      m.availability_zone = zone_name(zone);
      m.region = region_of(zone);
      m.role = process_role::control;
      all.push_back(std::move(m));
    }
    return all;
  }

  void at(time_point when, std::function<void()> event) { events_.emplace(when, std::move(event)); }

  duration random_delay(duration limit) {
    return duration(std::uniform_int_distribution<duration::rep>(0, limit.count())(random_));
  }

  duration one_way(std::size_t zone, std::size_t other) {
    const duration base = region_of(zone) == region_of(other) ? duration(500us) : duration(12ms);
    return base + random_delay(5ms);
  }

  bool is_cut(const control_host_model& host) const { return now_ >= cut_.at && cut_.hosts.contains(host.zone); }
  bool is_off(const control_host_model& host) const { return cut_.powered_off && is_cut(host); }
  bool is_frozen(const control_host_model& host) const { return now_ >= cut_.at && cut_.frozen.contains(host.zone); }
  bool is_election() const { return now_ >= cut_.at && now_ < cut_.at + cut_.election; }
  bool has_quorum(const control_host_model& host) const {
    const bool without = cut_.hosts.contains(host.zone) || now_ < cut_.at + cut_.election;
    return !without || now_ < cut_.at + election_timeout;
  }

  void commit() {
    if (is_election()) return;
    const document_state_ptr next = make_document(++index_);
    acknowledged_.emplace_back(now_ + 60ms, next->document_version);
    for (auto& host : hosts_) {
      if (is_cut(*host) || is_frozen(*host)) continue;
      at(now_ + 30ms + random_delay(30ms),
         [this, h = host.get(), next] { deliver(*h, h->core->set_document(next, now_)); });
    }
  }

  // The streams of all nodes to one host have ids of their own, so that the core of the host tells them apart.
  void deliver(control_host_model& host, const std::vector<publisher_core::offer>& offers) {
    for (const publisher_core::offer& offer : offers) {
      for (auto& node : nodes_) {
        if (node->stream != offer.to || node->host != &host) continue;
        at(now_ + one_way(host.zone, node->zone),
           [this, n = node.get(), stream = offer.to, message = offer.message] { receive(*n, stream, *message); });
      }
    }
  }

  void tick(control_host_model& host) {
    if (is_off(host) || is_frozen(host)) return;
    deliver(host, host.core->make_keepalives(host.quorum, now_));
    host.quorum = has_quorum(host);
    deliver(host, host.core->make_keepalives(host.quorum, now_));
    at(now_ + service_tick + random_delay(3ms), [this, h = &host] { tick(*h); });
  }

  void tick(node_model& node) {
    check_connection(node);
    at(now_ + service_tick + random_delay(3ms), [this, n = &node] { tick(*n); });
  }

  void check_connection(node_model& node) {
    if (node.core->check_connection(now_).empty()) return;
    if (node.core->is_silent(now_)) replace_connection(node, *node.host);
    disconnect(node, std::nullopt);
  }

  void schedule_attempt(node_model& node, std::optional<milliseconds> retry_after) {
    const std::uint64_t generation = ++node.generation;
    node.race.clear();
    const subscriber_core::attempt next = node.core->next_attempt();
    at(now_ + retry_after.value_or(next.delay), [this, n = &node, generation, host_id = next.host_id] {
      if (generation != n->generation) return;
      n->race.begin(now_);
      begin_attempt(*n, host_id);
      if (cut_.parallel) at(n->race.next_step(), [this, n] { step(*n); });
    });
  }

  void step(node_model& node) {
    if (node.race.empty() || now_ < node.race.next_step()) return;
    for (std::size_t left = node.race.due(now_); left != 0; --left) {
      const auto next = node.core->next_parallel_attempt(node.race);
      if (!next) break;
      begin_attempt(node, next->host_id);
    }
    at(node.race.next_step(), [this, n = &node] { step(*n); });
  }

  // A new connection takes two round trips, a stream on it another one.
  void begin_attempt(node_model& node, const std::string& id) {
    const auto host = std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& h) { return host_id(h->zone) == id; });
    const std::uint64_t generation = ++node.generation;
    node.race.add(generation, id, now_);
    most_attempts_ = std::max(most_attempts_, node.race.size());
    const duration connecting = 6 * one_way(node.zone, (*host)->zone) + random_delay(cut_.host_delay);
    at(now_ + connecting, [this, n = &node, h = host->get(), generation] { connect(*n, *h, generation); });
  }

  void fail_attempt(node_model& node, std::uint64_t generation) {
    if (!node.race.remove(generation)) return;
    if (node.race.empty()) disconnect(node, std::nullopt);
  }

  void connect(node_model& node, control_host_model& host, std::uint64_t generation) {
    if (is_off(host) || is_frozen(host) || node.silent.contains(host.zone)) {
      const duration limit = is_off(host) ? duration(connect_limit) : duration(attempt_limit);
      at(now_ + limit, [this, n = &node, h = &host, generation] {
        replace_connection(*n, *h);
        fail_attempt(*n, generation);
      });
      return;
    }
    if (!node.race.contains(generation)) return;
    const std::string id = node.race.host(generation);
    for (const std::string& silent : node.race.win(generation, now_)) node.core->note_silent(silent);
    if (node.lost_at) longest_search_ = std::max(longest_search_, now_ - *node.lost_at);
    node.lost_at.reset();
    node.stream = ++last_stream_;
    node.host = &host;
    node.core->on_connected(id, now_);
    if (const auto busy = host.core->open(node.stream, node.core->request(), now_))
      return deliver(host, {{node.stream, std::make_shared<const control_message>(*busy)}});
    if (node.core->request().want_confirmed) return confirm(host, node.stream);
    if (const auto offer = host.core->first_offer(node.stream, host.quorum, now_)) deliver(host, {*offer});
  }

  // A confirmation takes a round of the quorum; it fails at a host that is cut off, and is tried again for a while.
  void confirm(control_host_model& host, std::uint64_t stream) {
    const bool confirmed = !is_cut(host) && !is_election();
    at(now_ + (confirmed ? confirmation_round : confirmation_retry_delay), [this, h = &host, stream, confirmed] {
      if (!confirmed && h->core->may_await_confirmation(stream, now_)) return confirm(*h, stream);
      if (const auto offer = h->core->first_offer(stream, confirmed, now_)) deliver(*h, {*offer});
    });
  }

  void receive(node_model& node, std::uint64_t stream, const control_message& message) {
    if (stream != node.stream || is_frozen(*node.host) || node.silent.contains(node.host->zone)) return;
    const subscriber_core::actions r = node.core->on_message(message, now_);
    if (r.answer) {
      if (const auto* applied = std::get_if<applied_report>(&*r.answer)) {
        at(now_ + one_way(node.zone, node.host->zone), [this, h = node.host, stream, report = *applied] {
          if (const auto offer = h->core->on_applied(stream, report, now_)) deliver(*h, {*offer});
        });
      }
    }
    if (!r.disconnect_reason.empty()) disconnect(node, r.retry_after);
    if (const auto leave_at = node.core->leave_time()) at(*leave_at, [this, n = &node] { check_connection(*n); });
  }

  void disconnect(node_model& node, std::optional<milliseconds> retry_after) {
    node.core->on_disconnected();
    if (!node.lost_at) node.lost_at = now_;
    if (node.host != nullptr) node.host->core->close(node.stream);
    node.stream = 0;
    schedule_attempt(node, retry_after);
  }

  void silence_connections() {
    for (auto& node : nodes_) {
      for (const auto& host : hosts_) {
        if (random_() % 100 < cut_.silent_percent) node->silent.insert(host->zone);
      }
    }
  }

  void replace_connection(node_model& node, const control_host_model& host) {
    if (cut_.replaces_silent) node.silent.erase(host.zone);
  }

  void reset_streams() {
    for (auto& node : nodes_) {
      const bool reset = random_() % 10 != 0;
      if (reset && node->stream != 0 && !is_frozen(*node->host)) disconnect(*node, std::nullopt);
    }
  }

  void check() {
    version required;
    for (const auto& [when, acknowledged] : acknowledged_) {
      if (when + propagation_bound < now_) required = acknowledged;
    }
    for (auto& node : nodes_) {
      if (node->late || node->core->held_version() >= required) continue;
      node->late = true;
      late_.push_back(node->name + " holds " + node->core->held_version().text() + " instead of " + required.text() +
                      " " + std::to_string(std::chrono::duration_cast<milliseconds>(now_ - cut_.at).count()) +
                      " ms after the cut");
    }
  }

  std::mt19937_64 random_;
  cut_plan cut_;
  std::multimap<time_point, std::function<void()>> events_;
  time_point now_{};
  std::vector<std::unique_ptr<control_host_model>> hosts_;
  std::vector<std::unique_ptr<node_model>> nodes_;
  std::vector<std::pair<time_point, version>> acknowledged_;
  std::vector<std::string> late_;
  std::uint64_t index_ = 0;
  std::uint64_t last_stream_ = 0;
  duration longest_search_{0};
  std::size_t most_attempts_ = 0;
};

}  // namespace heatherdeck

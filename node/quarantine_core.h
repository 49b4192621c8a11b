/// @file
/// Finds the requests that crash the upstreams that run them, from the crashes that all nodes of the mesh report.
///
/// Pure: the caller (`quarantine_service`, or a simulation) passes in the time, lost calls, results of connection
/// checks and updates of other nodes, and gets back checks to make, updates to send and whether the list has changed.
///
///     quarantine_core core({.mesh_address = "10.0.0.4:7001", .random_seed = 7});
///     auto out = core.on_call_lost(now, lost);              // out.checks: does the upstream still accept connections?
///     out = core.on_checked(now, {.target = "u7", .refused = true});   // out.updates: tell the other nodes
///     out = core.receive(now, update);
///     if (out.list_changed) traffic.post(quarantine_changed{core.list()});
///
/// - Crash: an upstream that has lost a call refuses the next connection. All calls that it loses within a second
///   belong to one crash.
/// - Verdict: a request is suspected when it was running at a crash. It is quarantined when it was running at three
///   crashes, or at two of which one has no other request that was running at two: requests that were lost beside it
///   are sent again at the same time and may be lost again. The verdict depends on the set of reports only, not on
///   their order.
/// - Acquittal: a request to which an upstream has responded is no longer suspected of the crashes before.
/// - Memory: a suspicion lasts 60 s, a quarantine 10 min from the request's last crash. One crash within the next 10
/// min
///   renews it.
/// - Spread: new reports go to all nodes of a small mesh at once; in a larger one to some, which pass them on. Once a
///   second everything is sent to one random member, and to members that have just started.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "model/quarantine_messages.h"

namespace heatherdeck {

inline constexpr duration suspicion_period = std::chrono::seconds(60);
inline constexpr duration quarantine_period = std::chrono::minutes(10);
/// Time between two calls of quarantine_core::tick.
inline constexpr duration quarantine_tick_period = std::chrono::seconds(1);

struct quarantine_options {
  std::string mesh_address;       ///< of this process
  std::uint64_t random_seed = 1;  ///< of report ids and of the choice of recipients
};

struct upstream_check {
  std::string target;
  std::string upstream_address;
};

struct outgoing_quarantine_update {
  std::string to;  ///< mesh address
  quarantine_update update;
};

struct quarantine_output {
  std::vector<upstream_check> checks;
  std::vector<outgoing_quarantine_update> updates;
  bool list_changed = false;  ///< `list()` returns another list than before
};

class quarantine_core {
 public:
  explicit quarantine_core(quarantine_options options);

  /// An upstream on this host has ended the connection of a request that it was running.
  quarantine_output on_call_lost(time_point now, const call_lost& lost);

  /// Result of a check that on_call_lost has asked for.
  quarantine_output on_checked(time_point now, const upstream_checked& checked);

  /// An upstream on this host has responded to a request of the list.
  quarantine_output on_answered(time_point now, const listed_call_answered& answered);

  /// Takes the update of another node; what is new is passed on in a large mesh.
  quarantine_output receive(time_point now, const quarantine_update& update);

  /// Replaces the members to which updates are sent; new ones get everything.
  quarantine_output set_members(time_point now, const std::vector<member_record>& members);

  /// Forgets what is too old, and sends everything to one member.
  quarantine_output tick(time_point now);

  /// @return the listed requests; never null.
  const quarantine_list_ptr& list() const { return list_; }

  /// @return the number of crashes that are remembered.
  std::size_t crash_count() const { return crashes_.size(); }

 private:
  struct crash {
    std::string service;
    std::vector<request_fingerprint> running;
    time_point at{};
  };
  /// Calls that an upstream on this host has lost within a short time.
  struct loss {
    std::string service;
    std::vector<request_fingerprint> calls;
    time_point first{};
    std::uint64_t crash_id = 0;  ///< 0: not known to be a crash
    bool checking = false;
  };
  using request_key = std::pair<std::string, request_fingerprint>;  // service and request

  bool add_crash(std::uint64_t id, const std::string& service, const std::vector<request_fingerprint>& running,
                 time_point at);
  bool add_acquittal(const request_key& key, time_point at);
  bool acquitted(const request_key& key, time_point crash_at) const;
  bool named_by_a_crash(const request_key& key) const;
  void update_list(time_point now, quarantine_output& out);
  void spread(const quarantine_update& update, std::size_t recipients, quarantine_output& out);
  void send_everything(time_point now, const std::string& to, quarantine_output& out) const;
  crash_report make_report(std::uint64_t id, const crash& known, time_point now) const;

  std::string mesh_address_;
  std::mt19937_64 random_;
  std::map<std::string, std::uint64_t> members_;  ///< mesh address to incarnation, without this process
  std::map<std::string, loss> losses_;            ///< by target
  std::map<std::uint64_t, crash> crashes_;        ///< by report id
  std::map<request_key, time_point> acquittals_;  ///< time of the last response
  std::set<request_key> guilty_;                  ///< by the remembered crashes; also after the quarantine
  quarantine_list_ptr list_;
};

}  // namespace heatherdeck

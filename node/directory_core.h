/// @file
/// Membership and endpoint discovery by gossip, a SWIM-like protocol with anti-entropy; see docs/design.md section 5.5.
///
/// The class is pure: it has no socket, clock, codec or thread. The caller (`directory_service`, or a simulated network
/// in tests) passes in the present time, received messages and local changes, and gets back the datagrams to send and
/// whether the membership view has changed.
///
///     directory_core core({.self = record, .seeds = {"10.0.0.9:7001"}, .random_seed = 42});
///     send(core.start(now));
///     send(core.tick(now));                            // every directory_period
///     send(core.receive(now, "10.0.0.4:7001", message));
///     send(core.set_endpoint(now, endpoint));
///     send(core.keep_departure(now, departure, request));
///
/// - Dissemination: recently changed records go to 3 random members every 200 ms, for about log2(n) rounds; each copy
///   that is received from another member takes one round off.
/// - Anti-entropy: once a second one member is probed (80% from the own availability zone, 15% from the own region, 5%
///   from elsewhere); the two compare a summary of all members' record versions and exchange only what differs.
/// - Failure detection: a member that does not acknowledge a probe within 1 s, sent directly or through two other
///   members, becomes suspect (about 2 s after its process ended) and is removed 4 s later. A suspected member that is
///   still running refutes the suspicion by publishing its record with a higher sequence.
/// - Departures: a target on this host that drains or has left is published in the own record, and the record is sent
/// in
///   probes to a few members, the seeds first, whose answers confirm it. A process that is started again gets the
///   departures of the earlier one in the answers to its probes.
/// - Rejoin: every tenth probe (every probe while no other member is known) goes to a removed member or a seed that is
///   not a member, if there is one, so that the two sides of a healed partition find each other again.
#pragma once

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/departure_table.h"
#include "node/directory_table.h"

namespace heatherdeck {

/// Time between two calls of `directory_core::tick`, and between two rounds of dissemination.
inline constexpr duration directory_period = milliseconds(200);

struct directory_options {
  member_record self;              ///< this process; its incarnation must rise with each process start
  std::vector<std::string> seeds;  ///< mesh addresses ("ip:port") to contact first
  std::uint64_t random_seed = 1;   ///< of the choice of members to contact
};

struct outgoing_gossip {
  std::string to;  ///< mesh address ("ip:port")
  gossip_message message;
};

struct directory_output {
  std::vector<outgoing_gossip> datagrams;
  bool view_changed = false;  ///< `view()` now returns something else than before the call
  std::vector<departure_table::decided_request> decided_departures;
  std::vector<target_departure> adopted_departures;  ///< recorded by an earlier process of this host
};

class directory_core {
 public:
  explicit directory_core(directory_options options);

  /// Called once, before anything else: probes all seeds.
  directory_output start(time_point now);

  /// Called every `directory_period`: disseminates, sends probes and handles their timeouts.
  directory_output tick(time_point now);

  /// Handles a message.
  /// @param from_address mesh address that the datagram came from; replies go there.
  directory_output receive(time_point now, const std::string& from_address, const gossip_message& message);

  /// Publishes a change of an upstream on this host; an endpoint whose state is `gone` is removed from the record.
  directory_output set_endpoint(time_point now, const endpoint_record& endpoint);

  /// Publishes that a target on this host drains or has left, and asks other members to confirm that they know.
  /// @param request returned in `decided_departures` of this or a later output, once it is decided.
  directory_output keep_departure(time_point now, const target_departure& departure, std::uint64_t request);

  /// Replaces the seeds; the new mesh addresses are probed like the configured ones from now on.
  void set_seeds(std::vector<std::string> addresses) { seeds_ = std::move(addresses); }

  /// Publishes that this process is draining: it takes no new work from now on.
  directory_output set_draining(time_point now);

  /// Announces to some members (8 at most) that this process leaves the mesh; nothing else is sent afterwards.
  directory_output leave(time_point now);

  /// @return copies of the records of all members that are not removed, this process included, ordered by node id.
  member_list_ptr view() const;

  const std::string& node_id() const { return self_.node_id; }

  const directory_table& table() const { return table_; }

  /// @return the number of records that are still being disseminated.
  std::size_t recent_record_count() const { return recent_.size(); }

 private:
  struct probe_state {
    std::string node_id;  ///< empty for a seed whose id is not known
    std::string address;
    time_point sent;
    bool relayed = false;                 ///< indirect probes have been sent, or are not wanted
    std::uint64_t departure_request = 0;  ///< confirmed by the answer; 0: none
  };
  struct relay_state {
    std::string requester_address;  ///< mesh address of the member that asked for the indirect probe
    std::uint32_t nonce = 0;        ///< of the original probe
    time_point received_at;
  };

  void publish_self(time_point now, directory_output& out);
  bool apply_record(time_point now, const member_record_ptr& record, bool propagate, directory_output& out);
  void suspect(time_point now, const member_record_version& status, bool propagate, directory_output& out);
  void refute_suspicion(time_point now, const member_record_version& status, directory_output& out);
  void adopt_departures(time_point now, const std::vector<target_departure>& departures, directory_output& out);
  std::vector<std::string> pick_departure_keepers();
  void notify_suspected_sender(const std::string& address, const std::string& node_id, directory_output& out);

  void on_probe(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_answer(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_sync(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_records(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_relay(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_suspicion(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void ignore(time_point now, const std::string& address, const gossip_message& m, directory_output& out);

  void probe(time_point now, directory_output& out);
  probe_state& send_probe(time_point now, const std::string& address, const std::string& node_id,
                          directory_output& out);
  void handle_probe_timeouts(time_point now, directory_output& out);
  void remove_expired_suspects(time_point now, directory_output& out);
  void propagate_recent(directory_output& out);
  void send_records(const std::string& address, std::vector<member_record_ptr> records, directory_output& out) const;
  void request_buckets(const std::string& address, const std::vector<std::uint32_t>& theirs, directory_output& out);
  bool pick_lost_address(std::string& address);

  void mark_recent(const std::string& node_id);
  member_record_ptr pick_probe_target();
  member_record_ptr pick_random_member();
  gossip_message make_message(gossip_kind kind) const;

  using handler = void (directory_core::*)(time_point, const std::string&, const gossip_message&, directory_output&);
  static const handler handlers[];

  member_record self_;
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  directory_table table_;
  departure_table departures_;
  std::unordered_map<std::string, int> recent_;            ///< node id to remaining rounds of dissemination
  std::unordered_map<std::uint32_t, probe_state> probes_;  ///< own probes without an acknowledgement yet, by nonce
  std::unordered_map<std::uint32_t, relay_state> relays_;  ///< probes made for other members, by nonce
  std::unordered_map<std::string, time_point> suspected_;  ///< node id to the time when the suspicion began
  time_point next_probe_{};
  time_point join_deadline_{};
  std::uint64_t probe_count_ = 0;
  bool joined_ = false;  ///< the table has equalled another member's once, or `join_timeout` has passed
  bool left_ = false;    ///< `leave` has been called
};

}  // namespace heatherdeck

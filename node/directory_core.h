/// @file
/// Membership and endpoints by gossip: a pure class under the rules of docs/design.md section 5.5.
///
/// It has no socket, clock, codec or thread. Time, messages and local changes go in; datagrams to send come out, and
/// the sign that the view has changed.
///
///     directory_core core({.self = record, .seeds = {"10.0.0.9:7001"}, .random_seed = 42});
///     send(core.start(now));
///     send(core.tick(now));                            // every directory_period
///     send(core.receive(now, "10.0.0.4:7001", message));
///     send(core.set_endpoint(now, endpoint));
///
/// - Recent changes go to 3 random members every 200 ms, for about log2(n) rounds; repeated receipts shorten that.
/// - Once a second one member is probed (own zone 80%, region 15%, others 5%); both compare a sum over all members and
///   exchange only what differs.
/// - A member that does not answer for 1 s, directly or through two others, is suspected (about 2 s after its end) and
///   removed 4 s later. A suspected member that lives renews its record.
/// - Members that were removed and seeds are probed from time to time, so that two halves of a network meet again.
#pragma once

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/directory_table.h"

namespace heatherdeck {

inline constexpr duration directory_period = milliseconds(200);

struct directory_options {
  member_record self;              ///< with the incarnation of this start
  std::vector<std::string> seeds;  ///< mesh addresses
  std::uint64_t random_seed = 1;
};

struct outgoing_gossip {
  std::string to;  ///< mesh address
  gossip_message message;
};

struct directory_output {
  std::vector<outgoing_gossip> datagrams;
  bool view_changed = false;
};

class directory_core {
 public:
  explicit directory_core(directory_options options);

  directory_output start(time_point now);
  directory_output tick(time_point now);
  directory_output receive(time_point now, const std::string& from_address, const gossip_message& message);

  /// The upstream on this host has changed; one whose state is `gone` is taken out.
  directory_output set_endpoint(time_point now, const endpoint_record& endpoint);

  /// Looks for members at these mesh addresses from now on.
  void use_seeds(std::vector<std::string> addresses) { seeds_ = std::move(addresses); }

  /// This process takes no new work from now on.
  directory_output set_draining(time_point now);

  /// Tells some members that this process leaves; nothing else is sent afterwards.
  directory_output leave(time_point now);

  /// @return all members that are not removed, this process included, ordered by id.
  directory_view_ptr view() const;

  const directory_table& table() const { return table_; }
  std::size_t recent_records() const { return recent_.size(); }

 private:
  struct probe_state {
    std::string node_id;  ///< empty for a seed whose id is not known
    std::string address;
    time_point sent;
    bool relayed = false;
  };
  struct relay_state {
    std::string asker;  ///< address
    std::uint32_t nonce = 0;
    time_point since;
  };

  void renew_self(time_point now, directory_output& out);
  bool learn(time_point now, const member_record_ptr& record, bool spread, directory_output& out);
  void suspect(time_point now, const member_status& status, bool spread, directory_output& out);
  void answer_suspicion(time_point now, const member_status& status, directory_output& out);
  void check_sender(const std::string& address, const std::string& node_id, directory_output& out);

  void on_probe(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_answer(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_sync(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_records(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_relay(time_point now, const std::string& address, const gossip_message& m, directory_output& out);
  void on_suspicion(time_point now, const std::string& address, const gossip_message& m, directory_output& out);

  void probe(time_point now, directory_output& out);
  void send_probe(time_point now, const std::string& address, const std::string& node_id, directory_output& out);
  void check_probes(time_point now, directory_output& out);
  void check_suspects(time_point now, directory_output& out);
  void spread_recent(directory_output& out);
  void send_records(const std::string& address, std::vector<member_record_ptr> records, directory_output& out) const;
  void request_buckets(const std::string& address, const std::vector<std::uint32_t>& theirs, directory_output& out);
  bool lost_member_address(std::string& address);

  void mark_recent(const std::string& node_id);
  member_record_ptr pick_probed();
  member_record_ptr pick_any();
  gossip_message make(gossip_kind kind) const;

  using handler = void (directory_core::*)(time_point, const std::string&, const gossip_message&, directory_output&);
  static const handler handlers[];

  member_record self_;
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  directory_table table_;
  std::unordered_map<std::string, int> recent_;  ///< id to rounds left
  std::unordered_map<std::uint32_t, probe_state> probes_;
  std::unordered_map<std::uint32_t, relay_state> relays_;
  std::unordered_map<std::string, time_point> suspected_;  ///< id to the time of the suspicion
  time_point next_probe_{};
  time_point join_until_{};
  std::uint64_t probe_count_ = 0;
  bool joined_ = false;  ///< the table has been equal to another member's once
  bool left_ = false;
};

}  // namespace heatherdeck

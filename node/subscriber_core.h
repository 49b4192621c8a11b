/// @file
/// Decides which document updates a node accepts and which control host it subscribes to. Pure: no I/O, no codec.
/// Called by `subscriber_service`.
///
///     BOOST_LEAF_AUTO(core, subscriber_core::make(settings, seed));
///     subscriber_core::attempt next = core.next_attempt();      // connect after next.delay
///     core.on_connected(host_id, now);                          // the first host to respond; send core.request()
///     subscriber_core::actions r = core.on_message(message, now);
///     if (r.document) traffic.post(update_document{r.document});
///
/// Rules: a document whose version is not greater than that of the held one is ignored; a document is accepted as a
/// whole or not at all; the version of the first document must be at or above one that a quorum of control hosts has
/// confirmed after this process started, because the process does not remember which version it used before. A host
/// whose stated version stays another than the held one for two keep-alive periods is left, although it goes on
/// sending.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "model/compiled_document.h"
#include "model/directory_messages.h"
#include "model/distribution_messages.h"
#include "model/document_compiler.h"
#include "model/settings.h"
#include "node/source_race.h"

namespace heatherdeck {

class subscriber_core {
 public:
  /// A control host to connect to, and how long to wait before.
  struct attempt {
    std::string host_id;
    std::string mesh_address;
    milliseconds delay{0};
  };

  /// What the service has to do after a message.
  struct actions {
    compiled_document_ptr document;           ///< use this document from now on; may be null
    std::optional<node_message> answer;       ///< send this to the control host
    std::string disconnect_reason;            ///< not empty: disconnect from this control host
    std::optional<version> ignored;           ///< the offered version that is not used and not refused either
    std::optional<milliseconds> retry_after;  ///< delay before the next attempt in place of the usual backoff
  };

  struct counters {
    std::uint64_t applied = 0;              ///< documents accepted
    std::uint64_t refused = 0;              ///< documents rejected: wrong digest, or not valid
    std::uint64_t ignored_old = 0;          ///< updates whose version is not greater than the held one
    std::uint64_t ignored_unconfirmed = 0;  ///< updates while no document is held, not known to be confirmed
    std::uint64_t disconnects = 0;          ///< streams to control hosts that ended
  };

  /// @param s uses id, availability_zone, region, keepalive, control_hosts and seed (of the jitter; 0: random).
  static subscriber_core make(const settings& s);

  /// Replaces the list of control hosts with those that the directory knows; a member list without any is ignored.
  void set_members(const std::vector<member_record>& members);

  /// Starts a new connection attempt.
  /// @return the next host in order of distance, without those that have just stated that they have no quorum, and the
  ///         delay before it: exponential backoff with full jitter, or none for the first attempt of a process without
  ///         a document and after a host without a quorum, where the node has waited on the old stream.
  attempt next_attempt();

  /// @return one more host to connect to at once, because those of the race have not responded yet; nothing if there is
  ///         no other.
  std::optional<attempt> next_parallel_attempt(const source_race& race);

  /// Called when a control host has responded to an attempt.
  void on_connected(const std::string& host_id, time_point now);

  /// Called for a host that has not responded for a while, although an attempt to reach it is under way. It is tried
  /// after the others, until the end of the list.
  void note_silent(const std::string& host_id);

  /// @return the first message on a new stream.
  subscribe_request request() const;

  /// Handles a message of the control host.
  actions on_message(const control_message& message, time_point now);

  /// Called when the stream has ended or could not be opened.
  void on_disconnected();

  /// Called from time to time.
  /// @return why to disconnect: the control host sends nothing, has no quorum, has an older document or doesn't send
  /// the one that it states to have, or the nearest one should be tried again; empty to stay.
  std::string check_connection(time_point now);

  /// @return whether the control host of the open stream has sent nothing for two keep-alive periods.
  bool is_silent(time_point now) const;

  /// @return when to call check_connection besides; nothing while the control host has a quorum.
  std::optional<time_point> leave_time() const { return leave_at_; }

  /// @return the version of the held document; none at first.
  const version& held_version() const { return state_.document_version; }
  bool has_document() const { return compiled_ != nullptr; }
  const counters& counts() const { return counts_; }
  /// @return id of the control host that the node is subscribed to; empty when it is not subscribed.
  const std::string& source() const { return source_; }
  /// @return false while the control host of the open stream states that it has no quorum.
  bool source_has_quorum() const { return !leave_at_; }
  /// @return time since the control host of the open stream sent a message; zero when the node is not subscribed.
  duration time_since_last_message(time_point now) const {
    return source_.empty() ? duration::zero() : now - last_message_at_;
  }

 private:
  struct candidate {
    std::string host_id;
    std::string mesh_address;
    std::uint32_t distance = 0;  ///< 0 own availability zone, 1 own region, 2 elsewhere
  };

  subscriber_core(const settings& s, std::uint64_t seed)
      : node_id_(s.id), zone_(s.availability_zone), region_(s.region), keepalive_(s.keepalive), random_(seed) {}

  std::uint32_t distance_of(const std::string& zone, const std::string& region) const;
  void sort_sources();

  actions on_offer(const keepalive& message);
  actions on_offer(const snapshot_offer& offer);
  actions on_offer(const delta_offer& offer);
  actions on_offer(const busy_notice& notice);
  // Responses to requests of other services; the service passes them on.
  static actions on_offer(const permit_answer&) { return {}; }
  static actions on_offer(const departure_receipt&) { return {}; }
  static actions on_offer(const departure_list&) { return {}; }
  bool should_accept(const version& offered);
  bool is_unconfirmed(const version& offered) const;
  void confirm(const version& confirmed);
  const candidate& next_source();
  void begin_round();
  /// @return whether the host of the open stream, or of the last attempt, is the nearest one.
  bool at_nearest() const { return attempted_host_id_ == nearest_host_id_; }
  void note_confirmation(const version& offered, bool confirmed);
  void note_stated_version(const control_message& message, time_point now);
  std::string check_progress(time_point now) const;
  void mark_quorum_seen();
  void mark_quorum_missing();
  std::string check_quorum(time_point now);
  actions accept(document_state next, const digest& expected);
  actions refuse(const version& offered, error reason);
  milliseconds jitter(milliseconds max_delay);

  std::string node_id_;
  std::string zone_;
  std::string region_;
  milliseconds keepalive_;
  std::mt19937_64 random_;
  std::vector<candidate> sources_;
  std::string nearest_host_id_;
  std::set<std::string> silent_hosts_;  ///< sorted to the end of sources_
  std::string attempted_host_id_;       ///< id of the host of the last attempt, or of the one that has responded
  std::size_t next_index_ = 0;          ///< index into sources_ of the next attempt; its size: the round is over
  std::uint32_t failed_attempts_ = 0;   ///< attempts since a control host last showed that it has a quorum
  bool first_message_ = true;           ///< nothing has arrived on the present stream yet
  bool quorum_seen_ = false;            ///< the control host of the last attempt has shown that it has a quorum
  std::string source_;                  ///< id of the control host of the open stream; empty when there is none
  time_point last_message_at_;
  std::optional<time_point> without_quorum_since_;  ///< when a host first stated that it has none; kept across streams
  std::optional<time_point> leave_at_;              ///< time to leave the present host because it has no quorum
  bool leaves_without_quorum_ = false;              ///< the delay before the next attempt has passed on the old stream
  std::set<std::string> hosts_without_quorum_;      ///< ids of hosts that have stated it in this round of the list
  std::uint32_t rounds_without_quorum_ = 0;         ///< ended rounds since a host had a quorum
  version stated_version_;                          ///< version of the document of the present host, as it last stated
  std::optional<time_point> differs_since_;         ///< since when the held version has not been stated_version_
  version refused_version_;                         ///< the last version that this node refused
  time_point retry_nearest_at_;                     ///< time to try the nearest control host again
  document_state state_;
  digest digest_;
  compiled_document_ptr compiled_;
  document_compiler compiler_;  ///< keeps the parsed sections, so that a change parses only the changed section
  std::optional<version> confirmed_version_;  ///< highest version confirmed by a quorum since the process started
  counters counts_;
};

}  // namespace heatherdeck

/// @file
/// Decides what each subscribed node is sent. Pure: no I/O, no codec, time is an argument.
///
/// The publisher service owns one core, feeds it with the ledger's states and the nodes' messages, and sends the offers
/// that it returns:
///
///     for (const auto& offer : core.set_document(state, now)) send(offer);
///     if (auto offer = core.on_applied(id, report, now)) send(*offer);
///
/// Rules: a node has at most one unanswered offer, so a slow node gets one combined delta instead of a queue; a node
/// that holds the current version is only kept alive; a node that holds a later version than this host is sent nothing.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "model/document_delta.h"
#include "model/ledger_messages.h"
#include "model/publisher_messages.h"

namespace heatherdeck {

class publisher_core {
 public:
  struct limits {
    std::size_t handshakes = 64;  ///< subscriptions that wait for their first offer at a time
    milliseconds keepalive{5'000};
    milliseconds retry_spread{2'000};  ///< a refused node is told to come back within this time
    /// A node without a document waits this long here for a confirmation. During an election no other host could
    /// confirm either; shorter than the two keep-alives (1 s) after which a node leaves a silent host.
    milliseconds first_patience{800};
  };

  /// One message for one subscription. Subscriptions that get equal content share the message.
  struct offer {
    std::uint64_t to = 0;
    std::shared_ptr<const control_message> message;
  };

  /// @param seed of the spread of retry times.
  publisher_core(const limits& l, std::uint64_t seed) : limits_(l), random_(seed) {}

  /// Takes a newer state; an older or equal one is ignored.
  /// @return offers for every node that waits for none.
  std::vector<offer> set_document(document_state_ptr next, time_point now);

  /// Enters a subscription.
  /// @return a busy notice when too many subscriptions wait for their first offer; the node is not entered then.
  std::optional<busy_notice> open(std::uint64_t id, const subscribe_request& request, time_point now);

  /// @return the first offer or keep-alive of a subscription; nothing when the id is unknown.
  /// @param confirmed true when a quorum has confirmed the state after the node asked.
  std::optional<offer> first_offer(std::uint64_t id, bool confirmed, time_point now);

  /// @return true while a node without a document may go on waiting here after a confirmation has failed.
  bool may_wait(std::uint64_t id, time_point now) const;

  /// @return the next offer, when the document has changed in the meantime.
  std::optional<offer> on_applied(std::uint64_t id, const applied_report& report, time_point now);

  /// @return a snapshot when the node's result did not match the digest, else nothing: the node waits for the next
  /// change.
  std::optional<offer> on_refused(std::uint64_t id, const refused_report& report, time_point now);

  /// @return keep-alives for quiet subscriptions; for all of them when the quorum has just been lost or found.
  std::vector<offer> keep_alive(bool quorum, time_point now);

  void close(std::uint64_t id);

  /// @return true when every subscription acts on `wanted` or later and this host knows that version.
  bool all_applied(const version& wanted) const;

  std::vector<subscriber_status> statuses(time_point now) const;
  version current() const { return state_ ? state_->current : version{}; }
  std::size_t size() const { return subscriptions_.size(); }
  std::size_t waiting() const { return waiting_; }

 private:
  struct subscription {
    std::string node_id;
    std::string availability_zone;
    version applied;
    digest applied_digest;
    time_point applied_since;
    time_point last_sent;
    std::optional<version> outstanding;
    std::optional<error> refused;
    bool first = true;  ///< has not been sent its first offer
  };

  offer make_offer(std::uint64_t id, subscription& s, bool confirmed, bool whole, time_point now);
  std::shared_ptr<const control_message> message_for(const subscription& s, bool confirmed, bool whole);
  std::shared_ptr<const control_message> snapshot(bool confirmed);
  std::size_t snapshot_bytes() const;
  static std::size_t delta_bytes(const document_delta& delta);
  void end_first(subscription& s);

  limits limits_;
  document_state_ptr state_;
  digest digest_;
  document_history history_;
  std::map<std::uint64_t, subscription> subscriptions_;
  std::map<std::pair<version, bool>, std::shared_ptr<const control_message>> deltas_;  ///< by base, for state_
  std::shared_ptr<const control_message> snapshots_[2];                                ///< by confirmed, for state_
  std::size_t waiting_ = 0;
  bool quorum_ = false;
  std::mt19937_64 random_;
};

}  // namespace heatherdeck

/// @file
/// Decides which document offers and keep-alives are sent to each subscribed node. Pure: no I/O, no codec, time is an
/// argument.
///
/// The publisher service owns one core, passes it the document states of the ledger and the messages of the nodes, and
/// sends the offers that it returns:
///
///     for (const auto& offer : core.set_document(state, now)) send(offer);
///     if (auto offer = core.on_applied(id, report, now)) send(*offer);
///
/// Rules: a node has at most one unanswered offer, so a slow node gets one combined delta instead of a queue of deltas;
/// a node that doesn't answer an offer in time is disconnected, as nothing else would be sent to it;
/// a node that has the current version gets keep-alives only; a node with a later version than this host gets no offer.
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
    std::size_t max_pending_first_offers = 64;  ///< subscriptions that may wait for their first offer at a time
    milliseconds keepalive{5'000};              ///< a subscription without a message for this long gets a keep-alive
    milliseconds tick_period{500};              ///< time between two calls of make_keepalives
    milliseconds max_retry_delay{2'000};        ///< a node over the limit is told to retry after 10% to 100% of this
    /// How long a node without a document waits on this host for a confirmed offer, although confirmations fail: during
    /// an election no other host could confirm either. Shorter than the two keep-alives (1 s) after which a node leaves
    /// a silent host.
    milliseconds first_confirmation_timeout{800};
    /// Calls of take_stalled after which an unanswered offer counts as lost. Calls instead of time, because after a
    /// suspension of this process only one call is due, and the answers that came meanwhile are read before the next.
    std::uint32_t answer_checks = 3;
  };

  /// A subscription that has stopped moving: its node hasn't answered an offer.
  struct stalled_subscription {
    std::uint64_t id = 0;
    std::string node_id;
    version offered;
    version applied;
  };

  /// One message to one subscription. Subscriptions that get the same content share the message.
  struct offer {
    std::uint64_t to = 0;  ///< id of the subscription
    std::shared_ptr<const control_message> message;
  };

  /// @param seed of the random retry delays.
  publisher_core(const limits& l, std::uint64_t seed) : limits_(l), random_(seed) {}

  /// Takes a newer state; an older or equal one is ignored.
  /// @return offers for the older nodes that have no unanswered offer.
  std::vector<offer> set_document(document_state_ptr next, time_point now);

  /// Adds a subscription.
  /// @return a busy notice when too many subscriptions wait for their first offer; the subscription is not added then.
  std::optional<busy_notice> open(std::uint64_t id, const subscribe_request& request, time_point now);

  /// @param confirmed true when a quorum has confirmed the state after the node subscribed.
  /// @return the first offer or keep-alive of a subscription; nothing when the id is unknown.
  std::optional<offer> first_offer(std::uint64_t id, bool confirmed, time_point now);

  /// @return true while a node without a document may wait for another confirmation after one has failed.
  bool may_await_confirmation(std::uint64_t id, time_point now) const;

  /// Records that the node has applied a version.
  /// @return the next offer when the document has changed in the meantime.
  std::optional<offer> on_applied(std::uint64_t id, const applied_report& report, time_point now);

  /// Records that the node has refused an offer.
  /// @return a snapshot after the first digest mismatch; the next offer when the document has changed in the meantime;
  /// else nothing until the next change.
  std::optional<offer> on_refused(std::uint64_t id, const refused_report& report, time_point now);

  /// @param quorum whether this host hears from a leader that has a quorum.
  /// @return keep-alives for subscriptions without a recent message; for all of them when `quorum` has changed. One
  /// that is due in less than half a tick is sent now, not a tick later.
  std::vector<offer> make_keepalives(bool quorum, time_point now);

  /// Called once a tick. The node is expected to subscribe again after its stream has been reset.
  /// @return the subscriptions whose offer has been unanswered for `answer_checks` calls; they are removed.
  std::vector<stalled_subscription> take_stalled();

  /// Removes a subscription.
  void close(std::uint64_t id);

  /// @return true when this host has `wanted` or a later version and every subscription has applied it.
  bool all_applied(const version& wanted) const;

  /// @return how many subscriptions have an unanswered offer.
  std::size_t unanswered_offers() const;

  /// @return the version that every subscription has applied, once for each; nothing while one is behind.
  std::optional<version> take_confirmed_version();

  std::vector<subscriber_status> statuses(time_point now) const;
  version current() const { return state_ ? state_->document_version : version{}; }
  std::size_t size() const { return subscriptions_.size(); }
  /// @return how many subscriptions wait for their first offer.
  std::size_t waiting() const { return pending_first_offers_; }

 private:
  struct subscription {
    std::string node_id;
    std::string availability_zone;
    version applied;
    digest applied_digest;
    time_point applied_since;
    time_point last_sent;
    std::optional<version> outstanding;
    std::uint32_t checks_unanswered = 0;  ///< calls of take_stalled since that offer
    std::optional<error> refused;
    bool first_offer_pending = true;  ///< no offer or keep-alive has been sent yet
  };

  offer make_offer(std::uint64_t id, subscription& s, bool confirmed, bool force_snapshot, time_point now);
  std::shared_ptr<const control_message> message_for(const subscription& s, bool confirmed, bool force_snapshot);
  std::shared_ptr<const control_message> snapshot(bool confirmed);
  std::size_t snapshot_bytes() const;
  static std::size_t delta_bytes(const document_delta& delta);
  void end_first_offer(subscription& s);

  limits limits_;
  document_state_ptr state_;
  digest digest_;
  document_history history_;
  std::map<std::uint64_t, subscription> subscriptions_;
  // Messages that lead to state_.
  std::map<std::pair<version, bool>, std::shared_ptr<const control_message>> deltas_;  ///< by base and `confirmed`
  std::shared_ptr<const control_message> snapshots_[2];                                ///< by `confirmed`
  std::size_t pending_first_offers_ = 0;
  version taken_confirmed_version_;
  bool quorum_ = false;
  std::mt19937_64 random_;
};

}  // namespace heatherdeck

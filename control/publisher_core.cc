// One record per subscription holds the version that the node has applied and the offer that it has not answered. A
// delta from a base version is computed once per document version and shared by all nodes on that base. Invariants: the
// version of an offer is greater than the node's; at most one offer per node is unanswered. Cost of a change: one delta
// per distinct base version, and one map iteration per subscription.
#include "control/publisher_core.h"

#include <algorithm>

#include "model/distributed_document.h"
#include "model/document_digest.h"

namespace heatherdeck {

std::vector<publisher_core::offer> publisher_core::set_document(document_state_ptr next, time_point now) {
  std::vector<offer> offers;
  if (!next || (state_ && next->document_version <= state_->document_version)) return offers;
  next = distributed_part(std::move(next));
  if (state_) history_.record(*state_, *next);
  state_ = std::move(next);
  digest_ = digest_of(*state_);
  deltas_.clear();
  snapshots_[0] = snapshots_[1] = nullptr;
  for (auto& [id, s] : subscriptions_) {
    if (s.first_offer_pending || s.outstanding || s.applied >= state_->document_version) continue;
    offers.push_back(make_offer(id, s, false, false, now));
  }
  return offers;
}

std::optional<busy_notice> publisher_core::open(std::uint64_t id, const subscribe_request& request, time_point now) {
  if (pending_first_offers_ >= limits_.max_pending_first_offers) {
    std::uniform_int_distribution<std::int64_t> delay(limits_.max_retry_delay.count() / 10,
                                                      limits_.max_retry_delay.count());
    return busy_notice{milliseconds(delay(random_))};
  }
  subscription s;
  s.node_id = request.node_id;
  s.availability_zone = request.availability_zone;
  s.applied = request.held_version;
  s.applied_digest = request.held_digest;
  s.applied_since = now;
  s.last_sent = now;
  subscriptions_.insert_or_assign(id, std::move(s));
  ++pending_first_offers_;
  return std::nullopt;
}

bool publisher_core::may_await_confirmation(std::uint64_t id, time_point now) const {
  const auto found = subscriptions_.find(id);
  if (found == subscriptions_.end() || !found->second.first_offer_pending) return false;
  return found->second.applied.none() && now - found->second.applied_since < limits_.first_confirmation_timeout;
}

void publisher_core::end_first_offer(subscription& s) {
  if (!s.first_offer_pending) return;
  s.first_offer_pending = false;
  --pending_first_offers_;
}

std::optional<publisher_core::offer> publisher_core::first_offer(std::uint64_t id, bool confirmed, time_point now) {
  const auto found = subscriptions_.find(id);
  if (found == subscriptions_.end()) return std::nullopt;
  subscription& s = found->second;
  end_first_offer(s);
  // A node without a document cannot use an unconfirmed one, so it gets a keep-alive, which is smaller.
  const bool unusable = s.applied.none() && !confirmed;
  if (unusable || !state_ || s.applied >= state_->document_version) {
    s.last_sent = now;
    return offer{id, std::make_shared<const control_message>(keepalive{current(), confirmed})};
  }
  return make_offer(id, s, confirmed, false, now);
}

std::optional<publisher_core::offer> publisher_core::on_applied(std::uint64_t id, const applied_report& report,
                                                                time_point now) {
  const auto found = subscriptions_.find(id);
  if (found == subscriptions_.end()) return std::nullopt;
  subscription& s = found->second;
  s.outstanding.reset();
  s.refused.reset();
  if (report.applied > s.applied) {
    s.applied = report.applied;
    s.applied_since = now;
  }
  if (!state_ || s.applied >= state_->document_version) return std::nullopt;
  return make_offer(id, s, false, false, now);
}

std::optional<publisher_core::offer> publisher_core::on_refused(std::uint64_t id, const refused_report& report,
                                                                time_point now) {
  const auto found = subscriptions_.find(id);
  if (found == subscriptions_.end()) return std::nullopt;
  subscription& s = found->second;
  const bool retry_with_snapshot = report.reason.kind == error_kind::corrupt && !s.refused;
  s.outstanding.reset();
  s.refused = report.reason;
  if (!state_ || s.applied >= state_->document_version) return std::nullopt;
  if (retry_with_snapshot) return make_offer(id, s, false, true, now);
  if (report.refused < state_->document_version) return make_offer(id, s, false, false, now);
  return std::nullopt;
}

std::vector<publisher_core::offer> publisher_core::make_keepalives(bool quorum, time_point now) {
  const bool changed = quorum != quorum_;
  quorum_ = quorum;
  std::vector<offer> offers;
  std::shared_ptr<const control_message> message;
  for (auto& [id, s] : subscriptions_) {
    if (s.first_offer_pending || (!changed && now - s.last_sent + limits_.tick_period / 2 < limits_.keepalive))
      continue;
    if (!message) message = std::make_shared<const control_message>(keepalive{current(), quorum});
    s.last_sent = now;
    offers.push_back({id, message});
  }
  return offers;
}

std::vector<publisher_core::stalled_subscription> publisher_core::take_stalled() {
  std::vector<stalled_subscription> stalled;
  for (auto& [id, s] : subscriptions_) {
    if (!s.outstanding || ++s.checks_unanswered < limits_.answer_checks) continue;
    stalled.push_back({id, s.node_id, *s.outstanding, s.applied});
  }
  for (const stalled_subscription& one : stalled) close(one.id);
  return stalled;
}

void publisher_core::close(std::uint64_t id) {
  const auto found = subscriptions_.find(id);
  if (found == subscriptions_.end()) return;
  end_first_offer(found->second);
  subscriptions_.erase(found);
}

bool publisher_core::all_applied(const version& wanted) const {
  return current() >= wanted && std::all_of(subscriptions_.begin(), subscriptions_.end(),
                                            [&](const auto& entry) { return entry.second.applied >= wanted; });
}

std::size_t publisher_core::unanswered_offers() const {
  return static_cast<std::size_t>(std::count_if(subscriptions_.begin(), subscriptions_.end(), [](const auto& entry) {
    return entry.second.outstanding.has_value();
  }));
}

std::optional<version> publisher_core::take_confirmed_version() {
  if (current() <= taken_confirmed_version_ || !all_applied(current())) return std::nullopt;
  return taken_confirmed_version_ = current();
}

std::vector<subscriber_status> publisher_core::statuses(time_point now) const {
  std::vector<subscriber_status> rows;
  rows.reserve(subscriptions_.size());
  for (const auto& [id, s] : subscriptions_) {
    rows.push_back({s.node_id, s.availability_zone, s.applied,
                    std::chrono::duration_cast<milliseconds>(now - s.applied_since), s.refused});
  }
  return rows;
}

publisher_core::offer publisher_core::make_offer(std::uint64_t id, subscription& s, bool confirmed, bool force_snapshot,
                                                 time_point now) {
  s.outstanding = state_->document_version;
  s.checks_unanswered = 0;
  s.last_sent = now;
  return {id, message_for(s, confirmed, force_snapshot)};
}

std::shared_ptr<const control_message> publisher_core::message_for(const subscription& s, bool confirmed,
                                                                   bool force_snapshot) {
  if (force_snapshot || s.applied.none()) return snapshot(confirmed);
  auto& cached = deltas_[{s.applied, confirmed}];
  if (!cached) {
    auto delta = history_.delta_since(s.applied, *state_);
    if (delta && delta_bytes(*delta) < snapshot_bytes()) {
      cached = std::make_shared<const control_message>(delta_offer{std::move(*delta), confirmed});
    } else {
      cached = snapshot(confirmed);
    }
  }
  return cached;
}

std::shared_ptr<const control_message> publisher_core::snapshot(bool confirmed) {
  auto& cached = snapshots_[confirmed ? 1 : 0];
  if (!cached) cached = std::make_shared<const control_message>(snapshot_offer{*state_, digest_, confirmed});
  return cached;
}

// Section texts dominate the size of both encodings, so their bytes are compared without encoding.
std::size_t publisher_core::snapshot_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [name, s] : state_->sections) bytes += name.size() + s.text.size();
  return bytes;
}

std::size_t publisher_core::delta_bytes(const document_delta& delta) {
  std::size_t bytes = 0;
  for (const section& s : delta.sections_changed) bytes += s.name.size() + s.text.size();
  for (const std::string& name : delta.sections_removed) bytes += name.size();
  return bytes;
}

}  // namespace heatherdeck

// The held document changes only in accept(), after its digest has matched and it has been compiled. Invariants: the
// held version only rises; the first document is at or above a version that a quorum has confirmed since the process
// started. Control hosts are tried in order of distance and, at equal distance, in the order of a hash of the node's
// and the host's ids, so that the nodes of a failed host are distributed over the others. Cost: one digest and one
// compilation per change.
#include "node/subscriber_core.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "model/document_delta.h"
#include "model/document_digest.h"

namespace heatherdeck {
namespace {

constexpr milliseconds min_backoff{100};
// A node that has lost its control host learns of the next change with at most this delay, which must stay well below
// the time within which a change has to be applied (2 s is the shortest that a platform demands).
constexpr milliseconds max_backoff{1'000};
// A node without a document serves no requests, so it tries more often; a control host admits 64 handshakes at a time,
// which bounds the load.
constexpr milliseconds max_backoff_without_document{600};
constexpr std::uint32_t max_backoff_doublings = 6;
constexpr int max_silent_periods = 2;
// Time, plus as much jitter, after which a node tries the nearest control host again. The jitter distributes the
// reconnections after a zone has recovered.
constexpr milliseconds retry_nearest_interval{60'000};

}  // namespace

subscriber_core subscriber_core::make(const settings& s) {
  subscriber_core core(s, s.seed != 0 ? s.seed : std::random_device{}());
  for (const control_host& host : s.control_hosts) {
    core.sources_.push_back({host.id, host.mesh_address, core.distance_of(host.availability_zone, host.region)});
  }
  core.sort_sources();
  return core;
}

std::uint32_t subscriber_core::distance_of(const std::string& zone, const std::string& region) const {
  if (zone == zone_) return 0;
  return region == region_ ? 1 : 2;
}

void subscriber_core::sort_sources() {
  const auto order = [this](const candidate& c) { return std::tuple(c.distance, hash64(node_id_ + "/" + c.host_id)); };
  const auto nearer = [&](const candidate& a, const candidate& b) { return order(a) < order(b); };
  std::sort(sources_.begin(), sources_.end(), nearer);
  nearest_host_id_ = sources_.empty() ? std::string() : sources_.front().host_id;
  std::stable_partition(sources_.begin(), sources_.end(),
                        [this](const candidate& c) { return !silent_hosts_.contains(c.host_id); });
}

void subscriber_core::set_members(const std::vector<member_record>& members) {
  std::vector<candidate> known;
  for (const member_record& member : members) {
    if (member.role != process_role::control || member.state == member_state::left) continue;
    known.push_back({member.node_id, member.mesh_address, distance_of(member.availability_zone, member.region)});
  }
  if (known.empty()) return;
  const bool same =
      known.size() == sources_.size() && std::all_of(known.begin(), known.end(), [this](const candidate& one) {
        return std::any_of(sources_.begin(), sources_.end(), [&one](const candidate& held) {
          return held.host_id == one.host_id && held.mesh_address == one.mesh_address && held.distance == one.distance;
        });
      });
  if (same) return;
  sources_ = std::move(known);
  silent_hosts_.clear();
  sort_sources();
  next_index_ = 0;
}

milliseconds subscriber_core::jitter(milliseconds max_delay) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(0, max_delay.count())(random_));
}

void subscriber_core::begin_round() {
  next_index_ = 0;
  if (!hosts_without_quorum_.empty()) ++rounds_without_quorum_;
  hosts_without_quorum_.clear();
  if (silent_hosts_.empty()) return;
  silent_hosts_.clear();
  sort_sources();
}

// A host that has stated that it has no quorum is skipped until the end of the list only: after an election all hosts
// have stated it, and the lost ones among them never will.
const subscriber_core::candidate& subscriber_core::next_source() {
  for (;;) {
    if (next_index_ >= sources_.size()) begin_round();
    const candidate& next = sources_[next_index_++];
    if (!hosts_without_quorum_.contains(next.host_id)) return next;
  }
}

subscriber_core::attempt subscriber_core::next_attempt() {
  const candidate& s = next_source();
  attempted_host_id_ = s.host_id;
  if (std::exchange(leaves_without_quorum_, false)) return {s.host_id, s.mesh_address, milliseconds(0)};
  const milliseconds backoff_limit = has_document() ? max_backoff : max_backoff_without_document;
  const milliseconds backoff =
      std::min(backoff_limit, min_backoff * (1U << std::min(failed_attempts_, max_backoff_doublings)));
  const milliseconds delay = failed_attempts_ == 0 && !has_document() ? milliseconds(0) : jitter(backoff);
  ++failed_attempts_;
  quorum_seen_ = false;
  return {s.host_id, s.mesh_address, delay};
}

// A host that has stated that it has no quorum may have one by now, and is better than a host that doesn't respond.
std::optional<subscriber_core::attempt> subscriber_core::next_parallel_attempt(const source_race& race) {
  const std::size_t first = next_index_;
  for (const bool without_quorum : {false, true}) {
    for (std::size_t i = 0; i < sources_.size(); ++i) {
      const candidate& next = sources_[(first + i) % sources_.size()];
      if (race.has_tried(next.host_id) || hosts_without_quorum_.contains(next.host_id) != without_quorum) continue;
      next_index_ = std::min(first + i + 1, sources_.size());
      return attempt{next.host_id, next.mesh_address, {}};
    }
  }
  return std::nullopt;
}

// The search goes on from the front of the new order; hosts without a quorum are skipped as before.
void subscriber_core::note_silent(const std::string& host_id) {
  if (!silent_hosts_.insert(host_id).second) return;
  sort_sources();
  next_index_ = 0;
}

void subscriber_core::on_connected(const std::string& host_id, time_point now) {
  source_ = attempted_host_id_ = host_id;
  if (silent_hosts_.erase(host_id) != 0) sort_sources();
  leave_at_.reset();
  last_message_at_ = now;
  first_message_ = true;
  stated_version_ = {};
  differs_since_.reset();
  retry_nearest_at_ = now + retry_nearest_interval + jitter(retry_nearest_interval);
}

subscribe_request subscriber_core::request() const {
  return {node_id_, zone_, state_.document_version, digest_, !has_document(), !has_document()};
}

subscriber_core::actions subscriber_core::on_message(const control_message& message, time_point now) {
  last_message_at_ = now;
  actions r = std::visit([this](const auto& m) { return this->on_offer(m); }, message);
  first_message_ = false;
  note_stated_version(message, now);
  if (r.disconnect_reason.empty()) r.disconnect_reason = check_quorum(now);
  return r;
}

// Keep-alives alone don't show that a subscription moves: the host may wait for an answer that was lost, or have
// stopped applying entries itself.
void subscriber_core::note_stated_version(const control_message& message, time_point now) {
  if (const auto* periodic = std::get_if<keepalive>(&message)) stated_version_ = periodic->document_version;
  if (const auto* delta = std::get_if<delta_offer>(&message)) stated_version_ = delta->delta.to;
  if (const auto* whole = std::get_if<snapshot_offer>(&message)) stated_version_ = whole->state.document_version;
  const bool same = stated_version_ == state_.document_version || stated_version_ == refused_version_;
  if (!has_document() || same) {
    differs_since_.reset();
  } else if (!differs_since_) {
    differs_since_ = now;
  }
}

std::string subscriber_core::check_progress(time_point now) const {
  if (!differs_since_ || now - *differs_since_ <= max_silent_periods * keepalive_) return {};
  return stated_version_ < state_.document_version ? "the control host has an older document"
                                                   : "the control host does not send the document that it states";
}

void subscriber_core::on_disconnected() {
  if (!source_.empty()) ++counts_.disconnects;
  source_.clear();
  // After a host that had a quorum the search restarts at the first one, or at the second if this was the first.
  if (quorum_seen_) next_index_ = attempted_host_id_ == sources_.front().host_id ? 1 : 0;
}

bool subscriber_core::is_silent(time_point now) const {
  return time_since_last_message(now) > max_silent_periods * keepalive_;
}

std::string subscriber_core::check_connection(time_point now) {
  if (source_.empty()) return {};
  if (std::string reason = check_quorum(now); !reason.empty()) return reason;
  if (is_silent(now)) {
    note_silent(source_);
    return "no message for two keep-alive periods";
  }
  if (std::string reason = check_progress(now); !reason.empty()) {
    note_silent(source_);
    return reason;
  }
  if (!at_nearest() && now >= retry_nearest_at_) {
    silent_hosts_.clear();
    sort_sources();
    next_index_ = 0;
    return "the nearest control host is tried again";
  }
  return {};
}

std::string subscriber_core::check_quorum(time_point now) {
  if (!leave_at_ || now < *leave_at_) return {};
  leaves_without_quorum_ = true;
  return "the control host has no quorum";
}

void subscriber_core::mark_quorum_seen() {
  quorum_seen_ = true;
  failed_attempts_ = 0;
  without_quorum_since_.reset();
  leave_at_.reset();
  hosts_without_quorum_.clear();
  rounds_without_quorum_ = 0;
}

// During an election no host has a quorum, so a node that has a document does not change hosts at once. The wait is
// that of the node, not of the stream: a node that has waited asks the other hosts in turn. It keeps its stream until
// it leaves, so that it misses nothing if the quorum returns meanwhile.
void subscriber_core::mark_quorum_missing() {
  hosts_without_quorum_.insert(source_);
  if (leave_at_ || !has_document()) return;  // without a document it has waited for the host's confirmation
  if (!without_quorum_since_) {
    without_quorum_since_ = last_message_at_;
    leave_at_ = last_message_at_ + max_silent_periods * keepalive_ - jitter(min_backoff);
    return;
  }
  const milliseconds max_wait =
      std::min(max_backoff, min_backoff * (1U << std::min(rounds_without_quorum_, max_backoff_doublings)));
  leave_at_ = std::max(last_message_at_, *without_quorum_since_ + max_silent_periods * keepalive_) + jitter(max_wait);
}

void subscriber_core::confirm(const version& confirmed) {
  mark_quorum_seen();
  if (!confirmed_version_ || confirmed > *confirmed_version_) confirmed_version_ = confirmed;
}

// Only the first offer on a stream tells whether the host has a quorum; later ones are never confirmed.
void subscriber_core::note_confirmation(const version& offered, bool confirmed) {
  if (confirmed) return confirm(offered);
  if (first_message_) mark_quorum_missing();
}

bool subscriber_core::is_unconfirmed(const version& offered) const {
  return !has_document() && (!confirmed_version_ || offered < *confirmed_version_);
}

bool subscriber_core::should_accept(const version& offered) {
  if (has_document() ? offered <= state_.document_version : offered.none()) {
    ++counts_.ignored_old;
    return false;
  }
  if (is_unconfirmed(offered)) {
    ++counts_.ignored_unconfirmed;
    return false;
  }
  return true;
}

// Only the first message on a stream responds to the node's request for a confirmed version. A later keep-alive states
// that the host is in contact with a quorum, but the host's own document may still lag, so it confirms no version.
subscriber_core::actions subscriber_core::on_offer(const keepalive& message) {
  if (!message.confirmed) {
    mark_quorum_missing();
    if (!has_document()) return {.disconnect_reason = "the control host has no quorum"};
    return {};
  }
  if (has_document()) {
    mark_quorum_seen();
  } else if (first_message_) {
    confirm(message.document_version);
  } else if (is_unconfirmed(message.document_version)) {
    return {.disconnect_reason = "the control host has not confirmed the version of its document"};
  }
  return {};
}

subscriber_core::actions subscriber_core::on_offer(const snapshot_offer& offer) {
  note_confirmation(offer.state.document_version, offer.confirmed);
  if (should_accept(offer.state.document_version)) return accept(offer.state, offer.state_digest);
  // The host does not send this version again on this stream, so the node subscribes again on a new one.
  if (is_unconfirmed(offer.state.document_version)) return {.disconnect_reason = "the document could not be confirmed"};
  return {.ignored = offer.state.document_version};
}

subscriber_core::actions subscriber_core::on_offer(const delta_offer& offer) {
  note_confirmation(offer.delta.to, offer.confirmed);
  if (!should_accept(offer.delta.to)) return {.ignored = offer.delta.to};
  outcome<document_state> next = capture([&] { return apply_delta(state_, offer.delta); });
  if (!next) return refuse(offer.delta.to, next.failure());
  return accept(std::move(*next), offer.delta.result_digest);
}

subscriber_core::actions subscriber_core::on_offer(const busy_notice& notice) {
  return {.disconnect_reason = "the control host accepts no more subscriptions at present",
          .retry_after = notice.retry_after};
}

subscriber_core::actions subscriber_core::accept(document_state next, const digest& expected) {
  const digest actual = digest_of(next);
  if (!(actual == expected)) {
    return refuse(next.document_version, {error_kind::corrupt,
                                          "the digest of the received document does not match",
                                          "none needed; the control host sends a snapshot",
                                          {}});
  }
  outcome<compiled_document_ptr> compiled = capture([&] { return compiler_.compile(next); });
  if (!compiled) return refuse(next.document_version, compiled.failure());
  state_ = std::move(next);
  digest_ = actual;
  compiled_ = *compiled;
  ++counts_.applied;
  return {.document = compiled_, .answer = applied_report{state_.document_version}};
}

subscriber_core::actions subscriber_core::refuse(const version& offered, error reason) {
  ++counts_.refused;
  // After a digest that doesn't match the host sends a snapshot; other reasons hold at every host.
  if (reason.kind != error_kind::corrupt) refused_version_ = offered;
  return {.answer = refused_report{offered, std::move(reason)}};
}

}  // namespace heatherdeck

// The held document changes only in accept(), after its digest has matched and it has been compiled. Invariants: the
// held version only rises; the first document is at or above a version that a quorum has confirmed since the process
// started. Control hosts are tried in order of distance and, at equal distance, in the order of a hash of the node's
// and the host's ids, so that the nodes of a failed host are distributed over the others. Cost: one digest and one
// compilation per change.
#include "node/subscriber_core.h"

#include <algorithm>
#include <tuple>

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
  std::sort(sources_.begin(), sources_.end(), [this](const candidate& a, const candidate& b) {
    return std::tuple(a.distance, hash64(node_id_ + "/" + a.host_id)) <
           std::tuple(b.distance, hash64(node_id_ + "/" + b.host_id));
  });
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
  sort_sources();
  next_index_ = 0;
}

milliseconds subscriber_core::jitter(milliseconds max_delay) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(0, max_delay.count())(random_));
}

subscriber_core::attempt subscriber_core::next_attempt() {
  const candidate& s = sources_[next_index_ % sources_.size()];
  at_nearest_ = next_index_ % sources_.size() == 0;
  attempted_host_id_ = s.host_id;
  ++next_index_;
  const milliseconds backoff_limit = has_document() ? max_backoff : max_backoff_without_document;
  const milliseconds backoff =
      std::min(backoff_limit, min_backoff * (1U << std::min(failed_attempts_, max_backoff_doublings)));
  const milliseconds delay = failed_attempts_ == 0 && !has_document() ? milliseconds(0) : jitter(backoff);
  ++failed_attempts_;
  quorum_seen_ = false;
  return {s.host_id, s.mesh_address, delay};
}

void subscriber_core::on_connected(time_point now) {
  source_ = attempted_host_id_;
  without_quorum_since_.reset();
  last_message_at_ = now;
  first_message_ = true;
  retry_nearest_at_ = now + retry_nearest_interval + jitter(retry_nearest_interval);
}

subscribe_request subscriber_core::request() const {
  return {node_id_, zone_, state_.document_version, digest_, !has_document()};
}

subscriber_core::actions subscriber_core::on_message(const control_message& message, time_point now) {
  last_message_at_ = now;
  actions r = std::visit([this](const auto& m) { return on_offer(m); }, message);
  first_message_ = false;
  return r;
}

void subscriber_core::on_disconnected() {
  if (!source_.empty()) ++counts_.disconnects;
  source_.clear();
  // After a host that had a quorum the search restarts at the nearest one, or at the second if this was the nearest.
  if (quorum_seen_) next_index_ = at_nearest_ ? 1 : 0;
}

std::string subscriber_core::check_connection(time_point now) {
  if (source_.empty()) return {};
  if (now - last_message_at_ > max_silent_periods * keepalive_) return "no message for two keep-alive periods";
  if (!at_nearest_ && now >= retry_nearest_at_) {
    next_index_ = 0;
    return "the nearest control host is tried again";
  }
  return {};
}

void subscriber_core::mark_quorum_seen() {
  quorum_seen_ = true;
  failed_attempts_ = 0;
}

void subscriber_core::confirm(const version& confirmed) {
  mark_quorum_seen();
  if (!confirmed_version_ || confirmed > *confirmed_version_) confirmed_version_ = confirmed;
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
    // During an election no host has a quorum, so a node that has a document does not change hosts at once.
    if (has_document() && !without_quorum_since_) without_quorum_since_ = last_message_at_;
    if (has_document() && last_message_at_ - *without_quorum_since_ < max_silent_periods * keepalive_) return {};
    return {.disconnect_reason = "the control host has no quorum"};
  }
  without_quorum_since_.reset();
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
  if (offer.confirmed) confirm(offer.state.document_version);
  if (should_accept(offer.state.document_version)) return accept(offer.state, offer.state_digest);
  // The host does not send this version again on this stream, so the node subscribes again on a new one.
  if (is_unconfirmed(offer.state.document_version)) return {.disconnect_reason = "the document could not be confirmed"};
  return {};
}

subscriber_core::actions subscriber_core::on_offer(const delta_offer& offer) {
  if (offer.confirmed) confirm(offer.delta.to);
  if (!should_accept(offer.delta.to)) return {};
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
  return {.answer = refused_report{offered, std::move(reason)}};
}

}  // namespace heatherdeck

// The held state changes only in accept(), after the digest has matched and the document has compiled; everything else
// leaves it alone. Invariants: the held version only rises; the first document is at or above a version that a quorum
// has confirmed since the process started. Sources are tried in order of distance and, among equals, of a hash of both
// names, so that the nodes of a failed host spread over the others. Cost: one digest and one compilation per change.
#include "node/subscriber_core.h"

#include <algorithm>
#include <tuple>

#include "model/document_delta.h"
#include "model/document_digest.h"

namespace heatherdeck {
namespace {

constexpr milliseconds shortest_backoff{100};
// A node that has lost its source learns of the next change at most this much later, which must stay well below the
// time in which a change is to be in force (2 s on the smallest bound that a platform gives).
constexpr milliseconds longest_backoff{1'000};
// A node without a document serves nobody, so it asks more often; a control host admits 64 askers at a time.
constexpr milliseconds longest_backoff_without_document{600};
constexpr std::uint32_t most_doublings = 6;
constexpr int silent_periods = 2;
// Time after which a node tries a nearer control host again; the jitter spreads the return after a zone has recovered.
constexpr milliseconds return_interval{60'000};

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
    return std::tuple(a.distance, hash_of(node_id_ + "/" + a.host_id)) <
           std::tuple(b.distance, hash_of(node_id_ + "/" + b.host_id));
  });
}

void subscriber_core::use_members(const std::vector<member_record>& members) {
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
  next_ = 0;
}

milliseconds subscriber_core::jitter(milliseconds most) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(0, most.count())(random_));
}

subscriber_core::attempt subscriber_core::next_source() {
  const candidate& s = sources_[next_ % sources_.size()];
  at_nearest_ = next_ % sources_.size() == 0;
  tried_ = s.host_id;
  ++next_;
  const milliseconds longest = has_document() ? longest_backoff : longest_backoff_without_document;
  const milliseconds backoff = std::min(longest, shortest_backoff * (1U << std::min(failures_, most_doublings)));
  const milliseconds delay = failures_ == 0 && !has_document() ? milliseconds(0) : jitter(backoff);
  ++failures_;
  useful_ = false;
  return {s.host_id, s.mesh_address, delay};
}

void subscriber_core::on_connected(time_point now) {
  source_ = tried_;
  without_quorum_since_.reset();
  last_heard_ = now;
  first_message_ = true;
  return_at_ = now + return_interval + jitter(return_interval);
}

subscribe_request subscriber_core::request() const {
  return {node_id_, zone_, state_.current, digest_, !has_document()};
}

subscriber_core::reaction subscriber_core::on_message(const control_message& message, time_point now) {
  last_heard_ = now;
  reaction r = std::visit([this](const auto& m) { return on_offer(m); }, message);
  first_message_ = false;
  return r;
}

void subscriber_core::on_disconnected() {
  if (!source_.empty()) ++counts_.sources_left;
  source_.clear();
  // After a useful source the search starts again with the nearest host.
  if (useful_) next_ = at_nearest_ ? 1 : 0;
}

std::string subscriber_core::check_source(time_point now) {
  if (source_.empty()) return {};
  if (now - last_heard_ > silent_periods * keepalive_) return "the control host is silent";
  if (!at_nearest_ && now >= return_at_) {
    next_ = 0;
    return "a nearer control host is tried again";
  }
  return {};
}

void subscriber_core::mark_useful() {
  useful_ = true;
  failures_ = 0;
}

void subscriber_core::confirm(const version& confirmed) {
  mark_useful();
  if (!floor_ || confirmed > *floor_) floor_ = confirmed;
}

bool subscriber_core::unconfirmed(const version& offered) const {
  return !has_document() && (!floor_ || offered < *floor_);
}

bool subscriber_core::wanted(const version& offered) {
  if (has_document() ? offered <= state_.current : offered.none()) {
    ++counts_.ignored_old;
    return false;
  }
  if (unconfirmed(offered)) {
    ++counts_.ignored_unconfirmed;
    return false;
  }
  return true;
}

// Only the first message on a stream answers the node's question for a confirmed version. A later keep-alive tells that
// the host hears from a quorum; the host may lag all the same, so it confirms nothing.
subscriber_core::reaction subscriber_core::on_offer(const keepalive& message) {
  if (!message.confirmed) {
    // During an election no host has a quorum, so a node that has a document does not go elsewhere at once.
    if (has_document() && !without_quorum_since_) without_quorum_since_ = last_heard_;
    if (has_document() && last_heard_ - *without_quorum_since_ < silent_periods * keepalive_) return {};
    return {.leave_reason = "the control host has no quorum"};
  }
  without_quorum_since_.reset();
  if (has_document()) {
    mark_useful();
  } else if (first_message_) {
    confirm(message.current);
  } else if (unconfirmed(message.current)) {
    return {.leave_reason = "the control host has a document that it has not confirmed"};
  }
  return {};
}

subscriber_core::reaction subscriber_core::on_offer(const snapshot_offer& offer) {
  if (offer.confirmed) confirm(offer.state.current);
  if (wanted(offer.state.current)) return accept(offer.state, offer.result);
  // The host will not send this version again on this stream, so the node asks again on another.
  if (unconfirmed(offer.state.current)) return {.leave_reason = "the control host cannot confirm its document"};
  return {};
}

subscriber_core::reaction subscriber_core::on_offer(const delta_offer& offer) {
  if (offer.confirmed) confirm(offer.delta.to);
  if (!wanted(offer.delta.to)) return {};
  outcome<document_state> next = capture([&] { return apply_delta(state_, offer.delta); });
  if (!next) return refuse(offer.delta.to, next.failure());
  return accept(std::move(*next), offer.delta.result);
}

subscriber_core::reaction subscriber_core::on_offer(const busy_notice& notice) {
  return {.leave_reason = "the control host is busy", .retry_after = notice.retry_after};
}

subscriber_core::reaction subscriber_core::accept(document_state next, const digest& claimed) {
  const digest actual = digest_of(next);
  if (!(actual == claimed)) {
    return refuse(next.current,
                  {error_kind::corrupt, "the document's digest does not match", "a snapshot is sent", {}});
  }
  outcome<compiled_document_ptr> compiled = capture([&] { return compiler_.compile(next); });
  if (!compiled) return refuse(next.current, compiled.failure());
  state_ = std::move(next);
  digest_ = actual;
  compiled_ = *compiled;
  ++counts_.applied;
  return {.document = compiled_, .answer = applied_report{state_.current}};
}

subscriber_core::reaction subscriber_core::refuse(const version& offered, error reason) {
  ++counts_.refused;
  return {.answer = refused_report{offered, std::move(reason)}};
}

}  // namespace heatherdeck

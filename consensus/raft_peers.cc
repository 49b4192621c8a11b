// Each quorum value is an order statistic over the voters: the highest value that at least a quorum has reached.
// Invariant: a contact time is the time at which the answered round was sent, not the time of the answer, so that a
// delayed answer cannot extend the lease. Each value costs one sort of at most seven numbers.
#include "consensus/raft_peers.h"

#include <algorithm>
#include <functional>

namespace heatherdeck {

namespace {
// An answer to an older round does not extend the lease; in practice none arrives that late.
constexpr std::size_t max_tracked_rounds = 256;
}  // namespace

void raft_peers::reset(const raft_log& log, const std::string& own_id, time_point now) {
  own_id_ = own_id;
  peers_.clear();
  rounds_.clear();
  update_members(log, now);
}

void raft_peers::update_members(const raft_log& log, time_point now) {
  const std::vector<raft_member>& voters = log.voters();
  std::erase_if(peers_, [&](const auto& item) {
    const raft_member* member = find_member(voters, item.first);
    return member == nullptr || member->store_id != item.second.store_id;
  });
  for (const raft_member& member : voters) {
    if (member.host_id == own_id_ || peers_.contains(member.host_id)) continue;
    peer_progress added;
    added.store_id = member.store_id;
    added.next = log.last_index() + 1;
    added.acked_round_sent_at = now;
    peers_.emplace(member.host_id, added);
  }
}

peer_progress* raft_peers::find(const std::string& host_id) {
  const auto found = peers_.find(host_id);
  return found == peers_.end() ? nullptr : &found->second;
}

std::uint64_t raft_peers::begin_round(time_point now) {
  rounds_.emplace_back(++round_, now);
  if (rounds_.size() > max_tracked_rounds) rounds_.pop_front();
  return round_;
}

void raft_peers::record_answer(peer_progress& peer, std::uint64_t round) {
  if (round <= peer.acked_round || round > round_) return;
  peer.acked_round = round;
  const auto sent = std::lower_bound(rounds_.begin(), rounds_.end(), round,
                                     [](const auto& item, std::uint64_t wanted) { return item.first < wanted; });
  if (sent != rounds_.end() && sent->first == round)
    peer.acked_round_sent_at = std::max(peer.acked_round_sent_at, sent->second);
}

template <class Value, class Get>
Value raft_peers::quorum_value(const std::vector<raft_member>& voters, Value own, Get get) const {
  std::vector<Value> values;
  for (const raft_member& member : voters) {
    if (member.learner) continue;
    if (member.host_id == own_id_) {
      values.push_back(own);
      continue;
    }
    const auto found = peers_.find(member.host_id);
    values.push_back(found == peers_.end() ? Value{} : get(found->second));
  }
  if (values.empty()) return Value{};
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[quorum_size(voters) - 1];
}

std::uint64_t raft_peers::quorum_match(const std::vector<raft_member>& voters, std::uint64_t own_durable) const {
  return quorum_value<std::uint64_t>(voters, own_durable, [](const peer_progress& p) { return p.match; });
}

std::uint64_t raft_peers::quorum_round(const std::vector<raft_member>& voters) const {
  return quorum_value<std::uint64_t>(voters, round_, [](const peer_progress& p) { return p.acked_round; });
}

time_point raft_peers::quorum_contact(const std::vector<raft_member>& voters, time_point now) const {
  return quorum_value<time_point>(voters, now, [](const peer_progress& p) { return p.acked_round_sent_at; });
}

}  // namespace heatherdeck

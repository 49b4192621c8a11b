// Membership changes that the leader makes without an operator. The order of the rules matters: a learner that has
// caught up is promoted before the next host is added, so that the group regains its size in the fewest steps, and
// unreachable members are removed last. Invariants: a change is started only when `voters_after` accepts it, so at most
// one is uncommitted; no removal leaves fewer voters than `min_voters`. Cost: O(members) at each heartbeat and commit.
#include <algorithm>

#include "consensus/raft_core.h"

namespace heatherdeck {

std::optional<membership_change> raft_core::next_membership_change() const {
  for (const raft_member& member : log_.voters()) {
    if (!member.learner) continue;
    const auto peer = peers_.all().find(member.host_id);
    if (peer == peers_.all().end() || peer->second.match + config_.max_promotion_lag < commit_index_) continue;
    // A learner that has acknowledged nothing may be down; as a voter it would only raise the quorum size.
    if (peer->second.match > 0) return membership_change{0, membership_action::promote, member};
  }
  for (const auto& [host, store] : unadmitted_stores_) {
    // Skips stale announcements: a host that fails right after it was added sends no message that clears its
    // announcement, and a delayed message may come from a store that this host had before.
    const raft_member* member = find_member(log_.voters(), host);
    if (host == config_.host_id || (member != nullptr && member->store_id == store)) continue;
    const raft_member* known = member;
    if (known == nullptr) known = find_member(discovered_hosts_, host);
    if (known == nullptr) known = find_member(config_.founders, host);
    if (known != nullptr)
      return membership_change{0, membership_action::add_learner, {host, store, known->mesh_address, true}};
  }
  return next_removal();
}

// Members that never return would raise the quorum size permanently. A member that was only unreachable is added again
// when it returns: it then asks for votes with a store id that is not in the membership.
std::optional<membership_change> raft_core::next_removal() const {
  const bool can_spare_voter = voter_count(log_.voters()) > std::max<std::size_t>(config_.min_voters, 1);
  for (const raft_member& member : log_.voters()) {
    const auto peer = peers_.all().find(member.host_id);
    if (peer == peers_.all().end() || now_ - peer->second.acked_round_sent_at < config_.removal_timeout) continue;
    if (member.learner || can_spare_voter) return membership_change{0, membership_action::remove, member};
  }
  return std::nullopt;
}

void raft_core::update_membership() {
  if (!config_.automatic_membership || state_ != state::leader || log_.voters_index() > commit_index_ ||
      commit_index_ < term_start_index_)
    return;
  const std::optional<membership_change> wanted = next_membership_change();
  if (!wanted) return;
  const outcome<std::vector<raft_member>> voters = voters_after(*wanted);
  if (voters) append_membership(*voters);
}

}  // namespace heatherdeck

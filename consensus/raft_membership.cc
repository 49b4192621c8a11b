// The leader's membership changes without an operator's hand. The order of the rules matters: a learner that has caught
// up is promoted before the next host is added, so that the group regains its size with the fewest steps, and members
// that are gone leave last. Invariants: a change is begun only when `changed_voters` would accept it, so at most one is
// uncommitted; no removal takes the group below `least_voters`. Cost: O(members) at each heartbeat and commit.
#include <algorithm>

#include "consensus/raft_core.h"

namespace heatherdeck {

std::optional<membership_change> raft_core::next_membership_change() const {
  for (const voter& member : log_.voters()) {
    if (!member.learner) continue;
    const auto peer = peers_.all().find(member.host_id);
    if (peer == peers_.all().end() || peer->second.match + config_.max_promotion_lag < commit_index_) continue;
    // A learner that has acknowledged nothing may be gone already; as a voter it would only raise the quorum.
    if (peer->second.match > 0) return membership_change{0, voter_change::promote, member};
  }
  for (const auto& [host, store] : unadmitted_stores_) {
    // A host that dies right after its admission never takes its announcement back; nor does a late message of a store
    // that this host had before.
    const voter* member = find_member(log_.voters(), host);
    if (host == config_.host_id || (member != nullptr && member->store_id == store)) continue;
    const voter* known = member;
    if (known == nullptr) known = find_member(discovered_hosts_, host);
    if (known == nullptr) known = find_member(config_.founders, host);
    if (known != nullptr)
      return membership_change{0, voter_change::add_learner, {host, store, known->mesh_address, true}};
  }
  return next_removal();
}

// Members that are gone for good would raise the quorum for ever. One that was only cut off is admitted again when it
// is back: it asks for votes under a store that is no member's.
std::optional<membership_change> raft_core::next_removal() const {
  const bool can_spare_voter = voter_count(log_.voters()) > std::max<std::size_t>(config_.min_voters, 1);
  for (const voter& member : log_.voters()) {
    const auto peer = peers_.all().find(member.host_id);
    if (peer == peers_.all().end() || now_ - peer->second.acked_round_sent_at < config_.removal_timeout) continue;
    if (member.learner || can_spare_voter) return membership_change{0, voter_change::remove, member};
  }
  return std::nullopt;
}

void raft_core::update_membership() {
  if (!config_.automatic_membership || state_ != state::leader || log_.voters_index() > commit_index_ ||
      commit_index_ < term_start_index_)
    return;
  const std::optional<membership_change> wanted = next_membership_change();
  if (!wanted) return;
  const outcome<std::vector<voter>> voters = voters_after(*wanted);
  if (voters) append_membership(*voters);
}

}  // namespace heatherdeck

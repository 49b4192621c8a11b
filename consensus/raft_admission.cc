// The leader's membership changes without an operator's hand. The order of the rules matters: a learner that has caught
// up is promoted before the next host is added, so that the group regains its size with the fewest steps, and members
// that are gone leave last. Invariants: a change is begun only when `changed_voters` would accept it, so at most one is
// uncommitted; no removal takes the group below `least_voters`. Cost: O(members) at each heartbeat and commit.
#include <algorithm>

#include "consensus/raft_core.h"

namespace heatherdeck {

std::optional<change_asked> raft_core::next_admission() const {
  for (const voter& member : log_.voters()) {
    if (!member.learner) continue;
    const auto peer = peers_.all().find(member.host_id);
    if (peer == peers_.all().end() || peer->second.match + config_.catch_up_distance < commit_) continue;
    // A learner that has acknowledged nothing may be gone already; as a voter it would only raise the quorum.
    if (peer->second.match > 0) return change_asked{0, voter_change::promote, member};
  }
  for (const auto& [host, store] : unadmitted_) {
    // A host that dies right after its admission never takes its announcement back; nor does a late message of a store
    // that this host had before.
    const voter* member = find_member(log_.voters(), host);
    if (host == config_.host_id || (member != nullptr && member->store_id == store)) continue;
    const voter* known = member;
    if (known == nullptr) known = find_member(learned_hosts_, host);
    if (known == nullptr) known = find_member(config_.founders, host);
    if (known != nullptr) return change_asked{0, voter_change::add_learner, {host, store, known->mesh_address, true}};
  }
  return next_removal();
}

// Members that are gone for good would raise the quorum for ever. One that was only cut off is admitted again when it
// is back: it asks for votes under a store that is no member's.
std::optional<change_asked> raft_core::next_removal() const {
  const bool spare_voter = voting_members(log_.voters()) > std::max<std::size_t>(config_.least_voters, 1);
  for (const voter& member : log_.voters()) {
    const auto peer = peers_.all().find(member.host_id);
    if (peer == peers_.all().end() || now_ - peer->second.acked_at < config_.gone_after) continue;
    if (member.learner || spare_voter) return change_asked{0, voter_change::remove, member};
  }
  return std::nullopt;
}

void raft_core::admit_hosts() {
  if (!config_.admits_hosts || state_ != state::leader || log_.voters_index() > commit_ || commit_ < term_start_)
    return;
  const std::optional<change_asked> wanted = next_admission();
  if (!wanted) return;
  const outcome<std::vector<voter>> voters = changed_voters(*wanted);
  if (voters) append_membership(*voters);
}

}  // namespace heatherdeck

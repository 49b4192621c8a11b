// Entries are kept in a deque, so that compaction at the front and truncation at the end are cheap. Invariants:
// entries_[i] has the index base_index_ + 1 + i; memberships_ holds the membership of every membership entry and the
// one that was current at the base. A lookup by index costs O(1); a membership change costs O(log n) in the number of
// memberships held.
#include "consensus/raft_log.h"

#include <algorithm>
#include <iterator>

namespace heatherdeck {

void raft_log::reset(std::uint64_t index, std::uint64_t term, std::vector<raft_member> voters) {
  base_index_ = index;
  base_term_ = term;
  entries_.clear();
  memberships_.clear();
  if (!voters.empty()) memberships_[index] = std::move(voters);
}

std::optional<std::uint64_t> raft_log::term_at(std::uint64_t index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > last_index()) return std::nullopt;
  return at(index).term;
}

void raft_log::append(log_entry entry, const std::optional<std::vector<raft_member>>& voters) {
  if (voters) memberships_[entry.index] = *voters;
  entries_.push_back(std::move(entry));
}

void raft_log::truncate_after(std::uint64_t index) {
  while (last_index() > index && !entries_.empty()) entries_.pop_back();
  memberships_.erase(memberships_.upper_bound(index), memberships_.end());
}

void raft_log::compact(std::uint64_t index) {
  if (index <= base_index_ || index > last_index()) return;
  base_term_ = at(index).term;
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(index - base_index_));
  base_index_ = index;
  const auto in_force = memberships_.upper_bound(index);
  if (in_force != memberships_.begin()) memberships_.erase(memberships_.begin(), std::prev(in_force));
}

std::vector<log_entry> raft_log::slice(std::uint64_t first, std::uint64_t max_count, std::size_t max_bytes) const {
  std::vector<log_entry> taken;
  std::size_t bytes = 0;
  for (std::uint64_t i = first; i <= last_index() && taken.size() < max_count; ++i) {
    bytes += at(i).payload.size();
    if (!taken.empty() && bytes > max_bytes) break;
    taken.push_back(at(i));
  }
  return taken;
}

bool raft_log::is_up_to_date(std::uint64_t index, std::uint64_t term) const {
  return term != last_term() ? term > last_term() : index >= last_index();
}

const std::vector<raft_member>& raft_log::voters() const {
  static const std::vector<raft_member> none;
  return memberships_.empty() ? none : memberships_.rbegin()->second;
}

std::uint64_t raft_log::voters_index() const { return memberships_.empty() ? 0 : memberships_.rbegin()->first; }

std::vector<raft_member> raft_log::voters_at(std::uint64_t index) const {
  const auto after = memberships_.upper_bound(index);
  return after == memberships_.begin() ? std::vector<raft_member>{} : std::prev(after)->second;
}

const raft_member* find_member(const std::vector<raft_member>& voters, const std::string& host_id) {
  const auto found =
      std::find_if(voters.begin(), voters.end(), [&](const raft_member& v) { return v.host_id == host_id; });
  return found == voters.end() ? nullptr : &*found;
}

bool is_voter(const std::vector<raft_member>& voters, const std::string& host_id, const std::string& store_id) {
  const raft_member* member = find_member(voters, host_id);
  return member != nullptr && !member->learner && member->store_id == store_id;
}

std::size_t voter_count(const std::vector<raft_member>& voters) {
  const auto voting = std::count_if(voters.begin(), voters.end(), [](const raft_member& v) { return !v.learner; });
  return static_cast<std::size_t>(voting);
}

std::size_t quorum_size(const std::vector<raft_member>& voters) { return voter_count(voters) / 2 + 1; }

}  // namespace heatherdeck

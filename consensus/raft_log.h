/// @file
/// The Raft log in memory: the entries after (base index, base term), and the memberships that these entries set.
///
/// Owned by `raft_core`. A membership takes effect when its entry is appended, before it is committed, and is reverted
/// when the entry is truncated.
///
///     raft_log log;
///     log.append({1, 1, entry_kind::membership, payload}, voters);
///     log.voters();  // the current membership
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "model/raft_messages.h"

namespace heatherdeck {

class raft_log {
 public:
  /// Discards all entries; the log continues after (index, term) with this membership, as after a snapshot.
  void reset(std::uint64_t index, std::uint64_t term, std::vector<raft_member> voters);

  std::uint64_t base_index() const { return base_index_; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }

  /// @return the term of the entry at `index`, or nothing when the entry was compacted or is beyond the end.
  std::optional<std::uint64_t> term_at(std::uint64_t index) const;

  /// @param index must lie in (base_index, last_index].
  const log_entry& at(std::uint64_t index) const { return entries_[index - base_index_ - 1]; }

  /// Appends the entry that follows the last one.
  /// @param voters the decoded payload when the entry is a membership entry.
  void append(log_entry entry, const std::optional<std::vector<raft_member>>& voters);

  /// Removes all entries after `index`.
  void truncate_after(std::uint64_t index);

  /// Removes the entries up to and including `index`, which becomes the base index.
  void compact(std::uint64_t index);

  /// @return the entries from index `first` on, limited by count and payload bytes, but at least one when there is one.
  std::vector<log_entry> slice(std::uint64_t first, std::uint64_t max_count, std::size_t max_bytes) const;

  /// @return true when a log whose last entry is (index, term) is at least as up to date as this one (Raft
  /// paper, 5.4.1).
  bool is_up_to_date(std::uint64_t index, std::uint64_t term) const;

  /// @return the current membership, committed or not; empty on a host that has no log yet.
  const std::vector<raft_member>& voters() const;
  /// @return the index of the entry that set the current membership; 0 when there is none.
  std::uint64_t voters_index() const;
  /// @return the membership that was current at `index`.
  std::vector<raft_member> voters_at(std::uint64_t index) const;

 private:
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<log_entry> entries_;
  std::map<std::uint64_t, std::vector<raft_member>> memberships_;  ///< by index of the entry that set it
};

/// @return the member with this host id, or null.
const raft_member* find_member(const std::vector<raft_member>& voters, const std::string& host_id);

/// @return true when this host with this store is a voting member.
bool is_voter(const std::vector<raft_member>& voters, const std::string& host_id, const std::string& store_id);

/// @return the number of members that vote, learners excluded.
std::size_t voter_count(const std::vector<raft_member>& voters);

/// @return the number of voters in a majority.
std::size_t quorum_size(const std::vector<raft_member>& voters);

}  // namespace heatherdeck

/// @file
/// The log in memory: a suffix of entries after (base index, base term), and the memberships that lie in it.
///
/// Owned by `raft_core`. A membership takes effect when its entry is appended and is taken back when the entry is
/// truncated.
///
///     raft_log log;
///     log.append({1, 1, entry_kind::membership, payload}, voters);
///     log.voters();      // the membership in force
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
  /// Drops everything; the log continues after (index, term) with this membership.
  void reset(std::uint64_t index, std::uint64_t term, std::vector<voter> voters);

  std::uint64_t base_index() const { return base_index_; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }

  /// @return the term of the entry at `index`, or nothing when it is compacted away or beyond the end.
  std::optional<std::uint64_t> term_at(std::uint64_t index) const;

  /// @param index must lie in (base_index, last_index].
  const log_entry& at(std::uint64_t index) const { return entries_[index - base_index_ - 1]; }

  /// Appends the entry that follows the last one.
  /// @param voters the decoded membership of an entry of that kind.
  void append(log_entry entry, const std::optional<std::vector<voter>>& voters);

  /// Removes all entries after `index`.
  void truncate_after(std::uint64_t index);

  /// Removes entries up to and including `index`, which becomes the base.
  void compact(std::uint64_t index);

  /// @return entries from `first` on, at least one when there is one, bounded by count and payload bytes.
  std::vector<log_entry> slice(std::uint64_t first, std::uint64_t max_count, std::size_t max_bytes) const;

  /// @return true when a log that ends in (index, term) is at least as complete as this one.
  bool is_up_to_date(std::uint64_t index, std::uint64_t term) const;

  /// @return the membership in force; empty on a new host.
  const std::vector<voter>& voters() const;
  /// @return the index of the entry that set the membership in force.
  std::uint64_t voters_index() const;
  /// @return the membership that was in force at `index`.
  std::vector<voter> voters_at(std::uint64_t index) const;

 private:
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<log_entry> entries_;
  std::map<std::uint64_t, std::vector<voter>> memberships_;
};

/// @return the member with this host id, or null.
const voter* find_member(const std::vector<voter>& voters, const std::string& host_id);

/// @return true when this host with this store is a voting member.
bool is_voter(const std::vector<voter>& voters, const std::string& host_id, const std::string& store_id);

/// @return how many members vote.
std::size_t voter_count(const std::vector<voter>& voters);

/// @return how many members must agree.
std::size_t quorum_size(const std::vector<voter>& voters);

}  // namespace heatherdeck

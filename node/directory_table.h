/// @file
/// The records of all members that one process knows, with summaries that compare two such tables in a few bytes.
///
/// Used by `directory_core` only.
///
///     if (table.put(now, record) == record_change::newer) propagate(record);
///     if (table.summary() != theirs) exchange(table.bucket_summaries(64));
///
/// The version of a record is the triple (incarnation, sequence, state); a record replaces one with a lower version. A
/// member that was removed is remembered for 10 minutes, so that an old record that arrives late does not add it again.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "model/gossip_messages.h"

namespace heatherdeck {

enum class record_change {
  newer,  ///< stored: its version is higher than that of the known record, or the member was unknown
  equal,  ///< ignored: this version is already known
  older,  ///< ignored: superseded by the known record
};

class directory_table {
 public:
  struct removed_member {
    member_record_ptr record;
    time_point removed_at;
  };

  /// Stores a record unless it is superseded. A record whose state is `left` removes the member. A removed member
  /// returns only with a higher (incarnation, sequence).
  record_change put(time_point now, const member_record_ptr& record);

  /// Removes a member that does not respond; a record of a higher sequence, which only the member issues, adds it
  /// again.
  void remove(time_point now, const std::string& node_id);

  /// Discards what is remembered of members that were removed more than 10 minutes ago.
  void expire(time_point now);

  /// @return the member's record, or null.
  member_record_ptr find(const std::string& node_id) const;

  /// @return the last record of a removed member that is still remembered, or null.
  member_record_ptr find_removed(const std::string& node_id) const;

  /// @return the record of the member whose `id_hash` this is, or null.
  member_record_ptr find_by_hash(std::uint64_t id_hash) const;

  const std::map<std::string, member_record_ptr>& members() const { return members_; }
  const std::map<std::string, removed_member>& removed() const { return removed_; }

  /// @return the exclusive-or of the version hashes of all members; equal for equal tables.
  std::uint64_t summary() const { return summary_; }

  /// @return the number of buckets for a comparison: a power of two, at most 128, chosen so that a bucket holds at most
  ///         eight members on average as far as that maximum allows.
  std::uint32_t bucket_count() const;

  /// @return one summary per bucket: the exclusive-or of the lower 32 bits of its members' version hashes. A member is
  ///         in bucket `id_hash % count`.
  std::vector<std::uint32_t> bucket_summaries(std::uint32_t count) const;
  std::vector<member_record_ptr> records_in_bucket(std::uint32_t number, std::uint32_t count) const;

  /// @return 64-bit xxHash (XXH3) of the id.
  static std::uint64_t id_hash(const std::string& node_id);
  /// @return XXH3 hash of the record's version, seeded with the id hash.
  static std::uint64_t version_hash(const member_record& record);

 private:
  void erase_member(const std::string& node_id);

  std::map<std::string, member_record_ptr> members_;
  std::map<std::uint64_t, member_record_ptr> by_hash_;
  std::map<std::string, removed_member> removed_;
  std::uint64_t summary_ = 0;
};

/// @return true when `left` replaces `right`: its (incarnation, sequence, state) is higher.
bool supersedes(const member_record& left, const member_record& right);

}  // namespace heatherdeck

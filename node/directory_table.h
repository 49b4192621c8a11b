/// @file
/// The records of all members that one process knows, with the sums that compare two such tables in a few bytes.
///
///     if (table.put(record) == record_change::newer) spread(record);
///     if (table.summary() != theirs) exchange(table.buckets(64));
///
/// A record replaces another with a lower (incarnation, sequence, state). A member that was removed stays known for
/// 10 minutes, so that older records of it, which still travel, do not bring it back.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "model/gossip_messages.h"

namespace heatherdeck {

enum class record_change {
  newer,  ///< stored
  equal,  ///< known already
  older,  ///< superseded by what is known
};

class directory_table {
 public:
  struct removed_member {
    member_record_ptr record;
    time_point since;
  };

  /// Stores a record unless it is superseded. A record whose state is `left` removes the member.
  record_change put(time_point now, const member_record_ptr& record);

  /// Removes a member that is silent; its own next record brings it back.
  void remove(time_point now, const std::string& node_id);

  /// Forgets members that were removed long ago.
  void expire(time_point now);

  /// @return the member's record, or null.
  member_record_ptr find(const std::string& node_id) const;

  /// @return the record of a member that was removed, or null.
  member_record_ptr find_removed(const std::string& node_id) const;

  /// @return the member with this id hash, or null.
  member_record_ptr find_hash(std::uint64_t id_hash) const;

  const std::map<std::string, member_record_ptr>& members() const { return members_; }
  const std::map<std::string, removed_member>& removed() const { return removed_; }

  /// @return a sum over all members; equal tables have equal sums.
  std::uint64_t summary() const { return summary_; }

  /// @return how many buckets to compare, so that a bucket holds about eight members.
  std::uint32_t bucket_count() const;
  std::vector<std::uint32_t> buckets(std::uint32_t count) const;
  std::vector<member_record_ptr> in_bucket(std::uint32_t number, std::uint32_t count) const;

  static std::uint64_t id_hash(const std::string& node_id);
  static std::uint64_t version_hash(const member_record& record);

 private:
  void drop(const std::string& node_id);

  std::map<std::string, member_record_ptr> members_;
  std::map<std::uint64_t, member_record_ptr> by_hash_;
  std::map<std::string, removed_member> removed_;
  std::uint64_t summary_ = 0;
};

/// @return true when `left` replaces `right`: a higher (incarnation, sequence, state).
bool supersedes(const member_record& left, const member_record& right);

}  // namespace heatherdeck

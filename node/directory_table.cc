// Member records by node id, with the exclusive-or of their version hashes, which each change updates.
// Invariants: the version of a member never decreases, also across its removal, as long as the removal is remembered;
// `summary_` covers `members_` only, so tables that differ just in the removed members they remember are equal.
// Cost: O(log n) per change, O(n) for the summaries of all buckets or the records of one.
#include "node/directory_table.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace heatherdeck {

namespace {

constexpr duration removed_retention = std::chrono::minutes(10);
constexpr std::uint32_t max_buckets = 128;
constexpr std::size_t members_per_bucket = 8;

auto version_tuple(const member_record& record) {
  return std::tuple(record.incarnation, record.sequence, static_cast<int>(record.state));
}

}  // namespace

bool supersedes(const member_record& left, const member_record& right) {
  return version_tuple(left) > version_tuple(right);
}

std::uint64_t directory_table::id_hash(const std::string& node_id) {
  return XXH3_64bits(node_id.data(), node_id.size());
}

std::uint64_t directory_table::version_hash(const member_record& record) {
  const std::uint64_t parts[] = {record.incarnation, record.sequence, static_cast<std::uint64_t>(record.state)};
  return XXH3_64bits_withSeed(parts, sizeof(parts), id_hash(record.node_id));
}

record_change directory_table::put(time_point now, const member_record_ptr& record) {
  const auto gone = removed_.find(record->node_id);
  if (gone != removed_.end()) {
    // Only a new version issued by the member itself adds it again, and that has a higher incarnation or sequence.
    const auto& known = *gone->second.record;
    if (std::tuple(record->incarnation, record->sequence) <= std::tuple(known.incarnation, known.sequence)) {
      return version_tuple(*record) == version_tuple(known) ? record_change::equal : record_change::older;
    }
    removed_.erase(gone);
  }
  const auto known = members_.find(record->node_id);
  if (known != members_.end()) {
    if (!supersedes(*record, *known->second)) {
      return version_tuple(*record) == version_tuple(*known->second) ? record_change::equal : record_change::older;
    }
    erase_member(record->node_id);
  }
  if (record->state == member_state::left) {
    removed_[record->node_id] = {record, now};
    return record_change::newer;
  }
  members_[record->node_id] = record;
  by_hash_[id_hash(record->node_id)] = record;
  summary_ ^= version_hash(*record);
  return record_change::newer;
}

void directory_table::erase_member(const std::string& node_id) {
  const auto found = members_.find(node_id);
  summary_ ^= version_hash(*found->second);
  by_hash_.erase(id_hash(node_id));
  members_.erase(found);
}

void directory_table::remove(time_point now, const std::string& node_id) {
  const auto found = members_.find(node_id);
  if (found == members_.end()) return;
  removed_[node_id] = {found->second, now};
  erase_member(node_id);
}

void directory_table::expire(time_point now) {
  std::erase_if(removed_, [now](const auto& item) { return now - item.second.removed_at > removed_retention; });
}

member_record_ptr directory_table::find(const std::string& node_id) const {
  const auto found = members_.find(node_id);
  return found == members_.end() ? nullptr : found->second;
}

member_record_ptr directory_table::find_removed(const std::string& node_id) const {
  const auto found = removed_.find(node_id);
  return found == removed_.end() ? nullptr : found->second.record;
}

member_record_ptr directory_table::find_by_hash(std::uint64_t id_hash) const {
  const auto found = by_hash_.find(id_hash);
  return found == by_hash_.end() ? nullptr : found->second;
}

std::uint32_t directory_table::bucket_count() const {
  std::uint32_t count = 1;
  while (count < max_buckets && count * members_per_bucket < members_.size()) count *= 2;
  return count;
}

std::vector<std::uint32_t> directory_table::bucket_summaries(std::uint32_t count) const {
  std::vector<std::uint32_t> sums(count, 0);
  for (const auto& [hash, record] : by_hash_) sums[hash % count] ^= static_cast<std::uint32_t>(version_hash(*record));
  return sums;
}

std::vector<member_record_ptr> directory_table::records_in_bucket(std::uint32_t number, std::uint32_t count) const {
  std::vector<member_record_ptr> found;
  for (const auto& [hash, record] : by_hash_) {
    if (hash % count == number) found.push_back(record);
  }
  return found;
}

}  // namespace heatherdeck

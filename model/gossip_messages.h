/// @file
/// Messages of the directory's gossip, one a datagram.
///
///     probe    -> answer                  one member a second; both carry a summary of the sender's members
///     answer with buckets -> sync -> records   only when the summaries differ
///     records                             recently changed records, to some members
///     relay    -> probe by a third member, whose answer is passed on as `answer`
///     suspicion                               asks a member, directly or through another, to renew its record
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "kernel/enum_names.h"
#include "model/directory_messages.h"

namespace heatherdeck {

/// Longest datagram with its proof; stays below the path MTU of ordinary networks, so that none is fragmented.
inline constexpr std::size_t max_datagram_bytes = 1'200;
/// HMAC-SHA256 cut to 128 bits.
inline constexpr std::size_t datagram_proof_bytes = 16;

enum class gossip_kind { probe, answer, sync, records, relay, suspicion };

template <>
struct enum_table<gossip_kind> {
  static constexpr auto entries = std::to_array<enum_entry<gossip_kind>>({
      {gossip_kind::probe, "probe"},
      {gossip_kind::answer, "answer"},
      {gossip_kind::sync, "sync"},
      {gossip_kind::records, "records"},
      {gossip_kind::relay, "relay"},
      {gossip_kind::suspicion, "suspicion"},
  });
};

using member_record_ptr = std::shared_ptr<const member_record>;

/// The version of a member's record without its content.
struct member_status {
  std::string node_id;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  member_state state = member_state::alive;

  bool operator==(const member_status&) const = default;
};

/// The same by a hash of the id, for lists.
struct member_key {
  std::uint64_t id_hash = 0;
  std::uint64_t version_hash = 0;

  bool operator==(const member_key&) const = default;
};

struct gossip_message {
  gossip_kind kind = gossip_kind::probe;
  std::string from;                           ///< node id of the sender
  std::uint32_t nonce = 0;                    ///< probe and relay: chosen by the sender; answer: copied
  std::uint64_t summary = 0;                  ///< over all members that the sender holds; 0 when it is not told
  std::string subject;                        ///< relay: mesh address of the member to probe
  std::vector<std::uint32_t> buckets;         ///< answer: one sum for each bucket of members
  std::uint32_t bucket_count = 0;             ///< sync: number of buckets in all
  std::vector<std::uint32_t> bucket_numbers;  ///< sync: the buckets in question
  std::vector<member_key> keys;               ///< sync: what the sender holds in these buckets
  std::vector<std::uint64_t> wanted;          ///< records: id hashes of records that the sender lacks
  std::vector<member_record_ptr> records;
  std::vector<member_status> statuses;  ///< records: suspicions; suspicion: the suspected version
  bool recent = false;                  ///< records: changed a moment ago, to be passed on
};

}  // namespace heatherdeck

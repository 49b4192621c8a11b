/// @file
/// Messages of the directory's gossip protocol, one per UDP datagram. The codec is in `wire/`; `node/directory_core.h`
/// describes the protocol.
///
///     probe -> answer                          one member per second; both carry a hash over the sender's member list
///     answer with buckets -> sync -> records   only when the hashes differ: reconciles the member lists
///     records                                  recently changed records, to a few random members
///     relay -> probe by a third member         indirect probe; the third member forwards the `answer`
///     quarantine                               reports of crashed upstreams, for the service "quarantine"
///     suspicion                                tells a member, directly or through another, to renew its record
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "kernel/enum_names.h"
#include "model/directory_messages.h"

namespace heatherdeck {

/// Longest datagram, authentication code included; below the usual path MTU, so that datagrams are not fragmented.
inline constexpr std::size_t max_datagram_bytes = 1'200;
/// Length of the authentication code of a datagram: HMAC-SHA256, truncated to 128 bits.
inline constexpr std::size_t datagram_mac_bytes = 16;

enum class gossip_kind { probe, answer, sync, records, relay, suspicion, quarantine };

template <>
struct enum_table<gossip_kind> {
  static constexpr auto entries = std::to_array<enum_entry<gossip_kind>>({
      {gossip_kind::probe, "probe"},
      {gossip_kind::answer, "answer"},
      {gossip_kind::sync, "sync"},
      {gossip_kind::records, "records"},
      {gossip_kind::relay, "relay"},
      {gossip_kind::suspicion, "suspicion"},
      {gossip_kind::quarantine, "quarantine"},
  });
};

using member_record_ptr = std::shared_ptr<const member_record>;

/// Identifies one version of a member's record, without the record itself.
struct member_record_version {
  std::string node_id;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  member_state state = member_state::alive;

  bool operator==(const member_record_version&) const = default;
};

/// The same as two hashes, for lists: shorter than a `member_record_version`.
struct member_record_hash {
  std::uint64_t id_hash = 0;       ///< hash of the node id
  std::uint64_t version_hash = 0;  ///< hash of node id, incarnation, sequence and state

  bool operator==(const member_record_hash&) const = default;
};

/// One message; which fields are set depends on `kind`.
struct gossip_message {
  gossip_kind kind = gossip_kind::probe;
  std::string from;                           ///< node id of the sender
  std::uint32_t nonce = 0;                    ///< probe and relay: chosen by the sender; answer: copied from the probe
  std::uint64_t summary = 0;                  ///< hash over all records that the sender has; 0: not sent
  std::string probe_address;                  ///< relay: mesh address of the member to probe
  std::vector<std::uint32_t> buckets;         ///< answer: one hash for each bucket of members
  std::uint32_t bucket_count = 0;             ///< sync: total number of buckets
  std::vector<std::uint32_t> bucket_numbers;  ///< sync: indices of the buckets that differ
  std::vector<member_record_hash> record_hashes;  ///< sync: the sender's records in these buckets
  std::vector<std::uint64_t> wanted;              ///< records: id hashes of records that the sender requests
  std::vector<member_record_ptr> records;
  std::vector<member_record_version> statuses;  ///< records: suspected members; suspicion: the suspected record
  bool recent = false;                          ///< records: changed recently; the receiver spreads them further
  quarantine_update quarantine;                 ///< quarantine only
  /// answer: departures that an earlier process of the probing member has recorded and the present one has not
  std::vector<target_departure> departures;
};

}  // namespace heatherdeck

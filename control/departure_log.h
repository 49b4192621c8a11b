/// @file
/// The departures of targets in the replicated state, by host. A host of upstreams has no disk, so the processes that
/// it starts later read here which targets must not be used because of an announcement that arrives late.
///
///     if (departure_log::is_valid(command)) departures.record(entry.index, command);
///     if (departures.contains(command)) acknowledge();
///     std::vector<target_departure> left = departures.of_host("10.1.0.7");
///
/// Part of `ledger_content`; pure and deterministic. Bounded by count, not by time, because replicas share no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/ledger_messages.h"

namespace heatherdeck {

class departure_log {
 public:
  static constexpr std::size_t max_per_host = 16;
  static constexpr std::size_t max_departures = 4096;  ///< of all hosts
  static constexpr std::size_t max_name_bytes = 128;   ///< of a host and of a target

  struct entry {
    target_departure departure;
    std::uint64_t index = 0;  ///< of the log entry that recorded it
  };
  using entry_map = std::map<std::string, std::vector<entry>>;  ///< by host, the oldest first

  departure_log() = default;

  /// @param entries from an image.
  static departure_log restore(entry_map entries);

  /// @return false if the host or the target has no name, or one that is too long.
  static bool is_valid(const record_departure& command);

  /// Records a departure in place of an earlier one of the same target, and drops the oldest ones above the bounds.
  /// Does nothing if this departure or a later one of the target is recorded.
  /// @param index of the log entry; higher than any before.
  void record(std::uint64_t index, const record_departure& command);

  /// @return true if this departure or a later one of the target is recorded.
  bool contains(const record_departure& command) const;

  /// @return the departures on a host, the oldest first.
  std::vector<target_departure> of_host(const std::string& host) const;

  const entry_map& entries() const { return entries_; }
  std::size_t size() const { return size_; }

 private:
  void drop_oldest();

  entry_map entries_;
  std::size_t size_ = 0;
};

}  // namespace heatherdeck

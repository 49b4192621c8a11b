/// @file
/// The attempts of a node to reach a control host, several at a time. A host that is frozen accepts connections and
/// never responds, so waiting for one host after another takes a time that grows with the number of silent hosts.
/// Here further hosts are tried while the first ones have not responded, each time as many as are tried already, and
/// the first host to respond is used: n hosts are all tried within ceil(log2(n)) steps. Pure; used by
/// `subscriber_service`.
///
///     race.begin(now);
///     race.add(generation, host_id, now);                       // an attempt has begun
///     for (std::size_t n = race.due(now); n > 0; --n) ...       // at race.next_step(): begin n more attempts
///     if (!race.remove(generation) || race.empty()) ...         // an attempt has failed
///     for (auto& host : race.win(generation, now)) core.note_silent(host);       // a host has responded
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kernel/timer_service.h"

namespace heatherdeck {

class source_race {
 public:
  /// Longer than a connection with its handshake takes between continents.
  static constexpr duration step = std::chrono::milliseconds(300);

  /// Forgets all attempts; the first step is `step` after `now`.
  void begin(time_point now);

  void add(std::uint64_t generation, std::string host_id, time_point now);

  bool contains(std::uint64_t generation) const { return attempts_.contains(generation); }
  /// @return true if an attempt to reach this host has begun, also if it has failed.
  bool has_tried(const std::string& host_id) const { return tried_.contains(host_id); }
  bool empty() const { return attempts_.empty(); }
  std::size_t size() const { return attempts_.size(); }  ///< attempts under way

  /// Removes an attempt that has failed.
  /// @return false if it is not one of this race.
  bool remove(std::uint64_t generation) { return attempts_.erase(generation) != 0; }

  /// @return when more attempts are due.
  time_point next_step() const { return next_step_; }

  /// @return how many more attempts to begin, and moves the next step; 0 before it is due or without an attempt under
  /// way.
  std::size_t due(time_point now);

  /// Ends the race: this host has responded.
  /// @return the hosts that have been silent for a step or longer.
  std::vector<std::string> win(std::uint64_t generation, time_point now);

  /// @return host of an attempt of this race.
  const std::string& host(std::uint64_t generation) const { return attempts_.at(generation).host_id; }

  void clear() { attempts_.clear(); }

 private:
  struct attempt {
    std::string host_id;
    time_point since;
  };

  std::map<std::uint64_t, attempt> attempts_;  ///< by generation
  std::set<std::string> tried_;                ///< hosts of all attempts since `begin`
  time_point next_step_;
};

}  // namespace heatherdeck

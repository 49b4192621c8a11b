/// @file
/// Keeps which upstreams on this host are cold, from their announcements. Used by traffic_core, which limits the
/// requests a second to a cold one.
///
///     warmup_tracker warmups;
///     warmups.report("certdesk-1", {.left = 2400ms, .start_time_ms = 1700000000000}, false, now);
///     if (warmups.cold("certdesk-1", 3s, now)) ...      // 3s: how long upstreams of its service are cold after a
///     start
///
/// An upstream is cold for that time after a start that this process has seen, whatever it reports, and besides for as
/// long as it reports to be. One that has not been heard of counts as cold. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

class warmup_tracker {
 public:
  /// @param may_have_run the upstream may have started before this process; only asked of one not heard of yet.
  void report(const std::string& target, const warmup_report& report, bool may_have_run, time_point now);

  /// @param warmup time for which the upstream is cold after its start.
  bool cold(const std::string& target, duration warmup, time_point now) const;

 private:
  struct state {
    std::uint64_t start_time_ms = 0;
    std::optional<time_point> started_at;  ///< nothing: before this process
    time_point reported_until{};           ///< end of the cold time that it last reported
    time_point heard_at{};
  };
  /// Targets that have not announced themselves for longest are forgotten; a host has at most sixteen at a time.
  static constexpr std::size_t max_targets = 64;

  std::map<std::string, state> targets_;
};

}  // namespace heatherdeck

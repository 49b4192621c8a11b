/// @file
/// Parses the announcements of the upstreams on this host and keeps a lease for each target. Pure: request bodies and
/// the present time go in, changes come out. Called by `announcement_service`.
///
///     BOOST_LEAF_AUTO(announced, parse_announcement(body));
///     BOOST_LEAF_AUTO(changes, core.put(now, announced));
///     for (auto& endpoint : changes.endpoints) directory.post(local_endpoint_changed{endpoint});
///     changes = core.tick(now);                      // ends expired leases
///
/// An announcement is a JSON object; an announcement with a member that is not listed here is rejected:
///
///     {"service": "certdesk", "version": "v2", "target": "certdesk-dar-1-03", "address": "127.0.0.1:8080",
///      "slots": 20, "connections": 130, "state": "ready", "load": {"in_flight": 3, "queued": 0}}
///
/// `slots` is the number of requests that the upstream handles at a time, `connections` the number of connections that
/// it accepts (100 if absent). `load` and `connections` are optional, and so is `target` when the request path names
/// it. Also optional: `zone`, which is checked but not used, since a target is in the availability zone of its host;
/// `warmup_left_ms`, for how many more milliseconds the upstream is slow after its start; `born`, the time of its start
/// in milliseconds, and `sequence`, which rises with each announcement since that start. An announcement with a lower
/// (born, sequence) than an earlier one of the same target arrived out of order and is ignored.
///
/// A removed target has left for good. The highest sequence of its announcements that are still on their way is not
/// known, so all with the same `born` are ignored: only a later start brings it back. A target that does not give
/// `born` stays away for the duration of a lease, since its new start cannot be told from a late announcement.
///
/// Earlier processes of the host may have acknowledged departures that this one does not know. Between `hold` and
/// `release` no target is reported as a change, so that a late announcement of one that has left is not used meanwhile.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "kernel/result.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

/// A lease lasts this many announcement periods: the upstream counts as gone after this many announcements in a row
/// are missing.
inline constexpr int announcement_periods_per_lease = 4;
/// Maximum number of upstreams on one host; leaves room for an old and a new version of a few services.
inline constexpr std::size_t max_announced_targets = 16;
inline constexpr std::size_t max_announcement_bytes = 4096;

struct announcement {
  endpoint_record endpoint;
  load_report load;
  announcement_order order;
  std::optional<milliseconds> warmup_left;  ///< nothing: not given
};

/// Parses and validates an announcement.
/// @param target the target that the request path names; empty when the announcement itself names it.
/// @return the announcement, or `bad_message` with the invalid member in `where` and a remedy.
result<announcement> parse_announcement(std::string_view json, std::string_view target = {});

class announcement_core {
 public:
  /// What the caller has to forward to other services.
  struct changes {
    std::vector<endpoint_record> endpoints;  ///< changed ones; state `gone` when the lease has expired or was removed
    std::vector<local_load> loads;
    bool outdated = false;  ///< the announcement arrived out of order and was ignored
    /// Targets that drain or have left: what other hosts must know before the upstream gets its acknowledgement.
    std::vector<target_departure> departures;
  };

  /// @param period expected time between two announcements of a target.
  /// @param service the only service that may be announced on this host; empty: any.
  explicit announcement_core(duration period = milliseconds(500), std::string service = {})
      : lease_duration_(announcement_periods_per_lease * period), service_(std::move(service)) {}

  /// From now on targets are recorded, but not reported, until `release`.
  void hold() { held_ = true; }

  /// Takes over all departures that earlier processes of this host have acknowledged, as `adopt` does, and reports the
  /// targets that have announced themselves meanwhile.
  /// @return the changes.
  changes release(time_point now, const std::vector<target_departure>& departures);

  /// @return true between `hold` and `release`.
  bool is_held() const { return held_; }

  /// @return how long an announcement is valid.
  duration lease_duration() const { return lease_duration_; }

  /// Records an announcement and renews the lease of its target. One that arrives out of order is ignored.
  /// @return the changes; `limit` when too many targets are announced, `bad_message` for a service that is not allowed.
  result<changes> put(time_point now, const announcement& announced);

  /// Ends a lease at once. A named target that is not known has announced itself to an earlier process of this host; it
  /// has left all the same, and announcements of it that are still on their way must not bring it back.
  /// @param now the present time.
  /// @param target the target's name; may be empty when exactly one target is announced.
  /// @param unix_ms the time of day in milliseconds; a target that starts later under the same name is a new one.
  /// @return the changes; `not_found` when no target is named and there is not exactly one.
  result<changes> remove(time_point now, std::string_view target, std::uint64_t unix_ms = 0);

  /// Records that a target has stated in a response that it is leaving. It counts as draining, whatever it announces,
  /// until it is gone or announces a later start.
  /// @return the changes.
  changes mark_leaving(std::string_view target);

  /// Takes over the departures that an earlier process of this host has recorded: announcements of these targets that
  /// are still on their way must not bring them back, and those that have done so already are removed.
  /// @return the changes.
  changes adopt(time_point now, const std::vector<target_departure>& departures);

  /// Ends the leases that have expired.
  changes tick(time_point now);

  /// @return the announced targets with the remaining time of each lease.
  boost::json::value dump(time_point now) const;

 private:
  struct lease_entry {
    announcement announced;
    time_point expires_at;
    bool leaving = false;                 ///< it has stated so in a response
    bool reported = false;                ///< the caller knows its endpoint
    announcement_order draining_since{};  ///< the first announcement with the present state `draining`
  };
  /// A target that was removed or fell silent; remembered, so that a late announcement does not add it again.
  struct removed_target {
    std::string name;
    announcement_order last;  ///< announcements up to this one are outdated
    time_point removed_at;
    bool left = false;  ///< it was removed; otherwise it fell silent
  };
  static constexpr std::size_t max_removed_targets = 64;

  static void add_departure(const std::string& target, const announcement_order& last, changes& result);
  const removed_target& remember_removed(removed_target removed);
  bool is_outdated(time_point now, const removed_target& removed, const announcement_order& order) const;
  bool arrived_late(time_point now, const announcement& announced) const;
  static void report_gone(const lease_entry& entry, changes& result);
  static void report_load(const lease_entry& entry, changes& result);

  duration lease_duration_;
  std::string service_;
  std::map<std::string, lease_entry, std::less<>> targets_;
  std::deque<removed_target> removed_targets_;
  bool held_ = false;
};

}  // namespace heatherdeck

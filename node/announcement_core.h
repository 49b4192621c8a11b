/// @file
/// What the upstreams on this host say of themselves, with leases. Pure: texts and the present time go in, changes come
/// out.
///
///     BOOST_LEAF_AUTO(said, parse_announcement(body));
///     BOOST_LEAF_AUTO(changes, core.put(now, said));
///     for (auto& endpoint : changes.endpoints) directory.post(local_endpoint_changed{endpoint});
///     changes = core.tick(now);                      // ends leases
///
/// An announcement, as JSON; members that are not listed here are refused:
///
///     {"service": "certdesk", "version": "v2", "target": "certdesk-dar-1-03", "address": "127.0.0.1:8080",
///      "slots": 20, "connections": 130, "state": "ready", "load": {"in_flight": 3, "queued": 0}}
///
/// `load` and `connections` may be left out, and `target` when the call names it. Optional as well: `zone`, which is
/// checked but not used, since a target is in the zone of its host; `warmup_left_ms`, how long the upstream stays slow
/// after its start; `born`, the time of its start, and `sequence`, which rises within one start. An announcement with a
/// lower (born, sequence) than one before is late and changes nothing.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "kernel/result.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

/// So many announcements may be lost before the upstream counts as gone.
inline constexpr int announcements_for_lease = 4;
/// Upstreams on one host: an old and a new version of a few services.
inline constexpr std::size_t max_announced_targets = 16;
inline constexpr std::size_t max_announcement_bytes = 4096;

/// Orders the announcements of one target.
struct announcement_order {
  std::uint64_t born_ms = 0;   ///< start of the target; 0: not told
  std::uint64_t sequence = 0;  ///< within this start; 0: not told

  // clang-tidy takes the zero in the compiler's rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const announcement_order&) const = default;
};

struct announcement {
  endpoint_record endpoint;
  load_report load;
  announcement_order order;
  milliseconds warmup_left{0};
};

/// Parses and checks a whole announcement.
/// @param target named by the call; empty when the announcement itself names it.
/// @return the announcement, or `bad_message` with the member at fault in `where` and a remedy.
result<announcement> parse_announcement(std::string_view json, std::string_view target = {});

class announcement_core {
 public:
  /// What has to be passed on.
  struct changes {
    std::vector<endpoint_record> endpoints;  ///< changed; state `gone` when the lease has ended or was given up
    std::vector<local_load> loads;
  };

  /// @param period usual time between two announcements of a target.
  /// @param service the only one that may be announced; empty: any.
  explicit announcement_core(duration period = milliseconds(500), std::string service = {})
      : lease_(announcements_for_lease * period), service_(std::move(service)) {}

  duration lease() const { return lease_; }

  /// Takes an announcement and extends its lease.
  /// @return `limit` when too many targets are announced.
  result<changes> put(time_point now, const announcement& said);

  /// Ends a lease at once.
  /// @param target the target's name; may be empty when exactly one target is announced.
  /// @return `not_found` when there is no such target.
  result<changes> remove(std::string_view target);

  /// Ends the leases that have run out.
  changes tick(time_point now);

  /// @return the announced targets with the time left on each lease.
  boost::json::value dump(time_point now) const;

 private:
  struct leased {
    announcement said;
    time_point until;
  };
  /// Targets that have ended, so that a late announcement does not bring one back.
  static constexpr std::size_t max_ended = 64;

  void end(const announcement& said);

  duration lease_;
  std::string service_;
  std::map<std::string, leased, std::less<>> targets_;
  std::deque<std::pair<std::string, announcement_order>> ended_;
};

}  // namespace heatherdeck

/// @file
/// What the upstreams on this host say of themselves, with leases. Pure: texts and the present time go in, changes come
/// out.
///
///     BOOST_LEAF_AUTO(said, parse_announcement(body));
///     BOOST_LEAF_AUTO(changes, core.put(now, said));
///     for (auto& endpoint : changes.endpoints) directory.post(local_endpoint_changed{endpoint});
///     changes = core.tick(now);                      // ends leases
///
/// An announcement, as JSON; every member except `load` is required and others are refused:
///
///     {"service": "certdesk", "version": "v2", "target": "certdesk-dar-1-03", "address": "127.0.0.1:8080",
///      "slots": 20, "connections": 130, "state": "ready", "load": {"in_flight": 3, "queued": 0}}
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "kernel/result.h"
#include "kernel/timer_service.h"
#include "model/traffic_messages.h"

namespace heatherdeck {

/// Four announcements at the usual 500 ms may be lost before the upstream counts as gone.
inline constexpr duration announcement_lease = std::chrono::seconds(2);
/// Upstreams on one host: an old and a new version of a few services.
inline constexpr std::size_t max_announced_targets = 16;
inline constexpr std::size_t max_announcement_bytes = 4096;

struct announcement {
  endpoint_record endpoint;
  load_report load;
};

/// Parses and checks a whole announcement.
/// @return the announcement, or `bad_message` with the member at fault in `where` and a remedy.
result<announcement> parse_announcement(std::string_view json);

class announcement_core {
 public:
  /// What has to be passed on.
  struct changes {
    std::vector<endpoint_record> endpoints;  ///< changed; state `gone` when the lease has ended or was given up
    std::vector<local_load> loads;
  };

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
  std::map<std::string, leased, std::less<>> targets_;
};

}  // namespace heatherdeck

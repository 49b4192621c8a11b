/// @file
/// The targets that drain or have left, so that a process that is started again does not use one of them because of an
/// announcement that arrives late. A host of upstreams has no disk; other members keep the departures for it.
///
/// Used by `directory_core` only, which carries the departures in member records and in answers to probes.
///
///     if (table.add_own(now, departure)) publish(table.own());
///     table.await_copies(now, request, departure, 2);
///     if (table.count_copy(request)) confirm(request);              // for each answer of a member that has the record
///     answer.departures = table.of_earlier_process(now, node_id, incarnation);       // at the other member
///     if (!table.adopt(now, answer.departures).empty()) publish(table.own());        // at the process started again
///
/// A departure is kept for a minute: announcements arrive seconds late, not minutes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "model/directory_messages.h"

namespace heatherdeck {

inline constexpr duration departure_retention = std::chrono::minutes(1);
/// Departures that one host publishes; more than the targets that it may have.
inline constexpr std::size_t max_own_departures = 16;

class departure_table {
 public:
  /// A request of `add_own` that has been decided.
  struct decided_request {
    std::uint64_t request = 0;
    std::size_t copies = 0;  ///< members that have confirmed the departure
    bool kept = false;       ///< enough members have confirmed it
  };

  /// Adds a departure of a target on this host.
  /// @return true if it was not known, so the list of `own` has changed.
  bool add_own(time_point now, const target_departure& departure);

  /// Adds those that an earlier process of this host has recorded.
  /// @return those that were not known.
  std::vector<target_departure> adopt(time_point now, const std::vector<target_departure>& departures);

  /// @return the departures to publish, the oldest first.
  std::vector<target_departure> own(time_point now);

  /// Discards the oldest own departure.
  void drop_oldest_own();

  /// @return true if enough members have confirmed this departure or a later one of the target.
  bool is_kept(const target_departure& departure) const;

  /// Waits for confirmations of a departure.
  /// @param request chosen by the caller; returned in `decided_request`.
  /// @param copies number of members that have to confirm it.
  void await_copies(time_point now, std::uint64_t request, const target_departure& departure, std::size_t copies);

  /// Records a confirmation.
  /// @return the decided requests, which are forgotten.
  std::vector<decided_request> count_copy(std::uint64_t request);

  /// Gives up requests that have waited too long, and discards what has been kept long enough.
  /// @return the requests that are given up.
  std::vector<decided_request> expire(time_point now);

  /// Records what a member publishes about its host.
  void put(time_point now, const member_record& record);

  /// @return what earlier processes of a member have recorded and the process with this incarnation has not.
  std::vector<target_departure> of_earlier_process(time_point now, const std::string& node_id,
                                                   std::uint64_t incarnation) const;

 private:
  struct own_departure {
    target_departure departure;
    time_point discard_at;
    bool kept = false;
  };
  struct kept_departure {
    target_departure departure;
    std::uint64_t incarnation = 0;  ///< of the last process that has published it
    time_point discard_at;
  };
  struct pending_request {
    target_departure departure;
    std::size_t wanted = 0;
    std::size_t copies = 0;
    time_point since;
  };

  std::vector<own_departure> own_;
  std::map<std::uint64_t, pending_request> pending_;
  std::map<std::string, std::vector<kept_departure>> kept_;  ///< by node id
};

}  // namespace heatherdeck

/// @file
/// The departures on this host that the control hosts are to record. Pure: used by `subscriber_service`, which sends
/// the reports.
///
///     if (reporter.is_recorded(departure)) answer();
///     send(reporter.add(now, departure));                            // or later, on the next stream
///     for (const departure_report& report : reporter.unanswered()) send(report);          // on each new stream
///     if (auto since = reporter.confirm(receipt.id)) answer();
///     for (std::uint64_t id : reporter.expire(now)) give_up(id);
///
/// A report that is sent again has the same id. Recording a departure twice changes nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "kernel/timer_service.h"
#include "model/distribution_messages.h"

namespace heatherdeck {

class departure_reporter {
 public:
  /// Whoever asks for a report has its own, shorter time limit.
  static constexpr duration receipt_timeout = std::chrono::seconds(1);
  static constexpr std::size_t max_pending = 64;
  static constexpr std::size_t max_recorded = 16;  ///< remembered, for upstreams that announce `draining` repeatedly

  /// @return true if the control hosts are known to have recorded this departure.
  bool is_recorded(const target_departure& departure) const;

  /// Adds a departure to report.
  /// @return the report to send, or nothing while too many wait for their receipts.
  std::optional<departure_report> add(time_point now, const target_departure& departure);

  /// @return the reports without a receipt, the oldest first.
  std::vector<departure_report> unanswered() const;

  /// Handles a receipt.
  /// @return when the departure was added; nothing for an unknown id.
  std::optional<time_point> confirm(std::uint64_t id);

  /// Gives up reports that have waited too long.
  /// @return their ids.
  std::vector<std::uint64_t> expire(time_point now);

 private:
  struct pending_report {
    target_departure departure;
    time_point since;
  };

  std::map<std::uint64_t, pending_report> pending_;  ///< by id
  std::deque<target_departure> recorded_;
  std::uint64_t next_id_ = 1;
};

}  // namespace heatherdeck

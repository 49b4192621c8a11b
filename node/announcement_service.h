/// @file
/// The service "announcements": the HTTP API with which the upstreams on this host announce themselves.
///
///     PUT    /v1/announcement                every 500 ms; see node/announcement_core.h for the body
///     PUT    /v1/announcement/NAME           the same with the target name in the path
///     DELETE /v1/announcement?target=NAME    ends the lease at once
///     DELETE /v1/announcement/NAME           the same with the target name in the path
///
/// DELETE needs no NAME when only one target is announced.
///
/// A successful response is {"lease_ms": N}. That a target drains or has left is acknowledged once other members have
/// confirmed to "directory" that they know it, and the control hosts to "subscriber" that they have recorded it, so
/// that it holds for a later process of this host too, even if all processes end. Without these confirmations the
/// response is 503 after 0.7 s, and the upstream sends the request again.
///
/// If "subscriber" runs in the process, targets are reported only after it has passed on the departures that the
/// control hosts had recorded.
///
/// Listens on `upstream_listen`. Posts endpoints to "directory", load to "traffic" and connection limits to "pool", as
/// far as these run in the process. Gets `announcement_notice` from "traffic", "directory" and
/// "subscriber".
#pragma once

#include <memory>

#include "kernel/kernel.h"
#include "model/settings.h"

namespace heatherdeck {

class announcement_service : public service {
 public:
  /// @param s uses upstream_listen, announcement_period and caller_service.
  static result<std::unique_ptr<service>> make(const settings& s);
  ~announcement_service() override;

  std::string_view name() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

  /// @return the port of the API; known after `start`.
  std::uint16_t port() const;

 private:
  struct state;
  explicit announcement_service(const settings& s);

  settings settings_;
  std::shared_ptr<state> state_;
};

}  // namespace heatherdeck

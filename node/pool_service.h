/// @file
/// The service "pool": keep-alive HTTP/1.1 connections to the upstream on this host.
///
///     BOOST_LEAF_AUTO(pool, pool_service::make(settings));
///     auto pool = k.find<pool_message>(to_name(service_name::pool));
///     auto connection = co_await ask<upstream_connection_ptr>(timers, executor, pool, 1s, make);
///     ...
///     pool.post(release_connection{address, connection});
///
/// A connection is handed out only if it is still open and silent. A request that may not be repeated gets none that
/// was idle for longer than `max_idle_for_non_idempotent`, because the upstream may be closing it at that moment.
#pragma once

#include <memory>

#include "kernel/kernel.h"
#include "model/settings.h"
#include "node/pool_messages.h"

namespace heatherdeck {

/// The shortest keep-alive time-out of common upstreams is 1 s; half of it leaves room for a slow upstream.
inline constexpr duration max_idle_for_non_idempotent = milliseconds(500);
/// An idle connection is closed after this time.
inline constexpr duration max_idle_time = std::chrono::seconds(30);
/// Used until the target has announced its own limit.
inline constexpr std::uint32_t default_connection_limit = 130;

class pool_service : public service {
 public:
  static result<std::unique_ptr<service>> make(const settings& s);
  ~pool_service() override;

  std::string_view name() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  struct state;
  pool_service() = default;

  std::shared_ptr<state> state_;
};

}  // namespace heatherdeck

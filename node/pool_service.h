/// @file
/// The service "pool": keep-alive HTTP/1.1 connections to the upstreams on this host.
///
///     BOOST_LEAF_AUTO(made, pool_service::make(settings));
///     BOOST_LEAF_CHECK(k.add(std::move(made)));
///     ...
///     BOOST_LEAF_AUTO(pool, k.find<pool_message>(to_name(service_name::pool)));
///     auto connection = co_await ask<upstream_connection_ptr>(timers, executor, pool, 1s, make);
///     ...
///     pool.post(release_connection{address, connection});
///
/// A connection is handed out only if it is still open and has no unread data. A non-idempotent request gets no
/// connection that has been idle for longer than `max_idle_for_non_idempotent`, because the upstream may be closing it
/// at that moment and the request could not be sent again.
#pragma once

#include <memory>

#include "kernel/kernel.h"
#include "model/settings.h"
#include "node/pool_messages.h"

namespace heatherdeck {

/// The shortest keep-alive timeout of common upstreams is 1 s; half of it leaves a margin for a slow upstream.
inline constexpr duration max_idle_for_non_idempotent = milliseconds(500);
/// A connection that has been idle for this long is closed.
inline constexpr duration max_idle_time = std::chrono::seconds(30);
/// Connections per target until the target has announced its own limit.
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

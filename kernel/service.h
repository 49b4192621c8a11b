/// @file
/// The interface through which the kernel runs a service.
///
/// A service is one task (or a task with child tasks) that owns its sockets and its state. The kernel calls in turn:
/// 1. `publish`: registers the service's mailbox addresses with the kernel, before any service starts;
/// 2. `start`: looks up the addresses it needs, once, opens its listeners and spawns its task; in dependency order;
/// 3. `drain`: rejects new work and completes what is in flight; in reverse order;
/// 4. `stop`: closes sockets and mailboxes, directly after the service's own drain.
///
///     class echo_service : public service {
///      public:
///       std::string_view name() const override { return "echo"; }
///       void publish(kernel& k) override { k.publish("echo", inbox_.address()); }
///       result<void> start(kernel& k) override { BOOST_LEAF_AUTO(peer, k.find<mesh_message>("mesh")); ... }
///     };
#pragma once

#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "kernel/result.h"

namespace heatherdeck {

class kernel;

class service {
 public:
  service() = default;
  service(const service&) = delete;
  service& operator=(const service&) = delete;
  virtual ~service() = default;

  /// @return the unique name under which other services look this one up.
  virtual std::string_view name() const = 0;

  /// @return the names of the services that must be started before this one.
  virtual std::vector<std::string_view> dependencies() const { return {}; }

  /// @return the names of further services that, if they are registered, are started before this one. They run until
  /// its
  ///   drain has ended.
  virtual std::vector<std::string_view> optional_dependencies() const { return {}; }

  /// Registers the service's addresses; called for all services before the first `start`.
  virtual void publish(kernel&) {}

  /// Looks up other services and begins to work.
  /// @return an error when the service cannot start; the process then exits with code 1.
  virtual result<void> start(kernel&) = 0;

  /// Completes work in flight; called once, before `stop`. `stop` follows without it if the drain limit is over.
  virtual boost::asio::awaitable<void> drain() { co_return; }

  /// Closes sockets and mailboxes; must not block.
  virtual void stop() = 0;

  /// @return false while the service cannot do its work yet, e.g. before the first document; shown by `GET /ready`.
  virtual bool ready() const { return true; }

  /// @return the service's state for `GET /dump`, without secrets.
  virtual boost::json::value dump() const = 0;
};

}  // namespace heatherdeck

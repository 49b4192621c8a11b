/// @file
/// The interface that the kernel knows of a service.
///
/// A service is one task (or a task with child tasks) that owns its sockets and its state. Life of a service:
/// 1. `publish`: hands its addresses to the kernel, before any service starts;
/// 2. `start`: looks up the names it needs, once, opens its listeners and spawns its task, in dependency order;
/// 3. `drain`: refuses new work and finishes what is in flight, in reverse order;
/// 4. `stop`: closes sockets and mailboxes.
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

  /// @return the name under which others find this service.
  virtual std::string_view name() const = 0;

  /// @return the names of the services that must have started before this one.
  virtual std::vector<std::string_view> dependencies() const { return {}; }

  /// Publishes the service's addresses; called for all services before the first `start`.
  virtual void publish(kernel&) {}

  /// Finds other services and begins to work.
  /// @return an error that names the remedy, when the process cannot run without this service.
  virtual result<void> start(kernel&) = 0;

  /// Finishes work in flight; called once, before `stop`. Must end by itself.
  virtual boost::asio::awaitable<void> drain() { co_return; }

  /// Closes everything; must not wait.
  virtual void stop() = 0;

  /// @return false while the service cannot do its work yet, e.g. before the first document.
  virtual bool ready() const { return true; }

  /// @return the service's state for the dump; secrets are left out.
  virtual boost::json::value dump() const = 0;
};

}  // namespace heatherdeck

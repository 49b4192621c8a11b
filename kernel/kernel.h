/// @file
/// The micro-kernel: registers named services, starts and stops them, and owns their timers and event loop.
///
/// The kernel depends on no particular service. `main` adds the services that the settings enable:
///
///     kernel k;
///     k.add(std::make_unique<mesh_service>(...));
///     k.add(std::make_unique<subscriber_service>(...));
///     return k.run();        // starts, waits for SIGTERM or SIGINT, drains, stops; returns the exit code
#pragma once

#include <any>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "kernel/mailbox.h"
#include "kernel/service.h"
#include "kernel/timer_service.h"

namespace heatherdeck {

class kernel {
 public:
  kernel();
  ~kernel();
  kernel(const kernel&) = delete;
  kernel& operator=(const kernel&) = delete;

  /// Registers a service; must be called before `start`.
  /// @return an error when a service of the same name is registered already.
  result<void> add(std::unique_ptr<service> added);

  /// Registers a mailbox address under a service's name; one address per name and message type.
  template <class Message>
  void publish(std::string_view name, address<Message> published) {
    addresses_[address_key_of<Message>(name)] = published;
  }

  /// Looks up a mailbox address. Services call it once, in `service::start`, and keep the result.
  /// @return `missing_service` when no running service has published this message type under the name.
  template <class Message>
  result<address<Message>> find(std::string_view name) const {
    const auto found = addresses_.find(address_key_of<Message>(name));
    if (found == addresses_.end()) return fail(missing_service_error(name));
    return std::any_cast<address<Message>>(found->second);
  }

  /// @return true when a service of that name is registered; for optional dependencies.
  bool has(std::string_view name) const;

  /// Starts all services in dependency order. If one fails, those already started are stopped and its error returned.
  result<void> start();

  /// Drains and stops all services in reverse order of start; all drains together take at most the drain limit.
  awaitable<void> stop();

  /// Starts the services, blocks until SIGTERM, SIGINT or `request_stop`, then drains and stops them.
  /// @return 0 after a clean stop, 1 when the start failed or a service reported a fatal error.
  int run();

  /// @param callback called on the kernel's thread at each SIGHUP while `run` is active.
  void set_reload_callback(std::function<void()> callback) { reload_callback_ = std::move(callback); }

  /// Makes `run` drain, stop and return; called for `POST /drain` and by a service after a fatal error.
  /// @param exit_code return value of `run`; the largest one wins when there are several calls.
  void request_stop(int exit_code);

  /// @return the state of the process as JSON, with one member of `services` for each started service.
  boost::json::value dump() const;

  /// @return the names of the started services that are not ready.
  std::vector<std::string_view> not_ready() const;

  timer_service& timers() { return timers_; }
  executor_type executor() { return io_.get_executor(); }
  boost::asio::io_context& io() { return io_; }

  /// Sets the maximum total time of all drains, 30 s by default.
  void set_drain_limit(duration limit) { drain_limit_ = limit; }

 private:
  using address_key = std::pair<std::string, std::string_view>;

  template <class Message>
  static address_key address_key_of(std::string_view name) {
    return {std::string(name), typeid(Message).name()};
  }
  static error missing_service_error(std::string_view name);
  result<std::vector<service*>> start_order() const;

  boost::asio::io_context io_{1};
  timer_service timers_;
  std::vector<std::unique_ptr<service>> services_;
  std::vector<service*> started_;
  std::map<address_key, std::any> addresses_;
  awaitable<void> wait_for_reloads();

  std::function<void()> reload_callback_;
  duration drain_limit_ = std::chrono::seconds(30);
  int exit_code_ = 0;
  bool stopping_ = false;
};

}  // namespace heatherdeck

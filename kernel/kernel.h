/// @file
/// The micro-kernel: a table of named services, their start and stop, the timers and the thread they run on.
///
/// The kernel knows no service. A process is built by adding the services that its settings turn on:
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

  /// Adds a service before `start`.
  /// @return an error when the name is taken.
  result<void> add(std::unique_ptr<service> added);

  /// Makes an address known under a service's name; one address per name and message type.
  template <class Message>
  void publish(std::string_view name, address<Message> published) {
    addresses_[key_of<Message>(name)] = published;
  }

  /// Looks up an address; meant to be called once, in `service::start`.
  /// @return `missing_service` when no running service has published this message type under the name.
  template <class Message>
  result<address<Message>> find(std::string_view name) const {
    const auto found = addresses_.find(key_of<Message>(name));
    if (found == addresses_.end()) return fail(missing(name));
    return std::any_cast<address<Message>>(found->second);
  }

  /// @return true when a service of that name was added; for optional partners.
  bool has(std::string_view name) const;

  /// Starts all services in dependency order. On an error the services that had started are stopped again.
  result<void> start();

  /// Drains and stops all services in reverse order; at most `drain_limit` for all drains together.
  awaitable<void> stop();

  /// Starts, runs until SIGTERM or SIGINT or `request_stop`, drains and stops.
  /// @return 0 after a clean stop, 1 when the start failed or a service reported a fatal error.
  int run();

  /// @param reload called on SIGHUP while the process runs.
  void on_reload(std::function<void()> reload) { reload_ = std::move(reload); }

  /// Ends `run` from inside the process; a service calls it after a fatal error.
  /// @param exit_code what `run` is to return.
  void request_stop(int exit_code);

  /// @return an object with one member for each service.
  boost::json::value dump() const;

  /// @return the names of the started services that are not ready.
  std::vector<std::string_view> not_ready() const;

  timer_service& timers() { return timers_; }
  executor_type executor() { return io_.get_executor(); }
  boost::asio::io_context& io() { return io_; }

  /// The longest time that all drains may take together.
  void set_drain_limit(duration limit) { drain_limit_ = limit; }

 private:
  using address_key = std::pair<std::string, std::string_view>;

  template <class Message>
  static address_key key_of(std::string_view name) {
    return {std::string(name), typeid(Message).name()};
  }
  static error missing(std::string_view name);
  result<std::vector<service*>> start_order() const;

  boost::asio::io_context io_{1};
  timer_service timers_;
  std::vector<std::unique_ptr<service>> services_;
  std::vector<service*> started_;
  std::map<address_key, std::any> addresses_;
  awaitable<void> wait_for_reloads();

  std::function<void()> reload_;
  duration drain_limit_ = std::chrono::seconds(30);
  int exit_code_ = 0;
  bool stopping_ = false;
};

}  // namespace heatherdeck

// The kernel sorts services topologically by their declared dependencies (depth-first, insertion order among equals)
// and runs them all on one thread, so that state owned by a task needs no lock. Invariant: a service is started after
// all of its dependencies and stopped before any of them. Cost: addresses are looked up only when a service starts.
#include "kernel/kernel.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>

#include "kernel/log.h"

namespace heatherdeck {

kernel::kernel() : timers_(io_.get_executor()) {}

kernel::~kernel() {
  // Services and addresses must be destroyed before the executor that their mailboxes use.
  addresses_.clear();
  services_.clear();
  timers_.stop();
}

result<void> kernel::add(std::unique_ptr<service> added) {
  if (has(added->name())) {
    return fail(error_kind::internal, "a service named '" + std::string(added->name()) + "' is already registered",
                "remove the duplicate row from the table in daemon/service_table.cc");
  }
  services_.push_back(std::move(added));
  return {};
}

bool kernel::has(std::string_view name) const {
  return std::any_of(services_.begin(), services_.end(), [&](const auto& s) { return s->name() == name; });
}

error kernel::missing_service_error(std::string_view name) {
  return {error_kind::missing_service, "no service named '" + std::string(name) + "' runs in this process",
          "enable the role ('control' or 'node') in the settings that includes this service", std::string(name)};
}

result<std::vector<service*>> kernel::start_order() const {
  std::vector<service*> order;
  std::set<std::string_view> visiting;
  const std::function<result<void>(service*)> visit = [&](service* s) -> result<void> {
    if (std::find(order.begin(), order.end(), s) != order.end()) return {};
    if (!visiting.insert(s->name()).second) {
      return fail(error_kind::internal, "the dependencies of service '" + std::string(s->name()) + "' form a cycle",
                  "remove a service from the dependencies() of one of the services in the cycle");
    }
    const auto find_service = [&](std::string_view dependency) {
      return std::find_if(services_.begin(), services_.end(),
                          [&](const auto& other) { return other->name() == dependency; });
    };
    for (const std::string_view dependency : s->dependencies()) {
      const auto found = find_service(dependency);
      if (found == services_.end()) return fail(missing_service_error(dependency));
      BOOST_LEAF_CHECK(visit(found->get()));
    }
    for (const std::string_view dependency : s->optional_dependencies()) {
      const auto found = find_service(dependency);
      if (found != services_.end()) BOOST_LEAF_CHECK(visit(found->get()));
    }
    order.push_back(s);
    return {};
  };
  for (const auto& s : services_) BOOST_LEAF_CHECK(visit(s.get()));
  return order;
}

result<void> kernel::start() {
  BOOST_LEAF_AUTO(order, start_order());
  for (service* s : order) s->publish(*this);
  for (service* s : order) {
    const outcome<void> started = capture([&] { return s->start(*this); });
    if (!started) {
      while (!started_.empty()) {
        started_.back()->stop();
        started_.pop_back();
      }
      return fail(started.failure());
    }
    started_.push_back(s);
    log_event(log_level::debug, "service_started", {{"service", s->name()}});
  }
  return {};
}

awaitable<void> kernel::stop() {
  if (std::exchange(stopping_, true)) co_return;
  // A service that is still draining at the deadline is stopped with its work in flight; the log names it.
  const time_point deadline = timer_service::now() + drain_limit_;
  auto finished = std::make_shared<boost::asio::experimental::channel<void(boost::system::error_code)>>(executor(), 1);
  while (!started_.empty()) {
    service* s = started_.back();
    boost::asio::co_spawn(
        executor(),
        [s, finished]() -> awaitable<void> {
          co_await s->drain();
          finished->try_send(boost::system::error_code{});
        },
        boost::asio::detached);
    {
      const subscription timeout = timers_.after(deadline - timer_service::now(), [finished] {
        finished->try_send(boost::system::error_code(boost::asio::error::timed_out));
      });
      auto [ec] = co_await finished->async_receive(use_tuple);
      if (ec) log_event(log_level::warning, "drain_limit_reached", {{"service", s->name()}, {"state", s->dump()}});
    }
    s->stop();
    log_event(log_level::debug, "service_stopped", {{"service", s->name()}});
    started_.pop_back();
  }
  io_.stop();
}

int kernel::run() {
  const outcome<void> all_started = capture([this] { return start(); });
  if (!all_started) {
    log_error("start_failed", all_started.failure());
    return 1;
  }
  log_event(log_level::info, "started", {{"services", services_.size()}});
  boost::asio::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([this](boost::system::error_code ec, int number) {
    if (ec) return;
    log_event(log_level::info, "stopping", {{"signal", number}});
    boost::asio::co_spawn(io_, stop(), boost::asio::detached);
  });
  // Always handled, also without a reload callback: the default action of SIGHUP would terminate the process.
  boost::asio::co_spawn(io_, wait_for_reloads(), boost::asio::detached);
  io_.run();
  log_event(log_level::info, "stopped", {{"exit_code", exit_code_}});
  return exit_code_;
}

awaitable<void> kernel::wait_for_reloads() {
  boost::asio::signal_set signals(io_, SIGHUP);
  while (!stopping_) {
    auto [ec, number] = co_await signals.async_wait(use_tuple);
    if (ec) co_return;
    if (reload_callback_) reload_callback_();
  }
}

void kernel::request_stop(int exit_code) {
  exit_code_ = std::max(exit_code_, exit_code);
  boost::asio::co_spawn(io_, stop(), boost::asio::detached);
}

std::vector<std::string_view> kernel::not_ready() const {
  std::vector<std::string_view> names;
  for (const service* s : started_) {
    if (!s->ready()) names.push_back(s->name());
  }
  return names;
}

boost::json::value kernel::dump() const {
  boost::json::object services;
  for (const service* s : started_) services[s->name()] = s->dump();
  return boost::json::object{{"schema", "heatherdeck-dump-1"}, {"services", std::move(services)}};
}

}  // namespace heatherdeck

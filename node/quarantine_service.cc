// One task feeds the core and carries out what it returns. Invariant: "traffic" gets every list, because a list that
// finds its mailbox full is posted again with the next tick. Cost: nothing but a timer message a second while no
// upstream crashes; for a lost call one connection, which goes to the pool when the upstream accepts it.
#include "node/quarantine_service.h"

#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "kernel/log.h"
#include "kernel/overloaded.h"
#include "model/quarantine_messages.h"
#include "model/service_names.h"
#include "model/traffic_messages.h"
#include "node/pool_messages.h"
#include "node/quarantine_core.h"
#include "node/upstream_connection.h"

namespace heatherdeck {
namespace {

constexpr std::size_t inbox_capacity = 1'024;
// On the same host a connection is accepted or refused at once; an upstream that does neither has not crashed.
constexpr milliseconds check_timeout{500};

quarantine_options make_options(const settings& s) {
  std::random_device source;
  const std::uint64_t seed = s.seed != 0 ? s.seed : (static_cast<std::uint64_t>(source()) << 32) | source();
  return {.mesh_address = s.mesh_address(), .random_seed = seed};
}

}  // namespace

struct quarantine_service::state : std::enable_shared_from_this<quarantine_service::state> {
  state(kernel& k, const settings& s) : owner(k), core(make_options(s)), inbox(k.executor(), inbox_capacity) {}

  kernel& owner;
  quarantine_core core;
  mailbox<quarantine_message> inbox;
  address<traffic_message> traffic;
  address<directory_message> directory;
  address<pool_message> pool;
  subscription ticks;
  bool list_unsent = false;

  void handle(quarantine_message message);
  void apply(quarantine_output out);
  void send_list();
  void log_changes(const quarantine_list& before) const;
  static awaitable<void> check(std::shared_ptr<state> self, upstream_check wanted);
  static awaitable<void> run(std::shared_ptr<state> self);
};

void quarantine_service::state::handle(quarantine_message message) {
  const time_point now = timer_service::now();
  const quarantine_list_ptr before = core.list();
  quarantine_output out =
      std::visit(overloaded_handlers{
                     [&](const quarantine_tick&) { return core.tick(now); },
                     [&](const call_lost& m) { return core.on_call_lost(now, m); },
                     [&](const listed_call_answered& m) { return core.on_answered(now, m); },
                     [&](const upstream_checked& m) {
                       if (m.refused) log_event(log_level::warning, "upstream_crashed", {{"target", m.target}});
                       return core.on_checked(now, m);
                     },
                     [&](const quarantine_update_received& m) { return core.receive(now, m.update); },
                     [&](const directory_changed& m) { return core.set_members(now, *m.members); },
                 },
                 message);
  if (out.list_changed) log_changes(*before);
  apply(std::move(out));
}

void quarantine_service::state::apply(quarantine_output out) {
  for (upstream_check& wanted : out.checks) {
    boost::asio::co_spawn(owner.executor(), check(shared_from_this(), std::move(wanted)), boost::asio::detached);
  }
  for (outgoing_quarantine_update& update : out.updates) {
    if (directory) directory.post(send_quarantine_update{std::move(update.to), std::move(update.update)});
  }
  if (out.list_changed || list_unsent) send_list();
}

void quarantine_service::state::send_list() { list_unsent = traffic && !traffic.post(quarantine_changed{core.list()}); }

void quarantine_service::state::log_changes(const quarantine_list& before) const {
  for (const auto& [service, requests] : core.list()->services) {
    for (const auto& [request, standing] : requests) {
      if (standing != request_standing::quarantined || before.standing_of(service, request) == standing) continue;
      log_event(log_level::warning, "request_quarantined",
                {{"service", service}, {"fingerprint", to_text(request)}, {"crashes", core.crash_count()}});
    }
  }
  for (const auto& [service, requests] : before.services) {
    for (const auto& [request, standing] : requests) {
      const request_standing now = core.list()->standing_of(service, request);
      if (standing != request_standing::quarantined || now == standing) continue;
      log_event(log_level::warning, "quarantine_ended",
                {{"service", service}, {"fingerprint", to_text(request)}, {"standing", to_name(now)}});
    }
  }
}

awaitable<void> quarantine_service::state::check(std::shared_ptr<state> self, upstream_check wanted) {
  upstream_checked checked{.target = wanted.target};
  if (self->pool) {
    auto make = [&wanted](reply<upstream_connection_ptr> answer) {
      return acquire_connection{wanted.upstream_address, true, check_timeout, std::move(answer), true};
    };
    auto asking =
        ask<upstream_connection_ptr>(self->owner.timers(), self->owner.executor(), self->pool, 2 * check_timeout, make);
    auto connection = co_await std::move(asking);
    checked.refused = !connection && connection.failure().kind == error_kind::refused;
    if (connection) return_to_pool(std::move(*connection));
  }
  auto sending = self->inbox.address().send(std::move(checked));
  (void)co_await std::move(sending);
}

awaitable<void> quarantine_service::state::run(std::shared_ptr<state> self) {
  while (true) {
    auto message = co_await self->inbox.receive();
    if (!message) co_return;
    self->handle(std::move(*message));
  }
}

quarantine_service::quarantine_service(const settings& s) : settings_(s) {}

quarantine_service::~quarantine_service() { stop(); }

result<std::unique_ptr<service>> quarantine_service::make(const settings& s) {
  return std::unique_ptr<service>(new quarantine_service(s));
}

std::string_view quarantine_service::name() const { return to_name(service_name::quarantine); }

void quarantine_service::publish(kernel& k) {
  state_ = std::make_shared<state>(k, settings_);
  k.publish(name(), state_->inbox.address());
}

result<void> quarantine_service::start(kernel& k) {
  if (k.has(to_name(service_name::traffic))) {
    BOOST_LEAF_ASSIGN(state_->traffic, k.find<traffic_message>(to_name(service_name::traffic)));
  }
  if (k.has(to_name(service_name::directory))) {
    BOOST_LEAF_ASSIGN(state_->directory, k.find<directory_message>(to_name(service_name::directory)));
  }
  if (k.has(to_name(service_name::pool))) {
    BOOST_LEAF_ASSIGN(state_->pool, k.find<pool_message>(to_name(service_name::pool)));
  }
  boost::asio::co_spawn(k.executor(), state::run(state_), boost::asio::detached);
  state_->ticks =
      k.timers().every(quarantine_tick_period, [inbox = state_->inbox.address()] { inbox.post(quarantine_tick{}); });
  return {};
}

void quarantine_service::stop() {
  if (!state_) return;
  state_->ticks.cancel();
  state_->inbox.close();
}

boost::json::value quarantine_service::dump() const {
  boost::json::object services;
  for (const auto& [service, requests] : state_->core.list()->services) {
    boost::json::array rows;
    for (const auto& [request, standing] : requests) {
      rows.push_back(boost::json::object{{"fingerprint", to_text(request)}, {"standing", to_name(standing)}});
    }
    services[service] = std::move(rows);
  }
  return boost::json::object{{"crashes", state_->core.crash_count()}, {"requests", std::move(services)}};
}

}  // namespace heatherdeck

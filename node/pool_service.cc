// One task owns the idle connections and counts those in use. Invariant: for each target, the sum of connecting, used
// and idle connections never exceeds the target's limit. The most recently used connection is handed out first, so that
// surplus connections reach the idle timeout and are closed. Cost: one system call to acquire a connection (checks that
// it is open and has no unread data), and one per idle connection in the sweep every second.
#include "node/pool_service.h"

#include <algorithm>
#include <deque>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "model/service_names.h"
#include "node/upstream_connection.h"
#include "wire/endpoint.h"

namespace heatherdeck {
namespace {

using tcp = boost::asio::ip::tcp;

// Exceeds the maximum number of sessions, each of which has at most one message queued, so no message is ever dropped.
constexpr std::size_t mailbox_capacity = 32'768;

struct target_connections {
  std::uint32_t limit = default_connection_limit;
  std::uint32_t in_use = 0;  // connecting or in use
  std::deque<upstream_connection_ptr> idle;
};

error connect_error(error_kind kind, const std::string& address, const std::string& text) {
  return {kind, "connection to the upstream failed: " + text,
          "check that the upstream listens on its announced address", address};
}

error_kind connect_error_kind(const boost::system::error_code& ec, bool timed_out) {
  if (timed_out) return error_kind::timeout;
  return ec == boost::asio::error::connection_refused ? error_kind::refused : error_kind::unreachable;
}

// An upstream that rejects requests may also reset new connections, after which a non-idempotent request is lost.
bool rejected_on_idle_connection(const target_connections& target, const std::string& request_id) {
  return std::any_of(target.idle.begin(), target.idle.end(), [&](const upstream_connection_ptr& connection) {
    return connection->was_unsuccessful(request_id);
  });
}

}  // namespace

struct pool_service::state : std::enable_shared_from_this<pool_service::state> {
  state(timer_service& t, executor_type e) : timers(&t), executor(std::move(e)), inbox(executor, mailbox_capacity) {}

  timer_service* timers;
  executor_type executor;
  mailbox<pool_message> inbox;
  subscription tick;
  std::map<std::string, target_connections, std::less<>> targets;
  std::uint64_t connects = 0;
  std::uint64_t reuses = 0;
  std::uint64_t stale = 0;
  std::uint64_t failures = 0;

  void handle(pool_tick);
  void handle(acquire_connection request);
  void handle(release_connection returned);
  void handle(const set_connection_limit& change);
  upstream_connection_ptr take_idle(target_connections& target, const acquire_connection& request);
  void connect(acquire_connection request);
  // Handles messages until the mailbox closes; the task keeps the state alive.
  static awaitable<void> run(std::shared_ptr<state> self);
};

void pool_service::state::handle(pool_tick) {
  const time_point now = timer_service::now();
  for (auto& [address, target] : targets) {
    std::erase_if(target.idle, [now](const upstream_connection_ptr& connection) {
      return now - connection->idle_since > max_idle_time || !connection->stream.open_and_idle();
    });
  }
  std::erase_if(targets, [](const auto& entry) {
    return entry.second.limit == 0 && entry.second.in_use == 0 && entry.second.idle.empty();
  });
}

upstream_connection_ptr pool_service::state::take_idle(target_connections& target, const acquire_connection& request) {
  const time_point now = timer_service::now();
  const auto usable = [&request](const upstream_connection_ptr& c) { return !c->was_unsuccessful(request.request_id); };
  while (true) {
    // The most recently used connection is at the back; if it is too old for this request, all others are.
    const auto found = std::find_if(target.idle.rbegin(), target.idle.rend(), usable);
    if (found == target.idle.rend()) return nullptr;
    if (request.non_idempotent && now - (*found)->idle_since > max_idle_for_non_idempotent) return nullptr;
    upstream_connection_ptr connection = std::move(*found);
    target.idle.erase(std::next(found).base());
    if (connection->stream.open_and_idle()) return connection;
    ++stale;
  }
}

void pool_service::state::handle(acquire_connection request) {
  target_connections& target = targets[request.upstream_address];
  if (upstream_connection_ptr connection = request.fresh ? nullptr : take_idle(target, request)) {
    ++target.in_use;
    ++reuses;
    connection->reused = true;
    connection->set_lease(inbox.address());
    request.answer(std::move(connection));
    return;
  }
  if (request.non_idempotent && rejected_on_idle_connection(target, request.request_id)) {
    ++failures;
    request.answer(error{error_kind::overloaded, "the upstream has just rejected this request", "use another upstream",
                         request.upstream_address});
    return;
  }
  // An upstream choice made before the target was withdrawn may still name it; the connection is attempted.
  const std::uint32_t limit = target.limit == 0 ? default_connection_limit : target.limit;
  if (target.in_use + target.idle.size() >= limit && !target.idle.empty()) target.idle.pop_front();
  if (target.in_use + target.idle.size() >= limit) {
    ++failures;
    request.answer(error{error_kind::overloaded, "all connections to the upstream are in use",
                         "raise the service's 'connections' or add targets", request.upstream_address});
    return;
  }
  ++target.in_use;
  connect(std::move(request));
}

void pool_service::state::handle(release_connection returned) {
  target_connections& target = targets[returned.upstream_address];
  if (target.in_use > 0) --target.in_use;
  if (!returned.connection || target.limit == 0 || target.in_use + target.idle.size() >= target.limit) return;
  returned.connection->idle_since = timer_service::now();
  target.idle.push_back(std::move(returned.connection));
}

void pool_service::state::handle(const set_connection_limit& change) {
  target_connections& target = targets[change.upstream_address];
  target.limit = change.limit;
  if (change.limit == 0) target.idle.clear();
}

void pool_service::state::connect(acquire_connection request) {
  const auto parts = capture([&request] { return parse_endpoint(request.upstream_address); });
  if (!parts) {
    --targets[request.upstream_address].in_use;
    request.answer(connect_error(error_kind::unreachable, request.upstream_address, parts.failure().text));
    return;
  }
  const tcp::endpoint endpoint(parts->ip, parts->port);
  ++connects;
  auto task = [](std::shared_ptr<state> self, acquire_connection pending, tcp::endpoint endpoint) -> awaitable<void> {
    auto socket = std::make_shared<tcp_socket>(self->executor);
    bool timed_out = false;
    const subscription limit = self->timers->after(pending.timeout, [socket, &timed_out] {
      timed_out = true;
      boost::system::error_code ignored;
      socket->close(ignored);
    });
    auto [ec] = co_await socket->async_connect(endpoint, use_tuple);
    if (!ec && !timed_out) {
      socket->set_option(tcp::no_delay(true), ec);
      auto connection = std::make_shared<upstream_connection>(std::move(*socket), pending.upstream_address);
      connection->set_lease(self->inbox.address());
      pending.answer(std::move(connection));
      co_return;
    }
    ++self->failures;
    const std::string text = timed_out ? std::string("no answer in time") : ec.message();
    const error failure = connect_error(connect_error_kind(ec, timed_out), pending.upstream_address, text);
    log_error("upstream_connect_failed", failure);
    pending.answer(failure);
    self->inbox.address().post(release_connection{pending.upstream_address, nullptr});
  };
  boost::asio::co_spawn(executor, task(shared_from_this(), std::move(request), endpoint), boost::asio::detached);
}

awaitable<void> pool_service::state::run(std::shared_ptr<state> self) {
  while (true) {
    auto message = co_await self->inbox.receive();
    if (!message) co_return;
    std::visit([&](auto& m) { self->handle(std::forward<decltype(m)>(m)); }, *message);
  }
}

result<std::unique_ptr<service>> pool_service::make(const settings&) {
  return std::unique_ptr<service>(new pool_service);
}

pool_service::~pool_service() { stop(); }

std::string_view pool_service::name() const { return to_name(service_name::pool); }

void pool_service::publish(kernel& k) {
  state_ = std::make_shared<state>(k.timers(), k.executor());
  k.publish(name(), state_->inbox.address());
}

result<void> pool_service::start(kernel& k) {
  boost::asio::co_spawn(k.executor(), state::run(state_), boost::asio::detached);
  const address<pool_message> inbox = state_->inbox.address();
  state_->tick = k.timers().every(std::chrono::seconds(1), [inbox] { inbox.post(pool_tick{}); });
  return {};
}

void pool_service::stop() {
  if (!state_) return;
  state_->tick.cancel();
  state_->inbox.close();
  state_->targets.clear();
}

boost::json::value pool_service::dump() const {
  boost::json::object targets;
  for (const auto& [address, target] : state_->targets) {
    targets[address] =
        boost::json::object{{"limit", target.limit}, {"in_use", target.in_use}, {"idle", target.idle.size()}};
  }
  return boost::json::object{{"targets", std::move(targets)},
                             {"connects", state_->connects},
                             {"reuses", state_->reuses},
                             {"stale", state_->stale},
                             {"failures", state_->failures}};
}

}  // namespace heatherdeck

// The HTTP connections send each request as a message to the service's task, which owns the core. Invariant: an
// endpoint change that the directory does not accept because its mailbox is full stays pending and is posted again at
// the next tick, so no change is lost; of several changes of one target only the last is kept. Cost: one message each
// way per announcement.
#include "node/announcement_service.h"

#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "kernel/overloaded.h"
#include "model/publisher_messages.h"
#include "model/service_names.h"
#include "node/announcement_core.h"
#include "node/pool_messages.h"
#include "wire/http_listener.h"

namespace heatherdeck {
namespace {

// An eighth of the default lease (2 s): the expiry of a lease is noticed at most this much later.
constexpr duration tick_period = milliseconds(250);
constexpr std::size_t inbox_capacity = 256;
constexpr std::size_t notice_capacity = 16;
constexpr duration response_timeout = std::chrono::seconds(1);
// Leaves time to send the response within the second for which an upstream waits.
constexpr duration departure_timeout = milliseconds(700);
constexpr std::string_view announcement_path = "/v1/announcement";

struct announcement_tick {};
struct announcement_response {
  http_response response;
  std::vector<target_departure> departures;  ///< to be known to other hosts before the response is sent
};
struct put_announcement {
  std::string target;  ///< from the path; empty: the body names it
  std::string body;
  reply<announcement_response> answer;
};
struct remove_announcement {
  std::string target;
  reply<announcement_response> answer;
};
using announcement_message =
    std::variant<announcement_tick, put_announcement, remove_announcement, announcement_notice>;

}  // namespace

struct announcement_service::state : std::enable_shared_from_this<announcement_service::state> {
  state(kernel& k, const settings& s)
      : timers(&k.timers()),
        executor(k.executor()),
        inbox(executor, inbox_capacity),
        notices(executor, notice_capacity),
        core(s.announcement_period, s.caller_service) {}

  struct route {
    std::string_view method;
    announcement_message (*make)(std::string target, http_request& request, reply<announcement_response> answer);
  };
  static const route routes[];

  awaitable<http_response> serve(http_request request);
  awaitable<outcome<void>> keep(target_departure departure);
  awaitable<outcome<void>> confirm_copies(target_departure departure);
  awaitable<outcome<void>> record(target_departure departure, duration limit);
  void handle(const announcement_tick&);
  void handle(const put_announcement& request);
  void handle(const remove_announcement& request);
  void handle(const announcement_notice& notice);
  announcement_response apply_changes(const outcome<announcement_core::changes>& changes);
  void post_pending();
  static awaitable<void> run(std::shared_ptr<state> self);
  static awaitable<void> forward_notices(std::shared_ptr<state> self);

  timer_service* timers;
  executor_type executor;
  mailbox<announcement_message> inbox;
  mailbox<announcement_notice> notices;  ///< published, because other services do not know the HTTP messages
  announcement_core core;
  std::map<std::string, endpoint_record> pending_endpoints;
  address<directory_message> directory;
  address<subscriber_message> subscriber;
  address<traffic_message> traffic;
  address<pool_message> pool;
  subscription tick;
  std::unique_ptr<http_listener> listener;
  std::uint64_t refused_count = 0;
};

namespace {

void log_outdated(const announcement& announced) {
  log_event(log_level::info, "announcement_outdated",
            {{"target", announced.endpoint.target},
             {"state", to_name(announced.endpoint.state)},
             {"born", announced.order.start_time_ms},
             {"sequence", announced.order.sequence}});
}

std::uint64_t unix_time_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

}  // namespace

const announcement_service::state::route announcement_service::state::routes[] = {
    {"PUT",
     [](std::string target, http_request& request, reply<announcement_response> answer) -> announcement_message {
       return put_announcement{std::move(target), std::move(request.body), std::move(answer)};
     }},
    {"DELETE",
     [](std::string target, http_request& request, reply<announcement_response> answer) -> announcement_message {
       return remove_announcement{target.empty() ? request.query["target"] : std::move(target), std::move(answer)};
     }},
};

awaitable<http_response> announcement_service::state::serve(http_request request) {
  const bool is_announcement_path =
      request.path == announcement_path || request.path.starts_with(std::string(announcement_path) + "/");
  const std::string target =
      is_announcement_path ? request.path.substr(std::min(request.path.size(), announcement_path.size() + 1)) : "";
  for (const route& r : routes) {
    if (request.method != r.method || !is_announcement_path) continue;
    auto make = [&](reply<announcement_response> answer) { return r.make(target, request, std::move(answer)); };
    auto asking = ask<announcement_response>(*timers, executor, inbox.address(), response_timeout, std::move(make));
    auto answer = co_await std::move(asking);
    if (!answer) co_return error_response(answer.failure());
    for (const target_departure& departure : answer->departures) {
      auto keeping = keep(departure);
      const outcome<void> kept = co_await std::move(keeping);
      if (!kept) co_return error_response(kept.failure());
    }
    co_return std::move(answer->response);
  }
  co_return error_response({error_kind::not_found, request.method + " " + request.path + " is not a call of this API",
                            "use PUT or DELETE /v1/announcement", request.path});
}

// A process of this host that is started again knows a departure only from other hosts, so the upstream gets its
// acknowledgement when they have it: the members that are asked first, and the disks of the control hosts for the case
// that all members end at once.
awaitable<outcome<void>> announcement_service::state::keep(target_departure departure) {
  const time_point end = timer_service::now() + departure_timeout;
  auto confirming = confirm_copies(departure);
  outcome<void> kept = co_await std::move(confirming);
  if (!kept) co_return kept;
  auto recording = record(departure, end - timer_service::now());
  co_return co_await std::move(recording);
}

awaitable<outcome<void>> announcement_service::state::confirm_copies(target_departure departure) {
  if (!directory) co_return outcome<void>();
  auto make = [&](reply<std::size_t> answer) { return keep_departure{departure, std::move(answer)}; };
  auto asking = ask<std::size_t>(*timers, executor, directory, departure_timeout, std::move(make));
  const outcome<std::size_t> copies = co_await std::move(asking);
  if (copies) co_return outcome<void>();
  co_return error{error_kind::unavailable, "the target is not used any more, but other hosts have not confirmed it yet",
                  "send the request again", departure.target};
}

awaitable<outcome<void>> announcement_service::state::record(target_departure departure, duration limit) {
  if (!subscriber) co_return outcome<void>();
  auto make = [&](reply<duration> answer) { return report_departure{departure, std::move(answer)}; };
  auto asking = ask<duration>(*timers, executor, subscriber, limit, std::move(make));
  const outcome<duration> recorded = co_await std::move(asking);
  if (recorded) {
    const auto waited = std::chrono::duration_cast<milliseconds>(*recorded);
    log_event(log_level::info, "departure_recorded", {{"target", departure.target}, {"waited_ms", waited.count()}});
    co_return outcome<void>();
  }
  log_error("departure_not_recorded", recorded.failure(), {{"target", departure.target}});
  co_return error{error_kind::unavailable,
                  "the target is not used any more, but the control hosts have not recorded it yet",
                  "send the request again", departure.target};
}

void announcement_service::state::handle(const announcement_tick&) {
  const announcement_response expired = apply_changes(core.tick(timer_service::now()));
  for (const target_departure& departure : expired.departures) {
    if (directory) directory.post(keep_departure{departure, {}});
  }
}

void announcement_service::state::handle(const put_announcement& request) {
  request.answer(apply_changes(capture([&]() -> result<announcement_core::changes> {
    BOOST_LEAF_AUTO(announced, parse_announcement(request.body, request.target));
    BOOST_LEAF_AUTO(changes, core.put(timer_service::now(), announced));
    if (changes.outdated) log_outdated(announced);
    return changes;
  })));
}

void announcement_service::state::handle(const remove_announcement& request) {
  request.answer(
      apply_changes(capture([&] { return core.remove(timer_service::now(), request.target, unix_time_ms()); })));
}

void announcement_service::state::handle(const announcement_notice& notice) {
  (void)apply_changes(std::visit(
      overloaded_handlers{
          [&](const upstream_leaving& stated) { return core.mark_leaving(stated.target); },
          [&](const departures_adopted& adopted) { return core.adopt(timer_service::now(), adopted.departures); },
          [&](const departures_confirmed& confirmed) {
            log_event(log_level::info, "departures_confirmed",
                      {{"departures", confirmed.departures.size()}, {"first", core.is_held()}});
            return core.release(timer_service::now(), confirmed.departures);
          }},
      notice));
}

announcement_response announcement_service::state::apply_changes(const outcome<announcement_core::changes>& changes) {
  if (!changes) {
    ++refused_count;
    log_error("announcement_refused", changes.failure());
    return {error_response(changes.failure()), {}};
  }
  for (const endpoint_record& endpoint : changes->endpoints) {
    pending_endpoints[endpoint.target] = endpoint;
    const std::uint32_t limit = endpoint.state == upstream_state::gone ? 0 : endpoint.connections;
    if (pool) pool.post(set_connection_limit{endpoint.address, limit});
    log_event(
        log_level::info, "upstream_announced",
        {{"target", endpoint.target}, {"version", endpoint.upstream_version}, {"state", to_name(endpoint.state)}});
  }
  for (const local_load& load : changes->loads) {
    if (traffic) traffic.post(load);
  }
  post_pending();
  const auto lease = std::chrono::duration_cast<milliseconds>(core.lease_duration());
  return {json_response(200, boost::json::object{{"lease_ms", lease.count()}}), changes->departures};
}

void announcement_service::state::post_pending() {
  std::erase_if(pending_endpoints, [this](const auto& entry) {
    return !directory || directory.post(local_endpoint_changed{entry.second});
  });
}

awaitable<void> announcement_service::state::run(std::shared_ptr<state> self) {
  while (true) {
    auto receiving = self->inbox.receive();
    auto message = co_await std::move(receiving);
    if (!message) co_return;
    std::visit([&](const auto& m) { self->handle(m); }, *message);
  }
}

awaitable<void> announcement_service::state::forward_notices(std::shared_ptr<state> self) {
  while (true) {
    auto receiving = self->notices.receive();
    auto notice = co_await std::move(receiving);
    if (!notice) co_return;
    announcement_message message = std::move(*notice);
    auto sending = self->inbox.address().send(std::move(message));
    (void)co_await std::move(sending);
  }
}

announcement_service::announcement_service(const settings& s) : settings_(s) {}

announcement_service::~announcement_service() { stop(); }

result<std::unique_ptr<service>> announcement_service::make(const settings& s) {
  return std::unique_ptr<service>(new announcement_service(s));
}

std::string_view announcement_service::name() const { return to_name(service_name::announcements); }

void announcement_service::publish(kernel& k) {
  state_ = std::make_shared<state>(k, settings_);
  k.publish(name(), state_->notices.address());
}

result<void> announcement_service::start(kernel& k) {
  if (k.has(to_name(service_name::directory))) {
    BOOST_LEAF_ASSIGN(state_->directory, k.find<directory_message>(to_name(service_name::directory)));
  }
  if (k.has(to_name(service_name::traffic))) {
    BOOST_LEAF_ASSIGN(state_->traffic, k.find<traffic_message>(to_name(service_name::traffic)));
  }
  if (k.has(to_name(service_name::pool))) {
    BOOST_LEAF_ASSIGN(state_->pool, k.find<pool_message>(to_name(service_name::pool)));
  }
  if (k.has(to_name(service_name::subscriber))) {
    BOOST_LEAF_ASSIGN(state_->subscriber, k.find<subscriber_message>(to_name(service_name::subscriber)));
    state_->core.hold();
  }
  const std::weak_ptr<state> weak = state_;
  auto serve = [weak](http_request request) -> awaitable<http_response> {
    const auto self = weak.lock();
    if (!self) co_return error_response(mailbox_closed());
    auto serving = self->serve(std::move(request));
    co_return co_await std::move(serving);
  };
  BOOST_LEAF_ASSIGN(state_->listener, http_listener::make(k, settings_.upstream_listen, std::move(serve)));
  boost::asio::co_spawn(k.executor(), state::run(state_), boost::asio::detached);
  boost::asio::co_spawn(k.executor(), state::forward_notices(state_), boost::asio::detached);
  const address<announcement_message> inbox = state_->inbox.address();
  state_->tick = k.timers().every(tick_period, [inbox] { inbox.post(announcement_tick{}); });
  return {};
}

void announcement_service::stop() {
  if (!state_) return;
  state_->tick.cancel();
  state_->listener.reset();
  state_->inbox.close();
  state_->notices.close();
}

std::uint16_t announcement_service::port() const { return state_->listener ? state_->listener->port() : 0; }

boost::json::value announcement_service::dump() const {
  boost::json::value dumped = state_->core.dump(timer_service::now());
  dumped.as_object()["refused"] = state_->refused_count;
  dumped.as_object()["pending"] = state_->pending_endpoints.size();
  return dumped;
}

}  // namespace heatherdeck

// A table of method, path and member function dispatches the requests; most are answered from the kernel's state.
// Invariant: the service has no dependencies, so it starts first and stops last. Cost: none between requests.
#include "daemon/admin_service.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "kernel/log.h"
#include "model/service_names.h"
#include "wire/metrics.h"

namespace heatherdeck {
namespace {

constexpr auto membership_change_timeout = std::chrono::seconds(10);

}  // namespace

struct admin_service::route {
  std::string_view method;
  std::string_view path;
  awaitable<http_response> (admin_service::*handler)(http_request);
};

const admin_service::route admin_service::routes[] = {
    {"GET", "/dump", &admin_service::show_dump},          {"GET", "/metrics", &admin_service::show_metrics},
    {"GET", "/live", &admin_service::show_live},          {"GET", "/ready", &admin_service::show_ready},
    {"POST", "/drain", &admin_service::begin_drain},      {"PUT", "/log-level", &admin_service::change_log_level},
    {"POST", "/members", &admin_service::change_members},
};

result<std::unique_ptr<service>> admin_service::make(const settings& s) {
  return std::unique_ptr<service>(new admin_service(s.admin_listen));
}

std::string_view admin_service::name() const { return to_name(service_name::admin); }

result<void> admin_service::start(kernel& k) {
  kernel_ = &k;
  if (k.has(to_name(service_name::consensus))) {
    BOOST_LEAF_ASSIGN(consensus_, k.find<consensus_message>(to_name(service_name::consensus)));
  }
  BOOST_LEAF_ASSIGN(listener_, http_listener::make(k, listen_, [this](http_request r) { return serve(std::move(r)); }));
  return {};
}

void admin_service::stop() { listener_.reset(); }

boost::json::value admin_service::dump() const { return boost::json::object{{"listen", listen_}}; }

awaitable<http_response> admin_service::serve(http_request request) {
  for (const route& r : routes) {
    if (r.method != request.method || r.path != request.path) continue;
    awaitable<http_response> answer = (this->*r.handler)(std::move(request));
    co_return co_await std::move(answer);
  }
  co_return error_response({error_kind::not_found, request.method + " " + request.path + " is not an admin endpoint",
                            "use GET /dump, /metrics, /live, /ready, POST /drain, POST /members or PUT /log-level",
                            request.path});
}

awaitable<http_response> admin_service::show_dump(http_request) { co_return json_response(200, kernel_->dump()); }

awaitable<http_response> admin_service::show_metrics(http_request) {
  co_return http_response{200, "text/plain; version=0.0.4", metrics_text()};
}

awaitable<http_response> admin_service::show_live(http_request) {
  co_return json_response(200, boost::json::object{{"live", true}});
}

awaitable<http_response> admin_service::show_ready(http_request) {
  boost::json::array missing;
  for (const std::string_view name : kernel_->not_ready()) missing.emplace_back(name);
  const bool ready = missing.empty();
  co_return json_response(ready ? 200 : 503, boost::json::object{{"ready", ready}, {"not_ready", std::move(missing)}});
}

awaitable<http_response> admin_service::begin_drain(http_request) {
  kernel_->request_stop(0);
  co_return json_response(202, boost::json::object{{"draining", true}});
}

awaitable<http_response> admin_service::change_log_level(http_request request) {
  const auto wanted = request.query.find("level");
  const auto level = wanted == request.query.end() ? std::nullopt : from_name<log_level>(wanted->second);
  if (!level) {
    co_return error_response({error_kind::usage, "the query parameter 'level' is missing or invalid",
                              "use one of: " + all_names<log_level>(), "level"});
  }
  set_log_level(*level);
  co_return json_response(200, boost::json::object{{"level", to_name(*level)}});
}

awaitable<http_response> admin_service::change_members(http_request request) {
  const auto action = from_name<membership_action>(request.query["action"]);
  const std::string host = request.query["host"];
  if (!consensus_ || !action || host.empty()) {
    co_return error_response({error_kind::usage, "the request needs a control host, a valid action and a host id",
                              "give action=" + all_names<membership_action>() + " and host=ID", "members"});
  }
  auto make_request = [&](reply<committed_position> answer) {
    return change_membership{*action, {.host_id = host, .learner = false}, std::move(answer)};
  };
  outcome<committed_position> done = co_await ask<committed_position>(
      kernel_->timers(), kernel_->executor(), consensus_, membership_change_timeout, make_request);
  if (!done) co_return error_response(done.failure());
  log_event(log_level::info, "members_changed", {{"action", to_name(*action)}, {"host", host}});
  co_return json_response(200, boost::json::object{{"index", done->index}, {"term", done->term}});
}

}  // namespace heatherdeck

// A table of method, path and member function answers every request from the kernel's own state. The service depends on
// no other service, so it answers from the first moment on and stops last. Cost: nothing between requests.
#include "daemon/admin_service.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "model/service_names.h"
#include "wire/metrics.h"

namespace heatherdeck {

struct admin_service::route {
  std::string_view method;
  std::string_view path;
  http_response (admin_service::*answer)(const http_request&);
};

const admin_service::route admin_service::routes[] = {
    {"GET", "/dump", &admin_service::show_dump},     {"GET", "/metrics", &admin_service::show_metrics},
    {"GET", "/live", &admin_service::show_live},     {"GET", "/ready", &admin_service::show_ready},
    {"POST", "/drain", &admin_service::begin_drain}, {"PUT", "/log-level", &admin_service::change_log_level},
};

result<std::unique_ptr<service>> admin_service::make(const settings& s) {
  return std::unique_ptr<service>(new admin_service(s.admin_listen));
}

std::string_view admin_service::name() const { return to_name(service_name::admin); }

result<void> admin_service::start(kernel& k) {
  kernel_ = &k;
  BOOST_LEAF_ASSIGN(listener_, http_listener::make(k, listen_, [this](http_request r) { return serve(std::move(r)); }));
  return {};
}

void admin_service::stop() { listener_.reset(); }

boost::json::value admin_service::dump() const { return boost::json::object{{"listen", listen_}}; }

awaitable<http_response> admin_service::serve(http_request request) {
  for (const route& r : routes) {
    if (r.method == request.method && r.path == request.path) co_return (this->*r.answer)(request);
  }
  co_return error_response({error_kind::not_found, request.method + " " + request.path + " is not an admin call",
                            "use GET /dump, /metrics, /live, /ready, POST /drain or PUT /log-level", request.path});
}

http_response admin_service::show_dump(const http_request&) { return json_response(200, kernel_->dump()); }

http_response admin_service::show_metrics(const http_request&) {
  return {200, "text/plain; version=0.0.4", metrics_text()};
}

http_response admin_service::show_live(const http_request&) {
  return json_response(200, boost::json::object{{"live", true}});
}

http_response admin_service::show_ready(const http_request&) {
  boost::json::array missing;
  for (const std::string_view name : kernel_->not_ready()) missing.emplace_back(name);
  const bool ready = missing.empty();
  return json_response(ready ? 200 : 503, boost::json::object{{"ready", ready}, {"not_ready", std::move(missing)}});
}

http_response admin_service::begin_drain(const http_request&) {
  kernel_->request_stop(0);
  return json_response(202, boost::json::object{{"draining", true}});
}

http_response admin_service::change_log_level(const http_request& request) {
  const auto wanted = request.query.find("level");
  const auto level = wanted == request.query.end() ? std::nullopt : from_name<log_level>(wanted->second);
  if (!level) {
    return error_response({error_kind::usage, "the parameter 'level' is missing or unknown",
                           "use one of: " + all_names<log_level>(), "level"});
  }
  set_log_level(*level);
  return json_response(200, boost::json::object{{"level", to_name(*level)}});
}

}  // namespace heatherdeck

// The service's task owns the model and the counts; each connection's task owns its socket and asks the service by
// message before a request runs. Invariant: a request is counted as run if and only if the decision of the model is
// `run`. A graceful stop announces `draining`, keeps serving for 2.5 s and until no request is in flight, and then
// closes the sockets. Cost: one request and one message to the service's task per HTTP request.
#include "testing/upstream_service.h"

#include <algorithm>
#include <charconv>
#include <list>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "kernel/log.h"
#include "wire/endpoint.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;
using tcp = asio::ip::tcp;

constexpr std::size_t inbox_capacity = 8192;
constexpr std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
constexpr auto announce_period = 500ms;
constexpr auto announce_timeout = 1s;
constexpr auto model_timeout = 5s;
// Longer than the 2 s within which every node learns that this upstream is draining.
constexpr auto min_drain_time = 2500ms;

std::optional<long> number_in(const http::request<http::string_body>& request, boost::string_view name) {
  const auto text = request[name];
  long value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || text.empty()) return std::nullopt;
  return value;
}

std::optional<milliseconds> time_in(const http::request<http::string_body>& request, boost::string_view name) {
  const std::optional<long> value = number_in(request, name);
  return value ? std::optional(milliseconds(*value)) : std::nullopt;
}

/// Suspends the coroutine for `delay`.
awaitable<void> sleep_for(timer_service& timers, executor_type executor, duration delay) {
  asio::experimental::channel<void(boost::system::error_code)> timer_fired(executor, 1);
  const subscription wait = timers.after(delay, [&timer_fired] { timer_fired.try_send(boost::system::error_code{}); });
  (void)co_await timer_fired.async_receive(use_tuple);
}

}  // namespace

struct upstream_service::listener : std::enable_shared_from_this<listener> {
  listener(kernel& kernel_ref, address<upstream_message> service_address, const upstream_identity& identity_of_upstream)
      : k(kernel_ref), acceptor(kernel_ref.io()), owner(std::move(service_address)), identity(identity_of_upstream) {}

  awaitable<void> accept_loop() {
    const auto self = shared_from_this();
    for (;;) {
      auto [ec, socket] = co_await acceptor.async_accept(use_tuple);
      if (ec == asio::error::operation_aborted || !acceptor.is_open()) co_return;
      if (ec) continue;
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      sockets.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      asio::co_spawn(acceptor.get_executor(), serve(self, sockets.back()), asio::detached);
    }
  }

  static awaitable<void> serve(std::shared_ptr<listener> self, std::shared_ptr<tcp::socket> socket) {
    boost::beast::flat_buffer buffer;
    for (;;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(max_body_bytes);
      auto [ec, size] = co_await http::async_read(*socket, buffer, parser, use_tuple);
      if (ec) break;
      http::response<http::string_body> response = co_await self->answer(parser.get(), *socket);
      response.keep_alive(parser.get().keep_alive());
      response.prepare_payload();
      auto [write_error, written] = co_await http::async_write(*socket, response, use_tuple);
      if (write_error || !response.keep_alive()) break;
    }
    boost::system::error_code ignored;
    socket->close(ignored);
    self->sockets.remove(socket);
  }

  awaitable<http::response<http::string_body>> answer(const http::request<http::string_body>& request,
                                                      tcp::socket& socket) {
    const std::string path(request.target().data(), request.target().size());
    if (path == "/stand-in/runs") co_return co_await respond_with_runs();
    const auto id = request["hd-test-id"];
    begin_request message{path,
                          std::string(id.data(), id.size()),
                          time_in(request, "hd-deadline-ms"),
                          time_in(request, "hd-test-work-ms"),
                          {}};
    auto make = [&message](reply<upstream_model::planned_response> r) {
      message.answer = std::move(r);
      return std::move(message);
    };
    outcome<upstream_model::planned_response> planned_response =
        co_await ask<upstream_model::planned_response>(k.timers(), k.executor(), owner, model_timeout, make);
    http::response<http::string_body> response(http::status::ok, request.version());
    response.set("hd-upstream", identity.target);
    response.set("hd-upstream-version", identity.upstream_version);
    if (!id.empty()) response.set("x-test-id", id);
    if (!planned_response || planned_response->kind != upstream_model::decision::run) {
      response.result(planned_response ? planned_response->status : 503U);
      response.set("hd-outcome", "not-run");
      co_return response;
    }
    co_await sleep_for(k.timers(), k.executor(), planned_response->delay);
    const bool client_disconnected = peer_has_closed(socket);
    owner.post(end_request{planned_response->request_id, client_disconnected});
    response.result(planned_response->status);
    const long body_bytes = number_in(request, "hd-test-body-bytes").value_or(identity.body_bytes);
    response.body() = std::string(static_cast<std::size_t>(body_bytes), 'x');
    co_return response;
  }

  awaitable<http::response<http::string_body>> respond_with_runs() {
    auto make = [](reply<boost::json::value> r) { return get_runs{std::move(r)}; };
    outcome<boost::json::value> runs =
        co_await ask<boost::json::value>(k.timers(), k.executor(), owner, model_timeout, make);
    http::response<http::string_body> response(runs ? http::status::ok : http::status::service_unavailable, 11);
    if (runs) response.body() = boost::json::serialize(*runs);
    co_return response;
  }

  static bool peer_has_closed(tcp::socket& socket) {
    char byte = 0;
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    const std::size_t size = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return size == 0 && ec != asio::error::would_block;
  }

  void close() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (const auto& socket : sockets) socket->close(ignored);
  }

  kernel& k;
  tcp::acceptor acceptor;
  address<upstream_message> owner;
  upstream_identity identity;
  std::list<std::shared_ptr<tcp::socket>> sockets;
};

void upstream_service::publish(kernel& k) {
  kernel_ = &k;
  inbox_ = std::make_unique<mailbox<upstream_message>>(k.executor(), inbox_capacity);
  request_finished_ = std::make_unique<finished_channel>(k.executor(), 1);
  k.publish(name(), inbox_->address());
}

result<void> upstream_service::start(kernel& k) {
  BOOST_LEAF_AUTO(parts, parse_endpoint(identity_.listen));
  listener_ = std::make_shared<listener>(k, inbox_->address(), identity_);
  const tcp::endpoint local(parts.ip, parts.port);
  boost::system::error_code ec;
  listener_->acceptor.open(local.protocol(), ec);
  if (!ec) listener_->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) listener_->acceptor.bind(local, ec);
  if (!ec) listener_->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) return fail(error_kind::bad_settings, ec.message(), "choose a free port", identity_.listen);
  announce_timer_ = k.timers().every(announce_period, [inbox = inbox_->address()] { inbox.post(announce_now{}); });
  inbox_->address().post(announce_now{});
  asio::co_spawn(k.executor(), run(), asio::detached);
  asio::co_spawn(k.executor(), listener_->accept_loop(), asio::detached);
  return {};
}

awaitable<void> upstream_service::drain() {
  draining_ = true;
  inbox_->address().post(announce_now{});
  co_await sleep_for(kernel_->timers(), kernel_->executor(), min_drain_time);
  while (model_.in_flight() > 0) (void)co_await request_finished_->async_receive(use_tuple);
}

void upstream_service::stop() {
  announce_timer_.cancel();
  listener_->close();
  inbox_->close();
}

awaitable<void> upstream_service::run() {
  for (;;) {
    outcome<upstream_message> message = co_await inbox_->receive();
    if (!message) co_return;
    std::visit([this](auto&& m) { handle(std::forward<decltype(m)>(m)); }, std::move(*message));
  }
}

void upstream_service::handle(announce_now&&) {
  if (identity_.announce_to.empty() || announcing_) return;
  announcing_ = true;
  asio::co_spawn(kernel_->executor(), announce(), asio::detached);
}

awaitable<void> upstream_service::announce() {
  const std::uint32_t load = model_.reported_load(timer_service::now());
  const boost::json::object load_object{{"in_flight", load},
                                        {"queued", load > behaviour_.slots ? load - behaviour_.slots : 0}};
  const boost::json::object body{{"service", identity_.service},
                                 {"version", identity_.upstream_version},
                                 {"target", identity_.target},
                                 {"address", identity_.listen},
                                 {"slots", behaviour_.slots},
                                 {"connections", identity_.connections},
                                 {"state", draining_ ? "draining" : "ready"},
                                 {"load", load_object}};
  http_request request{.method = "PUT", .path = "/v1/announcement", .body = boost::json::serialize(body)};
  request.headers["content-type"] = "application/json";
  outcome<http_response> answer = co_await http_call(kernel_->timers(), kernel_->executor(), identity_.announce_to,
                                                     std::move(request), announce_timeout);
  announcing_ = false;
  if (!answer) {
    log_error("announcement_failed", answer.failure());
  } else if (answer->status >= 300) {
    log_error("announcement_refused",
              {error_kind::bad_message, answer->body, "see the node's log", identity_.announce_to});
  }
}

void upstream_service::handle(begin_request&& m) {
  const upstream_model::planned_response planned_response =
      model_.begin(m.path, m.deadline, timer_service::now(), m.work);
  if (planned_response.kind == upstream_model::decision::run) {
    ++requests_run_;
    if (!m.test_id.empty()) ++run_counts_[m.test_id];
    if (identity_.log_runs) {
      const auto planned = std::chrono::duration_cast<milliseconds>(planned_response.delay);
      log_event(log_level::info, "request_run", {{"request", m.test_id}, {"planned_ms", planned.count()}});
    }
  } else {
    ++requests_shed_;
  }
  m.answer(planned_response);
}

void upstream_service::handle(end_request&& m) {
  if (m.cancelled) ++requests_cancelled_;
  model_.finish(m.request_id, timer_service::now());
  request_finished_->try_send(boost::system::error_code{});
}

void upstream_service::handle(get_runs&& m) { m.answer(dump()); }

boost::json::value upstream_service::dump() const {
  const auto repeated =
      std::count_if(run_counts_.begin(), run_counts_.end(), [](const auto& entry) { return entry.second > 1; });
  return boost::json::object{{"ids", run_counts_.size()},
                             {"runs", requests_run_},
                             {"repeated", repeated},
                             {"shed", requests_shed_},
                             {"cancelled", requests_cancelled_},
                             {"in_flight", model_.in_flight()}};
}

}  // namespace heatherdeck

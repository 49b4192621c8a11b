// Three tasks share the service's state on the kernel's thread: one accepts connections, one receives streams from
// other nodes, one receives the results of ended sessions. Invariant: a session is in the table from before its task
// starts until its result has been received, so an empty table means that nothing is in flight. The service
// communicates with sessions only by messages. Cost: one table entry and two messages at most per session.
#include "node/proxy_service.h"

#include <map>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include "kernel/log.h"
#include "model/service_names.h"
#include "node/caller_session.h"
#include "node/peer_session.h"
#include "node/proxy_context.h"
#include "node/session_messages.h"
#include "wire/endpoint.h"
#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

using tcp = boost::asio::ip::tcp;

// 8,192 callers with 64 KiB in each direction fit into the node's memory limit only because most of them are idle;
// further callers wait in the listen backlog.
constexpr std::size_t max_sessions = 8'192;
constexpr std::size_t stream_capacity = 4'096;
constexpr int backlog = 4'096;
// Responses that are ready this long before the end of the drain still reach their callers.
constexpr milliseconds delivery_margin{500};

error listen_error(const std::string& address, const std::string& text) {
  return {error_kind::bad_settings, "cannot listen for callers at caller_listen: " + text,
          "set caller_listen to a free ip:port of this host", address};
}

}  // namespace

struct proxy_service::state : std::enable_shared_from_this<proxy_service::state> {
  using signal_channel = boost::asio::experimental::channel<void(boost::system::error_code)>;

  state(kernel& k)  // NOLINT(google-explicit-constructor)
      : executor(k.executor()),
        streams(executor, stream_capacity),
        ended_sessions(executor, 2 * (max_sessions + stream_capacity)),
        acceptor(executor),
        session_ended_signal(executor, 1) {}

  result<void> listen(const std::string& address);
  void start_caller_session(tcp_socket socket);
  void start_peer_session(incoming_stream incoming);
  void accept_pending_connections();
  void begin_draining();
  static awaitable<void> accept_callers(std::shared_ptr<state> self);
  static awaitable<void> accept_streams(std::shared_ptr<state> self);
  static awaitable<void> collect_ended_sessions(std::shared_ptr<state> self);
  void spawn_session(std::uint64_t id, session_kind kind, awaitable<session_counts> task);
  boost::json::object count_sessions() const;

  executor_type executor;
  mailbox<incoming_stream> streams;
  mailbox<session_ended> ended_sessions;
  tcp::acceptor acceptor;
  signal_channel session_ended_signal;  // signalled when a session has ended
  proxy_context_ptr context;
  address<directory_message> directory;
  std::map<std::uint64_t, address<session_message>> sessions;
  std::map<session_kind, std::size_t> session_counts_by_kind;
  std::string request_id_prefix;
  std::uint64_t next_session_id = 1;
  std::uint64_t requests = 0;
  std::uint64_t aborted = 0;
  std::uint64_t pipelined = 0;
  std::uint64_t pipelined_cancelled = 0;
  std::uint16_t port = 0;
  bool draining = false;
};

result<void> proxy_service::state::listen(const std::string& address) {
  BOOST_LEAF_AUTO(parts, parse_endpoint(address));
  const tcp::endpoint where(parts.ip, parts.port);
  boost::system::error_code ec;
  acceptor.open(where.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(where, ec);
  if (!ec) acceptor.listen(backlog, ec);
  if (ec) return fail(listen_error(address, ec.message()));
  port = acceptor.local_endpoint(ec).port();
  return {};
}

boost::json::object proxy_service::state::count_sessions() const {
  boost::json::object counts;
  for (const auto& [kind, count] : session_counts_by_kind) counts[to_name(kind)] = count;
  return counts;
}

void proxy_service::state::spawn_session(std::uint64_t id, session_kind kind, awaitable<session_counts> task) {
  ++session_counts_by_kind[kind];
  boost::asio::co_spawn(executor, std::move(task),
                        [end = ended_sessions.address(), id, kind](std::exception_ptr failure, session_counts counts) {
                          if (failure) log_event(log_level::error, "session_failed", {{"kind", to_name(kind)}});
                          end.post(session_ended{id, kind, counts.requests, counts.aborted, counts.pipelined,
                                                 counts.pipelined_cancelled});
                        });
}

void proxy_service::state::start_caller_session(tcp_socket socket) {
  const std::uint64_t id = next_session_id++;
  auto inbox = std::make_shared<mailbox<session_message>>(executor, 4);
  const address<session_message> session_address = inbox->address();
  sessions.emplace(id, session_address);
  if (draining) session_address.post(begin_drain{});
  spawn_session(
      id, session_kind::caller,
      run_caller_session(context, std::move(socket), std::move(inbox), fmt::format("{}-{:x}", request_id_prefix, id)));
}

void proxy_service::state::start_peer_session(incoming_stream incoming) {
  const std::uint64_t id = next_session_id++;
  sessions.emplace(id, address<session_message>());
  spawn_session(id, session_kind::peer, run_peer_session(context, std::move(incoming)));
}

awaitable<void> proxy_service::state::accept_callers(std::shared_ptr<state> self) {
  while (self->acceptor.is_open()) {
    if (self->sessions.size() >= max_sessions) {
      (void)co_await self->session_ended_signal.async_receive(use_tuple);
      continue;
    }
    auto [ec, socket] = co_await self->acceptor.async_accept(use_tuple);
    if (!ec) {
      self->start_caller_session(std::move(socket));
    } else if (ec == boost::asio::error::operation_aborted || !self->acceptor.is_open()) {
      co_return;
    } else {
      log_error("accept_failed", {error_kind::internal, ec.message(), "raise the limit of open files (ulimit -n)", {}});
      // When file descriptors are exhausted, accept fails until a session ends.
      if (!self->sessions.empty()) (void)co_await self->session_ended_signal.async_receive(use_tuple);
    }
  }
}

awaitable<void> proxy_service::state::accept_streams(std::shared_ptr<state> self) {
  while (true) {
    auto receiving = self->streams.receive();
    auto incoming = co_await std::move(receiving);
    if (!incoming) co_return;
    self->start_peer_session(std::move(*incoming));
  }
}

awaitable<void> proxy_service::state::collect_ended_sessions(std::shared_ptr<state> self) {
  while (true) {
    auto receiving = self->ended_sessions.receive();
    auto end = co_await std::move(receiving);
    if (!end) co_return;
    self->sessions.erase(end->session_id);
    --self->session_counts_by_kind[end->kind];
    self->requests += end->requests;
    self->aborted += end->aborted;
    self->pipelined += end->pipelined;
    self->pipelined_cancelled += end->pipelined_cancelled;
    self->session_ended_signal.try_send(boost::system::error_code{});
  }
}

// Accepts the connections in the listen backlog and closes the listener. Closing it first would reset them.
void proxy_service::state::accept_pending_connections() {
  boost::system::error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    tcp_socket socket(executor);
    acceptor.accept(socket, ec);
    if (!ec) start_caller_session(std::move(socket));
  }
  acceptor.close(ec);
}

void proxy_service::state::begin_draining() {
  draining = true;
  if (directory) directory.post(announce_draining{});
  if (context->mesh) context->mesh.post(refuse_new_streams{});
  for (const auto& [id, session] : sessions) session.post(begin_drain{});
  log_event(log_level::info, "proxy_draining", {{"sessions", count_sessions()}});
}

proxy_service::proxy_service(const settings& s, const http_dialect& dialect)
    : listen_(s.caller_listen),
      node_id_(s.id),
      caller_service_(s.caller_service),
      dialect_(&dialect),
      accept_while_draining_(s.stop_grace / 2),
      stop_notice_(s.stop_notice),
      drain_limit_(effective_drain_limit(s)) {}

proxy_service::~proxy_service() { stop(); }

result<std::unique_ptr<service>> proxy_service::make(const settings& s, const http_dialect& dialect) {
  return std::unique_ptr<service>(new proxy_service(s, dialect));
}

std::string_view proxy_service::name() const { return to_name(service_name::proxy); }

std::vector<std::string_view> proxy_service::dependencies() const {
  return {to_name(service_name::traffic), to_name(service_name::pool)};
}

// While the node drains it needs the members as they change, and its upstream needs someone to announce itself to.
std::vector<std::string_view> proxy_service::optional_dependencies() const {
  return {to_name(service_name::mesh), to_name(service_name::directory), to_name(service_name::announcements),
          to_name(service_name::quarantine), to_name(service_name::subscriber)};
}

void proxy_service::publish(kernel& k) {
  state_ = std::make_shared<state>(k);
  k.publish(name(), state_->streams.address());
}

result<void> proxy_service::start(kernel& k) {
  auto context = std::make_shared<proxy_context>();
  context->executor = k.executor();
  context->timers = &k.timers();
  context->node_id = node_id_;
  context->caller_service = caller_service_;
  context->dialect = dialect_;
  context->idle_timeout = idle_timeout_;
  BOOST_LEAF_ASSIGN(context->traffic, k.find<traffic_message>(to_name(service_name::traffic)));
  BOOST_LEAF_ASSIGN(context->pool, k.find<pool_message>(to_name(service_name::pool)));
  if (k.has(to_name(service_name::mesh))) {
    BOOST_LEAF_ASSIGN(context->mesh, k.find<mesh_message>(to_name(service_name::mesh)));
  }
  if (k.has(to_name(service_name::directory))) {
    BOOST_LEAF_ASSIGN(state_->directory, k.find<directory_message>(to_name(service_name::directory)));
  }
  state_->context = std::move(context);
  // Request ids of a restarted process must differ from those of its predecessor.
  state_->request_id_prefix = fmt::format("{}-{:08x}", node_id_, std::random_device{}());
  if (!listen_.empty()) {
    BOOST_LEAF_CHECK(state_->listen(listen_));
    boost::asio::co_spawn(k.executor(), state::accept_callers(state_), boost::asio::detached);
  }
  boost::asio::co_spawn(k.executor(), state::accept_streams(state_), boost::asio::detached);
  boost::asio::co_spawn(k.executor(), state::collect_ended_sessions(state_), boost::asio::detached);
  return {};
}

awaitable<void> proxy_service::drain() {
  const auto self = state_;
  const time_point now = timer_service::now();
  self->begin_draining();
  const duration margin = std::min<duration>(drain_limit_, delivery_margin);
  traffic_message stop = start_draining{now + stop_notice_, now + drain_limit_ - margin};
  auto sending = self->context->traffic.send(std::move(stop));
  (void)co_await std::move(sending);
  if (accept_while_draining_ > duration::zero() && self->acceptor.is_open()) {
    auto expired = std::make_shared<wake_signal>(self->executor);
    const subscription timer = self->context->timers->after(accept_while_draining_, [expired] { expired->set(); });
    auto waiting = expired->wait();
    (void)co_await std::move(waiting);
  }
  if (self->acceptor.is_open()) self->accept_pending_connections();
  while (!self->sessions.empty()) {
    auto [ec] = co_await self->session_ended_signal.async_receive(use_tuple);
    if (ec) co_return;
  }
}

bool proxy_service::ready() const { return !state_->draining; }

void proxy_service::stop() {
  if (!state_) return;
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
  state_->streams.close();
  state_->ended_sessions.close();
  state_->session_ended_signal.close();
}

std::uint16_t proxy_service::port() const { return state_->port; }

boost::json::value proxy_service::dump() const {
  return boost::json::object{{"listen", listen_},
                             {"port", state_->port},
                             {"sessions", state_->sessions.size()},
                             {"sessions_by_kind", state_->count_sessions()},
                             {"requests", state_->requests},
                             {"cut", state_->aborted},
                             {"pipelined", state_->pipelined},
                             {"pipelined_cancelled", state_->pipelined_cancelled},
                             {"draining", state_->draining}};
}

}  // namespace heatherdeck

// One task with two mailboxes: requests of other services, and events of its own child tasks (handshakes and
// connections). Only these two loops touch the tables of connections.
// Invariants: at most one outgoing connection or attempt for each address, and those who ask meanwhile wait for it in a
// bounded list; a connection that refuses streams leaves the table before the next request is served.
// Cost: two look-ups per outgoing stream; the body never passes through this task.
#include "wire/mesh_task.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include "kernel/log.h"
#include "wire/endpoint.h"
#include "wire/mesh_handshake.h"

namespace heatherdeck {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t event_capacity = 16'384;
constexpr std::size_t max_waiting = 1'024;
constexpr std::size_t max_handshakes = 256;
constexpr std::size_t max_incoming = 4'096;
// An opening packet that a host without power or with a full backlog has dropped is sent again by TCP after 1 s; a new
// attempt is earlier. Longer than a round trip between continents.
constexpr duration connect_limit = milliseconds(300);
// After a failed accept (usually no file descriptors) the next attempt waits, or the task would spin.
constexpr duration accept_pause = milliseconds(100);
constexpr std::uint32_t code_refused_stream = 7;

error not_reached(const std::string& mesh_address, const std::string& reason) {
  return {error_kind::unreachable, "no connection to " + mesh_address + ": " + reason, "use another process",
          mesh_address};
}

/// Pseudo-header fields come first; the caller may give its own :method and :path.
header_list request_headers(open_stream& request) {
  const auto given = [&request](std::string_view name, std::string fallback) {
    const auto found = std::find_if(request.headers.begin(), request.headers.end(),
                                    [name](const auto& field) { return field.first == name; });
    if (found != request.headers.end()) fallback = std::move(found->second);
    return std::pair<std::string, std::string>(name, std::move(fallback));
  };
  header_list headers;
  headers.reserve(request.headers.size() + 5);
  headers.push_back(given(":method", "POST"));
  headers.emplace_back(":scheme", "http");
  headers.push_back(given(":path", "/"));
  headers.push_back(given(":authority", request.mesh_address));
  headers.emplace_back("hd-stream", to_name(request.kind));
  for (auto& field : request.headers) {
    if (!field.first.starts_with(':')) headers.push_back(std::move(field));
  }
  return headers;
}

std::optional<stream_kind> requested_kind(const header_list& headers) {
  for (const auto& [name, value] : headers) {
    if (name == "hd-stream") return from_name<stream_kind>(value);
  }
  return std::nullopt;
}

/// Gives an incoming stream to its service, or refuses it as not processed.
void dispatch(const stream_table& table, const std::string& peer, std::shared_ptr<h2_stream_state> state,
              header_list headers) {
  const auto kind = requested_kind(headers);
  auto stream = std::make_shared<h2_stream>(std::move(state));
  if (kind && table[static_cast<std::size_t>(*kind)].post({peer, std::move(headers), stream})) return;
  stream->reset(code_refused_stream);
}

}  // namespace

mesh_task::mesh_task(kernel& k, const settings& s, std::shared_ptr<const stream_table> table, tcp::acceptor acceptor)
    : kernel_(k),
      id_(s.id),
      key_(s.mesh_key),
      table_(std::move(table)),
      acceptor_(std::move(acceptor)),
      events_(k.executor(), event_capacity),
      drained_(k.executor()) {
  boost::system::error_code ec;
  port_ = acceptor_.local_endpoint(ec).port();
}

void mesh_task::start(std::shared_ptr<mailbox<mesh_message>> inbox) {
  const auto self = shared_from_this();
  const auto spawn = [&](auto body) { boost::asio::co_spawn(kernel_.executor(), body, boost::asio::detached); };
  spawn([self, inbox] { return self->serve_messages(inbox); });
  spawn([self] { return self->serve_events(); });
  spawn([self] { return self->accept(); });
}

awaitable<void> mesh_task::serve_messages(std::shared_ptr<mailbox<mesh_message>> inbox) {
  while (true) {
    auto message = co_await inbox->receive();
    if (!message || stopped_) co_return;
    std::visit([this](auto& body) { handle(body); }, *message);
  }
}

awaitable<void> mesh_task::serve_events() {
  while (true) {
    auto received = co_await events_.receive();
    if (!received || stopped_) co_return;
    std::visit([this](auto& body) { handle(body); }, *received);
  }
}

awaitable<void> mesh_task::accept() {
  const auto self = shared_from_this();
  while (acceptor_.is_open()) {
    auto [ec, accepted_socket] = co_await acceptor_.async_accept(use_tuple);
    if (!acceptor_.is_open()) co_return;
    if (ec) {
      log_event(log_level::warning, "mesh_accept_failed", {{"reason", ec.message()}});
      wake_signal resume(kernel_.executor());
      const subscription pause = kernel_.timers().after(accept_pause, [&resume] { resume.set(); });
      if (!co_await resume.wait()) co_return;
      continue;
    }
    if (handshakes_ >= max_handshakes || incoming_.size() >= max_incoming) {
      ++refused_handshakes_;
      continue;  // the socket closes
    }
    ++handshakes_;
    auto socket = std::make_shared<tcp::socket>(std::move(accepted_socket));
    boost::asio::co_spawn(
        kernel_.executor(), [self, socket] { return self->greet(socket); }, boost::asio::detached);
  }
}

awaitable<void> mesh_task::greet(std::shared_ptr<tcp::socket> socket) {
  boost::system::error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  auto peer = co_await handshake_as_server(*socket, kernel_.timers(), key_, id_);
  --handshakes_;
  if (!peer) {
    ++refused_handshakes_;
    log_error("mesh_handshake_refused", peer.failure());
    co_return;
  }
  if (!stopped_) events_.address().post(accepted{std::move(*peer), std::move(socket)});
}

awaitable<void> mesh_task::connect(std::string mesh_address) {
  auto socket = std::make_shared<tcp::socket>(kernel_.executor());
  auto peer = co_await reach(mesh_address, *socket);
  if (!stopped_) events_.address().post(connected{std::move(mesh_address), std::move(peer), std::move(socket)});
}

awaitable<outcome<std::string>> mesh_task::reach(const std::string& mesh_address, tcp::socket& socket) {
  const auto parts = capture([&] { return parse_endpoint(mesh_address); });
  if (!parts) co_return parts.failure();
  {
    const subscription limit = kernel_.timers().after(connect_limit, [&socket] {
      boost::system::error_code ignored;
      socket.close(ignored);
    });
    const tcp::endpoint target(parts->ip, parts->port);
    auto [ec] = co_await socket.async_connect(target, use_tuple);
    if (ec) co_return not_reached(mesh_address, ec.message());
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto peer = co_await handshake_as_client(socket, kernel_.timers(), key_, id_);
  if (!peer && peer.failure().kind != error_kind::unauthorised) {
    co_return not_reached(mesh_address, peer.failure().text);
  }
  co_return peer;
}

void mesh_task::handle(open_stream& request) {
  const auto [found, added] = outgoing_.try_emplace(request.mesh_address);
  peer_entry& entry = found->second;
  if (entry.connection && !entry.connection.closed()) return answer(entry.connection, request);
  if (entry.waiting.size() >= max_waiting) {
    return request.answer(
        error{error_kind::overloaded, "too many requests wait for a connection", "try again later", found->first});
  }
  const std::string mesh_address = request.mesh_address;
  entry.waiting.push_back(std::move(request));
  if (entry.waiting.size() > 1) return;
  const auto self = shared_from_this();
  boost::asio::co_spawn(
      kernel_.executor(), [self, mesh_address] { return self->connect(mesh_address); }, boost::asio::detached);
}

void mesh_task::answer(const h2_connection& connection, open_stream& request) {
  auto headers = request_headers(request);
  connection.open(request.kind, std::move(headers), request.end_stream, request.answer);
}

void mesh_task::handle(refuse_new_streams&) { begin_drain(); }

void mesh_task::handle(close_connections& request) {
  const auto found = outgoing_.find(request.mesh_address);
  if (found != outgoing_.end() && found->second.connection) found->second.connection.close_when_idle();
}

void mesh_task::handle(connected& done) {
  const auto found = outgoing_.find(done.mesh_address);
  if (found == outgoing_.end()) return;
  std::vector<open_stream> waiting = std::move(found->second.waiting);
  found->second.waiting.clear();
  if (!done.peer) {
    ++failed_connects_;
    outgoing_.erase(found);
    for (open_stream& request : waiting) request.answer(done.peer.failure());
    return;
  }
  const std::uint64_t id = next_id_++;
  found->second.id = id;
  found->second.connection = adopt(h2_side::client, *done.peer, std::move(*done.socket), id);
  outgoing_ids_[id] = done.mesh_address;
  for (open_stream& request : waiting) answer(found->second.connection, request);
}

void mesh_task::handle(accepted& done) {
  const std::uint64_t id = next_id_++;
  h2_connection connection = adopt(h2_side::server, done.peer, std::move(*done.socket), id);
  if (draining_) connection.refuse_new_streams();
  incoming_.emplace(id, incoming_entry{std::move(connection), true});
}

h2_connection mesh_task::adopt(h2_side side, const std::string& peer, tcp::socket socket, std::uint64_t id) {
  h2_connection_options options;
  options.side = side;
  options.peer = peer;
  options.on_request = [table = table_, peer](std::shared_ptr<h2_stream_state> state, header_list headers) {
    dispatch(*table, peer, std::move(state), std::move(headers));
  };
  options.on_event = [events = events_.address(), id](h2_event event) { events.post(connection_changed{id, event}); };
  return h2_connection::start(std::move(socket), kernel_.timers(), std::move(options));
}

void mesh_task::handle(connection_changed& change) {
  if (const auto known = outgoing_ids_.extract(change.id)) {
    const auto found = outgoing_.find(known.mapped());
    if (found != outgoing_.end() && found->second.id == change.id) {
      found->second.connection = {};
      if (found->second.waiting.empty()) outgoing_.erase(found);
    }
    return;
  }
  const auto found = incoming_.find(change.id);
  if (found == incoming_.end()) return;
  if (change.event == h2_event::closed) {
    incoming_.erase(found);
  } else if (change.event == h2_event::calls_finished) {
    found->second.busy = false;
  }
  if (draining_ && !incoming_busy()) drained_.set();
}

bool mesh_task::incoming_busy() const {
  return std::any_of(incoming_.begin(), incoming_.end(), [](const auto& item) { return item.second.busy; });
}

void mesh_task::begin_drain() {
  if (std::exchange(draining_, true)) return;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& [id, entry] : incoming_) entry.connection.refuse_new_streams();
}

awaitable<void> mesh_task::drain() {
  const auto self = shared_from_this();
  begin_drain();
  while (incoming_busy()) {
    if (!co_await drained_.wait()) co_return;
  }
}

void mesh_task::stop() {
  stopped_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& [name, entry] : outgoing_) {
    if (entry.connection) entry.connection.close();
  }
  for (const auto& [id, entry] : incoming_) entry.connection.close();
  outgoing_.clear();
  incoming_.clear();
  events_.close();
  drained_.close();
}

boost::json::value mesh_task::dump() const {
  return boost::json::object{{"port", port_},
                             {"outgoing_connections", outgoing_.size()},
                             {"incoming_connections", incoming_.size()},
                             {"handshakes_running", handshakes_},
                             {"handshakes_refused", refused_handshakes_},
                             {"failed_connects", failed_connects_},
                             {"draining", draining_}};
}

}  // namespace heatherdeck

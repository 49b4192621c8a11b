// Two loops with one mailbox each: messages of other services, and events of its own child tasks (handshakes and
// connections). Only these loops access the maps of connections.
// Invariants: at most one outgoing connection or connection attempt per address; requests that come meanwhile wait for
// it in a bounded list. A connection whose peer has sent GOAWAY or does not respond is removed when that event is
// handled, so later requests connect anew. Cost: two look-ups per outgoing stream; bodies never pass through this task.
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
constexpr std::size_t max_waiting = 1'024;   // requests that wait for the connection to one address
constexpr std::size_t max_handshakes = 256;  // concurrent incoming handshakes
constexpr std::size_t max_incoming = 4'096;  // incoming connections
// TCP retransmits a SYN only after 1 s, for example when the host was down or its backlog was full; a new attempt comes
// earlier. Longer than an intercontinental round trip.
constexpr duration connect_limit = milliseconds(300);
// Delay after a failed accept (usually for lack of file descriptors), without which the task would spin.
constexpr duration accept_pause = milliseconds(100);
constexpr std::uint32_t code_refused_stream = 7;  // HTTP/2 error code

error unreachable_error(const std::string& mesh_address, const std::string& reason) {
  return {error_kind::unreachable, "no connection to " + mesh_address + ": " + reason, "use another process",
          mesh_address};
}

/// @return the request headers, pseudo-header fields first. The request may override :method, :path and :authority.
header_list request_headers(open_stream& request) {
  const auto given_or = [&request](std::string_view name, std::string fallback) {
    const auto found = std::find_if(request.headers.begin(), request.headers.end(),
                                    [name](const auto& field) { return field.first == name; });
    if (found != request.headers.end()) fallback = std::move(found->second);
    return std::pair<std::string, std::string>(name, std::move(fallback));
  };
  header_list headers;
  headers.reserve(request.headers.size() + 5);
  headers.push_back(given_or(":method", "POST"));
  headers.emplace_back(":scheme", "http");
  headers.push_back(given_or(":path", "/"));
  headers.push_back(given_or(":authority", request.mesh_address));
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

/// Posts an incoming stream to the service that handles its kind, or refuses it as not processed.
void dispatch(const stream_inboxes& inboxes, const std::string& peer, std::shared_ptr<h2_stream_state> state,
              header_list headers) {
  const auto kind = requested_kind(headers);
  auto stream = std::make_shared<h2_stream>(std::move(state));
  if (kind && inboxes[static_cast<std::size_t>(*kind)].post({peer, std::move(headers), stream})) return;
  stream->reset(code_refused_stream);
}

}  // namespace

mesh_task::mesh_task(kernel& k, const settings& s, std::shared_ptr<const stream_inboxes> inboxes,
                     tcp::acceptor acceptor)
    : kernel_(k),
      id_(s.id),
      key_(s.mesh_key),
      inboxes_(std::move(inboxes)),
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
    if (running_handshakes_ >= max_handshakes || incoming_.size() >= max_incoming) {
      ++refused_handshakes_;
      continue;  // the destructor closes the socket
    }
    ++running_handshakes_;
    auto socket = std::make_shared<tcp::socket>(std::move(accepted_socket));
    boost::asio::co_spawn(
        kernel_.executor(), [self, socket] { return self->authenticate_incoming(socket); }, boost::asio::detached);
  }
}

awaitable<void> mesh_task::authenticate_incoming(std::shared_ptr<tcp::socket> socket) {
  boost::system::error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  auto peer = co_await handshake_as_server(*socket, kernel_.timers(), key_, id_);
  --running_handshakes_;
  if (!peer) {
    ++refused_handshakes_;
    log_error("mesh_handshake_refused", peer.failure());
    co_return;
  }
  if (!stopped_) events_.address().post(incoming_accepted{std::move(*peer), std::move(socket)});
}

awaitable<void> mesh_task::connect(std::string mesh_address) {
  auto socket = std::make_shared<tcp::socket>(kernel_.executor());
  auto peer = co_await connect_and_authenticate(mesh_address, *socket);
  if (!stopped_)
    events_.address().post(outgoing_connected{std::move(mesh_address), std::move(peer), std::move(socket)});
}

awaitable<outcome<std::string>> mesh_task::connect_and_authenticate(const std::string& mesh_address,
                                                                    tcp::socket& socket) {
  const auto parts = capture([&] { return parse_endpoint(mesh_address); });
  if (!parts) co_return parts.failure();
  {
    const subscription limit = kernel_.timers().after(connect_limit, [&socket] {
      boost::system::error_code ignored;
      socket.close(ignored);
    });
    const tcp::endpoint target(parts->ip, parts->port);
    auto [ec] = co_await socket.async_connect(target, use_tuple);
    if (ec) co_return unreachable_error(mesh_address, ec.message());
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto peer = co_await handshake_as_client(socket, kernel_.timers(), key_, id_);
  if (!peer && peer.failure().kind != error_kind::unauthorised) {
    co_return unreachable_error(mesh_address, peer.failure().text);
  }
  co_return peer;
}

void mesh_task::handle(open_stream& request) {
  const auto [found, added] = outgoing_.try_emplace(request.mesh_address);
  outgoing_entry& entry = found->second;
  if (entry.connection && !entry.connection.closed()) return open_on(entry.connection, request);
  if (entry.waiting.size() >= max_waiting) {
    return request.answer(error{error_kind::overloaded, "too many requests wait for a connection to this address",
                                "try again later", found->first});
  }
  const std::string mesh_address = request.mesh_address;
  entry.waiting.push_back(std::move(request));
  if (entry.waiting.size() > 1) return;
  const auto self = shared_from_this();
  boost::asio::co_spawn(
      kernel_.executor(), [self, mesh_address] { return self->connect(mesh_address); }, boost::asio::detached);
}

void mesh_task::open_on(const h2_connection& connection, open_stream& request) {
  auto headers = request_headers(request);
  connection.open(request.kind, std::move(headers), request.end_stream, request.answer, request.on_silence);
}

void mesh_task::handle(refuse_new_streams&) { begin_drain(); }

void mesh_task::handle(close_connections& request) {
  const auto found = outgoing_.find(request.mesh_address);
  if (found == outgoing_.end() || !found->second.connection) return;
  found->second.connection.close_when_idle();
  outgoing_ids_.erase(found->second.id);
  found->second.connection = {};
  if (found->second.waiting.empty()) outgoing_.erase(found);
}

void mesh_task::handle(outgoing_connected& done) {
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
  found->second.connection = start_connection(h2_side::client, *done.peer, std::move(*done.socket), id);
  outgoing_ids_[id] = done.mesh_address;
  for (open_stream& request : waiting) open_on(found->second.connection, request);
}

void mesh_task::handle(incoming_accepted& done) {
  const std::uint64_t id = next_id_++;
  h2_connection connection = start_connection(h2_side::server, done.peer, std::move(*done.socket), id);
  if (draining_) connection.refuse_new_streams();
  incoming_.emplace(id, incoming_entry{std::move(connection), true});
}

h2_connection mesh_task::start_connection(h2_side side, const std::string& peer, tcp::socket socket, std::uint64_t id) {
  h2_connection_options options;
  options.side = side;
  options.peer = peer;
  options.on_request = [inboxes = inboxes_, peer](std::shared_ptr<h2_stream_state> state, header_list headers) {
    dispatch(*inboxes, peer, std::move(state), std::move(headers));
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
    found->second.may_have_calls = false;
  }
  if (draining_ && !has_incoming_calls()) drained_.set();
}

bool mesh_task::has_incoming_calls() const {
  return std::any_of(incoming_.begin(), incoming_.end(), [](const auto& item) { return item.second.may_have_calls; });
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
  while (has_incoming_calls()) {
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
                             {"handshakes_running", running_handshakes_},
                             {"handshakes_refused", refused_handshakes_},
                             {"failed_connects", failed_connects_},
                             {"draining", draining_}};
}

}  // namespace heatherdeck

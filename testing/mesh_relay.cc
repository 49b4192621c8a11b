// One thread runs an event loop with all sockets; the other threads post changes to it. The id of a connecting process
// is in its handshake message, which is in plain text. Cost: one copy of each byte.
#include "testing/mesh_relay.h"

#include <array>
#include <map>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "kernel/mailbox.h"
#include "wire/endpoint.h"
#include "wire/messages.pb.h"

namespace heatherdeck {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr std::size_t buffer_bytes = 64UL * 1024;
constexpr unsigned byte_bits = 8;

template <class Protocol>
typename Protocol::endpoint to_endpoint(const std::string& address) {
  const auto parts = capture([&] { return parse_endpoint(address); });
  return {parts->ip, parts->port};
}

/// The two sockets of a forwarded connection.
struct connection {
  explicit connection(tcp::socket from) : client(std::move(from)), server(client.get_executor()) {}

  void reset() {
    for (tcp::socket* socket : {&client, &server}) {
      boost::system::error_code ignored;
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  tcp::socket client;
  tcp::socket server;
  std::string from;  ///< ids of the two processes
  std::string to;
  bool lost = false;    ///< one side ended while the link was cut
  bool silent = false;  ///< drops what it gets
};

using connection_ptr = std::shared_ptr<connection>;

}  // namespace

class mesh_relay::task {
 public:
  explicit task(boost::asio::io_context& io) : io_(io), healed_(io, time_point::max()) {}

  result<void> add(const endpoint& added) {
    boost::system::error_code ec;
    auto point = std::make_unique<gate>(gate{added, tcp::acceptor(io_), udp::socket(io_), {}, {}});
    const auto at = to_endpoint<tcp>(added.advertised);
    point->acceptor.open(tcp::v4(), ec);
    point->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    point->acceptor.bind(at, ec);
    if (!ec) point->acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (!ec) point->datagrams.open(udp::v4(), ec);
    if (!ec) point->datagrams.bind(to_endpoint<udp>(added.advertised), ec);
    if (ec) return fail(error_kind::usage, ec.message(), "use a free address", added.advertised);
    gate* g = point.get();
    by_listening_[to_endpoint<udp>(added.listening)] = g;
    gates_.push_back(std::move(point));
    boost::asio::co_spawn(io_, accept(*g), boost::asio::detached);
    boost::asio::co_spawn(io_, forward_datagrams(*g), boost::asio::detached);
    return {};
  }

  void cut(const std::string& id, const std::string& other) { ++cuts_[std::minmax(id, other)]; }

  void heal(const std::string& id, const std::string& other) {
    const auto found = cuts_.find(std::minmax(id, other));
    if (found != cuts_.end() && --found->second == 0) cuts_.erase(found);
    healed_.cancel();
  }

  void silence(const std::string& from, const std::string& to) {
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    for (const auto& weak : connections_) {
      const connection_ptr c = weak.lock();
      if (c->from == from && c->to == to) c->silent = true;
    }
  }

 private:
  struct gate {
    endpoint where;
    tcp::acceptor acceptor;
    udp::socket datagrams;
    std::array<char, buffer_bytes> buffer;
    udp::endpoint sender;
  };

  bool is_cut(const std::string& id, const std::string& other) const { return cuts_.contains(std::minmax(id, other)); }

  awaitable<void> wait_healed(const std::string& id, const std::string& other) {
    while (is_cut(id, other)) (void)co_await healed_.async_wait(use_tuple);
  }

  awaitable<void> accept(gate& g) {
    while (true) {
      auto [ec, socket] = co_await g.acceptor.async_accept(use_tuple);
      if (ec) co_return;
      boost::asio::co_spawn(io_, begin(g, std::make_shared<connection>(std::move(socket))), boost::asio::detached);
    }
  }

  awaitable<void> begin(gate& g, connection_ptr c) {
    std::string hello(2, '\0');
    const auto prefix = boost::asio::buffer(hello);
    auto [prefix_ec, prefix_size] = co_await boost::asio::async_read(c->client, prefix, use_tuple);
    if (prefix_ec) co_return;
    const std::size_t size = (static_cast<std::size_t>(static_cast<unsigned char>(hello[0])) << byte_bits) |
                             static_cast<unsigned char>(hello[1]);
    hello.resize(2 + size);
    const auto body = boost::asio::buffer(hello.data() + 2, size);
    auto [ec, got] = co_await boost::asio::async_read(c->client, body, use_tuple);
    pb::Handshake message;
    if (ec || !message.ParseFromArray(hello.data() + 2, static_cast<int>(size))) co_return;
    c->from = message.id();
    c->to = g.where.id;
    co_await wait_healed(c->from, c->to);
    const auto target = to_endpoint<tcp>(g.where.listening);
    auto [connect_ec] = co_await c->server.async_connect(target, use_tuple);
    if (connect_ec) co_return c->reset();
    boost::system::error_code ignored;
    c->client.set_option(tcp::no_delay(true), ignored);
    c->server.set_option(tcp::no_delay(true), ignored);
    const auto first = boost::asio::buffer(hello);
    auto [write_ec, written] = co_await boost::asio::async_write(c->server, first, use_tuple);
    if (write_ec) co_return c->reset();
    connections_.push_back(c);
    boost::asio::co_spawn(io_, pump(c, c->client, c->server), boost::asio::detached);
    boost::asio::co_spawn(io_, pump(c, c->server, c->client), boost::asio::detached);
  }

  awaitable<void> pump(connection_ptr c, tcp::socket& from, tcp::socket& to) {
    const auto bytes = std::make_unique<std::array<char, buffer_bytes>>();
    while (true) {
      const auto room = boost::asio::buffer(*bytes);
      auto [ec, size] = co_await from.async_read_some(room, use_tuple);
      if (ec) {
        if (is_cut(c->from, c->to)) c->lost = true;
        boost::system::error_code ignored;
        if (c->lost || c->silent) {
          from.close(ignored);
        } else {
          c->reset();
        }
        co_return;
      }
      if (c->silent) continue;
      co_await wait_healed(c->from, c->to);
      if (c->lost) co_return c->reset();
      const auto part = boost::asio::buffer(bytes->data(), size);
      auto [write_ec, written] = co_await boost::asio::async_write(to, part, use_tuple);
      if (write_ec) co_return c->reset();
    }
  }

  // A datagram that comes from the listening address of one process leaves from its advertised address, so that replies
  // pass the relay as well.
  awaitable<void> forward_datagrams(gate& g) {
    while (true) {
      const auto room = boost::asio::buffer(g.buffer);
      auto [ec, size] = co_await g.datagrams.async_receive_from(room, g.sender, use_tuple);
      if (ec == boost::asio::error::operation_aborted) co_return;
      const auto from = by_listening_.find(g.sender);
      if (ec || from == by_listening_.end() || is_cut(from->second->where.id, g.where.id)) continue;
      boost::system::error_code ignored;
      from->second->datagrams.send_to(boost::asio::buffer(g.buffer.data(), size), to_endpoint<udp>(g.where.listening),
                                      0, ignored);
    }
  }

  boost::asio::io_context& io_;
  boost::asio::steady_timer healed_;  ///< cancelled to wake those who wait for the end of a cut
  std::vector<std::unique_ptr<gate>> gates_;
  std::vector<std::weak_ptr<connection>> connections_;
  std::map<udp::endpoint, gate*> by_listening_;
  std::map<std::pair<std::string, std::string>, unsigned> cuts_;  ///< by the two ids in order: how many are in force
};

result<std::unique_ptr<mesh_relay>> mesh_relay::make(std::vector<endpoint> endpoints) {
  std::unique_ptr<mesh_relay> made(new mesh_relay);
  made->task_ = std::make_unique<task>(made->io_);
  for (const endpoint& one : endpoints) BOOST_LEAF_CHECK(made->task_->add(one));
  made->thread_ = std::thread([relay = made.get()] {
    const auto work = boost::asio::make_work_guard(relay->io_);
    relay->io_.run();
  });
  return made;
}

mesh_relay::~mesh_relay() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

void mesh_relay::post(std::function<void(task&)> change) {
  boost::asio::post(io_, [this, change = std::move(change)] { change(*task_); });
}

void mesh_relay::cut(const std::string& id, const std::string& other) {
  post([id, other](task& t) { t.cut(id, other); });
}

void mesh_relay::heal(const std::string& id, const std::string& other) {
  post([id, other](task& t) { t.heal(id, other); });
}

void mesh_relay::silence(const std::string& from, const std::string& to) {
  post([from, to](task& t) { t.silence(from, to); });
}

}  // namespace heatherdeck

// UDP with a truncated HMAC at the end of each datagram. Invariant: no datagram without a valid MAC reaches the
// decoder. Datagrams may be replayed; their content is versioned, so a replay changes nothing. Cost: one HMAC per
// datagram and direction. Sending never waits: gossip is repeated, so a datagram may be lost when the socket buffer is
// full.
#include "wire/datagram_socket.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include "model/gossip_messages.h"
#include "wire/endpoint.h"
#include "wire/mesh_key.h"
#include "wire/metrics.h"

namespace heatherdeck {

using boost::asio::ip::udp;

namespace {

constexpr std::string_view mac_label = "mesh datagram 1";
prometheus::Counter& sent_bytes() {
  static prometheus::Counter& c =
      counter("heatherdeck_gossip_bytes_total", "Bytes of gossip datagrams, without UDP and IP headers",
              {{"direction", "sent"}});
  return c;
}

// Large enough for the burst of datagrams with which a joining member is synchronised.
constexpr int receive_buffer_bytes = 1 << 20;

std::string datagram_mac(const std::string& key, std::string_view payload) {
  return mesh_mac(key, mac_label, {payload}).substr(0, datagram_mac_bytes);
}

std::string to_text(const udp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

}  // namespace

struct datagram_socket::state {
  state(executor_type executor, std::string mesh_key) : socket(std::move(executor)), key(std::move(mesh_key)) {}
  udp::socket socket;
  std::string key;
  counters counts;
};

datagram_socket::datagram_socket(std::shared_ptr<state> s) : state_(std::move(s)) {}
datagram_socket::~datagram_socket() { close(); }

result<std::unique_ptr<datagram_socket>> datagram_socket::make(executor_type executor, const std::string& listen,
                                                               std::string key) {
  BOOST_LEAF_AUTO(parts, parse_endpoint(listen));
  auto made = std::make_shared<state>(std::move(executor), std::move(key));
  const udp::endpoint local(parts.ip, parts.port);
  boost::system::error_code ec;
  made->socket.open(local.protocol(), ec);
  if (!ec) made->socket.bind(local, ec);
  if (!ec) made->socket.non_blocking(true, ec);
  if (ec) {
    return fail(error_kind::unreachable, "cannot bind the UDP socket: " + ec.message(),
                "set mesh_listen to a free address of this host", "mesh_listen " + listen);
  }
  boost::system::error_code ignored;
  made->socket.set_option(udp::socket::receive_buffer_size(receive_buffer_bytes), ignored);
  return std::unique_ptr<datagram_socket>(new datagram_socket(std::move(made)));
}

void datagram_socket::send(const std::string& to, std::string payload) {
  const auto parts = capture([&] { return parse_endpoint(to); });
  if (!parts || payload.size() + datagram_mac_bytes > max_datagram_bytes) {
    ++state_->counts.dropped;
    return;
  }
  payload += datagram_mac(state_->key, payload);
  boost::system::error_code ec;
  const std::size_t sent =
      state_->socket.send_to(boost::asio::buffer(payload), udp::endpoint(parts->ip, parts->port), 0, ec);
  if (ec) {
    ++state_->counts.dropped;
    return;
  }
  ++state_->counts.sent;
  state_->counts.sent_bytes += sent;
  sent_bytes().Increment(static_cast<double>(sent));
}

awaitable<outcome<datagram>> datagram_socket::receive() {
  const auto state = state_;
  std::array<char, max_datagram_bytes + 1> bytes{};
  while (state->socket.is_open()) {
    udp::endpoint from;
    const auto buffer = boost::asio::buffer(bytes);
    auto [ec, size] = co_await state->socket.async_receive_from(buffer, from, use_tuple);
    if (!state->socket.is_open()) break;
    if (ec) continue;  // an ICMP error caused by a datagram sent earlier
    const std::string_view received(bytes.data(), size);
    const std::size_t payload_size = size < datagram_mac_bytes ? 0 : size - datagram_mac_bytes;
    const std::string_view payload = received.substr(0, payload_size);
    if (payload.empty() || size > max_datagram_bytes ||
        !macs_equal(received.substr(payload_size), datagram_mac(state->key, payload))) {
      ++state->counts.refused;
      continue;
    }
    ++state->counts.received;
    co_return datagram{to_text(from), std::string(payload)};
  }
  co_return error{error_kind::closed, "the datagram socket is closed", "the service is stopping", {}};
}

void datagram_socket::close() {
  boost::system::error_code ignored;
  state_->socket.close(ignored);
}

std::uint16_t datagram_socket::port() const {
  boost::system::error_code ec;
  return state_->socket.local_endpoint(ec).port();
}

const datagram_socket::counters& datagram_socket::counts() const { return state_->counts; }

}  // namespace heatherdeck

// Three short messages, each with a two-byte length prefix. Invariants: no message longer than max_handshake_bytes is
// read; the server sends its proof before it has verified the client's, which reveals nothing because both
// nonces are random. The whole exchange has one time limit, after which the socket is closed. Cost: one round trip
// before the first request.
#include "wire/mesh_handshake.h"

#include <array>
#include <optional>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "wire/mesh_key.h"
#include "wire/messages.pb.h"

namespace heatherdeck {

namespace {

using boost::asio::ip::tcp;

constexpr std::uint32_t protocol_version = 1;
constexpr std::string_view client_label = "mesh client 1";
constexpr std::string_view server_label = "mesh server 1";
constexpr unsigned byte_bits = 8;

error malformed_handshake(std::string text) {
  return {error_kind::bad_message, std::move(text), "check that the address is a mesh_listen of this mesh", {}};
}

error wrong_key_error(const std::string& peer) {
  return {error_kind::unauthorised,
          "the peer '" + peer + "' did not prove that it has the mesh key",
          "check that mesh_key is the same in the settings of both processes",
          {}};
}

error connection_lost(const boost::system::error_code& ec, bool expired) {
  if (expired)
    return {error_kind::timeout,
            "the handshake was not complete within 2 s",
            "check the address and the load of the peer",
            {}};
  return {error_kind::closed,
          "the connection was closed during the handshake: " + ec.message(),
          "check that mesh_key is the same in the settings of both processes",
          {}};
}

/// Closes the socket when handshake_limit expires.
class handshake_timeout {
 public:
  handshake_timeout(timer_service& timers, tcp::socket& socket)
      : timer_(timers.after(handshake_limit, [this, &socket] {
          expired_ = true;
          boost::system::error_code ignored;
          socket.close(ignored);
        })) {}
  bool expired() const { return expired_; }

 private:
  bool expired_ = false;
  subscription timer_;
};

awaitable<outcome<void>> send(tcp::socket& socket, const handshake_timeout& limit, pb::Handshake message) {
  std::string bytes = message.SerializeAsString();
  const auto size = bytes.size();
  bytes.insert(0, {static_cast<char>(size >> byte_bits), static_cast<char>(size & 0xFFU)});
  const auto buffer = boost::asio::buffer(bytes);
  auto [ec, sent] = co_await boost::asio::async_write(socket, buffer, use_tuple);
  if (ec) co_return connection_lost(ec, limit.expired());
  co_return outcome<void>();
}

awaitable<outcome<pb::Handshake>> receive(tcp::socket& socket, const handshake_timeout& limit) {
  std::array<unsigned char, 2> prefix{};
  const auto prefix_buffer = boost::asio::buffer(prefix);
  auto [prefix_ec, prefix_size] = co_await boost::asio::async_read(socket, prefix_buffer, use_tuple);
  if (prefix_ec) co_return connection_lost(prefix_ec, limit.expired());
  const std::size_t size = (static_cast<std::size_t>(prefix[0]) << byte_bits) | prefix[1];
  if (size > max_handshake_bytes) co_return malformed_handshake("a handshake message is too long");
  std::string bytes(size, '\0');
  const auto buffer = boost::asio::buffer(bytes);
  auto [ec, got] = co_await boost::asio::async_read(socket, buffer, use_tuple);
  if (ec) co_return connection_lost(ec, limit.expired());
  pb::Handshake message;
  if (!message.ParseFromString(bytes)) co_return malformed_handshake("a handshake message is malformed");
  co_return message;
}

/// Validates the first message of a peer: protocol version, nonce and id.
std::optional<error> check_hello(const pb::Handshake& message) {
  if (message.protocol() != protocol_version) {
    return malformed_handshake("the peer speaks handshake protocol " + std::to_string(message.protocol()) +
                               ", this process 1");
  }
  if (message.nonce().size() != mesh_nonce_bytes) return malformed_handshake("the peer's nonce has the wrong length");
  if (message.id().empty() || message.id().size() > max_peer_id_bytes)
    return malformed_handshake("the peer's id is empty or too long");
  return std::nullopt;
}

pb::Handshake make_hello(const std::string& id) {
  pb::Handshake message;
  message.set_protocol(protocol_version);
  message.set_nonce(random_bytes(mesh_nonce_bytes));
  message.set_id(id);
  return message;
}

std::string handshake_mac(const std::string& key, std::string_view label, const pb::Handshake& client,
                          const pb::Handshake& server) {
  return mesh_mac(key, label, {client.nonce(), server.nonce(), client.id(), server.id()});
}

}  // namespace

awaitable<outcome<std::string>> handshake_as_client(tcp::socket& socket, timer_service& timers, std::string key,
                                                    std::string id) {
  const handshake_timeout limit(timers, socket);
  const pb::Handshake own = make_hello(id);
  const auto hello_sent = co_await send(socket, limit, own);
  if (!hello_sent) co_return hello_sent.failure();
  const auto peer = co_await receive(socket, limit);
  if (!peer) co_return peer.failure();
  if (auto fault = check_hello(*peer)) co_return std::move(*fault);
  if (!macs_equal(peer->proof(), handshake_mac(key, server_label, own, *peer))) co_return wrong_key_error(peer->id());
  pb::Handshake answer;
  answer.set_proof(handshake_mac(key, client_label, own, *peer));
  const auto proof_sent = co_await send(socket, limit, answer);
  if (!proof_sent) co_return proof_sent.failure();
  co_return peer->id();
}

awaitable<outcome<std::string>> handshake_as_server(tcp::socket& socket, timer_service& timers, std::string key,
                                                    std::string id) {
  const handshake_timeout limit(timers, socket);
  const auto peer = co_await receive(socket, limit);
  if (!peer) co_return peer.failure();
  if (auto fault = check_hello(*peer)) co_return std::move(*fault);
  pb::Handshake own = make_hello(id);
  own.set_proof(handshake_mac(key, server_label, *peer, own));
  const auto hello_sent = co_await send(socket, limit, own);
  if (!hello_sent) co_return hello_sent.failure();
  const auto proof = co_await receive(socket, limit);
  if (!proof) co_return proof.failure();
  if (!macs_equal(proof->proof(), handshake_mac(key, client_label, *peer, own))) co_return wrong_key_error(peer->id());
  co_return peer->id();
}

}  // namespace heatherdeck

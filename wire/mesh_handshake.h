/// @file
/// Mutual authentication with the mesh key (a shared secret) at the start of each connection, before HTTP/2.
///
///     client: nonce, id                       -> server
///     server: nonce, id, proof                -> client
///     client: proof                           -> server, followed at once by HTTP/2
///
/// A proof is a MAC over both nonces and both ids, with a label for the side that sends it, so it can be neither
/// replayed nor reflected. The exchange costs one round trip.
///
///     outcome<std::string> peer = co_await handshake_as_client(socket, timers, key, "dar-1-03");
#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "kernel/mailbox.h"

namespace heatherdeck {

/// Time limit of the whole exchange.
inline constexpr duration handshake_limit = std::chrono::seconds(2);
/// Longest handshake message, without the two bytes of its length.
inline constexpr std::size_t max_handshake_bytes = 512;
inline constexpr std::size_t max_peer_id_bytes = 128;

/// The connecting side.
/// @param socket connected; owned by the calling task. It is closed when the time limit expires.
/// @param key the mesh key.
/// @param id id of this process.
/// @return the peer's id, or `unauthorised`, `bad_message`, `timeout` or `closed`.
awaitable<outcome<std::string>> handshake_as_client(boost::asio::ip::tcp::socket& socket, timer_service& timers,
                                                    std::string key, std::string id);

/// The accepting side; parameters and result as for handshake_as_client.
awaitable<outcome<std::string>> handshake_as_server(boost::asio::ip::tcp::socket& socket, timer_service& timers,
                                                    std::string key, std::string id);

}  // namespace heatherdeck

/// @file
/// The proof of the mesh key at the start of each connection, before HTTP/2.
///
///     client: nonce, id                       -> server
///     server: nonce, id, proof                -> client
///     client: proof                           -> server, followed at once by HTTP/2
///
/// A proof covers both nonces and both ids under a label for its side, so it can neither be replayed nor be reflected.
///
///     outcome<std::string> peer = co_await handshake_as_client(socket, timers, key, "dar-1-03");
#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "kernel/mailbox.h"

namespace heatherdeck {

inline constexpr duration handshake_limit = std::chrono::seconds(2);
inline constexpr std::size_t max_handshake_bytes = 512;
inline constexpr std::size_t max_peer_id_bytes = 128;

/// @param socket connected; owned by the calling task. It is closed when the time is over.
/// @param id this process.
/// @return the peer's id, or `unauthorised`, `bad_message`, `timeout` or `closed`.
awaitable<outcome<std::string>> handshake_as_client(boost::asio::ip::tcp::socket& socket, timer_service& timers,
                                                    std::string key, std::string id);

/// The accepting side.
awaitable<outcome<std::string>> handshake_as_server(boost::asio::ip::tcp::socket& socket, timer_service& timers,
                                                    std::string key, std::string id);

}  // namespace heatherdeck

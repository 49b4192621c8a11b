/// @file
/// Implementation of mesh_service: owns the listener, the connections and the event mailbox. Used by mesh_service.cc
/// only.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "kernel/kernel.h"
#include "model/settings.h"
#include "wire/h2_connection.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

/// The address that receives the incoming streams of each kind; filled once, before the first connection.
using stream_inboxes = std::array<address<incoming_stream>, enum_table<stream_kind>::entries.size()>;

class mesh_task : public std::enable_shared_from_this<mesh_task> {
 public:
  mesh_task(kernel& k, const settings& s, std::shared_ptr<const stream_inboxes> inboxes,
            boost::asio::ip::tcp::acceptor acceptor);

  void start(std::shared_ptr<mailbox<mesh_message>> inbox);
  awaitable<void> drain();
  void stop();
  boost::json::value dump() const;
  std::uint16_t port() const { return port_; }

 private:
  /// Result of connecting to another process, including the handshake.
  struct outgoing_connected {
    std::string mesh_address;
    outcome<std::string> peer;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
  };
  /// An accepted connection that has passed the handshake.
  struct incoming_accepted {
    std::string peer;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
  };
  /// An event of an established connection, incoming or outgoing.
  struct connection_changed {
    std::uint64_t id = 0;
    h2_event event = h2_event::closed;
  };
  using event = std::variant<outgoing_connected, incoming_accepted, connection_changed>;

  /// One outgoing address: either connected, or connecting with the requests that wait for the connection.
  struct outgoing_entry {
    h2_connection connection;
    std::uint64_t id = 0;
    std::vector<open_stream> waiting;
  };
  struct incoming_entry {
    h2_connection connection;
    bool may_have_calls = true;  ///< incoming calls may be in flight
  };

  awaitable<void> serve_messages(std::shared_ptr<mailbox<mesh_message>> inbox);
  awaitable<void> serve_events();
  awaitable<void> accept();
  /// Runs the server side of the handshake and posts incoming_accepted.
  awaitable<void> authenticate_incoming(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
  /// Connects to an address and posts outgoing_connected.
  awaitable<void> connect(std::string mesh_address);
  awaitable<outcome<std::string>> connect_and_authenticate(const std::string& mesh_address,
                                                           boost::asio::ip::tcp::socket& socket);

  void handle(open_stream& request);
  void handle(refuse_new_streams& request);
  void handle(close_connections& request);
  void handle(outgoing_connected& done);
  void handle(incoming_accepted& done);
  void handle(connection_changed& change);
  void begin_drain();
  /// Opens the requested stream on an established connection and replies with it.
  void open_on(const h2_connection& connection, open_stream& request);
  /// Starts HTTP/2 on a socket that has passed the handshake; `id` identifies the connection in its events.
  h2_connection start_connection(h2_side side, const std::string& peer, boost::asio::ip::tcp::socket socket,
                                 std::uint64_t id);
  bool has_incoming_calls() const;

  kernel& kernel_;
  const std::string id_;
  const std::string key_;
  std::shared_ptr<const stream_inboxes> inboxes_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  mailbox<event> events_;
  wake_signal drained_;                                ///< set when the last incoming call has ended while draining
  std::map<std::string, outgoing_entry> outgoing_;     ///< by mesh address
  std::map<std::uint64_t, std::string> outgoing_ids_;  ///< connection id to mesh address
  std::map<std::uint64_t, incoming_entry> incoming_;   ///< by connection id
  std::uint64_t next_id_ = 1;
  std::size_t running_handshakes_ = 0;
  std::uint64_t refused_handshakes_ = 0;
  std::uint64_t failed_connects_ = 0;
  bool draining_ = false;
  bool stopped_ = false;
};

}  // namespace heatherdeck

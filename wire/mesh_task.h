/// @file
/// The task behind mesh_service: its listener, its connections and its mailboxes. Used by mesh_service.cc only.
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

/// Where incoming streams go; written once, before the first connection.
using stream_table = std::array<address<incoming_stream>, enum_table<stream_kind>::entries.size()>;

class mesh_task : public std::enable_shared_from_this<mesh_task> {
 public:
  mesh_task(kernel& k, const settings& s, std::shared_ptr<const stream_table> table,
            boost::asio::ip::tcp::acceptor acceptor);

  void start(std::shared_ptr<mailbox<mesh_message>> inbox);
  awaitable<void> drain();
  void stop();
  boost::json::value dump() const;
  std::uint16_t port() const { return port_; }

 private:
  /// A connection that has passed the handshake.
  struct connected {
    std::string mesh_address;
    outcome<std::string> peer;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
  };
  struct accepted {
    std::string peer;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
  };
  struct connection_changed {
    std::uint64_t id = 0;
    h2_event event = h2_event::closed;
  };
  using event = std::variant<connected, accepted, connection_changed>;

  /// One outgoing address: connected, or connecting with those who wait.
  struct peer_entry {
    h2_connection connection;
    std::uint64_t id = 0;
    std::vector<open_stream> waiting;
  };
  struct incoming_entry {
    h2_connection connection;
    bool busy = true;  ///< calls may be in flight
  };

  awaitable<void> serve_messages(std::shared_ptr<mailbox<mesh_message>> inbox);
  awaitable<void> serve_events();
  awaitable<void> accept();
  awaitable<void> greet(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
  awaitable<void> connect(std::string mesh_address);
  awaitable<outcome<std::string>> reach(const std::string& mesh_address, boost::asio::ip::tcp::socket& socket);

  void handle(open_stream& request);
  void handle(refuse_new_streams& request);
  void handle(close_connections& request);
  void handle(connected& done);
  void handle(accepted& done);
  void handle(connection_changed& change);
  void begin_drain();
  void answer(const h2_connection& connection, open_stream& request);
  h2_connection adopt(h2_side side, const std::string& peer, boost::asio::ip::tcp::socket socket, std::uint64_t id);
  bool incoming_busy() const;

  kernel& kernel_;
  const std::string id_;
  const std::string key_;
  std::shared_ptr<const stream_table> table_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  mailbox<event> events_;
  wake_signal drained_;
  std::map<std::string, peer_entry> outgoing_;
  std::map<std::uint64_t, std::string> outgoing_ids_;
  std::map<std::uint64_t, incoming_entry> incoming_;
  std::uint64_t next_id_ = 1;
  std::size_t handshakes_ = 0;
  std::uint64_t refused_handshakes_ = 0;
  std::uint64_t failed_connects_ = 0;
  bool draining_ = false;
  bool stopped_ = false;
};

}  // namespace heatherdeck

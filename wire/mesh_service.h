/// @file
/// The service "mesh": all connections between the processes of the mesh.
///
/// It listens on settings.mesh_listen and keeps at most one outgoing connection for each address. Each connection
/// starts with the proof of the mesh key (mesh_handshake.h) and then speaks HTTP/2. Others reach it by the messages of
/// mesh_messages.h:
///
///     BOOST_LEAF_AUTO(mesh, k.find<mesh_message>(to_name(service_name::mesh)));
///     auto stream = co_await open_mesh_stream(k.timers(), k.executor(), mesh, "10.0.0.3:7001", stream_kind::call, {});
///
/// An incoming stream goes to the address<incoming_stream> of the service that its kind belongs to; when that service
/// does not run here or its mailbox is full, the stream is refused as not processed.
#pragma once

#include <cstdint>
#include <memory>

#include "kernel/kernel.h"
#include "model/settings.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

class mesh_task;

class mesh_service : public service {
 public:
  /// @return the service, or `bad_settings` when mesh_listen or mesh_key cannot be used.
  static result<std::unique_ptr<mesh_service>> make(const settings& s);
  ~mesh_service() override;

  std::string_view name() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  /// Refuses new streams and waits until no incoming call is in flight.
  awaitable<void> drain() override;
  void stop() override;
  boost::json::value dump() const override;

  /// @return the port that is listened on; of use when the settings ask for port 0.
  std::uint16_t port() const;

 private:
  explicit mesh_service(const settings& s);
  settings settings_;
  std::shared_ptr<mailbox<mesh_message>> inbox_;
  std::shared_ptr<mesh_task> task_;
};

/// Asks the mesh service for a stream.
/// @param timeout covers the wait for the connection.
/// @return the stream, or `unreachable` (nothing was sent), `unauthorised`, `timeout`, `overloaded`.
awaitable<outcome<std::shared_ptr<h2_stream>>> open_mesh_stream(timer_service& timers, executor_type executor,
                                                                address<mesh_message> mesh, std::string mesh_address,
                                                                stream_kind kind, header_list headers,
                                                                bool end_stream = false,
                                                                duration timeout = std::chrono::seconds(2));

}  // namespace heatherdeck

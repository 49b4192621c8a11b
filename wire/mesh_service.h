/// @file
/// The service "mesh": owns all connections between this process and the other processes of the mesh.
///
/// It listens on settings.mesh_listen and keeps at most one outgoing connection per address. Each connection starts
/// with the mesh-key handshake (mesh_handshake.h) and then uses HTTP/2. Other services send it the messages of
/// mesh_messages.h:
///
///     BOOST_LEAF_AUTO(mesh, k.find<mesh_message>(to_name(service_name::mesh)));
///     auto stream = co_await open_mesh_stream(k.timers(), k.executor(), mesh, "10.0.0.3:7001", stream_kind::call, {});
///
/// An incoming stream is posted to the address<incoming_stream> of the service that handles its kind; if that service
/// does not run in this process or its mailbox is full, the stream is refused as not processed.
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
  /// @return the service, or `usage` if mesh_listen is malformed, or `bad_settings` if mesh_key is empty.
  static result<std::unique_ptr<mesh_service>> make(const settings& s);
  ~mesh_service() override;

  std::string_view name() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  /// Refuses new streams and waits until no incoming call is in flight.
  awaitable<void> drain() override;
  void stop() override;
  boost::json::value dump() const override;

  /// @return the local port, for settings with port 0; 0 before `start`.
  std::uint16_t port() const;

 private:
  explicit mesh_service(const settings& s);
  settings settings_;
  std::shared_ptr<mailbox<mesh_message>> inbox_;
  std::shared_ptr<mesh_task> task_;
};

/// Requests a stream from the mesh service.
/// @param timeout limits the wait for the connection, not the use of the stream.
/// @return the stream, or `unreachable` (nothing was sent), `unauthorised`, `timeout`, `overloaded`.
awaitable<outcome<std::shared_ptr<h2_stream>>> open_mesh_stream(timer_service& timers, executor_type executor,
                                                                address<mesh_message> mesh, std::string mesh_address,
                                                                stream_kind kind, header_list headers,
                                                                bool end_stream = false,
                                                                duration timeout = std::chrono::seconds(2));

}  // namespace heatherdeck

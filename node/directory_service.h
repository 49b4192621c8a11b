/// @file
/// The service "directory": runs directory_core on a UDP socket on the mesh port, the timers and its mailbox.
///
/// It runs on nodes and control hosts. After a change it posts the list of all members to "traffic", "consensus" and
/// "subscriber", as far as they run in the same process, at most every 50 ms. Others request the list with
/// `get_members`. When a mesh address leaves the list, "mesh" is asked to close its idle connections to it. Departures
/// that an earlier process of this host has recorded are posted to "announcements".
///
///     BOOST_LEAF_AUTO(directory, k.find<directory_message>(to_name(service_name::directory)));
///     directory.post(local_endpoint_changed{endpoint});
///     auto members = co_await ask<member_list_ptr>(k.timers(), k.executor(), directory, 1s,
///                                                     [](auto r) { return get_members{std::move(r)}; });
#pragma once

#include <cstdint>
#include <memory>

#include "kernel/kernel.h"
#include "model/directory_messages.h"
#include "model/settings.h"

namespace heatherdeck {

class directory_task;

class directory_service : public service {
 public:
  /// @return the service, or `bad_settings` when mesh_listen is an unspecified address, such as 0.0.0.0, or mesh_key is
  ///         empty.
  static result<std::unique_ptr<directory_service>> make(const settings& s);
  ~directory_service() override;

  std::string_view name() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  /// Announces to some members that this process leaves the mesh.
  awaitable<void> drain() override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  explicit directory_service(const settings& s);
  settings settings_;
  std::shared_ptr<mailbox<directory_message>> inbox_;
  std::shared_ptr<directory_task> task_;
};

}  // namespace heatherdeck

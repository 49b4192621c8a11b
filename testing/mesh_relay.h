/// @file
/// Forwards the mesh traffic of processes on this machine, TCP and UDP, and drops it between processes that are cut off
/// from each other, without a reset: what a lost link or a host without power looks like to its peers.
///
///     auto relay = mesh_relay::make({{"127.10.1.1", "127.10.1.1:18000", "127.10.1.1:18007"}, ...});
///     (*relay)->cut("127.10.1.1", "127.10.1.2");
///     (*relay)->heal("127.10.1.1", "127.10.1.2");
///     (*relay)->silence("127.10.1.1", "127.10.1.2");
///
/// A process listens on one address and advertises another (`mesh_advertise`), on which the relay listens. While two
/// processes are cut off, bytes of their connections wait, and datagrams are lost. A connection whose process ended
/// meanwhile is reset when the other side next sends something after the cut. All functions may be called from any
/// thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "kernel/result.h"

namespace heatherdeck {

class mesh_relay {
 public:
  struct endpoint {
    std::string id;          ///< of the process in the mesh
    std::string advertised;  ///< "ip:port" on which the relay listens
    std::string listening;   ///< "ip:port" of the process
  };

  /// @return the relay, or `usage` when an address is malformed or in use.
  static result<std::unique_ptr<mesh_relay>> make(std::vector<endpoint> endpoints);
  ~mesh_relay();
  mesh_relay(const mesh_relay&) = delete;
  mesh_relay& operator=(const mesh_relay&) = delete;

  /// Cuts the links between two processes, in both directions; each cut needs a heal of its own.
  void cut(const std::string& id, const std::string& other);
  void heal(const std::string& id, const std::string& other);
  /// Drops from now on, without a reset, what is sent on the connections that one process has opened to the other.
  /// Connections that are opened later work.
  void silence(const std::string& from, const std::string& to);

 private:
  class task;
  mesh_relay() = default;
  void post(std::function<void(task&)> change);

  boost::asio::io_context io_;
  std::unique_ptr<task> task_;
  std::thread thread_;
};

}  // namespace heatherdeck

/// @file
/// Control hosts and nodes as separate processes in the platform's dialect, each on a loopback address of its own.
///
///     auto made = capture([] { return soak_deployment::make({.bin = HD_BUILD_FOLDER, .work = folder,
///                                                            .services = {"desk", "desk", "front"}}); });
///     capture([&] { return (*made)->start("c1"); });
///
/// Control hosts are named c1, c2, ..., nodes n1, n2, ... Functions block the calling thread until they are done.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "kernel/timer_service.h"
#include "testing/mesh_relay.h"
#include "testing/process.h"
#include "wire/http_message.h"

namespace heatherdeck {

struct soak_zone {
  std::string name;
  std::string region;
};

struct soak_deployment_options {
  std::string bin;   ///< build folder with the programs to run
  std::string work;  ///< folder for settings, data and logs; created
  unsigned control_hosts = 3;
  std::vector<std::string> services;  ///< of the upstreams beside n1, n2, ...
  milliseconds stop_grace{4000};
  milliseconds stop_notice{1500};
  unsigned tolerated_losses = 1;
  std::vector<soak_zone> zones{{"dar-kivukoni", "dar"}, {"dar-kigamboni", "dar"}, {"dar-ilala", "dar"}};
  bool relayed = false;  ///< mesh traffic passes a mesh_relay, so that cut() works
};

/// Ports of a process on its own address.
enum class soak_port {
  mesh,
  admin,
  caller,
  configuration,
  announcements = configuration,
  upstream,
  operators,
  relayed_mesh,  ///< where a process listens for the mesh when a relay listens at `mesh`
  last = relayed_mesh
};

/// Destruction kills all processes.
class soak_deployment {
 public:
  static result<std::unique_ptr<soak_deployment>> make(soak_deployment_options options);

  /// Writes the settings of a process and starts it; does not wait until it is ready.
  result<void> start(const std::string& name);
  /// Does nothing if the process has ended and was waited for.
  void send_signal(const std::string& name, int number) { processes_.at(name).send_signal(number); }
  /// @return the exit code of a process that has ended, without blocking; nothing if it runs.
  std::optional<int> try_wait(const std::string& name) { return processes_.at(name).try_wait(); }

  /// Empties the data folder of a control host that doesn't run.
  void lose_disk(const std::string& name) const;
  /// Cuts the mesh links between two processes; each cut needs a heal of its own. Requires `relayed`.
  void cut(const std::string& name, const std::string& other) { relay_->cut(ip(name), ip(other)); }
  void heal(const std::string& name, const std::string& other) { relay_->heal(ip(name), ip(other)); }
  /// Makes the connections that one process has opened to the other silent; later ones work.
  void silence(const std::string& name, const std::string& other) { relay_->silence(ip(name), ip(other)); }

  /// Sends a configuration to the control hosts in turn until one acknowledges it.
  /// @return false after the limit.
  bool put_configuration(const std::string& base_version, const std::string& text, milliseconds limit) const;
  /// @return whether the process answers /ready with 200.
  bool ready(const std::string& name) const;
  /// @return whether the process answers at its admin port, so that it handles signals.
  bool handles_signals(const std::string& name) const;

  /// @param kind c or n.
  std::vector<std::string> names(char kind) const;
  /// @return "ip:port".
  std::string address(const std::string& name, soak_port port) const;
  /// @return the lines of all nodes' logs that contain the text and one of the events, each after the node's name.
  std::vector<std::string> log_lines(std::string_view text, const std::vector<std::string_view>& events) const;

 private:
  explicit soak_deployment(soak_deployment_options options) : options_(std::move(options)) {}
  bool addresses_are_free() const;
  result<void> start_relay();
  std::string ip(const std::string& name) const;
  std::string path(const std::string& file) const { return options_.work + "/" + file; }
  std::string settings_text(const std::string& name);

  soak_deployment_options options_;
  unsigned network_ = 0;  ///< second number of all addresses, so that two runs use different ones
  std::set<std::string> formed_;
  std::unique_ptr<mesh_relay> relay_;
  std::map<std::string, process> processes_;
};

}  // namespace heatherdeck

/// @file
/// A small mesh of real processes on loopback addresses, for scenarios and measurements.
///
///     BOOST_LEAF_AUTO(f, fleet::make({.bin = "build", .work = folder, .base_port = 23000, .control_hosts = 3}));
///     f->start_all();
///     f->submit(150);                                    // an accepted change of one route
///     f->kill("c1");
///     f->wait_in_force(4s);
///
/// Processes are named c1, c2, ... (control hosts), n1, n2, ... (nodes) and u1, u2, ... (the upstream on a node's
/// host). Hosts are placed in the availability zones dar-1, mwanza-1 and kigoma-1 in turn.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "kernel/result.h"
#include "kernel/timer_service.h"
#include "model/version.h"
#include "testing/process.h"

namespace heatherdeck {

struct fleet_options {
  std::string bin;   ///< build folder
  std::string work;  ///< empty folder for settings, keys, data and logs
  std::uint16_t base_port = 23'000;
  unsigned control_hosts = 3;
  unsigned nodes = 6;
  unsigned upstreams = 0;  ///< upstreams of service certdesk, on the first hosts
  unsigned sections = 3;   ///< sections of the document besides the changed route
};

/// One line `document_applied` of a node's log.
struct applied_line {
  std::string node;
  version applied;
  std::chrono::milliseconds at{0};  ///< wall clock, since the epoch
};

class fleet {
 public:
  static result<std::unique_ptr<fleet>> make(const fleet_options& options);

  result<void> start(const std::string& name);
  /// Starts all control hosts, then all nodes and upstreams, and waits until the control hosts are ready.
  result<void> start_all();

  void send_signal(const std::string& name, int number);
  /// SIGKILL, and waits for the end.
  void kill(const std::string& name);
  /// SIGTERM, and waits for the end.
  /// @return the exit code.
  int stop(const std::string& name);
  /// Removes the data folder of a stopped control host.
  void lose_disk(const std::string& name);

  /// Submits the document with one route's time-out changed.
  /// @param wait accepted or in_force.
  /// @return exit code and output of the command-line tool.
  finished_command submit(unsigned timeout_ms, const std::string& wait, const std::string& id = {});

  /// Submits a change on the base that `show --out=race1.yaml` (or race2) saved; two of these race.
  /// @param racer 1 or 2: each has a value and an id of its own.
  finished_command submit_from_race(unsigned timeout_ms, unsigned racer);

  /// Runs the command-line tool against all control hosts.
  finished_command cli(const std::vector<std::string>& arguments) const;

  /// @return the dump of a process, or the error.
  outcome<boost::json::value> dump(const std::string& name) const;

  /// @return the text of a process's metrics; empty when it does not answer.
  std::string metrics(const std::string& name) const;

  /// @return the name of the control host that is leader now; empty when there is none.
  std::string leader() const;

  /// Waits until every running node acts on the highest version that any process knows.
  /// @return the time that it took, or `timeout` with the nodes that lag.
  outcome<std::chrono::milliseconds> wait_in_force(std::chrono::milliseconds limit, version least = {}) const;

  /// Waits until the dump of a process satisfies a condition.
  outcome<std::chrono::milliseconds> wait_until(std::chrono::milliseconds limit,
                                                const std::function<bool()>& condition) const;

  /// @return all `document_applied` lines of all nodes, in the order of each node's log.
  std::vector<applied_line> applied_lines() const;

  /// @return when a control host first logged a version as accepted; zero when none did.
  std::chrono::milliseconds accepted_at(const version& v) const;

  const fleet_options& options() const { return options_; }
  std::vector<std::string> names(char kind) const;
  bool running(const std::string& name) const;
  pid_t pid(const std::string& name) const;
  std::string address(const std::string& name, unsigned offset) const;

 private:
  explicit fleet(const fleet_options& options) : options_(options) {}

  result<void> write_common();
  std::string settings_text(const std::string& name) const;
  std::vector<std::string> command_of(const std::string& name) const;
  std::string path(const std::string& file) const { return options_.work + "/" + file; }
  std::string control_list() const;
  std::string document_text(unsigned timeout_ms) const;

  fleet_options options_;
  std::string hosts_yaml_;
  std::string operators_yaml_;
  std::map<std::string, process> processes_;
};

/// Parses "1.17".
version version_from(std::string_view text);

}  // namespace heatherdeck

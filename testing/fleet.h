/// @file
/// Starts and observes a small mesh of real processes on loopback addresses. Used by heatherdeck_scenario and
/// heatherdeck_bench.
///
///     BOOST_LEAF_AUTO(f, fleet::make({.bin = "build", .work = folder, .base_port = 23000, .control_hosts = 3}));
///     f->start_all();
///     f->submit(150, "accepted");                        // changes a route's timeout
///     f->kill("c1");
///     f->wait_in_force(4s);
///
/// Processes are named c1, c2, ... (control hosts), n1, n2, ... (nodes) and u1, u2, ... (the upstream on the host of
/// the node with the same number). Hosts are assigned round-robin to the availability zones dar-1, mwanza-1 and
/// kigoma-1. Functions block the calling thread until they are done.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "kernel/result.h"
#include "kernel/timer_service.h"
#include "model/version.h"
#include "testing/process.h"

namespace heatherdeck {

/// Ports within the block of a process. Control hosts have operator_port, nodes have caller_port in its place.
enum port_offset : unsigned { mesh_port, admin_port, operator_port, caller_port = 2, announce_port, upstream_port = 5 };

struct fleet_options {
  std::string bin;                   ///< build folder with the programs to run
  std::string work;                  ///< empty folder for settings, keys, data and logs
  std::uint16_t base_port = 23'000;  ///< first port on 127.0.0.1; each process has a block of 10
  unsigned control_hosts = 3;
  unsigned nodes = 6;
  unsigned upstreams = 0;                        ///< upstreams of the service certdesk, on the hosts of the first nodes
  unsigned sections = 3;                         ///< additional sections in the document
  std::chrono::milliseconds stop_grace{0};       ///< stop_grace_ms of the nodes
  std::chrono::milliseconds stop_notice{0};      ///< stop_notice_ms of the nodes, with stop_grace
  std::string further_sections;                  ///< of the document, indented by two spaces
  std::vector<std::string> upstream_flags = {};  ///< further flags of the upstreams
};

/// One log event `document_applied` of a node.
struct applied_event {
  std::string node;
  version applied_version;
  std::chrono::milliseconds logged_at{0};  ///< wall-clock time of the log line, since the Unix epoch
};

/// One line of a process's log.
struct logged_line {
  std::string process;
  std::chrono::milliseconds logged_at{0};  ///< wall-clock time, since the Unix epoch
  boost::json::object fields;
};

/// The processes of one mesh, with their settings, keys, data and logs in one folder. Destruction kills them all.
class fleet {
 public:
  /// Creates the work folder and the keys; starts no process yet.
  static result<std::unique_ptr<fleet>> make(const fleet_options& options);

  /// Writes the settings of a process and starts it; does not wait until it is ready.
  result<void> start(const std::string& name);
  /// Starts all control hosts, then all nodes and upstreams, and waits up to 30 s for a leader.
  result<void> start_all();

  /// Sends a signal without waiting for its effect.
  void send_signal(const std::string& name, int number);
  /// Sends SIGKILL and waits until the process has ended.
  void kill(const std::string& name);
  /// Sends SIGTERM and waits until the process has ended.
  /// @return the exit code.
  int stop(const std::string& name);
  /// @return the exit code of a process that has ended after a signal, without blocking; nothing if it runs.
  std::optional<int> try_wait(const std::string& name) { return processes_.at(name).try_wait(); }
  /// Deletes the data folder of a stopped control host, which simulates the loss of its disk.
  void delete_data_folder(const std::string& name);

  /// Submits the document with a new timeout for the route `lookup`.
  /// @param wait state to wait for: accepted or in_force.
  /// @param id submission id, by which a repeated submission is recognized; empty: chosen by the command-line tool.
  /// @return exit code and output of the command-line tool.
  command_output submit(unsigned timeout_ms, const std::string& wait, const std::string& id = {});

  /// Submits a change based on the version that `show --out=race1.yaml` (or race2.yaml) saved in the work folder, so
  /// that two submitters can compete from the same base. Safe to call from two threads with different submitters.
  /// @param submitter 1 or 2; selects the file, and gives each submission its own timeout value and id.
  command_output submit_on_saved_base(unsigned timeout_ms, unsigned submitter);

  /// Runs the command-line tool with the operator addresses of all control hosts.
  command_output run_cli(const std::vector<std::string>& arguments) const;

  /// @return the state that a process reports at /dump on its admin port, or the error.
  outcome<boost::json::value> dump(const std::string& name) const;

  /// @return the Prometheus text at /metrics of a process; empty if it does not answer.
  std::string metrics(const std::string& name) const;

  /// @return the name of the first control host that reports itself as leader; empty if there is none.
  std::string leader() const;

  /// Waits until every running node has applied the highest version that any control host reports, or `min_version` if
  /// that is higher.
  /// @return the time that it took, or the error `timeout` with the nodes on other versions.
  outcome<std::chrono::milliseconds> wait_in_force(std::chrono::milliseconds limit, version min_version = {}) const;

  /// Evaluates a condition every 10 ms until it holds.
  /// @return the time that it took, or the error `timeout`.
  outcome<std::chrono::milliseconds> wait_until(std::chrono::milliseconds limit,
                                                const std::function<bool()>& condition) const;

  /// @return all `document_applied` events, ordered by node and then by position in the node's log.
  std::vector<applied_event> applied_events() const;

  /// @return the wall-clock time (since the Unix epoch) at which a control host first logged `document_changed` with
  /// this version; zero if none did.
  std::chrono::milliseconds accepted_at(const version& v) const;

  /// @param event name of a log event.
  /// @return the lines with this event of all processes of a kind (c, n or u), ordered by process.
  std::vector<logged_line> logged(char kind, std::string_view event) const;

  const fleet_options& options() const { return options_; }
  /// @param kind c, n or u.
  /// @return the names of all configured processes of that kind, running or not.
  std::vector<std::string> names(char kind) const;
  /// @return whether the process was started and has not been waited for, by kill() or stop().
  bool running(const std::string& name) const;
  pid_t pid(const std::string& name) const;
  /// @param offset port within the block of the process.
  /// @return "127.0.0.1:port".
  std::string address(const std::string& name, unsigned offset) const;

 private:
  explicit fleet(const fleet_options& options) : options_(options) {}

  result<void> write_shared_files();
  std::string settings_text(const std::string& name) const;
  std::vector<std::string> command_line_of(const std::string& name) const;
  std::string path(const std::string& file) const { return options_.work + "/" + file; }
  std::string control_addresses() const;
  std::string document_text(unsigned timeout_ms) const;

  fleet_options options_;
  std::string control_hosts_yaml_;
  std::string operators_yaml_;
  std::map<std::string, process> processes_;
};

/// Parses a version as dumps and logs show it ("epoch.index", e.g. "1.17"); the empty version without a dot.
version parse_logged_version(std::string_view text);

}  // namespace heatherdeck

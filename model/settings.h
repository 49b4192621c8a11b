/// @file
/// Settings of a `heatherdeckd` process, read from a YAML file. They are checked completely before any port opens;
/// unknown keys are errors.
///
///     BOOST_LEAF_AUTO(s, load_settings("node.yaml"));
///
/// The table `settings_keys()` lists every key with its unit, range, default and meaning. docs/settings.md is generated
/// from it, and a test compares the two. The struct's members are named after the keys and documented there.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/log.h"
#include "kernel/result.h"

namespace heatherdeck {

/// A control host, as every process is configured with it. Addresses are "ip:port".
struct control_host {
  std::string id;
  std::string availability_zone;
  std::string region;
  std::string mesh_address;
  std::string operator_address;
};

/// An operator and the sections that the operator may change.
struct operator_settings {
  std::string name;
  std::string public_key;             ///< Ed25519, base64
  std::vector<std::string> sections;  ///< section names; a trailing "*" matches any suffix
};

/// Which names callers and upstreams use for the request's metadata in HTTP headers; see node/dialect.h.
enum class dialect_name { native, platform };

template <>
struct enum_table<dialect_name> {
  static constexpr auto entries = std::to_array<enum_entry<dialect_name>>({
      {dialect_name::native, "native"},
      {dialect_name::platform, "platform"},
  });
};

/// All settings of one process. Listen addresses are "ip:port"; an optional one that is not set is empty.
struct settings {
  std::string id;
  std::string region;
  std::string availability_zone;
  bool is_control = false;             ///< the process has the role control
  bool is_node = false;                ///< the process has the role node
  bool serves_configurations = false;  ///< has the role control and a configuration_listen
  std::string mesh_listen;
  std::string mesh_advertise;  ///< see mesh_address()
  std::string admin_listen;
  std::string operator_listen;
  std::string caller_listen;
  std::string upstream_listen;
  std::string configuration_listen;
  std::string caller_service;  ///< service of the upstream on this host; sent with its calls to other upstreams
  std::string data_folder;
  std::string mesh_key_file;
  std::string mesh_key;  ///< secret; never dumped or logged
  std::uint64_t epoch = 1;
  std::uint64_t seed = 0;              ///< of all random choices; 0: random
  std::uint64_t tolerated_losses = 0;  ///< data folders that may be lost at once without losing accepted changes
  bool form_log = true;                ///< false: this host may only join an existing log
  dialect_name dialect = dialect_name::native;
  log_level min_log_level = log_level::info;  ///< messages below it are not logged
  std::chrono::milliseconds drain_limit{30'000};
  std::chrono::milliseconds heartbeat_interval{100};
  std::chrono::milliseconds election_timeout{600};
  std::chrono::milliseconds keepalive{5'000};
  std::chrono::milliseconds announcement_period{500};
  std::chrono::milliseconds stop_grace{0};  ///< 0: only drain_limit bounds a shutdown
  std::chrono::milliseconds stop_notice{3'000};
  double convergence_weight = 0.5;  ///< 1: favour convergence and rollback; 0: favour few bytes and good versions
  double rollout_exposure = 0.1;    ///< part of a service's requests that a bad version may get in an ordered rollout
  std::vector<control_host> control_hosts;
  std::vector<operator_settings> operators;
  std::vector<std::string> seeds;     ///< mesh addresses that gossip contacts first, besides the control hosts
  std::vector<std::string> founders;  ///< control hosts by address, instead of control_hosts; ports are ignored

  /// @return the mesh address under which other processes reach this one.
  const std::string& mesh_address() const { return mesh_advertise.empty() ? mesh_listen : mesh_advertise; }
};

/// @return the mesh addresses that gossip contacts first: those of all control hosts, and `seeds`.
std::vector<std::string> seed_addresses(const settings& s);

/// @return the time limit for draining at shutdown: drain_limit, but at most 95 % of stop_grace, so that the process
/// exits before it is killed.
std::chrono::milliseconds effective_drain_limit(const settings& s);

/// Documentation of one key of the settings file.
struct settings_key {
  std::string path;           ///< dotted path, "[]" for list items
  std::string unit;           ///< or type, e.g. "ms", "text"
  std::string range;          ///< accepted values
  std::string default_value;  ///< "required" for a key without a default
  std::string description;
};

/// @return every key that a settings file may contain.
const std::vector<settings_key>& settings_keys();

/// @return a Markdown page with all keys; the content of docs/settings.md.
std::string settings_reference();

/// Parses and checks settings, without reading the key file.
/// @param text YAML.
/// @param name name of the file, for the locations in errors.
/// @return the settings, or `bad_settings` with file, line and remedy.
result<settings> parse_settings(std::string_view text, std::string_view name);

/// Reads and checks a settings file and the key file that it names.
/// @return the settings with `mesh_key` filled in, or `bad_settings` with file, line and remedy.
result<settings> load_settings(const std::string& path);

}  // namespace heatherdeck

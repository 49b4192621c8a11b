/// @file
/// Settings of `heatherdeckd`, read from YAML and checked as a whole before any port opens.
///
///     BOOST_LEAF_AUTO(s, load_settings("node.yaml"));
///
/// The table `settings_keys()` lists every key with its unit, range, default and meaning; docs/settings.md is generated
/// from it, and a test compares the two. Unknown keys are errors.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/log.h"
#include "kernel/result.h"

namespace heatherdeck {

/// A control host as every process knows it.
struct control_host {
  std::string id;
  std::string availability_zone;
  std::string region;
  std::string mesh_address;
  std::string operator_address;
};

/// An operator with the sections that he or she may change.
struct operator_key {
  std::string name;
  std::string public_key;             ///< Ed25519, base64
  std::vector<std::string> sections;  ///< section names; a trailing "*" matches any rest
};

/// How callers and upstreams name what travels with a request; see node/dialect.h.
enum class dialect_name { native, platform };

template <>
struct enum_table<dialect_name> {
  static constexpr auto entries = std::to_array<enum_entry<dialect_name>>({
      {dialect_name::native, "native"},
      {dialect_name::platform, "platform"},
  });
};

struct settings {
  std::string id;
  std::string region;
  std::string availability_zone;
  bool control = false;
  bool node = false;
  bool serves_configurations = false;  ///< role control with configuration_listen
  std::string mesh_listen;
  std::string admin_listen;
  std::string operator_listen;
  std::string caller_listen;
  std::string upstream_listen;
  std::string configuration_listen;
  std::string caller_service;  ///< service of the upstream on this host; told to the upstreams that its calls reach
  std::string data_folder;
  std::string mesh_key_file;
  std::string mesh_key;  ///< secret; never dumped or logged
  std::uint64_t epoch = 1;
  std::uint64_t seed = 0;              ///< 0: taken from the system's random source
  std::uint64_t tolerated_losses = 0;  ///< data folders that may be lost at once without losing an accepted change
  bool form_log = true;                ///< false: this host may only join a log that exists
  dialect_name dialect = dialect_name::native;
  log_level lowest_level = log_level::info;
  std::chrono::milliseconds drain_limit{30'000};
  std::chrono::milliseconds heartbeat{100};
  std::chrono::milliseconds election_timeout{600};
  std::chrono::milliseconds keepalive{5'000};
  std::chrono::milliseconds announcement_period{500};
  std::chrono::milliseconds stop_grace{0};  ///< 0: only drain_limit bounds a planned stop
  double convergence_weight = 0.5;  ///< 1: favour convergence and rollback; 0: favour control bytes and good versions
  std::vector<control_host> control_hosts;
  std::vector<operator_key> operators;
  std::vector<std::string> seeds;     ///< mesh addresses that gossip contacts first, besides the control hosts
  std::vector<std::string> founders;  ///< addresses of control hosts in place of control_hosts; the ports are not used
};

/// @return mesh addresses at which this process looks for others.
std::vector<std::string> seed_addresses(const settings& s);

/// @return the longest time for all drains: drain_limit, and at most five sixths of stop_grace, so that the process
/// ends by itself before it is killed.
std::chrono::milliseconds drain_limit_of(const settings& s);

/// One row of the table of keys.
struct settings_key {
  std::string path;  ///< dotted path, "[]" for list items
  std::string unit;
  std::string range;
  std::string fallback;
  std::string meaning;
};

/// @return every key that a settings file may contain.
const std::vector<settings_key>& settings_keys();

/// @return the reference of all keys as a Markdown page; docs/settings.md is this text.
std::string settings_reference();

/// Parses and checks settings.
/// @param text YAML.
/// @param name name of the file, for error messages.
/// @return the settings, or `bad_settings` with file, line and remedy.
result<settings> parse_settings(std::string_view text, std::string_view name);

/// Reads a settings file and the key file that it names, and checks both.
result<settings> load_settings(const std::string& path);

}  // namespace heatherdeck

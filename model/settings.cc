// Every scalar key is a row of a table with its name, range, description and the member that it sets. Parsing, range
// checks and documentation all use these tables, so they cannot disagree. Keys with lists or enumerations have
// functions of their own. Invariant: settings are returned only when every check passes. Cost: one pass over the parsed
// tree.
#include "model/settings.h"

#include <algorithm>
#include <cctype>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include "model/yaml_reader.h"

namespace heatherdeck {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_settings_bytes = 1024UL * 1024;
constexpr std::size_t max_name_length = 64;
constexpr std::uint64_t max_seed = 1ULL << 62;

/// Syntax of the text of a key.
enum class text_rule { name, address, path };

struct text_row {
  std::string_view path;
  std::string settings::*member;
  text_rule rule;
  std::string_view description;
};

struct milliseconds_row {
  std::string_view path;
  milliseconds settings::*member;
  std::uint64_t min_value;
  std::uint64_t max_value;
  std::string_view description;
};

struct number_row {
  std::string_view path;
  std::uint64_t settings::*member;
  std::uint64_t min_value;
  std::uint64_t max_value;
  std::string_view description;
};

constexpr text_row text_rows[] = {
    {"id", &settings::id, text_rule::name, "name of this process, unique in the mesh"},
    {"region", &settings::region, text_rule::name, "region of this host"},
    {"availability_zone", &settings::availability_zone, text_rule::name, "availability zone of this host"},
    {"mesh_listen", &settings::mesh_listen, text_rule::address, "TCP and UDP address for other processes of the mesh"},
    {"mesh_advertise", &settings::mesh_advertise, text_rule::address,
     "address under which other processes reach mesh_listen, when that is another one (port mapping, forwarder); "
     "default mesh_listen"},
    {"admin_listen", &settings::admin_listen, text_rule::address,
     "HTTP address for dump, metrics, liveness and readiness; bind it to loopback unless the network is trusted"},
    {"operator_listen", &settings::operator_listen, text_rule::address, "role control: HTTP address for operators"},
    {"caller_listen", &settings::caller_listen, text_rule::address, "role node: HTTP/1.1 address for callers"},
    {"upstream_listen", &settings::upstream_listen, text_rule::address,
     "role node: HTTP address on which the upstream of this host announces itself"},
    {"configuration_listen", &settings::configuration_listen, text_rule::address,
     "role control: HTTP address for whole configurations and rollouts, see docs/platform.md"},
    {"caller_service", &settings::caller_service, text_rule::name,
     "role node: service whose upstream runs on this host; sent with its calls to other upstreams"},
    {"data_folder", &settings::data_folder, text_rule::path, "role control: folder of the durable state"},
    {"mesh_key_file", &settings::mesh_key_file, text_rule::path,
     "file with the secret that all processes of the mesh share; relative to the settings file"},
    {"mesh_key", &settings::mesh_key, text_rule::path,
     "the secret itself, instead of mesh_key_file, for hosts that are given the settings file only"},
};

constexpr milliseconds_row milliseconds_rows[] = {
    {"drain_limit_ms", &settings::drain_limit, 0, 3'600'000, "time limit for requests in flight at shutdown"},
    {"heartbeat_ms", &settings::heartbeat_interval, 10, 10'000, "period of the leader's heartbeats"},
    {"election_timeout_ms", &settings::election_timeout, 50, 60'000,
     "shortest time without a leader before an election; the longest is twice that"},
    {"keepalive_ms", &settings::keepalive, 100, 60'000, "period of keep-alive messages on an idle subscription"},
    {"announcement_period_ms", &settings::announcement_period, 50, 60'000,
     "role node: usual time between two announcements of the upstream; four missed ones end its lease"},
    {"stop_grace_ms", &settings::stop_grace, 0, 3'600'000,
     "time after which a stopping process is killed; draining ends at 95 % of it; 0: only drain_limit_ms "
     "applies"},
    {"stop_notice_ms", &settings::stop_notice, 0, 3'600'000,
     "role node: time in which callers notice that a process is stopping; a request that comes later is refused unless "
     "its deadline and its route's timeout end before the drain does"},
};

constexpr number_row number_rows[] = {
    {"epoch", &settings::epoch, 1, 1'000'000, "raised by one when the document is restored after all disks were lost"},
    {"seed", &settings::seed, 0, max_seed, "seed of all random choices; 0: random"},
    {"tolerated_losses", &settings::tolerated_losses, 0, 3,
     "role control: data folders that may be lost at once without losing accepted changes; with fewer voters than "
     "twice this number plus one, no change is accepted"},
};

enum class role_name { control, node };

}  // namespace

template <>
struct enum_table<role_name> {
  static constexpr auto entries = std::to_array<enum_entry<role_name>>({
      {role_name::control, "control"},
      {role_name::node, "node"},
  });
};

namespace {

bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= max_name_length && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

// Accepts an IPv4 address in dotted-decimal form, or an IPv6 address with or without brackets.
bool is_ip(std::string_view text) {
  std::string ip(text);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  boost::system::error_code ec;
  boost::asio::ip::make_address(ip, ec);
  return !ec;
}

bool is_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0 || colon + 1 == text.size()) return false;
  const std::string_view port = text.substr(colon + 1);
  const bool digits = std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
  return digits && port.size() <= 5 && std::stoul(std::string(port)) <= 65'535 && is_ip(text.substr(0, colon));
}

result<std::string> read_text(const yaml_node& value, text_rule rule) {
  BOOST_LEAF_AUTO(text, value.as_string());
  switch (rule) {
    case text_rule::name:
      if (!is_name(text)) {
        return value.error_at("'" + text + "' is not a valid name", "use up to 64 letters, digits, '-', '_' and '.'");
      }
      break;
    case text_rule::address:
      if (!is_address(text)) return value.error_at("'" + text + "' is not a valid address", "write it as ip:port");
      break;
    case text_rule::path:
      break;
  }
  return text;
}

result<std::string> read_required_text(const yaml_node& map, std::string_view key, text_rule rule) {
  BOOST_LEAF_AUTO(value, map.require(key));
  return read_text(*value, rule);
}

result<control_host> read_control_host(const yaml_node& item) {
  BOOST_LEAF_CHECK(item.expect_keys({"id", "availability_zone", "region", "mesh_address", "operator_address"}));
  control_host host;
  BOOST_LEAF_ASSIGN(host.id, read_required_text(item, "id", text_rule::name));
  BOOST_LEAF_ASSIGN(host.availability_zone, read_required_text(item, "availability_zone", text_rule::name));
  BOOST_LEAF_ASSIGN(host.region, read_required_text(item, "region", text_rule::name));
  BOOST_LEAF_ASSIGN(host.mesh_address, read_required_text(item, "mesh_address", text_rule::address));
  BOOST_LEAF_ASSIGN(host.operator_address, read_required_text(item, "operator_address", text_rule::address));
  return host;
}

result<operator_settings> read_operator(const yaml_node& item) {
  BOOST_LEAF_CHECK(item.expect_keys({"name", "public_key", "sections"}));
  operator_settings key;
  BOOST_LEAF_ASSIGN(key.name, read_required_text(item, "name", text_rule::name));
  BOOST_LEAF_ASSIGN(key.public_key, read_required_text(item, "public_key", text_rule::path));
  BOOST_LEAF_AUTO(sections, item.require("sections"));
  BOOST_LEAF_ASSIGN(key.sections, sections->as_strings());
  return key;
}

template <class Item>
result<void> read_list(const yaml_node& root, std::string_view key, result<Item> (*read)(const yaml_node&),
                       std::vector<Item>& items) {
  const yaml_node* list = root.find(key);
  if (list == nullptr) return {};
  BOOST_LEAF_CHECK(list->expect_kind(yaml_kind::list));
  for (const yaml_node& item : list->items()) {
    BOOST_LEAF_AUTO(read_item, read(item));
    items.push_back(std::move(read_item));
  }
  return {};
}

result<std::string> read_seed_address(const yaml_node& item) { return read_text(item, text_rule::address); }

result<void> read_roles(const yaml_node& root, settings& s) {
  BOOST_LEAF_AUTO(roles, root.require("roles"));
  BOOST_LEAF_CHECK(roles->expect_kind(yaml_kind::list));
  for (const yaml_node& item : roles->items()) {
    BOOST_LEAF_AUTO(role, item.as_enum<role_name>());
    (role == role_name::control ? s.is_control : s.is_node) = true;
  }
  if (!s.is_control && !s.is_node)
    return roles->error_at("the list 'roles' is empty", "list 'control', 'node' or both");
  return {};
}

result<void> read_rows(const yaml_node& root, settings& s) {
  for (const text_row& row : text_rows) {
    if (const yaml_node* value = root.find(row.path)) {
      BOOST_LEAF_ASSIGN(s.*row.member, read_text(*value, row.rule));
    }
  }
  for (const milliseconds_row& row : milliseconds_rows) {
    if (const yaml_node* value = root.find(row.path)) {
      BOOST_LEAF_AUTO(number, value->as_unsigned(row.min_value, row.max_value));
      s.*row.member = milliseconds(number);
    }
  }
  for (const number_row& row : number_rows) {
    if (const yaml_node* value = root.find(row.path)) {
      BOOST_LEAF_ASSIGN(s.*row.member, value->as_unsigned(row.min_value, row.max_value));
    }
  }
  return {};
}

struct required_key {
  std::string_view path;
  std::string settings::*member;
  bool settings::*role;  ///< role that requires the key; null: every role
};

constexpr required_key required_keys[] = {
    {"id", &settings::id, nullptr},
    {"region", &settings::region, nullptr},
    {"availability_zone", &settings::availability_zone, nullptr},
    {"mesh_listen", &settings::mesh_listen, nullptr},
    {"admin_listen", &settings::admin_listen, nullptr},
    {"data_folder", &settings::data_folder, &settings::is_control},
    {"operator_listen", &settings::operator_listen, &settings::is_control},
    {"caller_listen", &settings::caller_listen, &settings::is_node},
    {"upstream_listen", &settings::upstream_listen, &settings::is_node},
};

result<void> check_required_keys(const yaml_node& root, const settings& s) {
  for (const required_key& row : required_keys) {
    const bool applies = row.role == nullptr || s.*row.role;
    if (applies && (s.*row.member).empty()) {
      return root.error_at("the key '" + std::string(row.path) + "' is missing", "add it; see docs/settings.md");
    }
  }
  if (s.mesh_key_file.empty() == s.mesh_key.empty()) {
    return root.error_at("the keys 'mesh_key_file' and 'mesh_key' are both missing or both given",
                         "give one of them; see docs/settings.md");
  }
  return {};
}

// Control hosts that are known by address only get their IP address as id, so that every process derives the same ids.
result<void> add_founders(const yaml_node& root, settings& s) {
  if (s.founders.empty()) return {};
  if (!s.control_hosts.empty()) {
    return root.error_at("both 'control_hosts' and 'founders' are given", "remove one of them");
  }
  const std::string port = s.mesh_address().substr(s.mesh_address().rfind(':'));
  for (const std::string& founder : s.founders) {
    const std::string ip = founder.substr(0, founder.rfind(':'));
    s.control_hosts.push_back({ip, "unknown", "unknown", ip + port, {}});
  }
  return {};
}

result<void> check_control_hosts(const yaml_node& root, const settings& s) {
  if (s.control_hosts.empty()) {
    return root.error_at("the keys 'control_hosts' and 'founders' are missing or empty",
                         "list the control hosts of the mesh");
  }
  std::vector<std::string> ids;
  for (const control_host& host : s.control_hosts) ids.push_back(host.id);
  std::sort(ids.begin(), ids.end());
  const auto duplicate = std::adjacent_find(ids.begin(), ids.end());
  if (duplicate != ids.end())
    return root.error_at("two control hosts have the id '" + *duplicate + "'", "give each its own id");
  if (s.is_control && s.founders.empty() && !std::binary_search(ids.begin(), ids.end(), s.id)) {
    return root.error_at("this process has the role 'control' but its id '" + s.id + "' is not in control_hosts",
                         "add it to control_hosts or change its id");
  }
  if (s.election_timeout < 3 * s.heartbeat_interval) {
    return root.error_at("election_timeout_ms is less than three times heartbeat_ms", "raise election_timeout_ms");
  }
  return {};
}

std::vector<std::string_view> top_level_keys() {
  std::vector<std::string_view> keys{
      "roles",     "log_level", "convergence_weight", "rollout_exposure", "control_hosts",
      "operators", "seeds",     "founders",           "form_log",         "dialect"};
  for (const text_row& row : text_rows) keys.push_back(row.path);
  for (const milliseconds_row& row : milliseconds_rows) keys.push_back(row.path);
  for (const number_row& row : number_rows) keys.push_back(row.path);
  return keys;
}

std::string_view range_of(text_rule rule) {
  switch (rule) {
    case text_rule::name:
      return "up to 64 letters, digits, '-', '_', '.'";
    case text_rule::address:
      return "ip:port";
    case text_rule::path:
      return "path";
  }
  return "";
}

std::string default_of(std::string_view path) {
  for (const required_key& row : required_keys) {
    if (row.path == path) return "required";
  }
  return "none";
}

}  // namespace

std::vector<std::string> seed_addresses(const settings& s) {
  std::vector<std::string> addresses;
  for (const control_host& host : s.control_hosts) addresses.push_back(host.mesh_address);
  addresses.insert(addresses.end(), s.seeds.begin(), s.seeds.end());
  return addresses;
}

milliseconds effective_drain_limit(const settings& s) {
  return s.stop_grace.count() == 0 ? s.drain_limit : std::min(s.drain_limit, s.stop_grace * 19 / 20);
}

const std::vector<settings_key>& settings_keys() {
  static const std::vector<settings_key> keys = [] {
    std::vector<settings_key> rows;
    const settings defaults;
    for (const text_row& row : text_rows) {
      rows.push_back({std::string(row.path), "text", std::string(range_of(row.rule)), default_of(row.path),
                      std::string(row.description)});
    }
    rows.push_back({"roles", "list", all_names<role_name>(), "required", "roles of this process"});
    for (const milliseconds_row& row : milliseconds_rows) {
      rows.push_back({std::string(row.path), "ms", fmt::format("{} to {}", row.min_value, row.max_value),
                      std::to_string((defaults.*row.member).count()), std::string(row.description)});
    }
    for (const number_row& row : number_rows) {
      rows.push_back({std::string(row.path), "number", fmt::format("{} to {}", row.min_value, row.max_value),
                      std::to_string(defaults.*row.member), std::string(row.description)});
    }
    const std::vector<settings_key> other_keys{
        {"log_level", "name", all_names<log_level>(), std::string(to_name(defaults.min_log_level)),
         "lowest level that is logged"},
        {"convergence_weight", "fraction", "0 to 1", fmt::format("{}", defaults.convergence_weight),
         "1 favours fast convergence and rollback of bad versions, 0 favours few control bytes and good versions in "
         "time"},
        {"rollout_exposure", "fraction", "0 to 1", fmt::format("{}", defaults.rollout_exposure),
         "role control: part of a service's requests that a bad version may get in a rollout that is ordered through "
         "configuration_listen"},
        {"control_hosts[].id", "text", std::string(range_of(text_rule::name)), "required", "id of a control host"},
        {"control_hosts[].availability_zone", "text", std::string(range_of(text_rule::name)), "required",
         "its availability zone"},
        {"control_hosts[].region", "text", std::string(range_of(text_rule::name)), "required", "its region"},
        {"control_hosts[].mesh_address", "text", "ip:port", "required", "its mesh_listen, as others reach it"},
        {"control_hosts[].operator_address", "text", "ip:port", "required", "its operator_listen"},
        {"operators[].name", "text", std::string(range_of(text_rule::name)), "required", "name of an operator"},
        {"operators[].public_key", "base64", "32 bytes", "required", "Ed25519 key, as 'heatherdeck keygen' prints it"},
        {"operators[].sections", "list", "section names; a trailing '*' matches any suffix", "required",
         "sections that the operator owns"},
        {"seeds", "list", "ip:port", "empty", "mesh addresses that gossip contacts first, besides the control hosts"},
        {"founders", "list", "ip:port", "empty",
         "control hosts known by address only, instead of control_hosts: their ids are their IP addresses, their mesh "
         "port is that under which others reach this process"},
        {"form_log", "flag", "true, false", "true",
         "role control: false keeps a host with an empty data folder from forming a log; it joins the existing one"},
        {"dialect", "name", all_names<dialect_name>(), std::string(to_name(defaults.dialect)),
         "names of the HTTP headers that callers and upstreams use, see docs/platform.md"},
    };
    rows.insert(rows.end(), other_keys.begin(), other_keys.end());
    return rows;
  }();
  return keys;
}

std::string settings_reference() {
  std::string page =
      "# Settings\n\n"
      "`heatherdeckd --settings=FILE` reads one YAML file. All keys are checked before any port opens; unknown keys "
      "are\n"
      "errors. `heatherdeck check FILE` checks a file without starting anything. This page is printed by\n"
      "`heatherdeckd --settings_reference`, and a test compares the two.\n\n"
      "| Key | Unit | Range | Default | Meaning |\n|---|---|---|---|---|\n";
  for (const settings_key& key : settings_keys()) {
    page += fmt::format("| `{}` | {} | {} | {} | {} |\n", key.path, key.unit, key.range, key.default_value,
                        key.description);
  }
  return page;
}

result<settings> parse_settings(std::string_view text, std::string_view name) {
  BOOST_LEAF_AUTO(
      root,
      read_yaml(text, {.name = std::string(name), .kind = error_kind::bad_settings, .max_bytes = max_settings_bytes}));
  BOOST_LEAF_CHECK(root.expect_keys(top_level_keys()));
  settings s;
  BOOST_LEAF_CHECK(read_roles(root, s));
  BOOST_LEAF_CHECK(read_rows(root, s));
  if (const yaml_node* level = root.find("log_level")) {
    BOOST_LEAF_ASSIGN(s.min_log_level, level->as_enum<log_level>());
  }
  if (const yaml_node* weight = root.find("convergence_weight")) {
    BOOST_LEAF_ASSIGN(s.convergence_weight, weight->as_double(0.0, 1.0));
  }
  if (const yaml_node* exposure = root.find("rollout_exposure")) {
    BOOST_LEAF_ASSIGN(s.rollout_exposure, exposure->as_double(0.0, 1.0));
  }
  if (const yaml_node* flag = root.find("form_log")) {
    BOOST_LEAF_ASSIGN(s.form_log, flag->as_bool());
  }
  if (const yaml_node* name = root.find("dialect")) {
    BOOST_LEAF_ASSIGN(s.dialect, name->as_enum<dialect_name>());
  }
  BOOST_LEAF_CHECK(read_list(root, "control_hosts", read_control_host, s.control_hosts));
  BOOST_LEAF_CHECK(read_list(root, "operators", read_operator, s.operators));
  BOOST_LEAF_CHECK(read_list(root, "seeds", read_seed_address, s.seeds));
  BOOST_LEAF_CHECK(read_list(root, "founders", read_seed_address, s.founders));
  BOOST_LEAF_CHECK(check_required_keys(root, s));
  BOOST_LEAF_CHECK(add_founders(root, s));
  s.serves_configurations = s.is_control && !s.configuration_listen.empty();
  BOOST_LEAF_CHECK(check_control_hosts(root, s));
  return s;
}

}  // namespace heatherdeck

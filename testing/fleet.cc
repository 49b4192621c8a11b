// Each process has a block of 10 ports above the base port, and its settings file, data and log in the work folder.
// Waiting polls the processes' admin ports every 10 ms up to a timeout that the caller gives, so that on a busy machine
// a scenario gets slower but does not fail.
#include "testing/fleet.h"

#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <signal.h>

#include "kernel/kernel.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr unsigned ports_per_process = 10;
constexpr unsigned first_node_port_block = 10;
constexpr const char* zone_names[] = {"dar-1", "mwanza-1", "kigoma-1"};
constexpr const char* region_names[] = {"dar", "mwanza", "kigoma"};
constexpr auto http_timeout = 2s;
constexpr auto start_timeout = 30s;
constexpr auto poll_interval = 10ms;

unsigned process_number(const std::string& name) { return static_cast<unsigned>(std::stoul(name.substr(1))); }

outcome<http_response> http_get(const std::string& address, const std::string& path) {
  kernel k;
  outcome<http_response> answer;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        http_request request{.method = "GET", .path = path};
        answer = co_await http_call(k.timers(), k.executor(), address, std::move(request), http_timeout);
      },
      boost::asio::detached);
  k.io().run();
  return answer;
}

void write_file(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

/// @return a string field of a service in a dump; empty if the service or the field is missing.
std::string service_field(const boost::json::value& value, std::string_view service, std::string_view key) {
  const auto* services = value.as_object().if_contains("services");
  const auto* found = services == nullptr ? nullptr : services->as_object().if_contains(service);
  const auto* member = found == nullptr ? nullptr : found->as_object().if_contains(key);
  return member != nullptr && member->is_string() ? std::string(member->as_string()) : std::string();
}

/// @return the time field of a log line (e.g. 2026-01-31T08:00:00.123Z) as milliseconds since the Unix epoch.
milliseconds timestamp_of(const boost::json::object& line) {
  const std::string text(line.at("time").as_string());
  std::tm parts{};
  std::istringstream in(text.substr(0, 19));
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  return milliseconds(timegm(&parts) * 1000LL + std::stoi(text.substr(20, 3)));
}

/// Calls `visit` for each log line with the given event name.
void for_each_event(const std::string& file, std::string_view event,
                    const std::function<void(const boost::json::object&)>& visit) {
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    if (line.find(event) == std::string::npos) continue;
    boost::system::error_code ec;
    const boost::json::value parsed = boost::json::parse(line, ec);
    if (ec || !parsed.is_object() || parsed.as_object().at("event").as_string() != event) continue;
    visit(parsed.as_object());
  }
}

}  // namespace

version parse_logged_version(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) return {};
  return {std::stoull(std::string(text.substr(0, dot))), std::stoull(std::string(text.substr(dot + 1)))};
}

result<std::unique_ptr<fleet>> fleet::make(const fleet_options& options) {
  std::filesystem::create_directories(options.work);
  std::unique_ptr<fleet> created(new fleet(options));
  BOOST_LEAF_CHECK(created->write_shared_files());
  return created;
}

std::string fleet::address(const std::string& name, unsigned offset) const {
  const unsigned port_block = process_number(name) + (name[0] == 'c' ? 0 : first_node_port_block);
  return "127.0.0.1:" + std::to_string(options_.base_port + port_block * ports_per_process + offset);
}

result<void> fleet::write_shared_files() {
  write_file(path("mesh.key"), "a key for tests only, 32 bytes or more\n");
  control_hosts_yaml_ = "control_hosts:\n";
  for (const std::string& name : names('c')) {
    const unsigned zone_index = (process_number(name) - 1) % 3;
    control_hosts_yaml_ += fmt::format(
        "  - {{id: {}, availability_zone: {}, region: {}, mesh_address: \"{}\", operator_address: \"{}\"}}\n", name,
        zone_names[zone_index], region_names[zone_index], address(name, mesh_port), address(name, operator_port));
  }
  const command_output key =
      run_command({options_.bin + "/cli/heatherdeck", "keygen", "--operator=amina", "--out=" + path("amina.key")});
  const std::size_t begin = key.output.find("operators:");
  if (key.exit_code != 0 || begin == std::string::npos) {
    return fail(error_kind::usage, "keygen failed: " + key.output, "build the programs first", options_.bin);
  }
  operators_yaml_ = key.output.substr(begin);
  return {};
}

std::string fleet::settings_text(const std::string& name) const {
  const unsigned zone_index = (process_number(name) - 1) % 3;
  std::string text = fmt::format(
      "id: {}\nregion: {}\navailability_zone: {}\nmesh_listen: {}\nadmin_listen: {}\nmesh_key_file: mesh.key\n", name,
      region_names[zone_index], zone_names[zone_index], address(name, mesh_port), address(name, admin_port));
  if (name[0] == 'c') {
    text += fmt::format("roles: [control]\noperator_listen: {}\ndata_folder: {}\n{}", address(name, operator_port),
                        path("data-" + name), operators_yaml_);
  } else {
    text += fmt::format("roles: [node]\ncaller_listen: {}\nupstream_listen: {}\n", address(name, caller_port),
                        address(name, announce_port));
    if (options_.stop_grace != 0ms) {
      text += fmt::format("stop_grace_ms: {}\nstop_notice_ms: {}\n", options_.stop_grace.count(),
                          options_.stop_notice.count());
    }
  }
  return text + control_hosts_yaml_;
}

std::vector<std::string> fleet::command_line_of(const std::string& name) const {
  if (name[0] != 'u') return {options_.bin + "/daemon/heatherdeckd", "--settings=" + path(name + ".yaml")};
  const std::string node = "n" + name.substr(1);
  std::vector<std::string> command{options_.bin + "/testing/heatherdeck_upstream",
                                   "--listen=" + address(node, upstream_port),
                                   "--announce_to=" + address(node, announce_port),
                                   "--service=certdesk",
                                   "--upstream_version=v1",
                                   "--target=certdesk-" + node};
  command.insert(command.end(), options_.upstream_flags.begin(), options_.upstream_flags.end());
  return command;
}

result<void> fleet::start(const std::string& name) {
  if (name[0] != 'u') write_file(path(name + ".yaml"), settings_text(name));
  BOOST_LEAF_AUTO(started, process::start(command_line_of(name), path(name + ".log")));
  processes_.insert_or_assign(name, std::move(started));
  return {};
}

result<void> fleet::start_all() {
  for (const char kind : {'c', 'n', 'u'}) {
    for (const std::string& name : names(kind)) BOOST_LEAF_CHECK(start(name));
  }
  const outcome<milliseconds> elected = wait_until(start_timeout, [this] { return !leader().empty(); });
  if (!elected) return fail(elected.failure());
  return {};
}

void fleet::send_signal(const std::string& name, int number) { processes_.at(name).send_signal(number); }

void fleet::kill(const std::string& name) {
  send_signal(name, SIGKILL);
  processes_.at(name).wait();
}

int fleet::stop(const std::string& name) {
  send_signal(name, SIGTERM);
  return processes_.at(name).wait();
}

void fleet::delete_data_folder(const std::string& name) { std::filesystem::remove_all(path("data-" + name)); }

std::string fleet::control_addresses() const {
  std::string list;
  for (const std::string& name : names('c')) list += (list.empty() ? "" : ",") + address(name, operator_port);
  return list;
}

command_output fleet::run_cli(const std::vector<std::string>& arguments) const {
  std::vector<std::string> command{options_.bin + "/cli/heatherdeck"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  command.push_back("--control=" + control_addresses());
  return run_command(command);
}

std::string fleet::document_text(unsigned timeout_ms) const {
  std::string text =
      "sections:\n  services:\n    certdesk: {versions: [v1, v2], slots: 20, connections: 130}\n"
      "  shares:\n    certdesk: {v1: 100}\n  routes.certdesk:\n"
      "    - {name: lookup, match: {host: certdesk.pwani, path_prefix: /certificates, method: GET}, service: certdesk, "
      "timeout_ms: " +
      std::to_string(timeout_ms) +
      "}\n    - {name: book, match: {host: certdesk.pwani, path_prefix: /bookings, method: POST}, service: certdesk, "
      "timeout_ms: 2000, idempotent: false}\n" +
      options_.further_sections;
  for (unsigned i = 0; i < options_.sections; ++i) {
    text += fmt::format(
        "  routes.s{0}:\n    - {{name: s{0}, match: {{host: s{0}.pwani, path_prefix: /}}, service: certdesk}}\n", i);
  }
  return text;
}

command_output fleet::submit_on_saved_base(unsigned timeout_ms, unsigned submitter) {
  const std::string file = path(fmt::format("race{}.yaml", submitter));
  write_file(file, document_text(timeout_ms + submitter));
  return run_cli({"submit", file, "--operator=amina", "--key=" + path("amina.key"), "--wait=accepted",
                  fmt::format("--id=race-{}-{}", timeout_ms, submitter)});
}

command_output fleet::submit(unsigned timeout_ms, const std::string& wait, const std::string& id) {
  write_file(path("document.yaml"), document_text(timeout_ms));
  std::vector<std::string> arguments{"submit", path("document.yaml"), "--operator=amina", "--key=" + path("amina.key"),
                                     "--wait=" + wait};
  if (!id.empty()) arguments.push_back("--id=" + id);
  return run_cli(arguments);
}

outcome<boost::json::value> fleet::dump(const std::string& name) const {
  if (!running(name)) return error{error_kind::unreachable, name + " is not running", "start it first", name};
  const outcome<http_response> answer = http_get(address(name, admin_port), "/dump");
  if (!answer) return answer.failure();
  boost::system::error_code ec;
  boost::json::value parsed = boost::json::parse(answer->body, ec);
  if (ec) return error{error_kind::bad_message, ec.message(), "report this as a defect", name};
  return parsed;
}

std::string fleet::metrics(const std::string& name) const {
  const outcome<http_response> answer = http_get(address(name, admin_port), "/metrics");
  return answer ? answer->body : std::string();
}

std::string fleet::leader() const {
  for (const std::string& name : names('c')) {
    const outcome<boost::json::value> state = dump(name);
    if (state && service_field(*state, "consensus", "role") == "leader") return name;
  }
  return {};
}

outcome<milliseconds> fleet::wait_until(milliseconds limit, const std::function<bool()>& condition) const {
  const time_point begin = steady_clock::now();
  while (!condition()) {
    if (steady_clock::now() - begin > limit) {
      return error{error_kind::timeout, "the condition did not hold within the timeout",
                   "see the process logs in this folder", options_.work};
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
}

outcome<milliseconds> fleet::wait_in_force(milliseconds limit, version min_version) const {
  std::string lagging;
  outcome<milliseconds> waited = wait_until(limit, [&] {
    version highest = min_version;
    std::map<std::string, version> held;
    for (const std::string& name : names('c')) {
      const auto state = dump(name);
      if (state) highest = std::max(highest, parse_logged_version(service_field(*state, "publisher", "version")));
    }
    lagging.clear();
    for (const std::string& name : names('n')) {
      if (!running(name)) continue;
      const auto state = dump(name);
      const version at = state ? parse_logged_version(service_field(*state, "subscriber", "version")) : version{};
      if (at != highest) lagging += " " + name + "=" + at.text();
    }
    return lagging.empty() && !highest.none();
  });
  if (!waited)
    return error{error_kind::timeout, "nodes not at the highest known version:" + lagging,
                 "see the process logs in this folder", options_.work};
  return waited;
}

std::vector<applied_event> fleet::applied_events() const {
  std::vector<applied_event> lines;
  for (const std::string& name : names('n')) {
    for_each_event(path(name + ".log"), "document_applied", [&](const boost::json::object& line) {
      lines.push_back({name, parse_logged_version(line.at("version").as_string()), timestamp_of(line)});
    });
  }
  return lines;
}

std::vector<logged_line> fleet::logged(char kind, std::string_view event) const {
  std::vector<logged_line> lines;
  for (const std::string& name : names(kind)) {
    for_each_event(path(name + ".log"), event, [&](const boost::json::object& line) {
      lines.push_back({name, timestamp_of(line), line});
    });
  }
  return lines;
}

milliseconds fleet::accepted_at(const version& v) const {
  milliseconds first{0};
  for (const std::string& name : names('c')) {
    for_each_event(path(name + ".log"), "document_changed", [&](const boost::json::object& line) {
      const milliseconds at = timestamp_of(line);
      if (parse_logged_version(line.at("version").as_string()) == v && (first == 0ms || at < first)) first = at;
    });
  }
  return first;
}

std::vector<std::string> fleet::names(char kind) const {
  const unsigned count = kind == 'c' ? options_.control_hosts : kind == 'n' ? options_.nodes : options_.upstreams;
  std::vector<std::string> list;
  for (unsigned i = 1; i <= count; ++i) list.push_back(kind + std::to_string(i));
  return list;
}

bool fleet::running(const std::string& name) const {
  const auto found = processes_.find(name);
  return found != processes_.end() && found->second.running();
}

pid_t fleet::pid(const std::string& name) const { return processes_.at(name).pid(); }

}  // namespace heatherdeck

// The settings are those of deploy/control.yaml and deploy/node.yaml, filled in.
#include "testing/soak_deployment.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "kernel/kernel.h"
#include "wire/endpoint.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr unsigned base_port = 18'000;
constexpr unsigned first_network = 10;
constexpr unsigned networks = 200;
constexpr auto http_timeout = 1s;
constexpr auto resend_period = 100ms;
// The platform names as many control hosts in the settings, however many there are.
constexpr std::size_t max_founders = 3;

outcome<http_response> call(const std::string& address, http_request request) {
  kernel k;
  outcome<http_response> answer;
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        answer = co_await http_call(k.timers(), k.executor(), address, std::move(request), http_timeout);
      },
      boost::asio::detached);
  k.io().run();
  return answer;
}

unsigned number_of(const std::string& name) { return static_cast<unsigned>(std::stoul(name.substr(1))); }

}  // namespace

result<std::unique_ptr<soak_deployment>> soak_deployment::make(soak_deployment_options options) {
  std::error_code ec;
  std::filesystem::create_directories(options.work, ec);
  if (ec) return fail(error_kind::usage, ec.message(), "choose another work folder", options.work);
  std::unique_ptr<soak_deployment> made(new soak_deployment(std::move(options)));
  for (unsigned i = 0; i < networks; ++i) {
    made->network_ = first_network + (static_cast<unsigned>(::getpid()) + i) % networks;
    if (!made->addresses_are_free()) continue;
    if (made->options_.relayed) BOOST_LEAF_CHECK(made->start_relay());
    return made;
  }
  return fail(error_kind::usage, "no loopback network has free ports", "end the processes of earlier runs", {});
}

// Processes of a run that was killed may still listen at its addresses.
bool soak_deployment::addresses_are_free() const {
  boost::asio::io_context io;
  for (const char kind : {'c', 'n'}) {
    for (const std::string& name : names(kind)) {
      for (unsigned port = 0; port <= static_cast<unsigned>(soak_port::last); ++port) {
        const auto parts = capture([&] { return parse_endpoint(address(name, static_cast<soak_port>(port))); });
        boost::asio::ip::tcp::acceptor acceptor(io);
        boost::system::error_code ec;
        acceptor.open(boost::asio::ip::tcp::v4(), ec);
        acceptor.bind({parts->ip, parts->port}, ec);
        if (ec) return false;
      }
    }
  }
  return true;
}

result<void> soak_deployment::start_relay() {
  std::vector<mesh_relay::endpoint> endpoints;
  for (const char kind : {'c', 'n'}) {
    for (const std::string& name : names(kind))
      endpoints.push_back({ip(name), address(name, soak_port::mesh), address(name, soak_port::relayed_mesh)});
  }
  BOOST_LEAF_ASSIGN(relay_, mesh_relay::make(std::move(endpoints)));
  return {};
}

void soak_deployment::lose_disk(const std::string& name) const {
  std::error_code ignored;
  std::filesystem::remove_all(path("data-" + name), ignored);
}

std::vector<std::string> soak_deployment::names(char kind) const {
  const std::size_t count = kind == 'c' ? options_.control_hosts : options_.services.size();
  std::vector<std::string> list;
  for (std::size_t i = 1; i <= count; ++i) list.push_back(kind + std::to_string(i));
  return list;
}

std::string soak_deployment::ip(const std::string& name) const {
  return fmt::format("127.{}.{}.{}", network_, name[0] == 'c' ? 1 : 2, number_of(name));
}

std::string soak_deployment::address(const std::string& name, soak_port port) const {
  return fmt::format("{}:{}", ip(name), base_port + static_cast<unsigned>(port));
}

std::string soak_deployment::settings_text(const std::string& name) {
  const auto at = [&](soak_port port) { return address(name, port); };
  const soak_zone& zone = options_.zones[number_of(name) % options_.zones.size()];
  std::string text = fmt::format(
      "id: \"{}\"\nregion: {}\navailability_zone: {}\nmesh_listen: \"{}\"\nmesh_advertise: \"{}\"\n"
      "admin_listen: \"{}\"\nmesh_key: heatherdeck-on-the-platform\nkeepalive_ms: 500\nstop_grace_ms: {}\n",
      ip(name), zone.region, zone.name, at(options_.relayed ? soak_port::relayed_mesh : soak_port::mesh),
      at(soak_port::mesh), at(soak_port::admin), options_.stop_grace.count());
  if (name[0] == 'c') {
    text += fmt::format(
        "roles: [control]\noperator_listen: \"{}\"\nconfiguration_listen: \"{}\"\ndata_folder: \"{}\"\n"
        "form_log: {}\nrollout_exposure: 0.1\ntolerated_losses: {}\n",
        at(soak_port::operators), at(soak_port::configuration), path("data-" + name), formed_.insert(name).second,
        options_.tolerated_losses);
  } else {
    text += fmt::format(
        "roles: [node]\ncaller_listen: \"{}\"\nupstream_listen: \"{}\"\ncaller_service: {}\ndialect: platform\n"
        "announcement_period_ms: 1500\nstop_notice_ms: {}\n",
        at(soak_port::caller), at(soak_port::announcements), options_.services.at(number_of(name) - 1),
        options_.stop_notice.count());
  }
  std::vector<std::string> known = names('c');
  known.resize(std::min(known.size(), max_founders));
  std::string founders;
  for (const std::string& host : known)
    founders += fmt::format("{}\"{}\"", founders.empty() ? "" : ", ", address(host, soak_port::configuration));
  text += fmt::format("founders: [{}]\n", founders);
  return text;
}

result<void> soak_deployment::start(const std::string& name) {
  std::ofstream(path(name + ".yaml")) << settings_text(name);
  BOOST_LEAF_AUTO(started, process::start({options_.bin + "/daemon/heatherdeckd", "--settings=" + path(name + ".yaml")},
                                          path(name + ".log")));
  processes_.insert_or_assign(name, std::move(started));
  return {};
}

bool soak_deployment::put_configuration(const std::string& base_version, const std::string& text,
                                        milliseconds limit) const {
  const time_point end = steady_clock::now() + limit;
  while (steady_clock::now() < end) {
    for (const std::string& host : names('c')) {
      http_request request{.method = "PUT", .path = "/v1/configuration", .body = text};
      request.headers = {{"x-base-version", base_version}, {"content-type", "application/json"}};
      const auto answer = call(address(host, soak_port::configuration), std::move(request));
      if (answer && answer->status == 200) return true;
    }
    std::this_thread::sleep_for(resend_period);
  }
  return false;
}

bool soak_deployment::ready(const std::string& name) const {
  const auto answer = call(address(name, soak_port::admin), {.method = "GET", .path = "/ready"});
  return answer && answer->status == 200;
}

bool soak_deployment::handles_signals(const std::string& name) const {
  return static_cast<bool>(call(address(name, soak_port::admin), {.method = "GET", .path = "/ready"}));
}

std::vector<std::string> soak_deployment::log_lines(std::string_view text,
                                                    const std::vector<std::string_view>& events) const {
  std::vector<std::string> lines;
  for (const std::string& name : names('n')) {
    std::ifstream in(path(name + ".log"));
    for (std::string line; std::getline(in, line);) {
      const auto contains = [&](std::string_view part) { return line.find(part) != std::string::npos; };
      if (contains(text) && std::any_of(events.begin(), events.end(), contains))
        lines.push_back(fmt::format("{} {}", name, line));
    }
  }
  return lines;
}

}  // namespace heatherdeck

// One event loop in the calling thread sends all requests and signals. A request counts while its node and the control
// hosts have been undisturbed for as long as the operators' rules say; outside of that time a node may only not go
// back.
#include "testing/propagation_soak.h"

#include <csignal>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr auto propagation_bound = 2s;  // an acknowledged change is in force within this time
constexpr auto stable_after = 3s;       // from the last fault on
constexpr auto stable_after_core = 6s;  // the same, when most control hosts were disturbed
constexpr auto change_period = 200ms;
constexpr auto request_limit = 1s;
constexpr auto resend_period = 50ms;
constexpr auto start_limit = 30s;
// How long changes go on after an order, while the deployment is stable.
constexpr auto calm_time = 3s;
constexpr unsigned not_found = 404;
constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;

std::string configuration_text(unsigned routes) {
  std::string text = fmt::format(R"({{"version":"{:08x}","routes":{{)", routes);
  for (unsigned i = 1; i <= routes; ++i) {
    text += fmt::format(
        R"({}"r{}":{{"host":"desk","path_prefix":"/r{}/","kind":"safe","timeout_ms":1000,"objective_ms":300,)"
        R"("priority":0,"service":"desk","attempts":1}})",
        i == 1 ? "" : ",", i, i);
  }
  return text + R"(},"services":{"desk":{}},"limits":{}})";
}

}  // namespace

propagation_soak::propagation_soak(soak_deployment& deployment, std::uint64_t seed)
    : deployment_(deployment), random_(seed), hosts_(deployment.names('c')), nodes_(deployment.names('n')) {
  for (const auto* names : {&hosts_, &nodes_}) {
    for (const std::string& name : *names) states_[name] = {};
  }
}

void propagation_soak::run_until(const std::function<bool()>& done) {
  kernel_.io().restart();
  while (!done()) kernel_.io().run_one();
}

awaitable<void> propagation_soak::sleep(duration length) {
  boost::asio::steady_timer timer(kernel_.io(), length);
  (void)co_await timer.async_wait(use_tuple);
}

awaitable<outcome<http_response>> propagation_soak::call(std::string address, http_request request, duration limit) {
  auto calling = http_call(kernel_.timers(), kernel_.executor(), std::move(address), std::move(request), limit);
  co_return co_await std::move(calling);
}

void propagation_soak::start() {
  began_ = steady_clock::now();
  for (const auto& entry : states_) {
    const std::string& name = entry.first;
    if (!capture([&] { return deployment_.start(name); })) findings_.push_back(name + " does not start");
  }
  boost::asio::co_spawn(kernel_.io(), change_configuration(), boost::asio::detached);
  const time_point limit = steady_clock::now() + start_limit;
  run_until([&] { return !acknowledged_.empty() || steady_clock::now() > limit; });
  if (acknowledged_.empty()) findings_.emplace_back("no change was acknowledged after the start");
  while (!std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) { return deployment_.ready(node); }) &&
         steady_clock::now() < limit) {
    std::this_thread::sleep_for(20ms);
  }
}

void propagation_soak::stop() {
  stopped_ = true;
  run_until([&] { return !changing_ && pending_ == 0; });
}

// A change that got no clear response is sent again as it was, so that the next one is made on top of it.
awaitable<void> propagation_soak::change_configuration() {
  changing_ = true;
  for (unsigned routes = 1; !stopped_; ++routes) {
    const std::string text = configuration_text(routes);
    for (std::size_t attempt = random_(); !stopped_; ++attempt) {
      http_request request{.method = "PUT", .path = "/v1/configuration", .body = text};
      request.headers = {{"x-base-version", fmt::format("{:08x}", routes - 1)}, {"content-type", "application/json"}};
      const std::string address = deployment_.address(hosts_[attempt % hosts_.size()], soak_port::configuration);
      const auto response = co_await call(address, std::move(request), request_limit);
      if (response && response->status == ok) {
        acknowledged_.push_back({routes, steady_clock::now()});
        ++counts_.changes;
        ++pending_;
        boost::asio::co_spawn(kernel_.io(), ask_later(acknowledged_.back()), boost::asio::detached);
        break;
      }
      co_await sleep(resend_period);
    }
    co_await sleep(change_period);
  }
  changing_ = false;
}

awaitable<void> propagation_soak::ask_later(acknowledgement change) {
  co_await sleep(propagation_bound);
  co_await ask_all_nodes(change);
  --pending_;
}

awaitable<void> propagation_soak::ask_all_nodes(acknowledgement change) {
  for (const std::string& node : nodes_) {
    ++pending_;
    boost::asio::co_spawn(kernel_.io(), ask(node, change), boost::asio::detached);
  }
  co_return;
}

awaitable<void> propagation_soak::ask(std::string node, acknowledgement change) {
  process_state& state = states_.at(node);
  const time_point sent = steady_clock::now();
  const bool counts = in_touch(node, sent) && sent - change.at >= propagation_bound;
  const unsigned served_before = state.served_route;
  http_request request{.method = "GET", .path = fmt::format("/r{}/x", change.route)};
  request.headers = {{"host", "desk"}, {"x-request-id", fmt::format("{}-{}", node, ++counts_.requests)}};
  const auto response = co_await call(deployment_.address(node, soak_port::caller), std::move(request), request_limit);
  const bool in_touch_still = in_touch(node, steady_clock::now());
  if (!response) {
    ++counts_.unanswered;
    if (counts && in_touch_still) report(node, fmt::format("no response to a request on route {}", change.route));
  } else if (response->status == not_found) {
    const bool same_process = served_before != 0 && states_.at(node).served_route >= served_before;
    if (counts && in_touch_still) {
      report(node, fmt::format("404 on route {}, {} ms after its acknowledgement", change.route,
                               std::chrono::duration_cast<milliseconds>(sent - change.at).count()));
    } else if (same_process && change.route <= served_before) {
      report(node, fmt::format("404 on route {} after route {} was served", change.route, served_before));
    }
  } else if (response->status == unavailable && response->body.find("document") != std::string::npos) {
    if (counts && in_touch_still) report(node, fmt::format("no document, route {}", change.route));
  } else {
    state.served_route = std::max(state.served_route, change.route);
  }
  --pending_;
}

bool propagation_soak::core_is_stable(time_point now) const {
  std::size_t undisturbed = 0;
  for (const std::string& host : hosts_) {
    const process_state& state = states_.at(host);
    if (now < state.disturbed + stable_after) return false;
    if (state.undisturbed) ++undisturbed;
  }
  return 2 * undisturbed > hosts_.size() &&
         (most_hosts_disturbed_ == time_point::min() || now >= most_hosts_disturbed_ + stable_after_core);
}

bool propagation_soak::in_touch(const std::string& node, time_point now) const {
  const process_state& state = states_.at(node);
  return state.undisturbed && now >= state.disturbed + stable_after && core_is_stable(now);
}

void propagation_soak::report(const std::string& node, const std::string& what) {
  constexpr std::size_t most_lines = 14;
  const auto at = std::chrono::duration_cast<milliseconds>(steady_clock::now() - began_).count();
  std::string text = fmt::format("at {} ms, {}: {}\n", at, node, what);
  std::vector<std::string> lines =
      deployment_.log_lines("", {"\"subscribed\"", "source_", "document_applied", "offer_", "bad_frame"});
  std::erase_if(lines, [&](const std::string& line) { return !line.starts_with(node + " "); });
  for (std::size_t i = lines.size() - std::min(lines.size(), most_lines); i < lines.size(); ++i)
    text += lines[i] + "\n";
  findings_.push_back(std::move(text));
}

// Faults.

void propagation_soak::change_links(const process_fault& f, const std::vector<process_fault>& order,
                                    void (soak_deployment::*change)(const std::string&, const std::string&)) {
  for (const auto& entry : states_) {
    const std::string& other = entry.first;
    if (other == f.name) continue;
    const bool same_group =
        f.kind == fault_kind::cut && std::any_of(order.begin(), order.end(), [&](const process_fault& o) {
          return o.name == other && o.kind == fault_kind::cut && o.group == f.group;
        });
    if (!same_group) (deployment_.*change)(f.name, other);
  }
}

void propagation_soak::begin_fault(const process_fault& f, const std::vector<process_fault>& order) {
  process_state& state = states_.at(f.name);
  state.undisturbed = false;
  state.disturbed = steady_clock::now();
  ++counts_.faults[f.kind];
  const auto hosts_left = std::count_if(hosts_.begin(), hosts_.end(),
                                        [&](const std::string& name) { return states_.at(name).undisturbed; });
  if (2 * static_cast<std::size_t>(hosts_left) <= hosts_.size()) most_hosts_disturbed_ = state.disturbed;
  if (f.kind == fault_kind::cut || f.kind == fault_kind::power_off) change_links(f, order, &soak_deployment::cut);
  if (f.kind == fault_kind::kill || f.kind == fault_kind::power_off) deployment_.send_signal(f.name, SIGKILL);
  if (f.kind == fault_kind::freeze) deployment_.send_signal(f.name, SIGSTOP);
  if (f.kind == fault_kind::stop) deployment_.send_signal(f.name, SIGTERM);
  if (f.kind != fault_kind::silence) return;
  for (const auto& [other, other_state] : states_) {
    if (other != f.name && random_() % 2 == 0) deployment_.silence(f.name, other);
  }
}

void propagation_soak::end_fault(const process_fault& f, const std::vector<process_fault>& order) {
  if (f.kind == fault_kind::freeze) deployment_.send_signal(f.name, SIGCONT);
  if (ends_process(f.kind)) {
    deployment_.send_signal(f.name, SIGKILL);  // a planned stop may take longer
    while (!deployment_.try_wait(f.name)) std::this_thread::sleep_for(1ms);
    if (f.loses_disk) deployment_.lose_disk(f.name);
  }
  if (f.kind == fault_kind::cut || f.kind == fault_kind::power_off) change_links(f, order, &soak_deployment::heal);
  process_state& state = states_.at(f.name);
  if (ends_process(f.kind)) {
    if (!capture([&] { return deployment_.start(f.name); })) findings_.push_back(f.name + " does not start");
    state.served_route = 0;
  }
  const bool most_were = most_hosts_disturbed_ != time_point::min() && !core_is_stable(steady_clock::now());
  state.undisturbed = true;
  state.disturbed = steady_clock::now();
  if (most_were && f.name[0] == 'c') most_hosts_disturbed_ = state.disturbed;
}

awaitable<void> propagation_soak::play(process_fault f, std::vector<process_fault> order) {
  co_await sleep(f.begin);
  begin_fault(f, order);
  co_await sleep(f.end - f.begin);
  end_fault(f, order);
  --pending_;
}

void propagation_soak::play_order(const std::vector<process_fault>& order) {
  milliseconds length{0};
  for (const process_fault& f : order) {
    journal_ += fmt::format("{} {} {}-{} ms{}\n", to_name(f.kind), f.name, f.begin.count(), f.end.count(),
                            f.loses_disk ? ", loses its disk" : "");
    length = std::max(length, f.end);
    ++pending_;
    boost::asio::co_spawn(kernel_.io(), play(f, order), boost::asio::detached);
  }
  const time_point end = steady_clock::now() + length + stable_after_core + propagation_bound + calm_time;
  const unsigned before = counts_.changes;
  run_until([&] { return steady_clock::now() > end; });
  if (counts_.changes == before) findings_.emplace_back("no change was acknowledged in the order");
  bool asked = false;
  boost::asio::co_spawn(
      kernel_.io(),
      [&]() -> awaitable<void> {
        const std::vector<acknowledgement> changes = acknowledged_;
        for (const acknowledgement& change : changes) {
          if (steady_clock::now() - change.at < propagation_bound) continue;
          co_await ask_all_nodes(change);
          co_await sleep(5ms);
        }
        asked = true;
      },
      boost::asio::detached);
  run_until([&] { return asked; });
}

}  // namespace heatherdeck

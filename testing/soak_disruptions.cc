// Polls the processes every few milliseconds; nothing waits for a fixed time.
#include "testing/soak_disruptions.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>
#include <signal.h>

#include "testing/wall_clock.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr auto poll_interval = 5ms;
constexpr milliseconds least_freeze = 200ms;
constexpr milliseconds most_freeze = 4000ms;
constexpr milliseconds least_down = 100ms;
constexpr milliseconds most_down = 1500ms;
constexpr milliseconds kill_after_stop = 6s;
constexpr milliseconds recovery_limit = 120s;

}  // namespace

struct soak_disruptions::series {
  disruption_kind kind;
  void (soak_disruptions::*begin)(disruption_kind);
  milliseconds least;  ///< time to the next one of the series
  milliseconds most;
};

const soak_disruptions::series soak_disruptions::all_series[] = {
    {disruption_kind::kill, &soak_disruptions::signal, 800ms, 3000ms},
    {disruption_kind::freeze, &soak_disruptions::signal, 500ms, 2500ms},
    {disruption_kind::stop, &soak_disruptions::signal, 800ms, 3000ms},
    {disruption_kind::reload, &soak_disruptions::signal, 300ms, 1500ms},
    {disruption_kind::press, &soak_disruptions::toggle_pressing, 500ms, 3000ms},
    {disruption_kind::replace_upstream, &soak_disruptions::replace, 3000ms, 8000ms},
};

soak_disruptions::soak_disruptions(soak_deployment& deployment, std::vector<std::vector<std::string>> groups,
                                   disruption_hooks hooks, std::uint64_t seed)
    : deployment_(deployment), groups_(std::move(groups)), hooks_(std::move(hooks)), random_(seed) {
  for (const auto& group : groups_) {
    for (const std::string& name : group) states_[name] = {};
  }
}

milliseconds soak_disruptions::draw(milliseconds least, milliseconds most) {
  return milliseconds(std::uniform_int_distribution<milliseconds::rep>(least.count(), most.count())(random_));
}

std::size_t soak_disruptions::count(disruption_kind kind) const {
  return static_cast<std::size_t>(
      std::count_if(begun_.begin(), begun_.end(), [kind](const disruption& d) { return d.kind == kind; }));
}

void soak_disruptions::note(disruption_kind kind, const std::string& name) {
  begun_.push_back({kind, name, wall_clock()});
}

std::string soak_disruptions::run(milliseconds length) {
  const time_point end = steady_clock::now() + length;
  const time_point limit = end + recovery_limit;
  std::vector<time_point> due;
  for (const series& s : all_series) due.push_back(steady_clock::now() + draw(0ms, s.most));
  const auto recovered = [&] {
    return std::all_of(states_.begin(), states_.end(), [](const auto& entry) { return entry.second.undisturbed(); });
  };
  while (steady_clock::now() < end || !recovered()) {
    for (std::size_t i = 0; i < std::size(all_series); ++i) {
      if (steady_clock::now() < due[i] || steady_clock::now() >= end) continue;
      (this->*all_series[i].begin)(all_series[i].kind);
      due[i] = steady_clock::now() + draw(all_series[i].least, all_series[i].most);
    }
    observe();
    if (!failures_.empty()) return failures_;
    if (steady_clock::now() > limit) return failures_ + "processes are not back after the limit\n";
    std::this_thread::sleep_for(poll_interval);
  }
  return failures_;
}

bool soak_disruptions::may_disturb(const std::string& name) const {
  if (!states_.at(name).undisturbed()) return false;
  const auto group = std::find_if(groups_.begin(), groups_.end(),
                                  [&](const auto& g) { return std::find(g.begin(), g.end(), name) != g.end(); });
  const auto undisturbed =
      std::count_if(group->begin(), group->end(), [&](const std::string& n) { return states_.at(n).undisturbed(); });
  const auto least_left = name[0] == 'c' ? static_cast<std::ptrdiff_t>(group->size()) - 1 : 1;
  return undisturbed > least_left;
}

void soak_disruptions::signal(disruption_kind kind) {
  std::vector<std::string> names;
  for (const auto& [name, state] : states_) {
    if (may_disturb(name)) names.push_back(name);
  }
  // A process that is ending may be frozen as well.
  if (kind == disruption_kind::freeze) {
    for (const auto& [name, state] : states_) {
      if (state.running && state.told_to_end && state.resume_at == time_point::max()) names.push_back(name);
    }
  }
  if (names.empty()) return;
  const std::string name = names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random_)];
  process_state& state = states_.at(name);
  if ((kind == disruption_kind::stop || kind == disruption_kind::reload) && !state.answers) {
    state.answers = deployment_.handles_signals(name);
    if (!state.answers) return;
  }
  note(kind, name);
  switch (kind) {
    case disruption_kind::kill:
      state.told_to_end = true;
      deployment_.send_signal(name, SIGKILL);
      break;
    case disruption_kind::stop:
      state.told_to_end = true;
      state.kill_at = steady_clock::now() + kill_after_stop;
      deployment_.send_signal(name, SIGTERM);
      break;
    case disruption_kind::freeze:
      state.resume_at = steady_clock::now() + draw(least_freeze, most_freeze);
      deployment_.send_signal(name, SIGSTOP);
      break;
    default:
      deployment_.send_signal(name, SIGHUP);
  }
}

void soak_disruptions::toggle_pressing(disruption_kind kind) {
  pressing_ = !pressing_;
  if (pressing_) note(kind, "callers");
  hooks_.press(pressing_);
}

void soak_disruptions::replace(disruption_kind kind) {
  const std::size_t number = std::uniform_int_distribution<std::size_t>(0, hooks_.upstreams - 1)(random_);
  note(kind, fmt::format("u{}", number + 1));
  hooks_.replace_upstream(number);
}

void soak_disruptions::observe() {
  for (auto& [name, state] : states_) observe_process(name, state);
}

void soak_disruptions::observe_process(const std::string& name, process_state& state) {
  const time_point now = steady_clock::now();
  if (!state.running) {
    if (now < state.start_at) return;
    if (!capture([&] { return deployment_.start(name); })) failures_ += name + " does not start\n";
    state = {};
    return;
  }
  if (now >= state.resume_at) {
    state.resume_at = time_point::max();
    deployment_.send_signal(name, SIGCONT);
  }
  const bool killed = now >= state.kill_at;
  if (killed) deployment_.send_signal(name, SIGKILL);
  const std::optional<int> code = deployment_.try_wait(name);
  if (!code) return;
  const bool by_signal = *code == 128 + SIGKILL;
  if (!state.told_to_end || (*code != 0 && !by_signal))
    failures_ += fmt::format("{} ended by itself with {}\n", name, *code);
  state = {.running = false, .start_at = now + draw(least_down, most_down)};
}

}  // namespace heatherdeck

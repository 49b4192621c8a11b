/// @file
/// A seeded schedule of signals and other disruptions, in series that overlap. Used by booking_soak_test.
///
///     soak_disruptions disruptions(deployment, {.press = ..., .replace_upstream = ...}, seed);
///     EXPECT_EQ(disruptions.run(14s), "");
///
/// Of each service's nodes one is always undisturbed, and of the control hosts all but one.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kernel/enum_names.h"
#include "testing/soak_deployment.h"

namespace heatherdeck {

enum class disruption_kind { kill, freeze, stop, reload, press, replace_upstream };

template <>
struct enum_table<disruption_kind> {
  static constexpr auto entries = std::to_array<enum_entry<disruption_kind>>({
      {disruption_kind::kill, "kill"},
      {disruption_kind::freeze, "freeze"},
      {disruption_kind::stop, "stop"},
      {disruption_kind::reload, "reload"},
      {disruption_kind::press, "press"},
      {disruption_kind::replace_upstream, "replace_upstream"},
  });
};

struct disruption_hooks {
  std::function<void(bool)> press;  ///< callers ask for more than the upstreams' slots, or no longer
  std::function<void(std::size_t)> replace_upstream;
  std::size_t upstreams = 0;
};

struct disruption {
  disruption_kind kind;
  std::string name;  ///< of the process or upstream
  milliseconds begun_at{0};
};

class soak_disruptions {
 public:
  /// @param groups processes of which one is always undisturbed.
  soak_disruptions(soak_deployment& deployment, std::vector<std::vector<std::string>> groups, disruption_hooks hooks,
                   std::uint64_t seed);

  /// Begins disruptions for this time, and then waits until every process runs again. May be called again.
  /// @return what went wrong with a process; empty if nothing did.
  std::string run(milliseconds length);

  const std::vector<disruption>& begun() const { return begun_; }
  std::size_t count(disruption_kind kind) const;

 private:
  struct process_state {
    bool running = true;
    bool answers = false;  ///< has been seen to handle signals since its start
    bool told_to_end = false;
    time_point kill_at = time_point::max();
    time_point resume_at = time_point::max();
    time_point start_at = time_point::max();

    bool undisturbed() const { return running && !told_to_end && resume_at == time_point::max(); }
  };
  struct series;
  static const series all_series[];

  void signal(disruption_kind kind);
  void toggle_pressing(disruption_kind kind);
  void replace(disruption_kind kind);
  void observe();
  void observe_process(const std::string& name, process_state& state);
  bool may_disturb(const std::string& name) const;
  milliseconds draw(milliseconds least, milliseconds most);
  void note(disruption_kind kind, const std::string& name);

  soak_deployment& deployment_;
  std::vector<std::vector<std::string>> groups_;
  disruption_hooks hooks_;
  std::mt19937_64 random_;
  std::map<std::string, process_state> states_;
  std::vector<disruption> begun_;
  std::string failures_;
  bool pressing_ = false;
};

}  // namespace heatherdeck

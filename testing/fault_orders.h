/// @file
/// Seeded orders of faults of a deployment: which processes are killed, lose power, freeze, stop or are cut off, when,
/// for how long, and whether a disk is lost. Pure; `propagation_soak` plays them with real processes,
/// `propagation_simulation` under a virtual clock.
///
///     for (const process_fault& f : draw_faults(random, {"c1", "c2", "c3"}, {"n1", "n2"}, 1)) ...
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/timer_service.h"

namespace heatherdeck {

enum class fault_kind { kill, power_off, freeze, stop, cut, silence };

template <>
struct enum_table<fault_kind> {
  static constexpr auto entries = std::to_array<enum_entry<fault_kind>>({
      {fault_kind::kill, "kill"},
      {fault_kind::power_off, "power_off"},  // peers get no reset, and their bytes are lost
      {fault_kind::freeze, "freeze"},
      {fault_kind::stop, "stop"},
      {fault_kind::cut, "cut"},          // from all processes outside of its fault's group
      {fault_kind::silence, "silence"},  // of the connections that it has opened, without a reset
  });
};

/// A fault of one process. Faults of the same process don't overlap.
struct process_fault {
  fault_kind kind = fault_kind::kill;
  std::string name;
  milliseconds begin{0};  ///< since the start of the order
  milliseconds end{0};
  bool loses_disk = false;
  unsigned group = 0;  ///< of a cut: processes of one group reach each other
};

inline bool ends_process(fault_kind kind) {
  return kind == fault_kind::kill || kind == fault_kind::power_off || kind == fault_kind::stop;
}

/// @param tolerated_losses most disks that an order loses.
/// @return the faults of one order, by their begin: at random of some processes, each at a time of its own; or of all
///   control hosts at the same moment, with all nodes or with silent connections of some, that come back one after the
///   other; or of half of the connections, which go silent.
inline std::vector<process_fault> draw_faults(std::mt19937_64& random, const std::vector<std::string>& control_hosts,
                                              const std::vector<std::string>& nodes, unsigned tolerated_losses) {
  const auto draw = [&random](milliseconds::rep least, milliseconds::rep most) {
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(least, most)(random));
  };
  const auto pick_kind = [&random](std::initializer_list<fault_kind> kinds) {
    return std::data(kinds)[random() % kinds.size()];
  };
  std::vector<process_fault> faults;
  unsigned disks_left = tolerated_losses;
  const auto add = [&](process_fault f) {
    f.loses_disk = f.name[0] == 'c' && disks_left != 0 && ends_process(f.kind) && random() % 3 == 0;
    if (f.loses_disk) --disks_left;
    faults.push_back(std::move(f));
  };
  const auto pattern = random() % 3;
  if (pattern == 0) {
    for (const auto* names : {&control_hosts, &nodes}) {
      for (const std::string& name : *names) {
        const milliseconds begin = draw(0, 200);
        if (random() % 2 == 0) add({fault_kind::silence, name, begin, begin});
      }
    }
  } else if (pattern == 1) {
    const fault_kind kind = pick_kind({fault_kind::kill, fault_kind::power_off, fault_kind::freeze});
    const milliseconds down = draw(300, 2500);
    const milliseconds spread = draw(0, 2500);
    const bool with_nodes = random() % 2 == 0;
    for (const std::string& node : nodes) {
      if (!with_nodes && random() % 2 == 0) add({fault_kind::silence, node, {}, {}});
    }
    for (const std::string& host : control_hosts) add({kind, host, {}, down + draw(0, spread.count())});
    const milliseconds nodes_down = draw(300, 6000);
    for (std::size_t i = 0; with_nodes && i < nodes.size(); ++i) add({kind, nodes[i], {}, nodes_down + draw(0, 500)});
  } else {
    std::vector<std::string> names = control_hosts;
    names.insert(names.end(), nodes.begin(), nodes.end());
    std::shuffle(names.begin(), names.end(), random);
    names.resize(1 + random() % (names.size() / 2));
    const milliseconds cut_begin = draw(0, 1000);
    const milliseconds cut_end = cut_begin + draw(500, 7000);
    for (const std::string& name : names) {
      const fault_kind kind = static_cast<fault_kind>(random() % enum_table<fault_kind>::entries.size());
      const milliseconds begin = kind == fault_kind::cut ? cut_begin : draw(0, 2000);
      milliseconds end = kind == fault_kind::cut ? cut_end : begin + draw(200, 7000);
      if (kind == fault_kind::silence) end = begin;
      add({kind, name, begin, end, false, 1 + static_cast<unsigned>(random() % 2)});
    }
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const process_fault& a, const process_fault& b) { return a.begin < b.begin; });
  return faults;
}

}  // namespace heatherdeck

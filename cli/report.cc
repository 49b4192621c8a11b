// Formats reports for operators. Invariant: each line about a node or a rollout names it first, so that lines can be
// sorted and searched. Cost: one map entry per node.
#include "cli/report.h"

#include <algorithm>

#include <fmt/format.h>

namespace heatherdeck {

std::string describe(const rollout_state& state) {
  std::string text = fmt::format("rollout {} {} -> {}: {}, {}% of traffic", state.service, state.from, state.to,
                                 to_name(state.status), state.share / 100.0);
  if (!state.reason.empty()) text += " (" + state.reason + ")";
  return text;
}

std::string describe(const rollout_view& view) {
  std::string text = describe(view.state);
  if (view.time_left.count() > 0) text += fmt::format(", {} s left", view.time_left.count());
  if (!view.evidence.empty()) text += "; " + view.evidence;
  return text;
}

void fleet_report::add(const control_status& status) {
  newest_ = std::max(newest_, status.document);
  for (const subscriber_status& node : status.subscribers) {
    const auto [known, added] = nodes_.emplace(node.node_id, node);
    if (!added && known->second.applied < node.applied) known->second = node;
  }
  for (const known_node& node : status.nodes) {
    nodes_.try_emplace(node.node_id, subscriber_status{node.node_id, node.availability_zone, {}, {}, {}});
  }
}

std::vector<subscriber_status> fleet_report::nodes_behind(const version& wanted) const {
  std::vector<subscriber_status> out;
  for (const auto& [id, node] : nodes_) {
    if (node.applied < wanted) out.push_back(node);
  }
  return out;
}

void fleet_report::print(const printer& out, const version& wanted) const {
  if (nodes_.empty()) {
    out.print("version " + wanted.text() + ": no node is known to the control hosts that answered",
              {{"version", wanted.text()}, {"in_force", 0}, {"nodes", 0}});
    return;
  }
  const std::vector<subscriber_status> behind = nodes_behind(wanted);
  out.print(
      fmt::format("version {} in force at {} of {} nodes", wanted.text(), nodes_.size() - behind.size(), nodes_.size()),
      {{"version", wanted.text()}, {"in_force", nodes_.size() - behind.size()}, {"nodes", nodes_.size()}});
  for (const subscriber_status& node : behind) {
    std::string line = fmt::format("  {} (zone {}) ", node.node_id, node.availability_zone);
    line += node.applied.none() ? "has not reported a version to any control host that answered"
                                : fmt::format("has applied {} for {:.1f} s", node.applied.text(),
                                              std::chrono::duration<double>(node.applied_for).count());
    if (node.refused) line += "; it rejected the newest version: " + node.refused->message();
    out.print(line, to_json(node));
  }
}

}  // namespace heatherdeck

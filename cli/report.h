/// @file
/// Reports to operators about nodes and rollouts.
///
///     fleet_report fleet;
///     fleet.add(status);                       // once per control host
///     fleet.print(out, accepted);              // "in force at 12 of 13 nodes", then one line per node behind
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cli/printer.h"
#include "wire/operator_api.h"

namespace heatherdeck {

/// @return one line, e.g. "rollout certdesk v1 -> v2: running, 5% of traffic".
std::string describe(const rollout_state& state);
std::string describe(const rollout_view& view);

/// Aggregates the status of several control hosts: their subscribed nodes, and the nodes that they know as members
/// without a subscription. A node that moved between hosts counts once, with its newest version.
class fleet_report {
 public:
  void add(const control_status& status);

  /// @return the newest document version that any of the added control hosts has.
  const version& newest() const { return newest_; }
  std::size_t nodes() const { return nodes_.size(); }
  std::vector<subscriber_status> nodes_behind(const version& wanted) const;

  /// Prints how many nodes have applied the version or a later one, and one line for each node that has not.
  void print(const printer& out, const version& wanted) const;

 private:
  version newest_;
  std::map<std::string, subscriber_status> nodes_;
};

}  // namespace heatherdeck

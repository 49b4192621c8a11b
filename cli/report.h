/// @file
/// What operators are told about nodes and rollouts.
///
///     fleet_report fleet;
///     fleet.add(status);                       // of each control host
///     fleet.tell(out, accepted);               // "in force at 12 of 13 nodes", then one line for each missing node
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

/// The nodes that subscribe to the control hosts that answered, and those that these hosts know as members. A node that
/// moved between hosts counts once, with its newest version.
class fleet_report {
 public:
  void add(const control_status& status);

  /// @return the newest version that any control host holds.
  const version& newest() const { return newest_; }
  std::size_t nodes() const { return nodes_.size(); }
  std::vector<subscriber_status> missing(const version& wanted) const;

  /// Tells how many nodes act on the version or a later one, and about each one that does not.
  void tell(const printer& out, const version& wanted) const;

 private:
  version newest_;
  std::map<std::string, subscriber_status> nodes_;
};

}  // namespace heatherdeck

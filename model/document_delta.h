/// @file
/// The step between two document states, and its application.
///
///     document_delta step = make_delta(held, current);
///     BOOST_LEAF_AUTO(next, apply_delta(held, step));       // next == current, or an error and `held` is unchanged
///
/// `document_history` gives the step from any recent version without keeping old states:
///
///     history.record(before, after);                        // on every change
///     if (auto step = history.delta_since(node_has, current)) send(*step); else send_snapshot(current);
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/result.h"
#include "model/document.h"

namespace heatherdeck {

/// @param from the state that the receiver holds.
/// @param to a later state of the same lineage: withdrawn versions of `from` are still withdrawn in `to`.
/// @return one step that combines all changes.
document_delta make_delta(const document_state& from, const document_state& to);

/// Applies a step whole or not at all.
/// @return the new state; `conflict` when the step starts from another version or goes back; `corrupt` when the
/// result's digest differs, in which case the receiver asks for a snapshot.
result<document_state> apply_delta(const document_state& base, const document_delta& delta);

/// What one version changed, by name.
struct document_change {
  version at;
  std::vector<std::string> sections;  ///< changed or removed
  std::vector<std::string> rollouts;  ///< services whose rollout changed or was removed
  std::vector<withdrawn_key> withdrawn;

  bool operator==(const document_change&) const = default;
};

/// Names changed by each of the last versions. Memory is bounded by `max_changes` lists of names; texts are taken from
/// the current state when a step is made.
class document_history {
 public:
  static constexpr std::size_t max_changes = 1000;

  /// Records the step between two successive states. A step that does not start at the last recorded version empties
  /// the history first.
  void record(const document_state& before, const document_state& after);

  /// Records a change whose names the caller knows; cheaper than comparing two states.
  /// @param before version that was current before the change.
  void record(const version& before, document_change change);

  /// @param from version that the receiver holds.
  /// @param current the state at the last recorded version.
  /// @return the combined step, or nothing when `from` is unknown or too old.
  std::optional<document_delta> delta_since(const version& from, const document_state& current) const;

  /// @return the oldest version from which a step can be made.
  const version& oldest() const { return base_; }
  const std::deque<document_change>& changes() const { return changes_; }

  /// Rebuilds a history, for example from an image.
  static document_history restore(const version& base, std::deque<document_change> changes);

  bool operator==(const document_history&) const = default;

 private:
  version base_;  // version before the first change
  std::deque<document_change> changes_;
};

using document_history_ptr = std::shared_ptr<const document_history>;

}  // namespace heatherdeck

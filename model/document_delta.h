/// @file
/// Makes and applies deltas between two document states, so that a node receives only what changed.
///
///     document_delta delta = make_delta(held, current);
///     BOOST_LEAF_AUTO(next, apply_delta(held, delta));      // next == current, or an error and `held` is unchanged
///
/// A control host makes deltas from any recent version with a `document_history`, which keeps no old states:
///
///     history.record(before, after);                        // on every change
///     if (auto delta = history.delta_since(node_has, current)) send(*delta); else send_snapshot(current);
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
/// @param to a later state with the same history: versions withdrawn in `from` are still withdrawn in `to`.
/// @return all changes in one delta.
document_delta make_delta(const document_state& from, const document_state& to);

/// Applies a delta to a copy of `base`.
/// @return the new state; `conflict` when the delta starts from another version or leads to an older one; `corrupt`
/// when the digest of the new state differs, in which case the receiver requests a snapshot.
result<document_state> apply_delta(const document_state& base, const document_delta& delta);

/// Names of everything that one version changed.
struct document_change {
  version changed_in;                 ///< the version with the change
  std::vector<std::string> sections;  ///< changed or removed
  std::vector<std::string> rollouts;  ///< services whose rollout changed or was removed
  std::vector<withdrawn_key> withdrawn;

  bool operator==(const document_change&) const = default;
};

/// The names that each of the last `max_changes` versions changed. Memory is bounded because only names are kept; a
/// delta takes the texts from the current state.
class document_history {
 public:
  static constexpr std::size_t max_changes = 1000;

  /// Records the change between two successive states. A change that does not start at the last recorded version clears
  /// the history first.
  void record(const document_state& before, const document_state& after);

  /// Records a change whose names are known; cheaper than comparing two states.
  /// @param before the version before the change.
  void record(const version& before, document_change change);

  /// @param from version that the receiver has.
  /// @param current the state at the last recorded version.
  /// @return one delta with all changes since `from`, or nothing when `from` is current, unknown or too old.
  std::optional<document_delta> delta_since(const version& from, const document_state& current) const;

  /// @return the oldest version from which a delta can be made.
  const version& oldest() const { return base_; }
  const std::deque<document_change>& changes() const { return changes_; }

  /// Restores a history from its parts, e.g. from a snapshot of the replicated state.
  /// @param base version before the first change.
  static document_history restore(const version& base, std::deque<document_change> changes);

  bool operator==(const document_history&) const = default;

 private:
  version base_;  // version before the first change
  std::deque<document_change> changes_;
};

using document_history_ptr = std::shared_ptr<const document_history>;

}  // namespace heatherdeck

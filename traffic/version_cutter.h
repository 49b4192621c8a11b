/// @file
/// Stops this node from using an upstream version under rollout at once when its own calls show clearly that the
/// version is bad; the leader's decision takes seconds longer.
///
///     version_cutter cutter;
///     cutter.set_document(*document);
///     cutter.record("certdesk", "v2", failed);
///     for (const withdrawn_key& cut : cutter.close_window(now)) report(cut);
///     if (cutter.cut("certdesk", "v2", now)) ...
///
/// A cut is local and ends by itself, since one node's view may be that of a fault on the way to the upstreams: the
/// first lasts 4 s, later ones of the same rollout up to 16 s. It is short because the leader, who alone withdraws a
/// version, learns nothing while all nodes have cut it; a bad version costs a node a few calls each time.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "model/compiled_document.h"
#include "model/odds_test.h"

namespace heatherdeck {

class version_cutter {
 public:
  static constexpr std::chrono::seconds first_cut{4};
  /// One false cut in 10,000 rollouts of a good version at a node.
  static constexpr double evidence_to_cut = 10'000;
  /// With fewer failed calls nothing is clear, whatever the odds.
  static constexpr std::uint32_t failures_to_cut = 5;

  /// Watches the services whose rollout is running or watching; forgets the others.
  void set_document(const compiled_document& document);

  /// Counts finished calls of this node's own callers.
  void record(const std::string& service, const std::string& upstream_version, bool failed, std::uint32_t calls = 1);

  /// Compares the counts since the last call; call it several times a second.
  /// @return versions that are cut from now on.
  std::vector<withdrawn_key> close_window(time_point now);

  /// @return true while the version must get nothing at this node.
  bool cut(const std::string& service, const std::string& upstream_version, time_point now) const;

  /// @return all versions that are cut at present.
  std::vector<withdrawn_key> cut_versions(time_point now) const;

 private:
  struct watched_rollout {
    std::string from;
    std::string to;
    odds_window window;
    std::uint32_t failures = 0;  ///< of the new version since the last cut
    sequential_odds_test test;
    time_point cut_until{};
    std::uint32_t cuts = 0;
  };
  static sequential_odds_test new_test();

  std::map<std::string, watched_rollout> rollouts_;  ///< by service
};

}  // namespace heatherdeck

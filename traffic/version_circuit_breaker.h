/// @file
/// Circuit breaker for upstream versions under rollout: stops this node from using the new version as soon as the
/// node's own calls show clearly that it is faulty. The leader's decision to withdraw the version takes seconds longer.
///
///     version_circuit_breaker circuit_breaker;
///     circuit_breaker.set_document(*document);
///     circuit_breaker.record("certdesk", "v2", failed);
///     for (const withdrawn_key& cut : circuit_breaker.close_window(now)) report(cut);
///     if (circuit_breaker.cut("certdesk", "v2", now)) ...
///
/// While a version is cut, this node sends it no requests. A cut is local to the node and expires, because what one
/// node sees may be a network fault between it and the upstreams: the first lasts 4 s, later ones of the same rollout
/// up to 16 s. It is short because only the leader can withdraw a version, and it gets no evidence while all nodes have
/// cut it; a faulty version costs each node a few calls after every cut. traffic_core keeps one
/// version_circuit_breaker.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "model/compiled_document.h"
#include "model/sequential_odds_test.h"

namespace heatherdeck {

class version_circuit_breaker {
 public:
  static constexpr std::chrono::seconds base_cut_time{4};  ///< length of the first cut; doubles twice
  /// Evidence at which a version is cut: at one node, one false cut in 10,000 rollouts of a good version.
  static constexpr double evidence_threshold = 10'000;
  /// Failed calls below which a version is not cut, whatever the evidence.
  static constexpr std::uint32_t min_failures = 5;

  /// Starts tests for services whose rollout is running or watching; drops those of all other services.
  void set_document(const compiled_document& document);

  /// Counts finished calls that this node's own callers made.
  /// @param calls how many calls to count, all with the same result.
  void record(const std::string& service, const std::string& upstream_version, bool failed, std::uint32_t calls = 1);

  /// Evaluates the calls counted since the last window was closed; to be called several times a second.
  /// @return versions that are cut from now on.
  std::vector<withdrawn_key> close_window(time_point now);

  /// @return true while this node must not send requests to the version.
  bool cut(const std::string& service, const std::string& upstream_version, time_point now) const;

  /// @return all versions that are cut at present.
  std::vector<withdrawn_key> cut_versions(time_point now) const;

 private:
  struct watched_rollout {
    std::string from;            ///< old version
    std::string to;              ///< new version, the one that may be cut
    stratum_counts window;       ///< calls not yet evaluated
    std::uint32_t failures = 0;  ///< failed calls of the new version since its last cut
    sequential_odds_test test;
    time_point cut_until{};
    std::uint32_t cut_count = 0;
  };
  static sequential_odds_test new_test();

  std::map<std::string, watched_rollout> rollouts_;  ///< by service
};

}  // namespace heatherdeck

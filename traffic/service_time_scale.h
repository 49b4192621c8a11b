/// @file
/// Compares upstreams of one service by how long they take, independently of which routes each of them has served.
///
///     service_time_scale scale;                                  // one for each service
///     double sample = scale.record("lookup", 120, 1.5);          // 1: as long as the route takes on average
///
/// A route's mean follows the calls of this node to all upstreams. Used by traffic_core, which keeps a moving average
/// of the samples for each upstream; see balance_candidate::relative_time. Pure.
#pragma once

#include <string>
#include <unordered_map>

namespace heatherdeck {

class service_time_scale {
 public:
  /// Records a response.
  /// @param latency_ms time to the first byte of the response.
  /// @param pace of the upstream at that time; 0 when unknown.
  /// @return the latency, without the effect of the pace, as a multiple of the route's mean.
  double record(const std::string& route, double latency_ms, double pace) {
    const double usual_ms = latency_ms / (pace > 0 ? pace : 1);
    double& mean_ms = means_ms_[route];
    mean_ms = mean_ms == 0 ? usual_ms : mean_ms + mean_weight * (usual_ms - mean_ms);
    return mean_ms > 0 ? usual_ms / mean_ms : 1;
  }

  /// Removes the routes for which `keep(name)` is false.
  template <class Predicate>
  void retain(Predicate keep) {
    std::erase_if(means_ms_, [&](const auto& mean) { return !keep(mean.first); });
  }

 private:
  /// Covers about fifty calls, so that one upstream alone does not move the mean.
  static constexpr double mean_weight = 0.02;

  std::unordered_map<std::string, double> means_ms_;  ///< by route
};

}  // namespace heatherdeck

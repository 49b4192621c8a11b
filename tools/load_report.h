/// @file
/// Latency quantiles and counts of a load run. Pure.
///
///     load_report report;
///     report.add({.latency = 310us, .status = 200, .outcome = ""});
///     report.quantile(0.99);
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace heatherdeck {

/// One finished call; latency counts from the time at which the call was due, so a late start is not hidden.
struct call_result {
  std::chrono::microseconds latency{0};
  unsigned status = 0;           ///< 0: no answer
  std::string outcome;           ///< value of hd-outcome, if any
  std::string upstream_version;  ///< value of hd-upstream-version, if any
};

class load_report {
 public:
  void add(const call_result& result);

  /// @param q between 0 and 1.
  /// @return the latency that this part of the answered calls did not exceed; zero without calls.
  std::chrono::microseconds quantile(double q) const;

  std::uint64_t calls() const { return calls_; }
  std::uint64_t ok() const { return ok_; }
  std::uint64_t unanswered() const { return unanswered_; }

  /// @param elapsed length of the run.
  boost::json::object to_json(std::chrono::duration<double> elapsed) const;

 private:
  std::vector<std::uint32_t> latencies_;  ///< of answered calls, microseconds
  std::map<unsigned, std::uint64_t> statuses_;
  std::map<std::string, std::uint64_t> outcomes_;
  std::map<std::string, std::uint64_t> versions_;
  std::uint64_t calls_ = 0;
  std::uint64_t ok_ = 0;
  std::uint64_t unanswered_ = 0;
};

}  // namespace heatherdeck

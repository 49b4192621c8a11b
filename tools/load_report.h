/// @file
/// Latency quantiles and call counts of a load run, filled by load_service. Does no I/O.
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

/// One finished call. The latency is measured from the scheduled send time, so that a call sent late counts its delay
/// (no coordinated omission).
struct call_result {
  std::chrono::microseconds latency{0};
  unsigned status = 0;           ///< HTTP status; 0: no response (connection failed, was closed, or timed out)
  std::string outcome;           ///< value of hd-outcome, if any
  std::string upstream_version;  ///< value of hd-upstream-version, if any
};

class load_report {
 public:
  void add(const call_result& result);

  /// @param q between 0 and 1.
  /// @return the latency that a fraction `q` of the answered calls did not exceed; zero if no call was answered.
  std::chrono::microseconds quantile(double q) const;

  std::uint64_t calls() const { return calls_; }
  /// Answered calls with a status below 400.
  std::uint64_t ok() const { return ok_; }
  /// Calls without a response.
  std::uint64_t unanswered() const { return unanswered_; }

  /// @param elapsed duration of the run.
  /// @return counts, calls per second, and the 0.5, 0.99 and 0.999 quantiles in microseconds.
  boost::json::object to_json(std::chrono::duration<double> elapsed) const;

 private:
  std::vector<std::uint32_t> latencies_;  ///< of answered calls, microseconds
  std::map<unsigned, std::uint64_t> status_counts_;
  std::map<std::string, std::uint64_t> outcome_counts_;
  std::map<std::string, std::uint64_t> version_counts_;
  std::uint64_t calls_ = 0;
  std::uint64_t ok_ = 0;
  std::uint64_t unanswered_ = 0;
};

}  // namespace heatherdeck

/// @file
/// The process's metrics (prometheus-cpp core), served as text by the admin service at /metrics.
///
///     auto& refused = counter("heatherdeck_calls_refused_total", "Calls refused before an upstream was chosen",
///                             {{"reason", "overloaded"}});
///     refused.Increment();
///
/// Names follow the Prometheus conventions: a unit suffix, `_total` for counters. Label values come only from
/// enumerations, services or zones, never from requests, so that the number of series stays bounded. Code that updates
/// a metric should keep the returned reference, which stays valid until the process ends.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace heatherdeck {

using metric_labels = std::map<std::string, std::string>;

/// @return the counter with this name and label set; created on first use.
prometheus::Counter& counter(const std::string& name, const std::string& help, const metric_labels& labels = {});

/// @return the gauge with this name and label set; created on first use.
prometheus::Gauge& gauge(const std::string& name, const std::string& help, const metric_labels& labels = {});

/// @param bounds upper bounds of the buckets, in the unit that the name's suffix gives.
/// @return the histogram with this name and label set; created on first use.
prometheus::Histogram& histogram(const std::string& name, const std::string& help, const std::vector<double>& bounds,
                                 const metric_labels& labels = {});

/// @return all metrics in the Prometheus text exposition format.
std::string metrics_text();

}  // namespace heatherdeck

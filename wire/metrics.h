/// @file
/// The process's metrics (prometheus-cpp core), served as text by the admin service at /metrics.
///
///     auto& refused = counter("heatherdeck_calls_refused_total", "Calls refused before an upstream was chosen",
///                             {{"reason", "overloaded"}});
///     refused.Increment();
///
/// Names follow the ecosystem: a unit suffix, `_total` for counters. Label values come from enumerations, services or
/// zones only, never from requests, so that the number of series stays bounded. Callers keep the returned reference.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace heatherdeck {

using metric_labels = std::map<std::string, std::string>;

/// @return the counter of that name and label set; created on first use.
prometheus::Counter& counter(const std::string& name, const std::string& help, const metric_labels& labels = {});

/// @return the gauge of that name and label set; created on first use.
prometheus::Gauge& gauge(const std::string& name, const std::string& help, const metric_labels& labels = {});

/// @param bounds upper bounds of the buckets, in the unit of the name's suffix.
/// @return the histogram of that name and label set; created on first use.
prometheus::Histogram& histogram(const std::string& name, const std::string& help, const std::vector<double>& bounds,
                                 const metric_labels& labels = {});

/// @return all metrics in the text exposition format.
std::string metrics_text();

}  // namespace heatherdeck

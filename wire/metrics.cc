// One registry for the process. prometheus-cpp finds an existing family by name and a series by labels, so callers need
// no registration step; they look a series up once and keep the reference. Cost: an atomic operation per update.
#include "wire/metrics.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace heatherdeck {
namespace {

prometheus::Registry& registry() {
  static prometheus::Registry instance(prometheus::Registry::InsertBehavior::Merge);
  return instance;
}

}  // namespace

prometheus::Counter& counter(const std::string& name, const std::string& help, const metric_labels& labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry()).Add(labels);
}

prometheus::Gauge& gauge(const std::string& name, const std::string& help, const metric_labels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry()).Add(labels);
}

prometheus::Histogram& histogram(const std::string& name, const std::string& help, const std::vector<double>& bounds,
                                 const metric_labels& labels) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry()).Add(labels, bounds);
}

std::string metrics_text() { return prometheus::TextSerializer().Serialize(registry().Collect()); }

}  // namespace heatherdeck

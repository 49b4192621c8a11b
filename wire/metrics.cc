// One registry per process. prometheus-cpp returns the existing family of a name and the existing series of a label
// set, so no registration step is needed; callers look a series up once and keep the reference. Cost: an atomic
// operation per update.
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

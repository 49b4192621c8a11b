/// @file
/// The service "quarantine": finds the requests that crash the upstreams that run them, together with the other nodes.
///
///     BOOST_LEAF_AUTO(made, quarantine_service::make(settings));
///     BOOST_LEAF_CHECK(k.add(std::move(made)));
///
/// Feeds `quarantine_core`: lost calls come from "traffic", which gets each new list; "pool" tells whether an upstream
/// that has lost calls still accepts connections; updates go through "directory" to the same service of other
/// processes. Control hosts run it too, so that nodes that restart together learn what was known. Each of the other
/// services may be missing.
#pragma once

#include <memory>

#include "kernel/kernel.h"
#include "model/settings.h"

namespace heatherdeck {

class quarantine_service : public service {
 public:
  /// @param s uses mesh_listen and seed; a seed of 0 means a random one.
  static result<std::unique_ptr<service>> make(const settings& s);
  ~quarantine_service() override;

  std::string_view name() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  void stop() override;
  /// @return the listed requests by service, with their standing.
  boost::json::value dump() const override;

 private:
  struct state;
  explicit quarantine_service(const settings& s);

  settings settings_;
  std::shared_ptr<state> state_;
};

}  // namespace heatherdeck

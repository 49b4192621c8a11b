// heatherdeckd: one daemon whose settings turn on the roles `control` and `node`. Settings are checked whole before any
// port opens.
#include <cstdio>

#include <gflags/gflags.h>

#include "daemon/service_table.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "model/settings.h"

DEFINE_string(settings, "", "settings file (YAML); see docs/settings.md");
DEFINE_bool(settings_reference, false, "print the reference of all settings as Markdown and exit");

namespace heatherdeck {
namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int run_daemon(const settings& s) {
  init_logging("heatherdeckd", s.lowest_level);
  set_log_field("process", s.id);
  set_log_field("zone", s.availability_zone);
  kernel k;
  k.set_drain_limit(s.drain_limit);
  const outcome<void> added = capture([&] { return add_services(k, s); });
  if (!added) {
    log_error("start_failed", added.failure());
    return exit_failed;
  }
  return k.run();
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "heatherdeckd --settings=FILE\n\n  Runs one process of the mesh, for example:\n"
      "    heatherdeckd --settings=/etc/heatherdeck/node.yaml");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings_reference) {
    std::fputs(heatherdeck::settings_reference().c_str(), stdout);
    return 0;
  }
  if (FLAGS_settings.empty() || argc > 1) {
    std::fputs("heatherdeckd: give exactly one settings file: heatherdeckd --settings=FILE\n", stderr);
    return heatherdeck::exit_usage;
  }
  const auto loaded = heatherdeck::capture([] { return heatherdeck::load_settings(FLAGS_settings); });
  if (!loaded) {
    std::fprintf(stderr, "heatherdeckd: %s\n", loaded.failure().message().c_str());
    return heatherdeck::exit_failed;
  }
  return heatherdeck::run_daemon(*loaded);
}

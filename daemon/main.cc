// heatherdeckd: the daemon, whose settings enable the roles `control` and `node`. Invariant: the settings are validated
// completely before any port is opened.
#include <csignal>
#include <cstdio>

#include <gflags/gflags.h>

#include "daemon/service_table.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "model/directory_messages.h"
#include "model/service_names.h"
#include "model/settings.h"

DEFINE_string(settings, "", "settings file (YAML); see docs/settings.md");
DEFINE_bool(settings_reference, false, "print the reference of all settings as Markdown and exit");

namespace heatherdeck {
namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

// Called on SIGHUP. Only the log level and the seeds' addresses are reloaded; all other settings need a restart.
void reload(kernel& k) {
  const auto loaded = capture([] { return load_settings(FLAGS_settings); });
  if (!loaded) {
    log_error("settings_refused", loaded.failure());
    return;
  }
  set_log_level(loaded->min_log_level);
  const auto directory = capture([&] { return k.find<directory_message>(to_name(service_name::directory)); });
  const bool seeds_posted = directory && directory->post(set_seeds{seed_addresses(*loaded)});
  log_event(log_level::info, "settings_reloaded", {{"seeds_told", seeds_posted}});
}

int run_daemon(const settings& s) {
  init_logging("heatherdeckd", s.min_log_level);
  set_log_field("process", s.id);
  set_log_field("zone", s.availability_zone);
  kernel k;
  k.set_drain_limit(effective_drain_limit(s));
  const outcome<void> added = capture([&] { return add_services(k, s); });
  if (!added) {
    log_error("start_failed", added.failure());
    return exit_failed;
  }
  k.set_reload_callback([&k] { reload(k); });
  return k.run();
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  // Until the kernel handles it: the default action would terminate a process that is still starting.
  std::signal(SIGHUP, SIG_IGN);
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

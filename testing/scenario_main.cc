// heatherdeck_scenario: runs one scenario file against real processes and compares the session with its golden file.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gflags/gflags.h>
#include <unistd.h>

#include "testing/scenario.h"

DEFINE_string(bin, "build", "build folder");
DEFINE_string(golden, "", "golden file; empty: only print the session");
DEFINE_bool(write_golden, false, "write the golden file in place of comparing");
DEFINE_bool(keep, false, "keep the folder with settings, data and logs");
DEFINE_uint32(base_port, 23000, "first of the ports on 127.0.0.1");

namespace heatherdeck {
namespace {

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int run_file(const std::string& file) {
  const std::string work =
      (std::filesystem::temp_directory_path() / ("hd-scenario-" + std::to_string(::getpid()))).string();
  const outcome<scenario_report> report = capture([&]() -> result<scenario_report> {
    BOOST_LEAF_AUTO(s, parse_scenario(read_file(file), file));
    BOOST_LEAF_AUTO(f, fleet::make({.bin = FLAGS_bin,
                                    .work = work,
                                    .base_port = static_cast<std::uint16_t>(FLAGS_base_port),
                                    .control_hosts = s.control_hosts,
                                    .nodes = s.nodes}));
    return run_scenario(s, *f);
  });
  if (!report) {
    std::fprintf(stderr, "%s\n", report.failure().message().c_str());
    return 1;
  }
  std::fputs(report->session.c_str(), stdout);
  for (const std::string& fault : report->faults) std::fprintf(stderr, "FAULT %s\n", fault.c_str());
  if (!report->faults.empty()) {
    std::fprintf(stderr, "logs: %s\n", work.c_str());
    return 1;
  }
  if (!FLAGS_keep) std::filesystem::remove_all(work);
  if (FLAGS_golden.empty()) return 0;
  if (FLAGS_write_golden) {
    std::ofstream(FLAGS_golden) << report->session;
    return 0;
  }
  if (read_file(FLAGS_golden) != report->session) {
    std::fprintf(stderr, "the session differs from %s\n", FLAGS_golden.c_str());
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  gflags::SetUsageMessage("heatherdeck_scenario testing/scenarios/race.yaml");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc != 2) {
    std::fputs("heatherdeck_scenario: give exactly one scenario file\n", stderr);
    return 2;
  }
  return heatherdeck::run_file(argv[1]);
}

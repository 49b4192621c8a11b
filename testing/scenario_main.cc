// heatherdeck_scenario: runs one scenario file against real processes and compares the printed session with a golden
// file. Exit code 0 if all steps pass and the session is the same. The work folder is kept after a failed step.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gflags/gflags.h>
#include <unistd.h>

#include "testing/scenario.h"

DEFINE_string(bin, "build", "build folder");
DEFINE_string(golden, "", "golden file to compare with; empty: only print the session");
DEFINE_bool(write_golden, false, "write the session to the golden file instead of comparing");
DEFINE_bool(keep, false, "keep the work folder (settings, data and logs) after a successful run");
DEFINE_uint32(base_port, 23000, "first port used on 127.0.0.1");

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
  for (const std::string& failure_text : report->failures) std::fprintf(stderr, "FAILED %s\n", failure_text.c_str());
  if (!report->failures.empty()) {
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
    std::fprintf(stderr, "the session differs from the golden file %s; use --write_golden to replace it\n",
                 FLAGS_golden.c_str());
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
    std::fputs("heatherdeck_scenario: exactly one scenario file is required\n", stderr);
    return 2;
  }
  return heatherdeck::run_file(argv[1]);
}

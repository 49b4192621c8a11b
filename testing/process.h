/// @file
/// A child process of a test or measurement: start, signals, exit code.
///
///     BOOST_LEAF_AUTO(p, process::start({"build/daemon/heatherdeckd", "--settings=n1.yaml"}, "n1.log"));
///     p.send_signal(SIGSTOP);
///     int code = p.wait();
///
/// The product itself starts no process; only tests and tools do.
#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

#include "kernel/result.h"

namespace heatherdeck {

class process {
 public:
  /// @param command program and arguments.
  /// @param log_file standard output and error are appended to it.
  static result<process> start(const std::vector<std::string>& command, const std::string& log_file);

  process(process&& other) noexcept;
  process& operator=(process&& other) noexcept;
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  /// Kills the process if it still runs.
  ~process();

  void send_signal(int number) const;

  /// Waits for the end.
  /// @return the exit code, or 128 plus the signal's number.
  int wait();

  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  explicit process(pid_t pid) : pid_(pid) {}

  pid_t pid_ = -1;
};

/// Runs a command to its end and collects what it prints.
struct finished_command {
  int exit_code = -1;
  std::string output;
};
finished_command run_command(const std::vector<std::string>& command);

}  // namespace heatherdeck

/// @file
/// Child processes of tests and benchmarks: start, signals, exit code.
///
///     BOOST_LEAF_AUTO(p, process::start({"build/daemon/heatherdeckd", "--settings=n1.yaml"}, "n1.log"));
///     p.send_signal(SIGSTOP);
///     int code = p.wait();
///
/// Only tests and tools start processes; heatherdeckd itself starts none.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "kernel/result.h"

namespace heatherdeck {

/// Owns one child process. Movable; kills the child on destruction.
class process {
 public:
  /// @param command program and arguments.
  /// @param log_file file to which standard output and standard error are appended.
  static result<process> start(const std::vector<std::string>& command, const std::string& log_file);

  process(process&& other) noexcept;
  process& operator=(process&& other) noexcept;
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  /// Sends SIGKILL and waits, unless wait() has returned before.
  ~process();

  /// Does nothing after wait().
  void send_signal(int number) const;

  /// Blocks until the process ends.
  /// @return the exit code, or 128 plus the number of the signal that ended it; -1 if it was waited for before.
  int wait();

  /// @return the exit code as wait() does if the process has ended, without blocking; nothing if it runs.
  std::optional<int> try_wait();

  /// @return true from start() until wait() returns, even if the process has ended in between.
  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  explicit process(pid_t pid) : pid_(pid) {}

  pid_t pid_ = -1;
};

/// Result of run_command.
struct command_output {
  int exit_code = -1;  ///< 128 plus the signal number if a signal ended it; -1 if the command could not be started
  std::string output;  ///< standard output and standard error
};

/// Runs a command and blocks until it ends.
/// @param command path of the program, and its arguments.
command_output run_command(const std::vector<std::string>& command);

}  // namespace heatherdeck

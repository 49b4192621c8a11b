// Starts children with posix_spawn, with their output redirected to a file or a pipe. Invariant: every started process
// is waited for exactly once, so none stays a zombie and no signal reaches a reused process id.
#include "testing/process.h"

#include <array>
#include <cstring>
#include <utility>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>  // environ, with _GNU_SOURCE

namespace heatherdeck {
namespace {

std::vector<char*> make_argv(const std::vector<std::string>& command) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  return arguments;
}

int exit_code_from_status(int status) { return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status); }

}  // namespace

result<process> process::start(const std::vector<std::string>& command, const std::string& log_file) {
  std::vector<char*> arguments = make_argv(command);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherits a socket of this process keeps the connection open after it is closed here.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = -1;
  const int spawn_error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (spawn_error != 0)
    return fail(error_kind::usage, std::strerror(spawn_error), "build the program first", command[0]);
  return process(pid);
}

process::process(process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}

process& process::operator=(process&& other) noexcept {
  std::swap(pid_, other.pid_);
  return *this;
}

process::~process() {
  if (!running()) return;
  send_signal(SIGKILL);
  wait();
}

void process::send_signal(int number) const {
  if (running()) ::kill(pid_, number);
}

int process::wait() {
  int status = 0;
  if (!running()) return -1;
  ::waitpid(std::exchange(pid_, -1), &status, 0);
  return exit_code_from_status(status);
}

std::optional<int> process::try_wait() {
  int status = 0;
  if (!running()) return -1;
  if (::waitpid(pid_, &status, WNOHANG) == 0) return std::nullopt;
  pid_ = -1;
  return exit_code_from_status(status);
}

command_output run_command(const std::vector<std::string>& command) {
  std::array<int, 2> pipe_ends{};
  command_output finished;
  if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0) return finished;
  std::vector<char*> arguments = make_argv(command);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = -1;
  const int spawn_error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(pipe_ends[1]);
  std::array<char, 4096> buffer{};
  for (ssize_t size = 0; spawn_error == 0 && (size = ::read(pipe_ends[0], buffer.data(), buffer.size())) > 0;) {
    finished.output.append(buffer.data(), static_cast<std::size_t>(size));
  }
  ::close(pipe_ends[0]);
  int status = 0;
  if (spawn_error == 0) {
    ::waitpid(pid, &status, 0);
    finished.exit_code = exit_code_from_status(status);
  }
  return finished;
}

}  // namespace heatherdeck

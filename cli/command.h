/// @file
/// The table of commands. Each command is one coroutine; `main` looks it up by name and runs it on an event loop.
///
///     const command* found = find_command("submit");
///     exit_code code = co_await found->run(context);
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cli/printer.h"
#include "kernel/mailbox.h"

namespace heatherdeck {

/// The arguments and resources of one command run; the references stay valid until the command returns.
struct command_context {
  timer_service& timers;
  executor_type executor;
  std::vector<std::string> arguments;  ///< positional arguments after the command's name
  printer out;
};

struct command {
  std::string_view name;
  std::string_view arguments;  ///< shown in the help, e.g. "FILE..."
  std::size_t min_arguments;   ///< minimum number of positional arguments
  std::size_t max_arguments;   ///< maximum number of positional arguments
  std::string_view summary;
  std::string_view help;  ///< details and examples
  awaitable<exit_code> (*run)(command_context context);
};

awaitable<exit_code> run_check(command_context context);
awaitable<exit_code> run_submit(command_context context);
awaitable<exit_code> run_show(command_context context);
awaitable<exit_code> run_status(command_context context);
awaitable<exit_code> run_watch(command_context context);
awaitable<exit_code> run_dump(command_context context);
awaitable<exit_code> run_drain(command_context context);
awaitable<exit_code> run_members(command_context context);
awaitable<exit_code> run_explain(command_context context);
awaitable<exit_code> run_keygen(command_context context);

/// @return all commands, in the order in which the help lists them.
std::span<const command> all_commands();

/// @return the command of that name, or null.
const command* find_command(std::string_view name);

/// @return the help of one command, or of the whole tool when `one` is null.
std::string help_text(const command* one);

}  // namespace heatherdeck

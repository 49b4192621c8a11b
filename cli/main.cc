// heatherdeck: the operators' command-line tool. Looks the command up in the table and runs it on one event loop.
#include <cstdio>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "cli/command.h"
#include "cli/flags.h"

namespace heatherdeck {
namespace {

error usage(std::string text, std::string remedy) {
  return {error_kind::usage, std::move(text), std::move(remedy), {}};
}

exit_code run_on_loop(const command& chosen, std::vector<std::string> arguments, const printer& out) {
  boost::asio::io_context io{1};
  timer_service timers(io.get_executor());
  exit_code code = exit_code::failed;
  command_context context{timers, io.get_executor(), std::move(arguments), out};
  boost::asio::co_spawn(io, chosen.run(std::move(context)), [&](std::exception_ptr failure, exit_code returned) {
    if (failure) {
      out.print_error(
          {error_kind::internal, "the command was ended by an unexpected exception", "report this as a bug", {}});
    } else {
      code = returned;
    }
    io.stop();
  });
  io.run();
  return code;
}

exit_code run_command_line(const std::vector<std::string>& command_line) {
  for (const std::string& argument : command_line) {
    if (argument != "--help" && argument != "-h" && argument != "help") continue;
    const command* topic = nullptr;
    for (const std::string& name : command_line) topic = topic == nullptr ? find_command(name) : topic;
    std::fputs(help_text(topic).c_str(), stdout);
    return exit_code::done;
  }
  const auto positional = capture([&] { return parse_flags(command_line); });
  const printer out(FLAGS_json);
  if (!positional) return out.print_error(positional.failure());
  if (positional->empty())
    return out.print_error(usage("no command is given", "run 'heatherdeck help' for a list of commands"));
  const command* chosen = find_command(positional->front());
  if (chosen == nullptr) {
    return out.print_error(
        usage("command '" + positional->front() + "' does not exist", "run 'heatherdeck help' for a list of commands"));
  }
  std::vector<std::string> arguments(positional->begin() + 1, positional->end());
  if (arguments.size() < chosen->min_arguments || arguments.size() > chosen->max_arguments) {
    return out.print_error(usage(std::string(chosen->name) + ": wrong number of arguments",
                                 "write 'heatherdeck " + std::string(chosen->name) + " " +
                                     std::string(chosen->arguments) + "'; see 'heatherdeck help " +
                                     std::string(chosen->name) + "'"));
  }
  return run_on_loop(*chosen, std::move(arguments), out);
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  const std::vector<std::string> command_line(argv + 1, argv + argc);
  return static_cast<int>(heatherdeck::run_command_line(command_line));
}

// heatherdeck: the operators' command-line tool. Looks up the command in its table and runs it on one event loop.
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
  boost::asio::co_spawn(io, chosen.run(std::move(context)), [&](std::exception_ptr failure, exit_code ended) {
    if (failure) {
      out.refuse({error_kind::internal, "the command ended by an exception", "report this as a defect", {}});
    } else {
      code = ended;
    }
    io.stop();
  });
  io.run();
  return code;
}

exit_code run_words(const std::vector<std::string>& words) {
  for (const std::string& word : words) {
    if (word != "--help" && word != "-h" && word != "help") continue;
    const command* about = nullptr;
    for (const std::string& other : words) about = about == nullptr ? find_command(other) : about;
    std::fputs(help_text(about).c_str(), stdout);
    return exit_code::done;
  }
  const auto rest = capture([&] { return parse_flags(words); });
  const printer out(FLAGS_json);
  if (!rest) return out.refuse(rest.failure());
  if (rest->empty()) return out.refuse(usage("no command is given", "see 'heatherdeck help'"));
  const command* chosen = find_command(rest->front());
  if (chosen == nullptr) {
    return out.refuse(usage("command '" + rest->front() + "' is not known", "see 'heatherdeck help'"));
  }
  std::vector<std::string> arguments(rest->begin() + 1, rest->end());
  if (arguments.size() < chosen->least || arguments.size() > chosen->most) {
    return out.refuse(usage(std::string(chosen->name) + " takes other arguments",
                            "write 'heatherdeck " + std::string(chosen->name) + " " + std::string(chosen->arguments) +
                                "'; see 'heatherdeck help " + std::string(chosen->name) + "'"));
  }
  return run_on_loop(*chosen, std::move(arguments), out);
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  return static_cast<int>(heatherdeck::run_words(words));
}

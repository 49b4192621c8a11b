// The table of commands and the help text that is generated from it. Invariant: every command has one row, so the help
// lists all commands. Cost: a look-up is linear in the number of commands.
#include "cli/command.h"

#include <array>

#include <fmt/format.h>

#include "cli/flags.h"

namespace heatherdeck {
namespace {

constexpr std::size_t unlimited = 1000;  // more than a command line is expected to have

constexpr auto commands = std::to_array<command>({
    {"check", "FILE...", 1, unlimited, "check documents and settings files without a control host",
     "A file with the key 'sections' is checked as a document, any other as settings of heatherdeckd.\n"
     "    heatherdeck check mesh.yaml node.yaml\n",
     run_check},
    {"submit", "FILE", 1, 1, "submit the changed sections of a document",
     "Finds the sections of FILE that differ from the base (FILE.base, written by 'show --out'), signs and sends "
     "them,\n"
     "and waits until the change is in force and its rollouts are done. If the response is lost, it retries with the "
     "same id,\n"
     "so that the change is made only once.\n"
     "    heatherdeck show --control=10.0.0.1:7003 --out=mesh.yaml\n"
     "    heatherdeck submit mesh.yaml --control=10.0.0.1:7003,10.0.0.2:7003 --operator=amina --key=amina.key\n"
     "    heatherdeck submit mesh.yaml --base=1.17 --wait=accepted ...\n",
     run_submit},
    {"show", "[SECTION]", 0, 1, "show the accepted document or one section",
     "With --out the document goes to a file, and its base for a later submission to FILE.base.\n"
     "    heatherdeck show --control=10.0.0.1:7003\n"
     "    heatherdeck show routes.certdesk --control=10.0.0.1:7003\n",
     run_show},
    {"status", "", 0, 0, "show every control host and the version that each node has applied",
     "    heatherdeck status --control=10.0.0.1:7003,10.0.0.2:7003\n", run_status},
    {"watch", "", 0, 0, "print every change of the document and every step of a rollout",
     "Follows one control host and switches to the next one when it fails. Runs until Ctrl-C.\n"
     "    heatherdeck watch --control=10.0.0.1:7003,10.0.0.2:7003 --json\n",
     run_watch},
    {"dump", "[ADMIN]", 0, 1, "show the state of every service of a process",
     "ADMIN is the admin_listen address of any process; without it, the first reachable control host is queried.\n"
     "    heatherdeck dump 127.0.0.1:7002\n",
     run_dump},
    {"members", "ADMIN ACTION HOST", 3, 3, "add, promote or remove a control host",
     "ADMIN is the admin_listen address of the leader. A host with an empty disk is first added as a learner without\n"
     "a vote, and promoted when its log has caught up. Only one change can be in progress.\n"
     "    heatherdeck members 127.0.0.1:9901 add c2\n"
     "    heatherdeck members 127.0.0.1:9901 promote c2\n",
     run_members},
    {"drain", "ADMIN", 1, 1, "begin the graceful stop of a process",
     "ADMIN is the admin_listen address of the process. Requests in flight are completed first.\n"
     "    heatherdeck drain 127.0.0.1:7002\n",
     run_drain},
    {"explain", "ID FILE...", 2, unlimited, "show the log lines of one request from several log files",
     "Prints the log lines with this request id, ordered by time, and marks with '>' the one that decided the "
     "response.\n"
     "    heatherdeck explain 9c41d07be2a35f68 n1.log n2.log\n",
     run_explain},
    {"keygen", "", 0, 0, "create an operator's key pair",
     "Writes the secret key to the file given by --out and prints the lines to add to the control hosts' settings.\n"
     "    heatherdeck keygen --operator=amina --out=amina.key\n",
     run_keygen},
});

}  // namespace

std::span<const command> all_commands() { return commands; }

const command* find_command(std::string_view name) {
  for (const command& one : commands) {
    if (one.name == name) return &one;
  }
  return nullptr;
}

std::string help_text(const command* one) {
  if (one != nullptr) {
    return fmt::format("heatherdeck {} {}\n  {}\n\n{}\nFlags:\n{}", one->name, one->arguments, one->summary, one->help,
                       flags_help());
  }
  std::string text = "heatherdeck COMMAND [ARGUMENT...] [FLAG...]\n\nCommands:\n";
  for (const command& row : commands) {
    text += fmt::format("  {:<8}{:<18}{}\n", row.name, row.arguments, row.summary);
  }
  text += "  help    [COMMAND]         show this text or the help of one command\n\nFlags:\n" + flags_help() +
          "\nExit codes:\n";
  for (const auto& entry : enum_table<exit_code>::entries) {
    text += fmt::format("  {} {}\n", static_cast<int>(entry.value), entry.name);
  }
  return text;
}

}  // namespace heatherdeck

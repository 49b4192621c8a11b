// gflags holds and checks the values; the words are split here because gflags ends the process with code 1 on a wrong
// flag, and 1 means "refused" for scripts.
#include "cli/flags.h"

#include <array>

#include <fmt/format.h>

DEFINE_string(control, "", "control hosts: ip:port,ip:port,... (operator_listen of each)");
DEFINE_bool(json, false, "print one JSON object a line");
DEFINE_string(operator_name, "", "submit: name of the operator, as in the control hosts' settings");
DEFINE_string(key, "", "submit: file with the operator's secret key (see keygen)");
DEFINE_string(base, "", "submit: base file, or base version such as 1.17; default: FILE.base");
DEFINE_string(id, "", "submit: id of the submission; give the same id to send it again after a lost answer");
DEFINE_string(out, "", "show, keygen: file to write");
DEFINE_string(wait, "rollout", "submit: how long to wait: accepted, in_force or rollout");
DEFINE_bool(confirmed, false, "show: only what a quorum has confirmed to be current");
DEFINE_uint32(timeout_s, 30, "time for an answer, and for a change to be in force at all nodes");

namespace heatherdeck {
namespace {

constexpr std::array<const char*, 10> own_flags = {"control", "json", "operator_name", "key",       "base",
                                                   "id",      "out",  "wait",          "confirmed", "timeout_s"};

boost::leaf::error_id wrong_flag(std::string text) {
  return fail(error_kind::usage, std::move(text), "see 'heatherdeck help'");
}

result<void> set_flag(const std::string& name, const std::string& value) {
  if (!gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) return {};
  return wrong_flag("'" + value + "' is no value for --" + name);
}

}  // namespace

result<std::vector<std::string>> parse_flags(const std::vector<std::string>& words) {
  std::vector<std::string> rest;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (!words[i].starts_with("--") || words[i].size() == 2) {
      rest.push_back(words[i]);
      continue;
    }
    const std::size_t equals = words[i].find('=');
    std::string name = words[i].substr(2, equals == std::string::npos ? equals : equals - 2);
    if (name == "operator") name = "operator_name";
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) return wrong_flag("flag --" + name + " is not known");
    if (equals != std::string::npos) {
      BOOST_LEAF_CHECK(set_flag(name, words[i].substr(equals + 1)));
    } else if (info.type == "bool") {
      BOOST_LEAF_CHECK(set_flag(name, "true"));
    } else if (i + 1 < words.size()) {
      BOOST_LEAF_CHECK(set_flag(name, words[++i]));
    } else {
      return wrong_flag("flag --" + name + " has no value");
    }
  }
  return rest;
}

std::string flags_help() {
  std::string text;
  for (const char* name : own_flags) {
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name, &info)) continue;
    const std::string shown = info.name == "operator_name" ? "operator" : info.name;
    text += fmt::format("  --{:<10} {}", shown, info.description);
    if (!info.default_value.empty() && info.type != "bool") text += " (default " + info.default_value + ")";
    text += "\n";
  }
  return text;
}

}  // namespace heatherdeck

// gflags stores and validates the values. The command line is parsed here because gflags exits with code 1 on an
// invalid flag, which for scripts means "refused"; a usage error has exit code 2.
#include "cli/flags.h"

#include <array>

#include <fmt/format.h>

DEFINE_string(control, "", "control hosts: ip:port,ip:port,... (operator_listen of each)");
DEFINE_bool(json, false, "print one JSON object per line");
DEFINE_string(operator_name, "", "submit: name of the operator, as in the control hosts' settings");
DEFINE_string(key, "", "submit: file with the operator's secret key (see keygen)");
DEFINE_string(base, "", "submit: base file, or base version such as 1.17; default: FILE.base");
DEFINE_string(id, "", "submit: id of the submission; use the same id to retry after a lost response");
DEFINE_string(out, "", "show, keygen: file to write");
DEFINE_string(wait, "rollout", "submit: what to wait for: accepted, in_force or rollout");
DEFINE_bool(confirmed, false, "show: only a document that a quorum has confirmed to be current");
DEFINE_uint32(timeout_s, 30, "seconds to wait for a response, and for a change to be in force at all nodes");

namespace heatherdeck {
namespace {

constexpr std::array<const char*, 10> tool_flags = {"control", "json", "operator_name", "key",       "base",
                                                    "id",      "out",  "wait",          "confirmed", "timeout_s"};

boost::leaf::error_id flag_error(std::string text) {
  return fail(error_kind::usage, std::move(text), "run 'heatherdeck help' for a list of flags");
}

result<void> set_flag(const std::string& name, const std::string& value) {
  if (!gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) return {};
  return flag_error("'" + value + "' is not a valid value for --" + name);
}

}  // namespace

result<std::vector<std::string>> parse_flags(const std::vector<std::string>& arguments) {
  std::vector<std::string> positional;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    if (!arguments[i].starts_with("--") || arguments[i].size() == 2) {
      positional.push_back(arguments[i]);
      continue;
    }
    const std::size_t equals = arguments[i].find('=');
    std::string name = arguments[i].substr(2, equals == std::string::npos ? equals : equals - 2);
    if (name == "operator") name = "operator_name";
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) return flag_error("flag --" + name + " does not exist");
    if (equals != std::string::npos) {
      BOOST_LEAF_CHECK(set_flag(name, arguments[i].substr(equals + 1)));
    } else if (info.type == "bool") {
      BOOST_LEAF_CHECK(set_flag(name, "true"));
    } else if (i + 1 < arguments.size()) {
      BOOST_LEAF_CHECK(set_flag(name, arguments[++i]));
    } else {
      return flag_error("flag --" + name + " requires a value");
    }
  }
  return positional;
}

std::string flags_help() {
  std::string text;
  for (const char* name : tool_flags) {
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

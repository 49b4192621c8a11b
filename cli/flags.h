/// @file
/// Flags of `heatherdeck` (gflags) and their parsing. Invalid flags are reported with a remedy and exit code 2.
#pragma once

#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "kernel/result.h"

DECLARE_string(control);
DECLARE_bool(json);
DECLARE_string(operator_name);
DECLARE_string(key);
DECLARE_string(base);
DECLARE_string(id);
DECLARE_string(out);
DECLARE_string(wait);
DECLARE_bool(confirmed);
DECLARE_uint32(timeout_s);

namespace heatherdeck {

/// Sets the flags and returns the positional arguments.
/// @param arguments the command line without the program name.
/// @return the arguments that are not flags, or a `usage` error.
result<std::vector<std::string>> parse_flags(const std::vector<std::string>& arguments);

/// @return one help line for each of the tool's own flags (without those that gflags and glog define).
std::string flags_help();

}  // namespace heatherdeck

/// @file
/// Flags of `heatherdeck` (gflags) and their parsing. Wrong flags are reported with a remedy and exit code 2.
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

/// Sets the flags and returns what is left.
/// @param words the command line without the program's name.
/// @return the words that are no flags, or `usage`.
result<std::vector<std::string>> parse_flags(const std::vector<std::string>& words);

/// @return one line for each of the tool's own flags.
std::string flags_help();

}  // namespace heatherdeck

/// @file
/// Files that the commands read and write; errors name the file and the remedy.
#pragma once

#include <string>

#include "kernel/result.h"

namespace heatherdeck {

/// @return the whole file; `not_found` or `storage` when it cannot be read, `limit` beyond 16 MiB.
result<std::string> read_file(const std::string& path);

/// Writes a file whole: a new file is written and renamed over the old one.
/// @param secret true: only the owner may read it, and an existing file is not replaced.
result<void> write_file(const std::string& path, const std::string& content, bool secret = false);

/// @return true when the file exists.
bool file_exists(const std::string& path);

}  // namespace heatherdeck

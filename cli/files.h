/// @file
/// Reads and writes whole files; errors name the file and the remedy.
#pragma once

#include <string>

#include "kernel/result.h"

namespace heatherdeck {

/// @return the content of the file; `not_found` or `storage` when it cannot be read, `limit` if larger than 16 MiB.
result<std::string> read_file(const std::string& path);

/// Writes a file atomically: a temporary file PATH.new is written, synced and renamed to PATH.
/// @param secret true: the file has mode 0600, and an existing file is not replaced.
result<void> write_file(const std::string& path, const std::string& content, bool secret = false);

/// @return true when the file exists.
bool file_exists(const std::string& path);

}  // namespace heatherdeck

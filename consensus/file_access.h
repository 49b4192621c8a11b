/// @file
/// The file operations that the log store needs, as a small strategy object, so that tests can make them fail.
///
///     posix_files files;
///     BOOST_LEAF_AUTO(file, files.open_append(path));
///     BOOST_LEAF_CHECK(file->write(bytes));
///     BOOST_LEAF_CHECK(file->sync());
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"

namespace heatherdeck {

/// A file open for appending.
class open_file {
 public:
  open_file() = default;
  open_file(const open_file&) = delete;
  open_file& operator=(const open_file&) = delete;
  virtual ~open_file() = default;

  /// Writes all bytes at the end; on an error any part of them may have been written.
  virtual result<void> write(std::string_view bytes) = 0;
  /// Cuts the file to `size` bytes.
  virtual result<void> truncate(std::uint64_t size) = 0;
  /// Returns when content and size are durable.
  virtual result<void> sync() = 0;
};

class file_access {
 public:
  file_access() = default;
  file_access(const file_access&) = delete;
  file_access& operator=(const file_access&) = delete;
  virtual ~file_access() = default;

  /// Creates the folder and its parents when they are missing.
  virtual result<void> make_folder(const std::string& path) = 0;
  /// @return the names of the files in the folder, sorted.
  virtual result<std::vector<std::string>> list(const std::string& folder) = 0;
  virtual result<std::string> read(const std::string& path) = 0;
  /// Opens a file at its end; creates it when it is missing.
  virtual result<std::unique_ptr<open_file>> open_append(const std::string& path) = 0;
  virtual result<void> rename(const std::string& from, const std::string& to) = 0;
  virtual result<void> remove(const std::string& path) = 0;
  /// Makes created, renamed and removed names durable.
  virtual result<void> sync_folder(const std::string& folder) = 0;
  /// Takes the file's lock as long as the handle lives; fails when another process holds it.
  virtual result<std::unique_ptr<open_file>> lock(const std::string& path) = 0;
};

/// The operating system's files.
class posix_files : public file_access {
 public:
  result<void> make_folder(const std::string& path) override;
  result<std::vector<std::string>> list(const std::string& folder) override;
  result<std::string> read(const std::string& path) override;
  result<std::unique_ptr<open_file>> open_append(const std::string& path) override;
  result<void> rename(const std::string& from, const std::string& to) override;
  result<void> remove(const std::string& path) override;
  result<void> sync_folder(const std::string& folder) override;
  result<std::unique_ptr<open_file>> lock(const std::string& path) override;
};

}  // namespace heatherdeck

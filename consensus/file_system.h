/// @file
/// The file operations of the log store as a strategy object, so that tests can inject failures and crashes.
///
///     posix_file_system files;
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

/// A file open for appending. The destructor closes it without a sync.
class writable_file {
 public:
  writable_file() = default;
  writable_file(const writable_file&) = delete;
  writable_file& operator=(const writable_file&) = delete;
  virtual ~writable_file() = default;

  /// Appends all bytes; after an error any prefix of them may have been written.
  virtual result<void> write(std::string_view bytes) = 0;
  /// Shortens the file to `size` bytes.
  virtual result<void> truncate(std::uint64_t size) = 0;
  /// Returns once content and size are durable.
  virtual result<void> sync() = 0;
};

/// All failures are reported as `storage` errors that name the path.
class file_system {
 public:
  file_system() = default;
  file_system(const file_system&) = delete;
  file_system& operator=(const file_system&) = delete;
  virtual ~file_system() = default;

  /// Creates the folder and its parents where they are missing.
  virtual result<void> create_folder(const std::string& path) = 0;
  /// @return the names of the files in the folder, sorted.
  virtual result<std::vector<std::string>> list(const std::string& folder) = 0;
  /// @return the whole content of the file.
  virtual result<std::string> read(const std::string& path) = 0;
  /// Opens a file for appending; creates it when it is missing.
  virtual result<std::unique_ptr<writable_file>> open_append(const std::string& path) = 0;
  /// Replaces `to` atomically when it exists.
  virtual result<void> rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file; a missing file is no error.
  virtual result<void> remove(const std::string& path) = 0;
  /// Returns once the creation, renaming and removal of files in the folder are durable.
  virtual result<void> sync_folder(const std::string& folder) = 0;
  /// Locks the file exclusively until the returned handle is destroyed; fails when another process holds the lock.
  virtual result<std::unique_ptr<writable_file>> lock(const std::string& path) = 0;
};

/// The file system of the operating system.
class posix_file_system : public file_system {
 public:
  result<void> create_folder(const std::string& path) override;
  result<std::vector<std::string>> list(const std::string& folder) override;
  result<std::string> read(const std::string& path) override;
  result<std::unique_ptr<writable_file>> open_append(const std::string& path) override;
  result<void> rename(const std::string& from, const std::string& to) override;
  result<void> remove(const std::string& path) override;
  result<void> sync_folder(const std::string& folder) override;
  result<std::unique_ptr<writable_file>> lock(const std::string& path) override;
};

}  // namespace heatherdeck

// Wrappers of POSIX calls. Invariant: every failed call becomes a `storage` error with the path and the system's error
// text; a write interrupted by a signal (EINTR) is retried. `sync` is fdatasync, which also makes a changed size
// durable.
#include "consensus/file_system.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace heatherdeck {

namespace {

boost::leaf::error_id storage_error(std::string_view operation, const std::string& path, int error_number) {
  const std::string remedy = error_number == ENOSPC || error_number == EDQUOT
                                 ? "free space on the disk of the data folder, then start the process again"
                                 : "check the disk, the folder's permissions and the setting data_folder";
  return fail(
      error_kind::storage,
      "cannot " + std::string(operation) + ": " + std::error_code(error_number, std::generic_category()).message(),
      remedy, path);
}

class posix_file : public writable_file {
 public:
  posix_file(int descriptor, std::string path) : descriptor_(descriptor), path_(std::move(path)) {}
  ~posix_file() override { ::close(descriptor_); }

  result<void> write(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) return storage_error("write", path_, errno);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
  }

  result<void> truncate(std::uint64_t size) override {
    if (::ftruncate(descriptor_, static_cast<off_t>(size)) != 0) return storage_error("truncate", path_, errno);
    return {};
  }

  result<void> sync() override {
    // Not retried: after a failed sync the kernel may have dropped the dirty pages, and a second call could succeed
    // although the data is lost.
    if (::fdatasync(descriptor_) != 0) return storage_error("sync", path_, errno);
    return {};
  }

  result<void> acquire_lock() {
    if (::flock(descriptor_, LOCK_EX | LOCK_NB) == 0) return {};
    if (errno != EWOULDBLOCK) return storage_error("lock", path_, errno);
    return fail(error_kind::storage, "another process has locked this data folder",
                "stop the other process or set another data_folder", path_);
  }

 private:
  int descriptor_;
  std::string path_;
};

result<std::unique_ptr<posix_file>> open_descriptor(const std::string& path, int flags) {
  const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, 0640);
  if (descriptor < 0) return storage_error("open", path, errno);
  return std::make_unique<posix_file>(descriptor, path);
}

}  // namespace

result<void> posix_file_system::create_folder(const std::string& path) {
  std::error_code ec;
  std::filesystem::create_directories(path, ec);
  if (ec) return storage_error("create the folder", path, ec.value());
  return {};
}

result<std::vector<std::string>> posix_file_system::list(const std::string& folder) {
  std::error_code ec;
  std::vector<std::string> names;
  std::filesystem::directory_iterator at(folder, ec);
  for (const std::filesystem::directory_iterator end; !ec && at != end; at.increment(ec)) {
    names.push_back(at->path().filename().string());
  }
  if (ec) return storage_error("list the folder", folder, ec.value());
  std::sort(names.begin(), names.end());
  return names;
}

result<std::string> posix_file_system::read(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return storage_error("open", path, errno);
  std::string bytes{std::istreambuf_iterator<char>(in), {}};
  if (in.bad()) return storage_error("read", path, EIO);
  return bytes;
}

result<std::unique_ptr<writable_file>> posix_file_system::open_append(const std::string& path) {
  BOOST_LEAF_AUTO(file, open_descriptor(path, O_WRONLY | O_CREAT | O_APPEND));
  return std::unique_ptr<writable_file>(std::move(file));
}

result<void> posix_file_system::rename(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) return storage_error("rename", from, errno);
  return {};
}

result<void> posix_file_system::remove(const std::string& path) {
  if (::unlink(path.c_str()) != 0 && errno != ENOENT) return storage_error("remove", path, errno);
  return {};
}

result<void> posix_file_system::sync_folder(const std::string& folder) {
  const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return storage_error("open the folder", folder, errno);
  const int synced = ::fsync(descriptor);
  const int error_number = errno;
  ::close(descriptor);
  if (synced != 0) return storage_error("sync the folder", folder, error_number);
  return {};
}

result<std::unique_ptr<writable_file>> posix_file_system::lock(const std::string& path) {
  BOOST_LEAF_AUTO(file, open_descriptor(path, O_WRONLY | O_CREAT));
  BOOST_LEAF_CHECK(file->acquire_lock());
  return std::unique_ptr<writable_file>(std::move(file));
}

}  // namespace heatherdeck

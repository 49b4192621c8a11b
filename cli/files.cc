// Invariant: a file is replaced atomically, so an interrupted command leaves the old content intact. Cost: one fsync
// for each file that is written.
#include "cli/files.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace heatherdeck {
namespace {

constexpr std::uintmax_t max_file_bytes = std::uintmax_t{16} * 1024 * 1024;

boost::leaf::error_id system_error(const char* what, const std::string& path) {
  return fail(error_kind::storage, std::string("cannot ") + what + " the file: " + std::strerror(errno),
              "check the path and the file's permissions", path);
}

result<void> write_all(int file, const std::string& content, const std::string& path) {
  std::size_t done = 0;
  while (done < content.size()) {
    const ssize_t written = ::write(file, content.data() + done, content.size() - done);
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return system_error("write", path);
    done += static_cast<std::size_t>(written);
  }
  if (::fsync(file) != 0) return system_error("sync", path);
  return {};
}

}  // namespace

bool file_exists(const std::string& path) {
  std::error_code ec;
  return std::filesystem::exists(path, ec);
}

result<std::string> read_file(const std::string& path) {
  std::error_code ec;
  const auto size = std::filesystem::file_size(path, ec);
  if (ec) {
    return fail(error_kind::not_found, "the file cannot be read: " + ec.message(), "check the path", path);
  }
  if (size > max_file_bytes) {
    return fail(error_kind::limit, "the file is too large: " + std::to_string(size) + " bytes",
                "use a file of at most 16 MiB", path);
  }
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file) return system_error("read", path);
  return content.str();
}

result<void> write_file(const std::string& path, const std::string& content, bool secret) {
  if (secret && file_exists(path)) {
    return fail(error_kind::storage, "the file exists already; a secret key is not overwritten",
                "choose another file name", path);
  }
  const std::string temporary = path + ".new";
  const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, secret ? 0600 : 0644);
  if (file < 0) return system_error("create", temporary);
  const auto written = capture([&] { return write_all(file, content, temporary); });
  ::close(file);
  if (!written) return fail(written.failure());
  if (::rename(temporary.c_str(), path.c_str()) != 0) return system_error("rename", path);
  return {};
}

}  // namespace heatherdeck

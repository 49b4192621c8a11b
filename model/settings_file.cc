// Reads the settings file and the key file that it names. Everything else about settings is in settings.cc, which does
// no I/O. Invariant: settings are returned only with a mesh key of min_key_bytes to max_key_bytes. Cost: two file reads
// at process start.
#include <filesystem>
#include <fstream>
#include <sstream>

#include "model/settings.h"

namespace heatherdeck {
namespace {

constexpr std::size_t min_key_bytes = 16;
constexpr std::size_t max_key_bytes = 4096;

result<std::string> read_file(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return fail(error_kind::bad_settings, "the file cannot be read", "check its path and permissions", path.string());
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

result<void> check_key(const std::string& key, const std::string& where) {
  if (key.size() >= min_key_bytes && key.size() <= max_key_bytes) return {};
  return fail(error_kind::bad_settings, "the mesh key must have 16 to 4096 bytes",
              "create one with: head -c 32 /dev/urandom | base64", where);
}

}  // namespace

result<settings> load_settings(const std::string& path) {
  BOOST_LEAF_AUTO(text, read_file(path));
  BOOST_LEAF_AUTO(s, parse_settings(text, path));
  if (!s.mesh_key.empty()) {
    BOOST_LEAF_CHECK(check_key(s.mesh_key, path));
    return s;
  }
  const std::filesystem::path key_path = std::filesystem::path(path).parent_path() / s.mesh_key_file;
  BOOST_LEAF_AUTO(key, read_file(key_path));
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) key.pop_back();
  BOOST_LEAF_CHECK(check_key(key, key_path.string()));
  s.mesh_key = std::move(key);
  return s;
}

}  // namespace heatherdeck

/// @file
/// Writes log lines to a file descriptor without ever waiting for its reader.
///
///     line_output out(STDOUT_FILENO);
///     out.write(R"({"event":"started"})");
///     if (const std::uint64_t lost = out.take_dropped()) ...    // lines that had no room
///
/// What a slow reader has not taken waits in a buffer of `most_pending` bytes and leaves with a later line; further
/// lines are dropped and counted. Not thread-safe: glog calls its sinks one at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeck {

class line_output {
 public:
  /// Some 1,000 lines; a reader that is behind by more is taken to have stopped.
  static constexpr std::size_t most_pending = std::size_t{256} * 1024;

  /// @param fd stays open for the life of this object; its flags are left as they are.
  explicit line_output(int fd) : fd_(fd) {}

  /// Writes the line and a line feed as far as the reader has room.
  void write(std::string_view line);

  /// Writes what is pending, as far as the reader has room.
  void flush();

  /// @return lines dropped since the last call, once there is room for a line that tells of them; else 0.
  std::uint64_t take_dropped();

  std::size_t pending() const { return pending_.size(); }

 private:
  bool writable() const;

  int fd_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

}  // namespace heatherdeck

/// @file
/// Writes log lines to a file descriptor without blocking when its reader is slow.
///
///     line_output out(STDOUT_FILENO);
///     out.write(R"({"event":"started"})");
///     if (const std::uint64_t lost = out.take_dropped()) ...    // lines dropped because the buffer was full
///
/// Output that the descriptor does not accept yet stays in a buffer of `max_pending_bytes` and is written with a later
/// line; when the buffer is full, lines are dropped and counted. The log sink (log.cc) is the only user. Not
/// thread-safe, which suffices because glog calls its sinks one at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeck {

class line_output {
 public:
  /// Holds about 1,000 lines; a reader that is further behind is assumed to have stopped reading.
  static constexpr std::size_t max_pending_bytes = std::size_t{256} * 1024;

  /// @param fd must stay open as long as this object lives; its flags are not changed.
  explicit line_output(int fd) : fd_(fd) {}

  /// Appends the line and a line feed to the buffer and writes what the descriptor accepts without blocking.
  void write(std::string_view line);

  /// Writes as much of the buffer as the descriptor accepts without blocking.
  void flush();

  /// Returns and resets the number of dropped lines. While more than half of the buffer is in use it returns 0 and
  /// keeps the count, so that there is room for the line that reports it.
  /// @return the number of lines dropped since the count was last returned.
  std::uint64_t take_dropped();

  /// @return the number of buffered bytes.
  std::size_t pending_bytes() const { return pending_.size(); }

 private:
  /// @return true when a write of PIPE_BUF bytes does not block.
  bool is_writable() const;

  int fd_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

}  // namespace heatherdeck

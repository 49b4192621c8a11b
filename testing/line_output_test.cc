// Tests of line_output with a log reader that is slow, has stopped reading or has closed the pipe. A blocking write to
// the log would stop every task of the process.
#include "kernel/line_output.h"

#include <array>
#include <csignal>
#include <string>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace heatherdeck {
namespace {

struct pipe_ends {
  std::array<int, 2> fds{};
  pipe_ends() { EXPECT_EQ(::pipe(fds.data()), 0); }
  ~pipe_ends() {
    for (const int fd : fds) ::close(fd);
  }
  // Reads all bytes that are in the pipe now, without blocking.
  std::string read_all() {
    ::fcntl(fds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    for (ssize_t n = 0; (n = ::read(fds[0], buffer.data(), buffer.size())) > 0;) text.append(buffer.data(), n);
    return text;
  }
};

std::string line(int i) { return R"({"event":"request_refused","n":)" + std::to_string(i) + "}"; }

TEST(line_output, lines_are_written_at_once_and_in_order) {
  pipe_ends ends;
  line_output out(ends.fds[1]);
  out.write(line(1));
  out.write(line(2));
  EXPECT_EQ(ends.read_all(), line(1) + "\n" + line(2) + "\n");
  EXPECT_EQ(out.pending_bytes(), 0U);
}

TEST(line_output, stopped_reader_loses_lines_and_never_blocks_the_writer) {
  pipe_ends ends;
  line_output out(ends.fds[1]);
  constexpr int lines = 50'000;
  for (int i = 0; i < lines; ++i) out.write(line(i));
  EXPECT_LE(out.pending_bytes(), line_output::max_pending_bytes);
  EXPECT_EQ(out.take_dropped(), 0U) << "the buffer has no room yet for the line that reports the drops";
  std::string text;
  while (out.pending_bytes() > 0) {
    text += ends.read_all();
    out.flush();
  }
  text += ends.read_all();
  int kept = 0;
  for (std::size_t at = 0; at < text.size(); ++kept) {
    const std::size_t end = text.find('\n', at);
    ASSERT_NE(end, std::string::npos) << "a line is truncated";
    ASSERT_EQ(text.substr(at, end - at), line(kept)) << "lines must be whole and in order";
    at = end + 1;
  }
  EXPECT_EQ(out.take_dropped(), static_cast<std::uint64_t>(lines - kept));
  EXPECT_EQ(out.take_dropped(), 0U);
}

TEST(line_output, failing_writes_are_buffered_and_no_error) {
  ::signal(SIGPIPE, SIG_IGN);
  line_output out(-1);
  for (int i = 0; i < 10; ++i) out.write(line(i));
  EXPECT_GT(out.pending_bytes(), 0U);
}

}  // namespace
}  // namespace heatherdeck

// Guards the process against a log reader that stops reading: a blocking write would stop every task.
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
  // Everything that is in the pipe now.
  std::string read_all() {
    ::fcntl(fds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> piece{};
    for (ssize_t n = 0; (n = ::read(fds[0], piece.data(), piece.size())) > 0;) text.append(piece.data(), n);
    return text;
  }
};

std::string line(int i) { return R"({"event":"request_refused","n":)" + std::to_string(i) + "}"; }

TEST(line_output, lines_leave_at_once_and_in_order) {
  pipe_ends ends;
  line_output out(ends.fds[1]);
  out.write(line(1));
  out.write(line(2));
  EXPECT_EQ(ends.read_all(), line(1) + "\n" + line(2) + "\n");
  EXPECT_EQ(out.pending(), 0U);
}

TEST(line_output, reader_that_stops_costs_lines_and_never_blocks) {
  pipe_ends ends;
  line_output out(ends.fds[1]);
  constexpr int lines = 50'000;
  for (int i = 0; i < lines; ++i) out.write(line(i));
  EXPECT_LE(out.pending(), line_output::most_pending);
  EXPECT_EQ(out.take_dropped(), 0U) << "there is no room yet for a line that tells of them";
  std::string text;
  while (out.pending() > 0) {
    text += ends.read_all();
    out.flush();
  }
  text += ends.read_all();
  int kept = 0;
  for (std::size_t at = 0; at < text.size(); ++kept) {
    const std::size_t end = text.find('\n', at);
    ASSERT_NE(end, std::string::npos) << "a line is cut";
    ASSERT_EQ(text.substr(at, end - at), line(kept)) << "lines must be whole and in order";
    at = end + 1;
  }
  EXPECT_EQ(out.take_dropped(), static_cast<std::uint64_t>(lines - kept));
  EXPECT_EQ(out.take_dropped(), 0U);
}

TEST(line_output, reader_that_has_gone_is_no_error) {
  ::signal(SIGPIPE, SIG_IGN);
  line_output out(-1);
  for (int i = 0; i < 10; ++i) out.write(line(i));
  EXPECT_GT(out.pending(), 0U);
}

}  // namespace
}  // namespace heatherdeck

// `poll` reports a pipe as writable when PIPE_BUF bytes fit, so a write of at most that many cannot block, and the
// flags of the descriptor, which other processes may share, need no change. Invariant: pending_ never exceeds
// most_pending; lines are written whole and in order, or not at all. Cost: two system calls for a line.
#include "kernel/line_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace heatherdeck {

bool line_output::writable() const {
  pollfd one{fd_, POLLOUT, 0};
  return ::poll(&one, 1, 0) == 1 && (one.revents & POLLOUT) != 0;
}

void line_output::write(std::string_view line) {
  if (pending_.size() + line.size() + 1 > most_pending) flush();
  if (pending_.size() + line.size() + 1 > most_pending) {
    ++dropped_;
    return;
  }
  pending_ += line;
  pending_ += '\n';
  flush();
}

void line_output::flush() {
  std::size_t done = 0;
  while (done < pending_.size() && writable()) {
    const std::size_t size = std::min<std::size_t>(pending_.size() - done, PIPE_BUF);
    const ssize_t written = ::write(fd_, pending_.data() + done, size);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) break;  // the reader has gone; what no longer fits is counted as dropped
    done += static_cast<std::size_t>(written);
  }
  pending_.erase(0, done);
}

std::uint64_t line_output::take_dropped() {
  if (pending_.size() > most_pending / 2) return 0;
  const std::uint64_t dropped = dropped_;
  dropped_ = 0;
  return dropped;
}

}  // namespace heatherdeck

// `poll` reports a pipe as writable when PIPE_BUF bytes fit, so a write of at most that many bytes cannot block. Hence
// O_NONBLOCK, a flag that other processes with the same open file would see too, is not needed. Invariant: pending_
// never exceeds max_pending_bytes; lines are written whole and in order, or not at all. Cost: two system calls per
// line.
#include "kernel/line_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace heatherdeck {

bool line_output::is_writable() const {
  pollfd entry{fd_, POLLOUT, 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

void line_output::write(std::string_view line) {
  if (pending_.size() + line.size() + 1 > max_pending_bytes) flush();
  if (pending_.size() + line.size() + 1 > max_pending_bytes) {
    ++dropped_;
    return;
  }
  pending_ += line;
  pending_ += '\n';
  flush();
}

void line_output::flush() {
  std::size_t done = 0;
  while (done < pending_.size() && is_writable()) {
    const std::size_t size = std::min<std::size_t>(pending_.size() - done, PIPE_BUF);
    const ssize_t written = ::write(fd_, pending_.data() + done, size);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) break;  // the reader has closed the pipe; the buffer fills up and later lines are dropped
    done += static_cast<std::size_t>(written);
  }
  pending_.erase(0, done);
}

std::uint64_t line_output::take_dropped() {
  if (pending_.size() > max_pending_bytes / 2) return 0;
  const std::uint64_t dropped = dropped_;
  dropped_ = 0;
  return dropped;
}

}  // namespace heatherdeck

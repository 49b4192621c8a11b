/// @file
/// When the bytes of a connection's read buffer arrived, so that the deadline of a pipelined request counts from the
/// time at which it was read, not from the time at which it was taken from the buffer.
///
///     arrivals.resize(buffer.size(), now);       // after each read, and after data was taken from the front
///     auto read_at = arrivals.of(head_size - 1);  // of the byte at this offset
///
/// Performs no I/O. Cost: one entry for each read whose data is still buffered; none while the buffer is empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "kernel/timer_service.h"

namespace heatherdeck {

class arrival_times {
 public:
  /// Adapts to the buffer's size: what was added has arrived now, what is missing was taken from the front.
  void resize(std::size_t buffered, time_point now) {
    while (total_ > buffered) {
      part& first = parts_.front();
      const std::size_t taken = std::min(first.size, total_ - buffered);
      first.size -= taken;
      total_ -= taken;
      if (first.size == 0) parts_.erase(parts_.begin());
    }
    if (total_ == buffered) return;
    parts_.push_back({buffered - total_, now});
    total_ = buffered;
  }

  /// @param offset below the buffer's size.
  time_point of(std::size_t offset) const {
    std::size_t end = 0;
    for (const part& p : parts_) {
      end += p.size;
      if (offset < end) return p.at;
    }
    return parts_.back().at;
  }

 private:
  struct part {
    std::size_t size = 0;
    time_point at;
  };

  std::vector<part> parts_;
  std::size_t total_ = 0;
};

}  // namespace heatherdeck

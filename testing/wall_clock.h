/// @file
/// The wall clock, for comparing what a test sees with the times of log lines.
#pragma once

#include <chrono>

namespace heatherdeck {

/// @return the time since the Unix epoch, as in logs.
inline std::chrono::milliseconds wall_clock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace heatherdeck

/// @file
/// Exit codes of `heatherdeck`. Scripts depend on the numbers; the names are shown in the help.
#pragma once

#include "kernel/enum_names.h"
#include "kernel/error.h"

namespace heatherdeck {

enum class exit_code {
  done = 0,
  failed = 1,
  usage = 2,
  conflict = 3,
  unknown_outcome = 4,
  unreachable = 5,
  rolled_back = 6
};

template <>
struct enum_table<exit_code> {
  static constexpr auto entries = std::to_array<enum_entry<exit_code>>({
      {exit_code::done, "done"},
      {exit_code::failed, "failed or refused"},
      {exit_code::usage, "usage error"},
      {exit_code::conflict, "conflict: the base revision is not current"},
      {exit_code::unknown_outcome, "unknown outcome: submit again with the same id"},
      {exit_code::unreachable, "no control host could be reached"},
      {exit_code::rolled_back, "the rollout was rolled back"},
  });
};

/// @return the exit code for an error of this kind.
exit_code exit_code_of(error_kind kind);

}  // namespace heatherdeck

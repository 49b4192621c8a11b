/// @file
/// The codec of wire/codec.h as the strategy that `raft_core` and `log_store` take.
///
///     raft_config config{.codec = wire_entry_codec()};
#pragma once

#include "consensus/raft_types.h"

namespace heatherdeck {

/// @return functions that use Protocol Buffers.
entry_codec wire_entry_codec();

}  // namespace heatherdeck

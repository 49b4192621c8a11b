/// @file
/// The codec of wire/codec.h as the strategy object that `raft_core` and `log_store` use.
///
///     raft_config config{.codec = wire_entry_codec()};
#pragma once

#include "consensus/raft_types.h"

namespace heatherdeck {

/// @return functions that encode entries and memberships with Protocol Buffers.
entry_codec wire_entry_codec();

}  // namespace heatherdeck

/// @file
/// The replicated state as bytes, for snapshot files and for control hosts that have fallen behind.
///
///     std::string bytes = encode_image(state.content());
///     BOOST_LEAF_AUTO(content, decode_image(bytes));
///
/// Equal states give equal bytes. The consensus service stores and sends the bytes; it does not look into them.
#pragma once

#include <string>
#include <string_view>

#include "control/ledger.h"
#include "kernel/result.h"

namespace heatherdeck {

std::string encode_image(const ledger_content& content);

/// @return the content, or `corrupt` for anything that encode_image does not produce.
result<ledger_content> decode_image(std::string_view bytes);

}  // namespace heatherdeck

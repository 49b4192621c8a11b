/// @file
/// Serializes the replicated state to an image, for snapshot files and for control hosts that have fallen behind in the
/// log.
///
///     std::string bytes = encode_image(state.content());
///     BOOST_LEAF_AUTO(content, decode_image(bytes));
///
/// Equal states give equal bytes. Called by the ledger service; the consensus service stores and sends the bytes
/// without interpreting them.
#pragma once

#include <string>
#include <string_view>

#include "control/ledger.h"
#include "kernel/result.h"

namespace heatherdeck {

/// @return the bytes of the image.
std::string encode_image(const ledger_content& content);

/// @return the content, or `corrupt` for anything that encode_image does not produce.
result<ledger_content> decode_image(std::string_view bytes);

}  // namespace heatherdeck

/// @file
/// Which status codes a response may have, for every reader of responses, over HTTP/1.1 and HTTP/2.
#pragma once

#include <cstdint>

namespace heatherdeck {

/// Maximum number of interim responses (1xx) before the final one; more are a defect of the sender.
inline constexpr int max_interim_responses = 8;

/// @return true if the status is one of a final response (200 to 599). Outside of it, a code has no meaning in HTTP.
constexpr bool is_final_status(std::uint64_t status) { return status >= 200 && status <= 599; }

/// @return true if the status is one of an interim response that may precede a final one. 101 changes the protocol,
///   which no request of ours asks for.
constexpr bool is_interim_status(std::uint64_t status) { return status >= 100 && status <= 199 && status != 101; }

}  // namespace heatherdeck

/// @file
/// The task of one subscription at a control host. It owns the stream: it decodes what the node sends and posts it to
/// the publisher, and writes the frames that the publisher posts to it.
///
///     spawn_subscription_task(k, id, std::move(incoming), publisher_address);
///
/// The publisher ends a subscription by posting a null frame; the node ends it by closing the stream.
#pragma once

#include <cstdint>

#include "kernel/kernel.h"
#include "model/publisher_messages.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

/// @param id given by the publisher, unique for its lifetime.
void spawn_subscription_task(kernel& k, std::uint64_t id, incoming_stream incoming,
                             address<publisher_message> publisher);

}  // namespace heatherdeck

/// @file
/// The task of one subscription on a control host. It owns the stream: it decodes the messages of the node and posts
/// them to the publisher service, and writes the frames that the publisher service posts to it.
///
///     spawn_subscription_task(k, id, std::move(incoming), publisher_address);
///
/// The publisher service ends a subscription by posting a null frame, which waits behind the frames before it, or
/// reset_subscription, which doesn't; the node ends it by closing the stream.
#pragma once

#include <cstdint>

#include "kernel/kernel.h"
#include "model/publisher_messages.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

/// Spawns the task.
/// @param id of the subscription, assigned by the publisher service and not reused while its process runs.
/// @param publisher gets subscription_opened, subscription_message and subscription_closed.
void spawn_subscription_task(kernel& k, std::uint64_t id, incoming_stream incoming,
                             address<publisher_message> publisher);

}  // namespace heatherdeck

// Three coroutines share one stream: one only reads, one only writes, one resets it when the publisher asks. When the
// reader ends, it closes the mailboxes of the others, which ends them. Invariant: every `subscription_opened` is
// followed by one `subscription_closed`. Cost: three coroutine frames and two small mailboxes per node.
#include "control/subscription_task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "wire/codec.h"

namespace heatherdeck {
namespace {

// Holds one unanswered offer, a few keep-alives and answers to requests for permits; a node that needs more reads too
// slowly.
constexpr std::size_t outgoing_capacity = 8;
constexpr std::uint32_t h2_cancel = 8;

struct subscription_state {
  subscription_state(kernel& k, std::uint64_t number, incoming_stream from, address<publisher_message> to)
      : id(number),
        incoming(std::move(from)),
        publisher(std::move(to)),
        outgoing(k.executor(), outgoing_capacity),
        resets(k.executor(), 1) {}

  std::uint64_t id;
  incoming_stream incoming;
  address<publisher_message> publisher;
  mailbox<shared_frame> outgoing;
  mailbox<reset_subscription> resets;
};

using state_ptr = std::shared_ptr<subscription_state>;

awaitable<outcome<node_message>> read_message(state_ptr s) {
  outcome<std::string> frame = co_await s->incoming.stream->read_frame();
  if (!frame) co_return frame.failure();
  co_return capture([&] { return decode<node_message>(*frame); });
}

awaitable<void> write_frames(state_ptr s) {
  for (;;) {
    outcome<shared_frame> frame = co_await s->outgoing.receive();
    if (!frame || *frame == nullptr) break;
    std::string bytes = **frame;
    const outcome<void> written = co_await s->incoming.stream->write_frame(std::move(bytes));
    if (!written) break;
  }
  (void)co_await s->incoming.stream->write(std::string(), true);
}

awaitable<void> reset_on_request(state_ptr s) {
  const auto requested = co_await s->resets.receive();
  if (requested) s->incoming.stream->reset(h2_cancel);
}

awaitable<void> read_messages(kernel& k, state_ptr s) {
  header_list headers{{":status", "200"}};
  (void)co_await s->incoming.stream->send_headers(std::move(headers), false);
  outcome<node_message> first = co_await read_message(s);
  // A node that tries several hosts at a time uses the first to respond and cancels the others.
  if (!first && first.failure().kind == error_kind::closed) {
    log_event(log_level::info, "subscription_cancelled", {{"node", s->incoming.peer_id}});
    co_return;
  }
  const auto* request = first ? std::get_if<subscribe_request>(&*first) : nullptr;
  if (request == nullptr || request->node_id != s->incoming.peer_id) {
    log_error("subscription_refused",
              first
                  ? error{error_kind::bad_message, "the first message is not a subscribe request of the connected node",
                          "check that both sides run compatible releases", s->incoming.peer_id}
                  : first.failure());
    s->incoming.stream->reset(h2_cancel);
    co_return;
  }
  subscription_opened opened{s->id, *request, s->outgoing.address(), s->resets.address()};
  (void)co_await s->publisher.send(std::move(opened));
  boost::asio::co_spawn(k.executor(), write_frames(s), boost::asio::detached);
  boost::asio::co_spawn(k.executor(), reset_on_request(s), boost::asio::detached);
  for (;;) {
    outcome<node_message> message = co_await read_message(s);
    if (!message) {
      if (message.failure().kind == error_kind::bad_message) log_error("bad_frame", message.failure());
      break;
    }
    subscription_message forwarded{s->id, std::move(*message)};
    (void)co_await s->publisher.send(std::move(forwarded));
  }
  s->outgoing.close();
  s->resets.close();
  subscription_closed closed{s->id};
  (void)co_await s->publisher.send(std::move(closed));
}

}  // namespace

void spawn_subscription_task(kernel& k, std::uint64_t id, incoming_stream incoming,
                             address<publisher_message> publisher) {
  auto s = std::make_shared<subscription_state>(k, id, std::move(incoming), std::move(publisher));
  boost::asio::co_spawn(k.executor(), read_messages(k, std::move(s)), boost::asio::detached);
}

}  // namespace heatherdeck

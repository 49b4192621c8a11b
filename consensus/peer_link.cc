// The task takes one message at a time, connects when it has no stream, and writes. Invariant: at most one frame is
// being written, and while a reconnect is being waited for all messages are dropped, so a peer that returns gets fresh
// messages only. A write that does not finish in time resets the stream. Cost: one timer subscription per message.
#include "consensus/peer_link.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "wire/codec.h"

namespace heatherdeck {

namespace {
using namespace std::chrono_literals;

constexpr std::size_t queue_length = 256;
// With an attempt of up to 300 ms a link that is down is tried again within the shortest election time-out of 600 ms.
constexpr milliseconds least_backoff = 25ms;
constexpr milliseconds most_backoff = 200ms;
constexpr milliseconds open_limit = 1000ms;
// Longer than the transfer of the largest frame (8 MiB) over a region link.
constexpr milliseconds write_limit = 3000ms;
constexpr std::uint32_t h2_cancel = 8;

struct retry {};
struct restart {};
using link_message = std::variant<raft_message, retry, restart>;
}  // namespace

struct peer_link::task : std::enable_shared_from_this<peer_link::task> {
  task(target to, timer_service& timer, executor_type ex, address<mesh_message> via)
      : peer(std::move(to)), timers(timer), executor(ex), mesh(std::move(via)), inbox(ex, queue_length) {}

  awaitable<void> run() {
    const auto self = shared_from_this();
    for (;;) {
      auto received = co_await inbox.receive();
      if (!received) break;
      if (std::holds_alternative<retry>(*received)) {
        waiting = false;
      } else if (std::holds_alternative<restart>(*received)) {
        if (stream) pause("peer_silent");
      } else if (waiting) {
        ++count.dropped;
      } else {
        raft_message message = std::get<raft_message>(std::move(*received));
        co_await deliver(std::move(message));
      }
    }
    stream.reset();
  }

  awaitable<void> deliver(raft_message message) {
    if (!stream) {
      auto make = [address = peer.mesh_address](reply<std::shared_ptr<h2_stream>> answer) {
        return open_stream{address, stream_kind::raft, {}, false, std::move(answer)};
      };
      auto opened = co_await ask<std::shared_ptr<h2_stream>>(timers, executor, mesh, open_limit, make);
      if (!opened || !*opened) {
        ++count.dropped;
        pause("peer_unreachable");
        co_return;
      }
      stream = std::move(*opened);
      ++count.connects;
      count.connected = true;
    }
    std::string frame = encode(message);
    const std::size_t bytes = frame.size();
    const auto writing = stream;
    const subscription limit = timers.after(write_limit, [writing] { writing->reset(h2_cancel); });
    auto written = co_await writing->write_frame(std::move(frame));
    if (!written) {
      ++count.dropped;
      pause("peer_stream_failed");
      co_return;
    }
    ++count.sent;
    count.bytes += bytes;
    backoff = least_backoff;
  }

  // Full jitter: peers that lost the same host do not return at the same moment.
  void pause(const char* event) {
    if (stream) {
      stream.reset();
      mesh.post(forget_peer{peer.mesh_address});
    }
    count.connected = false;
    log_event(log_level::debug, event, {{"peer", peer.host_id}, {"address", peer.mesh_address}});
    waiting = true;
    const auto drawn = milliseconds(1 + random() % static_cast<std::uint64_t>(backoff.count()));
    backoff = std::min(2 * backoff, most_backoff);
    again = timers.after(drawn, [to = inbox.address()] { to.post(retry{}); });
  }

  target peer;
  timer_service& timers;
  executor_type executor;
  address<mesh_message> mesh;
  mailbox<link_message> inbox;
  std::shared_ptr<h2_stream> stream;
  std::mt19937_64 random{peer.seed};
  milliseconds backoff = least_backoff;
  subscription again;
  bool waiting = false;
  counters count;
};

peer_link::peer_link(target peer, timer_service& timers, executor_type executor, address<mesh_message> mesh)
    : address_(peer.mesh_address), task_(std::make_shared<task>(std::move(peer), timers, executor, std::move(mesh))) {
  boost::asio::co_spawn(
      executor, [t = task_]() -> awaitable<void> { co_await t->run(); }, boost::asio::detached);
}

peer_link::~peer_link() {
  task_->again.cancel();
  task_->inbox.close();
}

void peer_link::post(raft_message message) {
  if (!task_->inbox.address().post(std::move(message))) ++task_->count.dropped;
}

void peer_link::reconnect() { task_->inbox.address().post(restart{}); }

peer_link::counters peer_link::numbers() const { return task_->count; }

}  // namespace heatherdeck

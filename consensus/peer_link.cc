// The task handles one message at a time: it opens a stream when it has none, then writes the message. Invariant: at
// most one frame is being written, and during a backoff all messages are dropped, so a peer that returns receives no
// stale messages. A write that exceeds its timeout resets the stream. Cost: one timer subscription per message.
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

constexpr std::size_t queue_capacity = 256;
// With up to 300 ms per attempt, a link that is down is retried within the shortest election timeout of 600 ms.
constexpr milliseconds min_backoff = 25ms;
constexpr milliseconds max_backoff = 200ms;
constexpr milliseconds open_timeout = 1000ms;
// Longer than the transfer of the largest frame (8 MiB) between regions takes.
constexpr milliseconds write_timeout = 3000ms;
constexpr std::uint32_t h2_cancel = 8;  // error code CANCEL of RFC 9113

struct backoff_expired {};
struct reconnect_requested {};
using link_message = std::variant<raft_message, backoff_expired, reconnect_requested>;
}  // namespace

struct peer_link::task : std::enable_shared_from_this<peer_link::task> {
  task(target to, timer_service& timer, executor_type ex, address<mesh_message> via)
      : peer(std::move(to)), timers(timer), executor(ex), mesh(std::move(via)), inbox(ex, queue_capacity) {}

  awaitable<void> run() {
    const auto self = shared_from_this();
    for (;;) {
      auto received = co_await inbox.receive();
      if (!received) break;
      if (std::holds_alternative<backoff_expired>(*received)) {
        backing_off = false;
      } else if (std::holds_alternative<reconnect_requested>(*received)) {
        if (stream) back_off("peer_silent");
      } else if (backing_off) {
        ++totals.dropped;
      } else {
        raft_message message = std::get<raft_message>(std::move(*received));
        co_await write_message(std::move(message));
      }
    }
    stream.reset();
  }

  awaitable<void> write_message(raft_message message) {
    if (!stream) {
      auto make = [address = peer.mesh_address](reply<std::shared_ptr<h2_stream>> answer) {
        return open_stream{address, stream_kind::raft, {}, false, std::move(answer)};
      };
      auto opened = co_await ask<std::shared_ptr<h2_stream>>(timers, executor, mesh, open_timeout, make);
      if (!opened || !*opened) {
        ++totals.dropped;
        back_off("peer_unreachable");
        co_return;
      }
      stream = std::move(*opened);
      ++totals.connects;
      totals.connected = true;
    }
    std::string frame = encode(message);
    const std::size_t bytes = frame.size();
    const auto writing = stream;
    const subscription write_timer = timers.after(write_timeout, [writing] { writing->reset(h2_cancel); });
    auto written = co_await writing->write_frame(std::move(frame));
    if (!written) {
      ++totals.dropped;
      back_off("peer_stream_failed");
      co_return;
    }
    ++totals.sent;
    totals.bytes += bytes;
    backoff = min_backoff;
  }

  // Drops the stream and waits before the next attempt. Full jitter, so that the peers of a failed host do not all
  // reconnect at the same time.
  void back_off(const char* event) {
    if (stream) {
      stream.reset();
      mesh.post(close_connections{peer.mesh_address});
    }
    totals.connected = false;
    log_event(log_level::debug, event, {{"peer", peer.host_id}, {"address", peer.mesh_address}});
    backing_off = true;
    const auto delay = milliseconds(1 + random() % static_cast<std::uint64_t>(backoff.count()));
    backoff = std::min(2 * backoff, max_backoff);
    retry_timer = timers.after(delay, [to = inbox.address()] { to.post(backoff_expired{}); });
  }

  target peer;
  timer_service& timers;
  executor_type executor;
  address<mesh_message> mesh;
  mailbox<link_message> inbox;
  std::shared_ptr<h2_stream> stream;
  std::mt19937_64 random{peer.seed};
  milliseconds backoff = min_backoff;
  subscription retry_timer;
  bool backing_off = false;
  counters totals;
};

peer_link::peer_link(target peer, timer_service& timers, executor_type executor, address<mesh_message> mesh)
    : address_(peer.mesh_address), task_(std::make_shared<task>(std::move(peer), timers, executor, std::move(mesh))) {
  boost::asio::co_spawn(
      executor, [t = task_]() -> awaitable<void> { co_await t->run(); }, boost::asio::detached);
}

peer_link::~peer_link() {
  task_->retry_timer.cancel();
  task_->inbox.close();
}

void peer_link::post(raft_message message) {
  if (!task_->inbox.address().post(std::move(message))) ++task_->totals.dropped;
}

void peer_link::reconnect() { task_->inbox.address().post(reconnect_requested{}); }

peer_link::counters peer_link::current_counters() const { return task_->totals; }

}  // namespace heatherdeck

// The task of one connection: a reader and a writer coroutine that share one session. The reader passes received bytes
// to the session; the writer waits for the outbox, submits what all stream holders have queued and sends it in one
// write. The event loop is first in, first out, so tasks that the reader wakes run before the writer, and their
// responses are part of the same write. Invariants: at most one write is in flight; at most 128 KiB are buffered for
// the socket; after `close` no callback reaches the session. Cost: one read and one write system call per batch, 16 KiB
// of read buffer per connection while data is read.
#include "wire/h2_connection.h"

#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "kernel/log.h"
#include "wire/metrics.h"

namespace heatherdeck {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t read_buffer_bytes = 16UL * 1024;
constexpr const char* bytes_name = "heatherdeck_mesh_bytes_total";
constexpr const char* bytes_help = "Bytes on connections between processes, without TCP and IP headers";

prometheus::Counter& sent_bytes() {
  static prometheus::Counter& c = counter(bytes_name, bytes_help, {{"direction", "sent"}});
  return c;
}

prometheus::Counter& received_bytes() {
  static prometheus::Counter& c = counter(bytes_name, bytes_help, {{"direction", "received"}});
  return c;
}

// A larger write buffer is freed after a write, so that idle connections hold little memory.
constexpr std::size_t max_idle_write_buffer_bytes = 1024;
constexpr duration silence_check_period = milliseconds(250);
// The PING timeout is counted in checks instead of time: after this process itself was stopped, only one check is due,
// and data that arrived meanwhile is read from the socket before the next check.
constexpr int checks_per_ping_timeout = 4;

/// How long nothing may arrive on the connection before a PING is sent, by the kinds of its open streams. Control
/// streams are mostly idle (the control host sends a keepalive every 5 s), and each PING costs traffic on every node.
struct silence_limit {
  stream_kind kind;
  h2_side side;
  duration limit;
};

constexpr silence_limit silence_limits[] = {
    {stream_kind::call, h2_side::client, std::chrono::seconds(1)},
    {stream_kind::call, h2_side::server, std::chrono::seconds(5)},
    {stream_kind::subscribe, h2_side::client, std::chrono::seconds(6)},
    {stream_kind::subscribe, h2_side::server, std::chrono::seconds(30)},
    {stream_kind::raft, h2_side::client, std::chrono::seconds(1)},
    {stream_kind::raft, h2_side::server, std::chrono::seconds(5)},
    {stream_kind::evidence, h2_side::client, std::chrono::seconds(6)},
    {stream_kind::evidence, h2_side::server, std::chrono::seconds(30)},
};

}  // namespace

class h2_connection_task : public std::enable_shared_from_this<h2_connection_task> {
 public:
  h2_connection_task(tcp::socket socket, timer_service& timers, h2_connection_options options,
                     std::shared_ptr<h2_outbox> outbox)
      : socket_(std::move(socket)), timers_(timers), options_(std::move(options)), outbox_(std::move(outbox)) {}

  /// Also runs when the event loop is destroyed. Queued streams hold the outbox and the outbox holds them; clearing the
  /// queue breaks that reference cycle, which would leak both.
  ~h2_connection_task() {
    outbox_->closed = true;
    const auto queued = std::exchange(outbox_->ready, {});
  }
  h2_connection_task(const h2_connection_task&) = delete;
  h2_connection_task& operator=(const h2_connection_task&) = delete;

  void start() {
    const auto self = shared_from_this();
    auto made = capture([&] {
      return h2_session::make(options_.side, socket_.get_executor(), outbox_, options_.peer, options_.on_request);
    });
    if (!made) return close(made.failure());
    session_ = std::move(*made);
    outbox_->signal.set();
    boost::asio::co_spawn(
        socket_.get_executor(), [self] { return self->read(); }, boost::asio::detached);
    boost::asio::co_spawn(
        socket_.get_executor(), [self] { return self->write(); }, boost::asio::detached);
  }

 private:
  awaitable<void> read() {
    const auto self = shared_from_this();
    boost::system::error_code ec;
    socket_.non_blocking(true, ec);
    while (!closed_) {
      // The buffer is allocated only while there is data: a node has a connection to most others, and most are idle.
      auto [waited] = co_await socket_.async_wait(tcp::socket::wait_read, use_tuple);
      if (closed_) co_return;
      ec = waited;
      const auto bytes = std::make_unique_for_overwrite<char[]>(read_buffer_bytes);
      const std::size_t size = ec ? 0 : socket_.read_some(boost::asio::buffer(bytes.get(), read_buffer_bytes), ec);
      if (ec == boost::asio::error::would_block) continue;
      if (ec) {
        close({error_kind::closed, "the connection was closed: " + ec.message(), "send the request again", {}});
        co_return;
      }
      last_received_ = timer_service::now();
      received_bytes().Increment(static_cast<double>(size));
      const std::string_view received(bytes.get(), size);
      const outcome<void> processed = capture([&] { return session_->receive(received); });
      if (!processed) {
        log_error("h2_connection_failed", processed.failure(), {{"peer", options_.peer}});
        close(processed.failure());
        co_return;
      }
      outbox_->signal.set();
    }
  }

  awaitable<void> write() {
    const auto self = shared_from_this();
    std::string out;
    while (true) {
      const bool woken = co_await outbox_->signal.wait();
      if (!woken || closed_) co_return;
      while (true) {
        process_outbox();
        const outcome<void> collected = capture([&] { return session_->collect(out); });
        if (!collected) {
          close(collected.failure());
          co_return;
        }
        if (out.empty()) break;
        const auto buffer = boost::asio::buffer(out);
        auto [ec, size] = co_await boost::asio::async_write(socket_, buffer, use_tuple);
        if (closed_) co_return;
        if (ec) {
          close({error_kind::closed, "the connection was closed: " + ec.message(), "send the request again", {}});
          co_return;
        }
        sent_bytes().Increment(static_cast<double>(out.size()));
        out.clear();
      }
      if (out.capacity() > max_idle_write_buffer_bytes) std::string().swap(out);
      report_changes();
      if (closed_) co_return;
    }
  }

  void process_outbox() {
    if (outbox_->refuse_new_streams && !std::exchange(goaway_sent_, true)) session_->refuse_new_streams();
    // Submitting one stream may queue another, so the queue is swapped out first.
    queued_streams_.swap(outbox_->ready);
    for (const auto& stream : queued_streams_) session_->submit_queued(stream);
    queued_streams_.clear();
  }

  /// Notifies the owner of state changes and closes the connection if it is finished or `close` was requested.
  void report_changes() {
    if (session_->received_goaway() && !std::exchange(goaway_reported_, true)) notify_owner(h2_event::goaway_received);
    if (goaway_sent_ && !calls_finished_reported_ && session_->open_incoming(stream_kind::call) == 0) {
      calls_finished_reported_ = true;
      notify_owner(h2_event::calls_finished);
    }
    if (outbox_->close_now || session_->finished() || (outbox_->close_when_idle && session_->open_streams() == 0)) {
      return close({error_kind::closed, "the connection was closed by this process", "open a new connection", {}});
    }
    if (session_->open_streams() > 0 && !silence_check_running_) start_silence_check();
  }

  void start_silence_check() {
    silence_check_running_ = true;
    checks_until_timeout_ = 0;
    last_received_ = timer_service::now();
    silence_check_ = timers_.every(silence_check_period, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->check_silence();
    });
  }

  /// Sends a PING after a silence, and gives up the peer if nothing arrives after it. Runs every
  /// silence_check_period while streams are open.
  void check_silence() {
    if (session_->open_streams() == 0) {
      silence_check_running_ = false;
      silence_check_.cancel();
      return;
    }
    const time_point now = timer_service::now();
    const duration silence = now - last_received_;
    // The response to a PING may be older than one period at the next check, because timers fire late.
    if (last_received_ >= ping_sent_at_) checks_until_timeout_ = 0;
    if (checks_until_timeout_ > 0) {
      if (--checks_until_timeout_ == 0) handle_silent_peer();
      return;
    }
    for (const silence_limit& row : silence_limits) {
      if (row.side != options_.side || silence < row.limit || !session_->has_stream_of_kind(row.kind)) continue;
      checks_until_timeout_ = checks_per_ping_timeout;
      ping_sent_at_ = now;
      session_->send_ping();
      outbox_->signal.set();
      return;
    }
  }

  /// The streams that wait end by their holders' deadlines. As long as nothing arrives, further PINGs bring the task
  /// here again, so the connection does not outlive them even if their resets cannot be sent.
  void handle_silent_peer() {
    const error reason{error_kind::timeout, "the peer sent nothing within 1 s after a PING", "use another process", {}};
    if (!std::exchange(unresponsive_reported_, true)) notify_owner(h2_event::unresponsive);
    session_->fail_on_silence(reason.text);
    if (!session_->has_unfailed_streams()) return close(reason);
    if (options_.side == h2_side::client) outbox_->close_when_idle = true;
    outbox_->signal.set();
  }

  void close(const error& reason) {
    if (std::exchange(closed_, true)) return;
    const auto self = shared_from_this();
    silence_check_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    outbox_->closed = true;
    outbox_->signal.close();
    if (session_) session_->fail_all(reason.kind, reason.text);
    for (const auto& stream : outbox_->ready) {
      if (stream->id == 0) stream->fail(error_kind::not_processed, reason.text, options_.peer);
    }
    outbox_->ready.clear();
    notify_owner(h2_event::closed);
    options_.on_event = nullptr;
    options_.on_request = nullptr;
  }

  void notify_owner(h2_event event) {
    if (options_.on_event) options_.on_event(event);
  }

  tcp::socket socket_;
  timer_service& timers_;
  h2_connection_options options_;
  std::shared_ptr<h2_outbox> outbox_;
  std::unique_ptr<h2_session> session_;
  std::vector<std::shared_ptr<h2_stream_state>> queued_streams_;
  subscription silence_check_;
  time_point last_received_ = timer_service::now();
  time_point ping_sent_at_{};
  int checks_until_timeout_ = 0;
  bool silence_check_running_ = false;
  bool goaway_sent_ = false;
  bool goaway_reported_ = false;
  bool calls_finished_reported_ = false;
  bool unresponsive_reported_ = false;
  bool closed_ = false;
};

h2_connection h2_connection::start(tcp::socket socket, timer_service& timers, h2_connection_options options) {
  h2_connection handle;
  handle.executor_ = socket.get_executor();
  handle.outbox_ = std::make_shared<h2_outbox>(handle.executor_);
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::make_shared<h2_connection_task>(std::move(socket), timers, std::move(options), handle.outbox_)->start();
  return handle;
}

std::shared_ptr<h2_stream_state> h2_connection::prepare(stream_kind kind, header_list headers, bool end_stream) const {
  auto state = std::make_shared<h2_stream_state>(executor_, outbox_, kind, /*opened_by_peer=*/false);
  state->outbound_headers = std::move(headers);
  state->headers_end_stream = end_stream;
  state->outbound_ended = end_stream;
  if (outbox_->closed) {
    state->fail(error_kind::not_processed, "the connection was closed before the request was sent", {});
  }
  return state;
}

std::shared_ptr<h2_stream> h2_connection::open(stream_kind kind, header_list headers, bool end_stream) const {
  auto state = prepare(kind, std::move(headers), end_stream);
  state->notify();
  return std::make_shared<h2_stream>(std::move(state));
}

void h2_connection::open(stream_kind kind, header_list headers, bool end_stream,
                         const reply<std::shared_ptr<h2_stream>>& answer, silence_action on_silence) const {
  auto state = prepare(kind, std::move(headers), end_stream);
  state->on_silence = on_silence;
  answer(std::make_shared<h2_stream>(state));
  state->notify();
}

void h2_connection::refuse_new_streams() const {
  outbox_->refuse_new_streams = true;
  outbox_->signal.set();
}

void h2_connection::close_when_idle() const {
  outbox_->close_when_idle = true;
  outbox_->signal.set();
}

void h2_connection::close() const {
  outbox_->close_now = true;
  outbox_->signal.set();
}

}  // namespace heatherdeck

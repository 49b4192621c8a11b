// The task waits for a request, parses its head, runs the exchange and repeats; a child task receives the message that
// begins the drain. While an exchange runs, exactly one operation reads from the socket: the exchange, which watches
// for the end of the connection, or `read_ahead`. Both pass what they read to `begin_buffered`, which begins exchanges
// of requests behind the one that runs, each in a child task that does not touch the socket before its turn
// (queued_caller). A caller that does not pipeline causes none of these tasks. Invariant: a connection is reused only
// after the request was read and the response sent completely. A connection is closed in three steps (last response,
// shutdown of the sending side, reading until the caller closes), because closing a socket with unread data resets it,
// and a reset can discard a response in transit. Before an idle connection is closed it gets 408 with hd-outcome:
// not-run, which is a correct response to a request that is in transit at that moment.
#include "node/caller_session.h"

#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <fmt/format.h>

#include "kernel/log.h"
#include "node/arrival_times.h"
#include "node/deadline_timer.h"
#include "node/error_response.h"
#include "node/exchange.h"
#include "node/queued_caller.h"
#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

using namespace boost::asio::experimental::awaitable_operators;  // NOLINT(google-build-using-namespace): operator||

// A caller that has sent nothing for this time after the last response has taken note of it.
constexpr duration lingering_close_timeout = std::chrono::seconds(1);

// A request without effects of its own and without a body; others run alone on their connection.
bool may_run_beside_others(const request_head& head) {
  return (head.method == "GET" || head.method == "HEAD") && head.body == body_framing::none && !head.expects_continue;
}

using queued_caller_ptr = std::shared_ptr<queued_caller>;

class caller_session : public caller_connection, public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(proxy_context_ptr context, tcp_socket socket, std::shared_ptr<mailbox<session_message>> inbox,
                 std::string name)
      : context_(std::move(context)),
        stream_(std::move(socket)),
        inbox_(std::move(inbox)),
        name_(std::move(name)),
        progress_(context_->executor),
        room_(context_->executor) {
    idle_timer_ = deadline_timer::make(*context_->timers, [this] {
      expired_ = true;
      boost::system::error_code ignored;
      stream_.socket.cancel(ignored);
    });
  }

  awaitable<session_counts> run();
  void on_data() override { begin_buffered(); }

 private:
  static awaitable<void> receive_messages(std::shared_ptr<caller_session> self);
  void start_idle_timer();
  awaitable<bool> wait_for_request();
  awaitable<bool> serve_request();
  awaitable<bool> serve_alone(request_reader& reader, request_head head);
  awaitable<void> reject(request_reader& reader, unsigned status, std::string text);
  awaitable<void> lingering_close();
  void prepare(request_head& head, time_point read_at);
  void begin_buffered();
  void begin_queued(request_head head);
  awaitable<bool> serve_queued();
  awaitable<bool> deliver();
  awaitable<void> read_ahead();
  void cancel_queued();

  proxy_context_ptr context_;
  h1_stream stream_;
  std::shared_ptr<mailbox<session_message>> inbox_;
  std::string name_;
  std::shared_ptr<deadline_timer> idle_timer_;
  session_counts counts_;
  std::vector<queued_caller_ptr> queued_;  // in the order of the requests
  std::size_t running_ = 0;                // child tasks that run exchanges
  wake_signal progress_;                   // a child task has ended
  wake_signal room_;                       // requests were taken from the buffer
  arrival_times arrivals_;                 // of the data in the stream's buffer
  bool pipelines_ = false;                 // the caller has sent a request behind another one
  bool expired_ = false;
  bool idle_ = false;
};

// Receives messages of the proxy service until the session closes its mailbox. Runs as a child task, so that no receive
// has to be cancelled.
awaitable<void> caller_session::receive_messages(std::shared_ptr<caller_session> self) {
  while (true) {
    auto receiving = self->inbox_->receive();
    const auto message = co_await std::move(receiving);
    if (!message) co_return;
    self->draining = true;
    if (self->idle_)
      self->idle_timer_->set(timer_service::now() + std::min(drain_idle_timeout, self->context_->idle_timeout));
  }
}

void caller_session::start_idle_timer() {
  expired_ = false;
  const duration timeout = draining ? std::min(drain_idle_timeout, context_->idle_timeout) : context_->idle_timeout;
  idle_timer_->set(timer_service::now() + timeout);
}

// The idle limit counts anew for the head, whose first bytes may arrive just before the limit.
// @return false if the connection must be closed.
awaitable<bool> caller_session::wait_for_request() {
  start_idle_timer();
  if (stream_.buffer.size() != 0) co_return true;
  idle_ = true;
  auto [ec] = co_await stream_.socket.async_wait(boost::asio::socket_base::wait_read, use_tuple);
  idle_ = false;
  if (ec) co_return false;
  start_idle_timer();
  co_return true;
}

awaitable<void> caller_session::reject(request_reader& reader, unsigned status, std::string text) {
  h1_caller caller(stream_, &reader, *this, *context_->dialect);
  auto responding = send_error_response(caller, status, execution_status::not_executed, {.text = std::move(text)}, {});
  co_await std::move(responding);
}

// Completes the head of a request that is served from now on.
// @param read_at earlier than now if the request has waited in the buffer, because it may not run beside others or too
//   many were running; the time that its caller waits counts from then.
void caller_session::prepare(request_head& head, time_point read_at) {
  ++counts_.requests;
  if (head.request_id.empty()) head.request_id = fmt::format("{}-{:x}", name_, counts_.requests);
  // A caller must not be able to impersonate another service or account, or to make its request appear older.
  head.caller_service = context_->caller_service;
  head.account.clear();
  head.age = std::chrono::duration_cast<milliseconds>(timer_service::now() - read_at);
  if (head.limits.deadline) *head.limits.deadline -= std::min(head.age, *head.limits.deadline);
}

// @return true if the connection may carry another request.
awaitable<bool> caller_session::serve_request() {
  request_reader reader(stream_);
  arrivals_.resize(stream_.buffer.size(), timer_service::now());
  const std::size_t buffered_head = stream_.buffered_head_size();
  const auto buffered_at = buffered_head == 0 ? std::nullopt : std::optional(arrivals_.of(buffered_head - 1));
  auto reading = reader.read_head();
  const auto ec = co_await std::move(reading);
  idle_timer_->clear();
  if (ec) {
    const bool too_long =
        ec == boost::beast::http::error::header_limit || ec == boost::beast::http::error::buffer_overflow;
    if (request_reader::error_kind_of(ec) == error_kind::bad_message) {
      auto responding = reject(reader, too_long ? 431 : 400, "the request is malformed: " + ec.message());
      co_await std::move(responding);
    } else if (expired_) {
      auto responding = reject(reader, 408, "the request head did not arrive in time");
      co_await std::move(responding);
    }
    co_return false;
  }
  auto parsed = parse_request_head(reader, *context_->dialect);
  if (auto* rejected = std::get_if<rejected_request>(&parsed)) {
    auto responding = reject(reader, rejected->status, std::move(rejected->text));
    co_await std::move(responding);
    co_return false;
  }
  request_head head = std::move(std::get<request_head>(parsed));
  const time_point now = timer_service::now();
  arrivals_.resize(stream_.buffer.size(), now);
  prepare(head, buffered_at.value_or(now));
  if (stream_.buffer.size() != 0 && may_run_beside_others(head)) pipelines_ = true;
  if (pipelines_ && may_run_beside_others(head)) {
    begin_queued(std::move(head));
    begin_buffered();
  } else {
    auto serving = serve_alone(reader, std::move(head));
    const bool reusable = co_await std::move(serving);
    if (!reusable) {
      cancel_queued();
      co_return false;
    }
  }
  if (queued_.empty()) co_return true;
  auto serving = serve_queued();
  co_return co_await std::move(serving);
}

// Runs the exchange in this task. Requests that arrive meanwhile may begin behind it.
// @return true if the connection may carry another response.
awaitable<bool> caller_session::serve_alone(request_reader& reader, request_head head) {
  const bool closes = !head.keep_alive || head.http_1_0;
  const auto number = pipeline.begin({.repeatable = may_run_beside_others(head), .last = closes});
  pipeline.open(number);
  h1_caller caller(stream_, &reader, *this, *context_->dialect);
  caller.set_request(head);
  auto exchanging = run_exchange(context_, caller, std::move(head));
  const exchange_result end = co_await std::move(exchanging);
  if (end == exchange_result::aborted) ++counts_.aborted;
  pipeline.end(number, end == exchange_result::reusable && caller.keep_alive());
  co_return pipeline.pop();
}

// Begins exchanges of the requests whose heads are in the buffer, as far as they may run now.
void caller_session::begin_buffered() {
  bool taken = false;
  const time_point now = timer_service::now();
  arrivals_.resize(stream_.buffer.size(), now);
  while (pipeline.may_begin()) {
    const std::size_t size = stream_.buffered_head_size();
    if (size == 0) break;
    request_reader reader(stream_);
    std::variant<request_head, rejected_request> parsed = rejected_request{};
    if (reader.parse_buffered_head(size)) parsed = parse_request_head(reader, *context_->dialect);
    auto* head = std::get_if<request_head>(&parsed);
    if (head == nullptr || !may_run_beside_others(*head)) {
      pipeline.block();  // `serve_request` serves or rejects it when its turn comes
      break;
    }
    prepare(*head, arrivals_.of(size - 1));
    stream_.buffer.consume(size);
    arrivals_.resize(stream_.buffer.size(), now);
    begin_queued(std::move(*head));
    pipelines_ = true;
    taken = true;
  }
  if (taken) room_.set();
}

void caller_session::begin_queued(request_head head) {
  auto caller = std::make_shared<queued_caller>(context_->executor, stream_, head, *this, *context_->dialect);
  ++counts_.pipelined;
  queued_.push_back(caller);
  ++running_;
  boost::asio::co_spawn(context_->executor, run_exchange(context_, *caller, std::move(head)),
                        [self = shared_from_this(), caller](std::exception_ptr failure, exchange_result end) {
                          if (failure)
                            log_event(log_level::error, "pipelined_exchange_failed", {{"session", self->name_}});
                          if (failure || end == exchange_result::aborted) ++self->counts_.aborted;
                          caller->end(!failure && end == exchange_result::reusable);
                          --self->running_;
                          self->progress_.set();
                        });
}

// Delivers the responses of all requests that have begun, and of those that begin meanwhile.
// @return true if the connection may carry another request.
awaitable<bool> caller_session::serve_queued() {
  auto delivering = deliver();
  auto reading = read_ahead();
  auto either = std::move(delivering) || std::move(reading);
  const auto ended = co_await std::move(either);
  const bool* delivered = std::get_if<0>(&ended);
  if (delivered != nullptr && *delivered) co_return true;
  cancel_queued();
  co_return false;
}

awaitable<bool> caller_session::deliver() {
  while (!queued_.empty()) {
    const queued_caller_ptr caller = queued_.front();
    // The exchange that filled the held response has ended, or waits; its timer does not bound this write.
    expired_ = false;
    idle_timer_->set(timer_service::now() + context_->idle_timeout);
    auto opening = caller->open();
    const outcome<void> opened = co_await std::move(opening);
    idle_timer_->clear();
    if (!opened) co_return false;
    begin_buffered();  // there is room for other responses
    while (!pipeline.ended(caller->number())) {
      auto waiting = progress_.wait();
      (void)co_await std::move(waiting);
    }
    queued_.erase(queued_.begin());
    if (!pipeline.pop()) co_return false;
    begin_buffered();
  }
  co_return true;
}

// Reads requests while responses are being delivered. Returns when the caller has disconnected.
awaitable<void> caller_session::read_ahead() {
  while (true) {
    while (stream_.buffer.size() >= max_header_bytes) {
      auto waiting = room_.wait();
      const bool taken = co_await std::move(waiting);
      if (!taken) co_return;
    }
    auto [ec] = co_await stream_.socket.async_wait(boost::asio::socket_base::wait_read, use_tuple);
    if (!ec) ec = stream_.read_available();
    if (ec) co_return;
    begin_buffered();
  }
}

// The caller takes requests without a response as not read, and will send them again.
void caller_session::cancel_queued() {
  pipeline.close();
  if (queued_.empty()) return;
  log_event(log_level::info, "pipeline_cancelled", {{"session", name_}, {"requests", queued_.size()}});
  counts_.pipelined_cancelled += queued_.size();
  for (const queued_caller_ptr& caller : queued_) caller->cancel();
  queued_.clear();
}

awaitable<void> caller_session::lingering_close() {
  boost::system::error_code ec;
  if (!stream_.socket.is_open()) co_return;
  stream_.socket.shutdown(tcp_socket::shutdown_send, ec);
  const time_point latest_end = timer_service::now() + std::max(lingering_close_timeout, context_->idle_timeout);
  expired_ = false;
  while (!ec && !expired_) {
    idle_timer_->set(std::min(latest_end, timer_service::now() + lingering_close_timeout));
    stream_.buffer.clear();
    auto [failed, size] = co_await stream_.socket.async_read_some(stream_.buffer.prepare(4096), use_tuple);
    ec = failed;
  }
  stream_.close();
}

awaitable<session_counts> caller_session::run() {
  boost::system::error_code ec;
  stream_.socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  boost::asio::co_spawn(context_->executor, receive_messages(shared_from_this()), boost::asio::detached);
  bool more = true;
  while (more) {
    auto waiting = wait_for_request();
    const bool arrived = co_await std::move(waiting);
    if (!arrived) {
      if (expired_ && stream_.socket.is_open()) {
        request_reader unused(stream_);
        auto responding = reject(unused, 408, "the connection is being closed because it was idle");
        co_await std::move(responding);
      }
      break;
    }
    auto serving = serve_request();
    more = co_await std::move(serving);
  }
  auto closing = lingering_close();
  co_await std::move(closing);
  while (running_ != 0) {
    auto ending = progress_.wait();
    (void)co_await std::move(ending);
  }
  inbox_->close();
  co_return counts_;
}

}  // namespace

awaitable<session_counts> run_caller_session(proxy_context_ptr context, tcp_socket socket,
                                             std::shared_ptr<mailbox<session_message>> inbox, std::string name) {
  const auto session =
      std::make_shared<caller_session>(std::move(context), std::move(socket), std::move(inbox), std::move(name));
  auto running = session->run();
  co_return co_await std::move(running);
}

}  // namespace heatherdeck

// A callback receives the reply and is never cancelled, because the traffic service replies to every request or drops
// it. If the waiting task is cancelled, a choice that arrives later is reported as cancelled. Invariant: exactly one
// finish_call is sent for each upstream that the traffic service has chosen. Cost: one mailbox message in each
// direction and no timer.
#include "node/scoped_pick.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

using answer_channel = reply<pick_result>::channel_type;

/// Shared by the callback and the requesting task.
struct pending_pick {
  explicit pending_pick(proxy_context_ptr c) : context(std::move(c)), arrived(context->executor) {}

  proxy_context_ptr context;
  wake_signal arrived;
  std::optional<outcome<pick_result>> answer;
  bool abandoned = false;  // the requesting task was cancelled

  void receive(outcome<pick_result> received) {
    // The destructor of `unclaimed` reports the choice as cancelled.
    if (abandoned && received) const scoped_pick unclaimed(context, std::move(*received));
    if (abandoned) return;
    answer = std::move(received);
    arrived.set();
  }
  void abandon() {
    abandoned = true;
    if (answer && *answer) const scoped_pick unclaimed(context, std::move(**answer));
    answer.reset();
  }
};

/// Abandons the request if the requesting task is destroyed while it waits.
struct pick_guard {
  explicit pick_guard(std::shared_ptr<pending_pick> p) : pick(std::move(p)) {}
  pick_guard(const pick_guard&) = delete;
  pick_guard& operator=(const pick_guard&) = delete;
  ~pick_guard() { pick->abandon(); }
  std::shared_ptr<pending_pick> pick;
};

// Waits for room in the mailbox of "traffic"; used when it is full.
awaitable<void> send_when_room(address<traffic_message> traffic, traffic_message message) {
  auto sending = traffic.send(std::move(message));
  (void)co_await std::move(sending);
}

}  // namespace

scoped_pick& scoped_pick::operator=(scoped_pick&& other) noexcept {
  if (this != &other) {
    finish({});
    context_ = std::move(other.context_);
    answer_ = std::move(other.answer_);
    unfinished_ = std::exchange(other.unfinished_, false);
  }
  return *this;
}

awaitable<scoped_pick> scoped_pick::acquire(proxy_context_ptr context, request_attributes attributes) {
  auto channel = std::make_shared<answer_channel>(context->executor, 1);
  if (!context->traffic.post(pick_upstream{std::move(attributes), reply<pick_result>(channel)})) {
    co_return scoped_pick(std::move(context), refusal{refusal_reason::overloaded});
  }
  const pick_guard guard(std::make_shared<pending_pick>(context));
  channel->async_receive([channel, pick = guard.pick](boost::system::error_code ec, outcome<pick_result> answer) {
    pick->receive(ec ? outcome<pick_result>(mailbox_closed()) : std::move(answer));
  });
  auto waiting = guard.pick->arrived.wait();
  (void)co_await std::move(waiting);
  // A request that is dropped without a reply means that the service is stopping.
  if (!guard.pick->answer || !*guard.pick->answer) {
    co_return scoped_pick(std::move(context), refusal{refusal_reason::draining});
  }
  pick_result picked = std::move(**guard.pick->answer);
  guard.pick->answer.reset();
  co_return scoped_pick(std::move(context), std::move(picked));
}

void scoped_pick::finish(const attempt_report& report) {
  if (!std::exchange(unfinished_, false)) return;
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(report.latency);
  const finish_call message{choice().pick_id, report.outcome, micros, report.load, report.ending, report.request};
  if (context_->traffic.post(message)) return;
  boost::asio::co_spawn(context_->executor, send_when_room(context_->traffic, message), boost::asio::detached);
}

}  // namespace heatherdeck

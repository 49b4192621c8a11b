// The answer's channel belongs to a small guard that outlives a cancelled asker: it hands a late choice back.
// Invariant: for each choice that the traffic service has made, exactly one finish_call is sent. Cost: one mailbox
// message each way and no timer, because the traffic service always answers or drops the question.
#include "node/pick_ticket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heatherdeck {
namespace {

using answer_channel = reply<pick_answer>::channel_type;

// The ticket's destructor reports the choice as cancelled.
void hand_back(const proxy_context_ptr& context, const std::shared_ptr<answer_channel>& channel) {
  channel->async_receive([context, channel](boost::system::error_code ec, outcome<pick_answer> answer) {
    if (!ec && answer) const pick_ticket late(context, std::move(*answer));
  });
}

struct unclaimed_answer {
  proxy_context_ptr context;
  std::shared_ptr<answer_channel> channel;
  bool claimed = false;

  unclaimed_answer(proxy_context_ptr c, std::shared_ptr<answer_channel> a)
      : context(std::move(c)), channel(std::move(a)) {}
  unclaimed_answer(const unclaimed_answer&) = delete;
  unclaimed_answer& operator=(const unclaimed_answer&) = delete;
  ~unclaimed_answer() {
    if (!claimed) hand_back(context, channel);
  }
};

awaitable<void> send_late(address<traffic_message> traffic, traffic_message message) {
  auto sending = traffic.send(std::move(message));
  (void)co_await std::move(sending);
}

}  // namespace

pick_ticket& pick_ticket::operator=(pick_ticket&& other) noexcept {
  if (this != &other) {
    finish(call_outcome::cancelled, {}, {});
    context_ = std::move(other.context_);
    answer_ = std::move(other.answer_);
    open_ = std::exchange(other.open_, false);
  }
  return *this;
}

awaitable<pick_ticket> pick_ticket::take(proxy_context_ptr context, request_facts facts) {
  auto channel = std::make_shared<answer_channel>(context->executor, 1);
  unclaimed_answer guard(context, channel);
  if (!context->traffic.post(pick_upstream{std::move(facts), reply<pick_answer>(channel)})) {
    guard.claimed = true;
    co_return pick_ticket(std::move(context), refusal{refusal_reason::overloaded});
  }
  auto [ec, answer] = co_await channel->async_receive(use_tuple);
  if (ec) co_return pick_ticket(std::move(context), refusal{refusal_reason::overloaded});
  guard.claimed = true;
  // A question dropped without an answer means that the service is stopping.
  if (!answer) co_return pick_ticket(std::move(context), refusal{refusal_reason::draining});
  co_return pick_ticket(std::move(context), std::move(*answer));
}

void pick_ticket::finish(call_outcome outcome, duration latency, std::optional<load_report> load) {
  if (!std::exchange(open_, false)) return;
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(latency);
  const finish_call message{choice().ticket, outcome, micros, load};
  if (context_->traffic.post(message)) return;
  boost::asio::co_spawn(context_->executor, send_late(context_->traffic, message), boost::asio::detached);
}

}  // namespace heatherdeck

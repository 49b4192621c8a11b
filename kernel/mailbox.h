/// @file
/// Bounded mailboxes: the only way in which tasks of one process reach each other.
///
/// The owner of the state keeps the `mailbox` and receives; everybody else holds an `address` and can only send.
/// All mailboxes of a process live on the kernel's thread.
///
///     struct get_version { reply<version> answer; };
///     using subscriber_message = std::variant<tick, get_version>;
///
///     mailbox<subscriber_message> inbox(executor, 256);
///     auto message = co_await inbox.receive();               // owner
///     bool posted = address.post(tick{});                    // others; false when the mailbox is full
///     auto v = co_await ask<version>(timers, executor, address, 500ms,
///                                    [](reply<version> r) { return get_version{std::move(r)}; });
///
/// A full mailbox refuses `post`; the sender decides whether to drop and count, to answer `overloaded` or to wait with
/// `send`. `ask` reports a full mailbox as `overloaded` and a missing answer as `timeout`.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kernel/loop_state.h"
#include "kernel/result.h"
#include "kernel/timer_service.h"

namespace heatherdeck {

template <class T>
using awaitable = boost::asio::awaitable<T>;
using executor_type = boost::asio::any_io_executor;

/// Completion token of the project: the operation returns a tuple that starts with the error code; nothing is thrown.
inline constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

inline error mailbox_closed() { return {error_kind::closed, "the mailbox is closed", "the service is stopping", {}}; }

namespace detail {
/// The queue that a mailbox and its addresses share, with its counters.
template <class Message>
struct mailbox_state {
  mailbox_state(executor_type executor, std::size_t limit)
      : channel(std::move(executor), limit), loop(loop_state::of(channel.get_executor())), capacity(limit) {}

  boost::asio::experimental::channel<void(boost::system::error_code, Message)> channel;
  const loop_state& loop;
  std::size_t capacity;
  std::size_t depth = 0;
  std::size_t refused = 0;
};
}  // namespace detail

/// The sending half of a mailbox; cheap to copy.
template <class Message>
class address {
 public:
  address() = default;
  explicit address(std::shared_ptr<detail::mailbox_state<Message>> state) : state_(std::move(state)) {}

  /// @return false when the mailbox is full or closed; the message is dropped then.
  bool post(Message message) const {
    if (!state_ || state_->loop.ended() || !state_->channel.is_open()) return false;
    if (!state_->channel.try_send(boost::system::error_code{}, std::move(message))) {
      ++state_->refused;
      return false;
    }
    ++state_->depth;
    return true;
  }

  /// Waits for room in the mailbox.
  awaitable<outcome<void>> send(Message message) const {
    const auto state = state_;
    if (!state) co_return mailbox_closed();
    ++state->depth;
    auto [ec] = co_await state->channel.async_send(boost::system::error_code{}, std::move(message), use_tuple);
    if (ec) {
      --state->depth;
      co_return mailbox_closed();
    }
    co_return outcome<void>();
  }

  explicit operator bool() const { return state_ != nullptr; }

 private:
  std::shared_ptr<detail::mailbox_state<Message>> state_;
};

/// The receiving half; owned by one task.
template <class Message>
class mailbox {
 public:
  /// @param capacity how many messages may wait.
  mailbox(executor_type executor, std::size_t capacity)
      : state_(std::make_shared<detail::mailbox_state<Message>>(std::move(executor), capacity)) {}
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;
  ~mailbox() { close(); }

  heatherdeck::address<Message> address() const { return heatherdeck::address<Message>(state_); }

  /// Waits for the next message; fails with `closed` once the mailbox is closed and empty.
  awaitable<outcome<Message>> receive() {
    const auto state = state_;
    auto [ec, message] = co_await state->channel.async_receive(use_tuple);
    if (ec) co_return mailbox_closed();
    --state->depth;
    co_return std::move(message);
  }

  /// Refuses further messages and ends a waiting `receive`.
  void close() { state_->channel.close(); }

  std::size_t depth() const { return state_->depth; }
  std::size_t capacity() const { return state_->capacity; }
  /// @return how many messages `post` refused because the mailbox was full.
  std::size_t refused() const { return state_->refused; }

 private:
  std::shared_ptr<detail::mailbox_state<Message>> state_;
};

/// The right to answer one question once. If all copies are destroyed unanswered, the asker gets `closed`.
template <class T>
class reply {
 public:
  using channel_type = boost::asio::experimental::channel<void(boost::system::error_code, outcome<T>)>;

  reply() = default;
  explicit reply(std::shared_ptr<channel_type> channel) : state_(std::make_shared<state>(std::move(channel))) {}

  /// Sends the answer; later calls have no effect.
  void operator()(outcome<T> answer) const {
    if (state_) state_->send(std::move(answer));
  }
  explicit operator bool() const { return state_ != nullptr; }

 private:
  struct state {
    explicit state(std::shared_ptr<channel_type> target) : channel(std::move(target)) {}
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() {
      send(error{error_kind::closed, "the question was dropped without an answer", "the service is stopping", {}});
    }
    void send(outcome<T> answer) {
      const auto target = std::exchange(channel, nullptr);
      if (target && !loop_state::of(target->get_executor()).ended()) {
        target->try_send(boost::system::error_code{}, std::move(answer));
      }
    }
    std::shared_ptr<channel_type> channel;
  };
  std::shared_ptr<state> state_;
};

/// Sends a question and waits for its answer.
/// @param make a callable that takes `reply<T>` and returns the message to post.
/// @param timeout the longest wait.
/// @return the answer, or `overloaded`, `timeout` or `closed`.
template <class T, class Message, class Make>
awaitable<outcome<T>> ask(timer_service& timers, executor_type executor, address<Message> target, duration timeout,
                          Make make) {
  auto channel = std::make_shared<typename reply<T>::channel_type>(std::move(executor), 1);
  loop_state::of(channel->get_executor());
  // The time-out competes for the channel's single slot, so the first of the two to arrive is the answer.
  const subscription limit = timers.after(timeout, [channel] {
    channel->try_send(boost::system::error_code{},
                      outcome<T>(error{error_kind::timeout, "no answer within the time allowed", "try again", {}}));
  });
  if (!target.post(make(reply<T>(channel)))) {
    co_return error{error_kind::overloaded, "the mailbox is full or closed", "try again later", {}};
  }
  auto [ec, answer] = co_await channel->async_receive(use_tuple);
  if (ec) co_return mailbox_closed();
  co_return std::move(answer);
}

}  // namespace heatherdeck

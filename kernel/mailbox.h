/// @file
/// Bounded mailboxes (message queues): the only way in which tasks of one process communicate.
///
/// The task that owns the state holds the `mailbox` and receives; all other tasks hold an `address` and can only send.
/// All mailboxes of a process live on the kernel's thread.
///
///     struct get_version { reply<version> answer; };
///     using subscriber_message = std::variant<tick, get_version>;
///
///     mailbox<subscriber_message> inbox(executor, 256);
///     auto message = co_await inbox.receive();               // owning task
///     bool posted = address.post(tick{});                    // other tasks; false when the mailbox is full
///     auto v = co_await ask<version>(timers, executor, address, 500ms,
///                                    [](reply<version> r) { return get_version{std::move(r)}; });
///
/// `post` fails when the mailbox is full; the sender then drops and counts the message, returns `overloaded` to its own
/// caller, or waits with `send`. `ask` returns `overloaded` for a full mailbox and `timeout` for a missing answer.
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

/// Asio completion token: the operation returns a tuple that starts with the error code instead of throwing.
inline constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

inline error mailbox_closed() {
  return {error_kind::closed, "the mailbox of the service is closed", "retry later; the service is stopping", {}};
}

namespace detail {
/// The queue, with its counters, that a mailbox shares with its addresses.
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

/// The sending end of a mailbox. Copying costs one reference count.
template <class Message>
class address {
 public:
  address() = default;
  explicit address(std::shared_ptr<detail::mailbox_state<Message>> state) : state_(std::move(state)) {}

  /// Enqueues the message without waiting. @return false when the mailbox is full or closed; the message is dropped.
  bool post(Message message) const {
    if (!state_ || state_->loop.ended() || !state_->channel.is_open()) return false;
    if (!state_->channel.try_send(boost::system::error_code{}, std::move(message))) {
      ++state_->refused;
      return false;
    }
    ++state_->depth;
    return true;
  }

  /// Enqueues the message, waiting until the mailbox has room. @return `closed` when the mailbox is closed.
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

/// The receiving end, owned by one task.
template <class Message>
class mailbox {
 public:
  /// @param capacity maximum number of queued messages.
  mailbox(executor_type executor, std::size_t capacity)
      : state_(std::make_shared<detail::mailbox_state<Message>>(std::move(executor), capacity)) {}
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;
  ~mailbox() { close(); }

  heatherdeck::address<Message> address() const { return heatherdeck::address<Message>(state_); }

  /// Waits for the next message. @return the message, or `closed` once the mailbox is closed and empty.
  awaitable<outcome<Message>> receive() {
    const auto state = state_;
    auto [ec, message] = co_await state->channel.async_receive(use_tuple);
    if (ec) co_return mailbox_closed();
    --state->depth;
    co_return std::move(message);
  }

  /// Rejects further messages and completes a pending `receive` with `closed`.
  void close() { state_->channel.close(); }

  std::size_t depth() const { return state_->depth; }  ///< queued messages, including those of waiting `send` calls
  std::size_t capacity() const { return state_->capacity; }
  /// @return the number of messages that `post` rejected because the mailbox was full.
  std::size_t refused() const { return state_->refused; }

 private:
  std::shared_ptr<detail::mailbox_state<Message>> state_;
};

/// Sends the response to one `ask`. If all copies are destroyed without a response, `ask` returns `closed`.
template <class T>
class reply {
 public:
  using channel_type = boost::asio::experimental::channel<void(boost::system::error_code, outcome<T>)>;

  reply() = default;
  explicit reply(std::shared_ptr<channel_type> channel) : state_(std::make_shared<state>(std::move(channel))) {}

  /// Sends the response; only the first call has an effect.
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
      send(error{error_kind::closed,
                 "the service dropped the request without a response",
                 "retry later; the service is stopping",
                 {}});
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

/// Posts a request message and waits for its response.
/// @param timeout maximum time to wait for the response.
/// @param make a callable that takes `reply<T>` and returns the message to post.
/// @return the response, or `overloaded`, `timeout` or `closed`.
template <class T, class Message, class Make>
awaitable<outcome<T>> ask(timer_service& timers, executor_type executor, address<Message> target, duration timeout,
                          Make make) {
  auto channel = std::make_shared<typename reply<T>::channel_type>(std::move(executor), 1);
  loop_state::of(channel->get_executor());
  // The channel has one slot, for which the timeout and the response compete: `ask` returns the first to arrive.
  const subscription timer = timers.after(timeout, [channel] {
    channel->try_send(
        boost::system::error_code{},
        outcome<T>(
            error{error_kind::timeout, "the service did not respond before the timeout", "retry the request", {}}));
  });
  if (!target.post(make(reply<T>(channel)))) {
    co_return error{error_kind::overloaded, "the mailbox of the service is full or closed", "retry later", {}};
  }
  auto [ec, answer] = co_await channel->async_receive(use_tuple);
  if (ec) co_return mailbox_closed();
  co_return std::move(answer);
}

}  // namespace heatherdeck

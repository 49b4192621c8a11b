/// @file
/// An auto-reset event between two tasks of one thread: any number of `set` calls before a `wait` count as one.
///
///     while (co_await signal.wait()) process_queue();
///
/// A wait may be cancelled (for example by `||` of two awaitables), and `set` may be called at any time after that. An
/// Asio channel does not allow this: in Boost 1.81, sending to a channel whose only waiting receiver was cancelled
/// reads the front of an empty queue. The signal therefore waits on a timer that never expires.
#pragma once

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "kernel/mailbox.h"

namespace heatherdeck {

class wake_signal {
 public:
  explicit wake_signal(executor_type executor)
      : timer_(std::move(executor), time_point::max()), loop_(loop_state::of(timer_.get_executor())) {}

  /// Wakes the waiting task, or makes the next `wait` return immediately.
  void set() {
    set_ = true;
    if (!loop_.ended()) timer_.cancel();
  }

  /// Waits for `set`; one task at a time.
  /// @return false if the signal is closed or the wait was cancelled.
  awaitable<bool> wait() {
    if (!set_ && !closed_) (void)co_await timer_.async_wait(use_tuple);
    co_return std::exchange(set_, false) && !closed_;
  }

  /// Makes the current and all later waits return false.
  void close() {
    closed_ = true;
    if (!loop_.ended()) timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  const loop_state& loop_;
  bool set_ = false;
  bool closed_ = false;
};

}  // namespace heatherdeck

/// @file
/// A wake-up between two tasks of one thread: any number of `set` calls before a `wait` count as one.
///
///     while (co_await signal.wait()) take_everything_that_is_queued();
#pragma once

#include "kernel/mailbox.h"

namespace heatherdeck {

class wake_signal {
 public:
  explicit wake_signal(executor_type executor)
      : channel_(std::move(executor), 1), loop_(loop_state::of(channel_.get_executor())) {}

  /// Wakes the waiting task, or the next one to wait.
  void set() {
    if (!loop_.ended()) channel_.try_send(boost::system::error_code{});
  }

  /// Waits for `set`; one task at a time.
  /// @return false once the signal is closed.
  awaitable<bool> wait() {
    auto [ec] = co_await channel_.async_receive(use_tuple);
    co_return !ec;
  }

  /// Ends a wait and all later ones.
  void close() { channel_.close(); }

 private:
  boost::asio::experimental::channel<void(boost::system::error_code)> channel_;
  const loop_state& loop_;
};

}  // namespace heatherdeck

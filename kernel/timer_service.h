/// @file
/// The process's only source of timeouts and periodic callbacks.
///
/// All timers share one Asio timer. A callback runs on the kernel's thread and must not block; usually it posts a
/// message to a mailbox. Destroying the handle, an object of class `subscription`, cancels the timer.
///
///     subscription tick_ = timers.every(100ms, [inbox] { inbox.post(tick{}); });
///     subscription limit = timers.after(800ms, [weak] { ... });
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

namespace heatherdeck {

/// The clock of every lease, timeout and rate. Wall-clock time is used in logs only.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;
using std::chrono::milliseconds;

class timer_service;

/// Owning handle of one timer; move-only. Destroying it cancels the timer.
class subscription {
 public:
  subscription() = default;
  subscription(subscription&& other) noexcept;
  subscription& operator=(subscription&& other) noexcept;
  subscription(const subscription&) = delete;
  subscription& operator=(const subscription&) = delete;
  ~subscription();

  /// Cancels the timer: its callback is not called any more. Has no effect on a timer that has run or was cancelled.
  void cancel();

 private:
  friend class timer_service;
  struct timer_queue;
  subscription(std::weak_ptr<timer_queue> queue, std::uint64_t id) : queue_(std::move(queue)), id_(id) {}

  std::weak_ptr<timer_queue> queue_;
  std::uint64_t id_ = 0;
};

/// Keeps all timers of a process in one ordered set: O(log n) for each start, cancellation and expiry.
class timer_service {
 public:
  explicit timer_service(boost::asio::any_io_executor executor);
  ~timer_service();
  timer_service(const timer_service&) = delete;
  timer_service& operator=(const timer_service&) = delete;

  /// Calls the callback once.
  /// @param delay time from now; zero or less means as soon as possible, never from within `after`.
  /// @param callback must not block.
  /// @return the handle that keeps the timer running.
  [[nodiscard]] subscription after(duration delay, std::function<void()> callback);

  /// Calls the callback once per period, first after one period. The next period begins when a late call is made.
  [[nodiscard]] subscription every(duration period, std::function<void()> callback);

  /// @return the current time.
  static time_point now() { return steady_clock::now(); }

  /// @return the number of pending timers.
  std::size_t size() const;

  /// Cancels all timers for good; called when the kernel is destroyed.
  void stop();

 private:
  std::shared_ptr<subscription::timer_queue> queue_;
};

}  // namespace heatherdeck

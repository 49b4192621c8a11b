/// @file
/// The process's only source of time-outs and periods; every part subscribes to it.
///
/// All subscriptions share one operating-system timer. A callback runs on the kernel's thread and must not block;
/// usually it posts a message to the subscriber's mailbox. A subscription ends when its handle is destroyed.
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

/// The clock of every lease, time-out and rate. Wall-clock time is used in logs only.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;
using std::chrono::milliseconds;

class timer_service;

/// Handle of one subscription; move-only. Destroying it cancels the subscription.
class subscription {
 public:
  subscription() = default;
  subscription(subscription&& other) noexcept;
  subscription& operator=(subscription&& other) noexcept;
  subscription(const subscription&) = delete;
  subscription& operator=(const subscription&) = delete;
  ~subscription();

  /// Ends the subscription; no callback runs after this.
  void cancel();

 private:
  friend class timer_service;
  struct core;
  subscription(std::weak_ptr<core> owner, std::uint64_t id) : owner_(std::move(owner)), id_(id) {}

  std::weak_ptr<core> owner_;
  std::uint64_t id_ = 0;
};

/// Keeps all subscriptions of a process in one ordered set: O(log n) for each subscribe, cancel and expiry.
class timer_service {
 public:
  explicit timer_service(boost::asio::any_io_executor executor);
  ~timer_service();
  timer_service(const timer_service&) = delete;
  timer_service& operator=(const timer_service&) = delete;

  /// Runs the callback once.
  /// @param delay time from now; zero or less means as soon as possible.
  /// @param callback must not block.
  /// @return the handle that keeps the subscription alive.
  [[nodiscard]] subscription after(duration delay, std::function<void()> callback);

  /// Runs the callback each period, the first time after one period. A late callback is not made up for.
  [[nodiscard]] subscription every(duration period, std::function<void()> callback);

  /// @return the present time.
  static time_point now() { return steady_clock::now(); }

  /// @return the number of live subscriptions.
  std::size_t size() const;

  /// Cancels everything; used when the kernel stops.
  void stop();

 private:
  std::shared_ptr<subscription::core> core_;
};

}  // namespace heatherdeck

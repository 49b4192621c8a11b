/// @file
/// A timer for deadlines that are extended often, such as idle timeouts: extending it costs no timer operation.
///
///     auto timer = deadline_timer::make(timers, [&stream] { stream.close(); });
///     timer->set(now + 60s);                 // on each progress; a later time costs nothing
///     timer->clear();
#pragma once

#include <functional>
#include <memory>

#include "kernel/timer_service.h"

namespace heatherdeck {

/// Owned by one task. The callback runs on the kernel's thread when the deadline passes, typically to cancel a pending
/// operation of that task. Destroying the timer disarms it.
class deadline_timer : public std::enable_shared_from_this<deadline_timer> {
 public:
  /// @param on_expiry called when the deadline has passed.
  static std::shared_ptr<deadline_timer> make(timer_service& timers, std::function<void()> on_expiry) {
    return std::shared_ptr<deadline_timer>(new deadline_timer(timers, std::move(on_expiry)));
  }

  /// Sets the deadline, which may be earlier or later than the current one.
  void set(time_point due) {
    due_ = due;
    if (armed_ && armed_for_ <= due) return;
    arm();
  }

  /// @return the current deadline; `time_point::max()` if there is none.
  time_point due() const { return due_; }

  /// Removes the deadline until the next `set`.
  void clear() { due_ = time_point::max(); }

 private:
  deadline_timer(timer_service& timers, std::function<void()> on_expiry)
      : timers_(&timers), on_expiry_(std::move(on_expiry)) {}

  // A timer that fires before the current deadline is armed again.
  void arm() {
    armed_ = true;
    armed_for_ = due_;
    timer_ = timers_->after(due_ - timer_service::now(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->expire();
    });
  }

  void expire() {
    armed_ = false;
    if (due_ == time_point::max()) return;
    if (timer_service::now() < due_) {
      arm();
    } else {
      on_expiry_();
    }
  }

  timer_service* timers_;
  std::function<void()> on_expiry_;
  subscription timer_;
  time_point due_ = time_point::max();
  time_point armed_for_{};
  bool armed_ = false;
};

}  // namespace heatherdeck

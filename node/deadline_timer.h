/// @file
/// A time limit that progress moves on, without a timer operation for each piece of progress.
///
///     auto guard = deadline_timer::make(timers, [&stream] { stream.close(); });
///     guard->set(now + 60s);                 // again and again; later times cost nothing
///     guard->clear();
#pragma once

#include <functional>
#include <memory>

#include "kernel/timer_service.h"

namespace heatherdeck {

/// Owned by one task. The callback runs on the kernel's thread once the time has passed; it ends an operation of the
/// same task. Destroying the guard ends it.
class deadline_timer : public std::enable_shared_from_this<deadline_timer> {
 public:
  static std::shared_ptr<deadline_timer> make(timer_service& timers, std::function<void()> on_expiry) {
    return std::shared_ptr<deadline_timer>(new deadline_timer(timers, std::move(on_expiry)));
  }

  /// Sets the time of the limit; it may move in both directions.
  void set(time_point due) {
    due_ = due;
    if (armed_ && armed_for_ <= due) return;
    arm();
  }

  /// @return the present limit.
  time_point due() const { return due_; }

  /// Takes the limit away until the next `set`.
  void clear() { due_ = time_point::max(); }

 private:
  deadline_timer(timer_service& timers, std::function<void()> on_expiry)
      : timers_(&timers), on_expiry_(std::move(on_expiry)) {}

  // A timer that fires early is armed again for the present limit.
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

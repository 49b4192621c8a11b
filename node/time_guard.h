/// @file
/// A time limit that progress moves on, without a timer operation for each piece of progress.
///
///     auto guard = time_guard::make(timers, [&stream] { stream.close(); });
///     guard->set(now + 60s);                 // again and again; later times cost nothing
///     guard->clear();
#pragma once

#include <functional>
#include <memory>

#include "kernel/timer_service.h"

namespace heatherdeck {

/// Owned by one task. The callback runs on the kernel's thread once the time has passed; it ends an operation of the
/// same task. Destroying the guard ends it.
class time_guard : public std::enable_shared_from_this<time_guard> {
 public:
  static std::shared_ptr<time_guard> make(timer_service& timers, std::function<void()> fire) {
    return std::shared_ptr<time_guard>(new time_guard(timers, std::move(fire)));
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
  time_guard(timer_service& timers, std::function<void()> fire) : timers_(&timers), fire_(std::move(fire)) {}

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
      fire_();
    }
  }

  timer_service* timers_;
  std::function<void()> fire_;
  subscription timer_;
  time_point due_ = time_point::max();
  time_point armed_for_{};
  bool armed_ = false;
};

}  // namespace heatherdeck

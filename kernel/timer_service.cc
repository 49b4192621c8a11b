// One ordered set of deadlines drives one Asio timer. Invariant: when the set is not empty, the Asio timer is armed for
// the earliest deadline or earlier, or is due at once if that deadline has passed. It is re-armed only for a deadline
// before the one it is armed for, so a burst of later deadlines costs no system call. Cost: each operation is O(log n)
// in the number of pending timers.
//
// A callback runs only after the sockets were polled at or after its deadline, so that data which arrived before a time
// limit is read first, however late the process runs. One poll queues the handlers of sockets before the Asio timer's
// handler, and covers the deadline that the Asio timer was armed for. Deadlines that pass before that handler runs wait
// for the next poll.
#include "kernel/timer_service.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace heatherdeck {

struct subscription::timer_queue : std::enable_shared_from_this<subscription::timer_queue> {
  struct entry {
    time_point deadline;
    duration period{};
    std::function<void()> callback;
  };

  explicit timer_queue(boost::asio::any_io_executor executor) : timer(std::move(executor)) {}

  std::uint64_t add(duration delay, duration period, std::function<void()> callback) {
    const std::uint64_t id = next_id++;
    const time_point deadline = steady_clock::now() + delay;
    entries.emplace(id, entry{deadline, period, std::move(callback)});
    deadlines.emplace(deadline, id);
    arm();
    return id;
  }

  void remove(std::uint64_t id) {
    const auto found = entries.find(id);
    if (found == entries.end()) return;
    deadlines.erase({found->second.deadline, id});
    entries.erase(found);
    if (deadlines.empty()) {
      timer.cancel();
      armed = false;
    }
  }

  void arm() {
    if (deadlines.empty() || stopped) return;
    // When several deadlines have passed, one poll is enough for all of them.
    const time_point due = std::max(deadlines.begin()->first, steady_clock::now());
    if (armed && armed_deadline <= due) return;
    armed = true;
    armed_deadline = due;
    timer.expires_at(due);
    timer.async_wait([weak = weak_from_this(), due](boost::system::error_code ec) {
      if (ec) return;
      if (const auto self = weak.lock()) self->expire(due);
    });
  }

  // Runs the timers whose deadlines had passed when the sockets were last polled.
  void expire(time_point polled_after) {
    armed = false;
    const time_point now = steady_clock::now();
    while (!deadlines.empty() && deadlines.begin()->first <= polled_after && !stopped) {
      const std::uint64_t id = deadlines.begin()->second;
      run(id, now);
    }
    arm();
  }

  void run(std::uint64_t id, time_point now) {
    deadlines.erase(deadlines.begin());
    const auto found = entries.find(id);
    if (found->second.period > duration::zero()) {
      found->second.deadline = now + found->second.period;
      deadlines.emplace(found->second.deadline, id);
      const auto callback = found->second.callback;  // a copy: the callback may cancel its own timer, erasing the entry
      callback();
    } else {
      const auto callback = std::move(found->second.callback);
      entries.erase(found);
      callback();
    }
  }

  boost::asio::steady_timer timer;
  std::unordered_map<std::uint64_t, entry> entries;
  std::set<std::pair<time_point, std::uint64_t>> deadlines;
  std::uint64_t next_id = 1;
  time_point armed_deadline{};
  bool armed = false;
  bool stopped = false;
};

subscription::subscription(subscription&& other) noexcept
    : queue_(std::move(other.queue_)), id_(std::exchange(other.id_, 0)) {}

subscription& subscription::operator=(subscription&& other) noexcept {
  if (this != &other) {
    cancel();
    queue_ = std::move(other.queue_);
    id_ = std::exchange(other.id_, 0);
  }
  return *this;
}

subscription::~subscription() { cancel(); }

void subscription::cancel() {
  if (id_ == 0) return;
  if (const auto queue = queue_.lock()) queue->remove(id_);
  id_ = 0;
}

timer_service::timer_service(boost::asio::any_io_executor executor)
    : queue_(std::make_shared<subscription::timer_queue>(std::move(executor))) {}

timer_service::~timer_service() { stop(); }

subscription timer_service::after(duration delay, std::function<void()> callback) {
  return {queue_, queue_->add(delay, duration::zero(), std::move(callback))};
}

subscription timer_service::every(duration period, std::function<void()> callback) {
  return {queue_, queue_->add(period, period, std::move(callback))};
}

std::size_t timer_service::size() const { return queue_->entries.size(); }

void timer_service::stop() {
  queue_->stopped = true;
  queue_->timer.cancel();
  queue_->deadlines.clear();
  queue_->entries.clear();
}

}  // namespace heatherdeck

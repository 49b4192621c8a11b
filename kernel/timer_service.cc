// One ordered set of deadlines drives one asio timer. Invariant: when the set is not empty, the timer is armed for the
// earliest deadline or earlier. Re-arming happens only when the earliest deadline moves forward, so a burst of later
// deadlines costs no system call. Each operation is O(log n) in the number of subscriptions.
#include "kernel/timer_service.h"

#include <set>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace heatherdeck {

struct subscription::core : std::enable_shared_from_this<subscription::core> {
  struct entry {
    time_point deadline;
    duration period{};
    std::function<void()> callback;
  };

  explicit core(boost::asio::any_io_executor executor) : timer(std::move(executor)) {}

  std::uint64_t add(duration delay, duration period, std::function<void()> callback) {
    const std::uint64_t id = next_id++;
    const time_point deadline = steady_clock::now() + delay;
    entries.emplace(id, entry{deadline, period, std::move(callback)});
    order.emplace(deadline, id);
    arm();
    return id;
  }

  void remove(std::uint64_t id) {
    const auto found = entries.find(id);
    if (found == entries.end()) return;
    order.erase({found->second.deadline, id});
    entries.erase(found);
    if (order.empty()) {
      timer.cancel();
      armed = false;
    }
  }

  void arm() {
    if (order.empty() || stopped) return;
    const time_point earliest = order.begin()->first;
    if (armed && armed_for <= earliest) return;
    armed = true;
    armed_for = earliest;
    timer.expires_at(earliest);
    timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      if (ec) return;
      if (const auto self = weak.lock()) self->expire();
    });
  }

  void expire() {
    armed = false;
    const time_point now = steady_clock::now();
    while (!order.empty() && order.begin()->first <= now && !stopped) {
      const std::uint64_t id = order.begin()->second;
      run(id, now);
    }
    arm();
  }

  void run(std::uint64_t id, time_point now) {
    order.erase(order.begin());
    const auto found = entries.find(id);
    if (found->second.period > duration::zero()) {
      found->second.deadline = now + found->second.period;
      order.emplace(found->second.deadline, id);
      const auto callback = found->second.callback;  // the callback may cancel its own subscription
      callback();
    } else {
      const auto callback = std::move(found->second.callback);
      entries.erase(found);
      callback();
    }
  }

  boost::asio::steady_timer timer;
  std::unordered_map<std::uint64_t, entry> entries;
  std::set<std::pair<time_point, std::uint64_t>> order;
  std::uint64_t next_id = 1;
  time_point armed_for{};
  bool armed = false;
  bool stopped = false;
};

subscription::subscription(subscription&& other) noexcept
    : owner_(std::move(other.owner_)), id_(std::exchange(other.id_, 0)) {}

subscription& subscription::operator=(subscription&& other) noexcept {
  if (this != &other) {
    cancel();
    owner_ = std::move(other.owner_);
    id_ = std::exchange(other.id_, 0);
  }
  return *this;
}

subscription::~subscription() { cancel(); }

void subscription::cancel() {
  if (id_ == 0) return;
  if (const auto owner = owner_.lock()) owner->remove(id_);
  id_ = 0;
}

timer_service::timer_service(boost::asio::any_io_executor executor)
    : core_(std::make_shared<subscription::core>(std::move(executor))) {}

timer_service::~timer_service() { stop(); }

subscription timer_service::after(duration delay, std::function<void()> callback) {
  return {core_, core_->add(delay, duration::zero(), std::move(callback))};
}

subscription timer_service::every(duration period, std::function<void()> callback) {
  return {core_, core_->add(period, period, std::move(callback))};
}

std::size_t timer_service::size() const { return core_->entries.size(); }

void timer_service::stop() {
  core_->stopped = true;
  core_->timer.cancel();
  core_->order.clear();
  core_->entries.clear();
}

}  // namespace heatherdeck

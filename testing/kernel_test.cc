// Tests of the kernel: start and stop order, look-up by name, bounded mailboxes, responses, timeouts and timers.
#include "kernel/kernel.h"

#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

struct request {
  int value = 0;
  reply<int> answer;
};

class recording_service : public service {
 public:
  recording_service(std::string name, std::vector<std::string_view> dependencies, std::vector<std::string>* log,
                    std::vector<std::string_view> optional_dependencies = {})
      : name_(std::move(name)),
        dependencies_(std::move(dependencies)),
        optional_dependencies_(std::move(optional_dependencies)),
        log_(log) {}
  std::string_view name() const override { return name_; }
  std::vector<std::string_view> dependencies() const override { return dependencies_; }
  std::vector<std::string_view> optional_dependencies() const override { return optional_dependencies_; }
  result<void> start(kernel&) override {
    log_->push_back("start " + name_);
    return {};
  }
  void stop() override { log_->push_back("stop " + name_); }
  boost::json::value dump() const override { return boost::json::string(name_); }

 private:
  std::string name_;
  std::vector<std::string_view> dependencies_;
  std::vector<std::string_view> optional_dependencies_;
  std::vector<std::string>* log_;
};

// A service that starts before its dependencies would not find their addresses.
TEST(kernel, starts_in_dependency_order_and_stops_in_reverse) {
  std::vector<std::string> log;
  kernel k;
  ASSERT_TRUE(k.add(std::make_unique<recording_service>("proxy", std::vector<std::string_view>{"mesh"}, &log)));
  ASSERT_TRUE(k.add(std::make_unique<recording_service>("mesh", std::vector<std::string_view>{}, &log)));
  ASSERT_TRUE(k.start());
  boost::asio::co_spawn(k.io(), k.stop(), boost::asio::detached);
  k.io().run();
  EXPECT_EQ(log, (std::vector<std::string>{"start mesh", "start proxy", "stop proxy", "stop mesh"}));
}

// A service that an earlier row of the table uses would otherwise stop before that one has drained.
TEST(kernel, optional_dependencies_that_are_registered_run_until_the_drain_has_ended) {
  std::vector<std::string> log;
  kernel k;
  ASSERT_TRUE(k.add(std::make_unique<recording_service>("proxy", std::vector<std::string_view>{}, &log,
                                                        std::vector<std::string_view>{"directory", "quarantine"})));
  ASSERT_TRUE(k.add(std::make_unique<recording_service>("directory", std::vector<std::string_view>{}, &log)));
  ASSERT_TRUE(k.start());
  boost::asio::co_spawn(k.io(), k.stop(), boost::asio::detached);
  k.io().run();
  EXPECT_EQ(log, (std::vector<std::string>{"start directory", "start proxy", "stop proxy", "stop directory"}));
}

// A missing dependency must fail the start with a remedy instead of a null pointer dereference later.
TEST(kernel, missing_dependency_fails_the_start_and_names_the_setting) {
  std::vector<std::string> log;
  kernel k;
  ASSERT_TRUE(k.add(std::make_unique<recording_service>("proxy", std::vector<std::string_view>{"mesh"}, &log)));
  const outcome<void> started = capture([&] { return k.start(); });
  ASSERT_FALSE(started);
  EXPECT_EQ(started.failure().kind, error_kind::missing_service);
  EXPECT_NE(started.failure().remedy.find("settings"), std::string::npos);
  EXPECT_TRUE(log.empty());
}

TEST(kernel, dependency_cycle_fails_the_start) {
  std::vector<std::string> log;
  kernel k;
  ASSERT_TRUE(k.add(std::make_unique<recording_service>("a", std::vector<std::string_view>{"b"}, &log)));
  ASSERT_TRUE(k.add(std::make_unique<recording_service>("b", std::vector<std::string_view>{"a"}, &log)));
  EXPECT_FALSE(capture([&] { return k.start(); }));
}

// With an unbounded mailbox, one slow task could use up the memory of the process.
TEST(mailbox, rejects_messages_beyond_its_capacity) {
  kernel k;
  mailbox<int> inbox(k.executor(), 2);
  EXPECT_TRUE(inbox.address().post(1));
  EXPECT_TRUE(inbox.address().post(2));
  EXPECT_FALSE(inbox.address().post(3));
  EXPECT_EQ(inbox.refused(), 1U);
  EXPECT_EQ(inbox.depth(), 2U);
}

template <class Body>
void run(kernel& k, Body body) {
  boost::asio::co_spawn(k.io(), std::move(body), [](std::exception_ptr failure) {
    if (failure) std::rethrow_exception(failure);
  });
  k.io().run();
}

TEST(ask, returns_the_response) {
  kernel k;
  mailbox<request> inbox(k.executor(), 4);
  boost::asio::co_spawn(
      k.io(),
      [&]() -> awaitable<void> {
        auto asked = co_await inbox.receive();
        asked->answer(asked->value * 2);
      },
      boost::asio::detached);
  int got = 0;
  run(k, [&]() -> awaitable<void> {
    auto answer = co_await ask<int>(k.timers(), k.executor(), inbox.address(), 5s, [](reply<int> r) {
      return request{21, std::move(r)};
    });
    got = answer ? *answer : -1;
  });
  EXPECT_EQ(got, 42);
}

// A task that never responds, or drops the request, must not block the requester for ever.
TEST(ask, fails_with_timeout_or_closed) {
  kernel k;
  mailbox<request> inbox(k.executor(), 4);
  error_kind unanswered{};
  error_kind dropped{};
  run(k, [&]() -> awaitable<void> {
    auto make = [](reply<int> r) { return request{1, std::move(r)}; };
    auto first = co_await ask<int>(k.timers(), k.executor(), inbox.address(), 10ms, make);
    unanswered = first.failure().kind;
    boost::asio::co_spawn(
        k.io(),
        [&]() -> awaitable<void> {
          (void)co_await inbox.receive();
          (void)co_await inbox.receive();
        },
        boost::asio::detached);
    auto second = co_await ask<int>(k.timers(), k.executor(), inbox.address(), 5s, make);
    dropped = second.failure().kind;
  });
  EXPECT_EQ(unanswered, error_kind::timeout);
  EXPECT_EQ(dropped, error_kind::closed);
}

// A timer that outlives its handle would call into destroyed state.
TEST(timer_service, destroying_the_handle_cancels_the_timer) {
  kernel k;
  int runs = 0;
  subscription kept = k.timers().after(5ms, [&] { ++runs; });
  {
    const subscription dropped = k.timers().after(1ms, [&] { runs += 100; });
  }
  k.io().run();
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(k.timers().size(), 0U);
}

TEST(timer_service, periodic_timer_repeats_until_cancelled) {
  kernel k;
  int runs = 0;
  subscription tick;
  tick = k.timers().every(1ms, [&] {
    if (++runs == 3) tick.cancel();
  });
  k.io().run();
  EXPECT_EQ(runs, 3);
}

// Time limits fired before data that had arrived in time was read, because another handler had taken long.
TEST(timer_service, data_that_arrives_before_a_deadline_is_read_before_the_callback) {
  kernel k;
  boost::asio::ip::tcp::acceptor acceptor(k.executor(), {boost::asio::ip::address_v4::loopback(), 0});
  boost::asio::ip::tcp::socket sender(k.executor());
  sender.connect(acceptor.local_endpoint());
  boost::asio::ip::tcp::socket receiver = acceptor.accept();
  std::vector<std::string> order;
  receiver.async_wait(boost::asio::socket_base::wait_read, [&](auto) { order.emplace_back("data"); });
  const subscription earlier = k.timers().after(20ms, [] {});
  const subscription limit = k.timers().after(60ms, [&] { order.emplace_back("limit"); });
  // The second handler and the timer of 20 ms become due while the first one runs; the limit of 60 ms passes in the
  // second one.
  const time_point begin = timer_service::now();
  boost::asio::steady_timer first(k.io(), begin + 5ms);
  first.async_wait([&](auto) { std::this_thread::sleep_until(begin + 30ms); });
  boost::asio::steady_timer second(k.io(), begin + 10ms);
  second.async_wait([&](auto) {
    boost::asio::write(sender, boost::asio::buffer("x", 1));
    std::this_thread::sleep_until(begin + 80ms);
  });
  k.io().run();
  EXPECT_EQ(order, (std::vector<std::string>{"data", "limit"}));
}

}  // namespace
}  // namespace heatherdeck

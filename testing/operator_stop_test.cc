// Stops a control host while it commits a change. Guards against changes in flight whose operator gets no answer.
#include <fstream>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "control/ledger_service.h"
#include "kernel/overloaded.h"
#include "model/service_names.h"
#include "platform/configuration_service.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const std::string session_file = std::string(HD_GOLDEN_FOLDER) + "/operator_calls.session";

/// Service "consensus": commits every proposal after 300 ms.
class slow_consensus : public service {
 public:
  std::string_view name() const override { return to_name(service_name::consensus); }
  void publish(kernel& k) override {
    inbox_.emplace(k.executor(), 64);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    BOOST_LEAF_ASSIGN(ledger_, k.find<ledger_message>(to_name(service_name::ledger)));
    boost::asio::co_spawn(k.executor(), run(k), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

 private:
  awaitable<void> run(kernel& k) {
    while (true) {
      outcome<consensus_message> message = co_await inbox_->receive();
      if (!message) co_return;
      std::visit(overloaded_handlers{[&](propose_command& m) {
                                       boost::asio::co_spawn(k.executor(), commit(k, std::move(m)),
                                                             boost::asio::detached);
                                     },
                                     [&](confirm_read& m) { m.answer(index_); },
                                     [&](get_consensus_status& m) {
                                       consensus_status status;
                                       status.role = raft_role::leader;
                                       status.has_quorum = true;
                                       m.answer(status);
                                     },
                                     [](auto&) {}},
                 *message);
    }
  }
  awaitable<void> commit(kernel& k, propose_command proposed) {
    boost::asio::steady_timer timer(k.executor(), 300ms);
    (void)co_await timer.async_wait(use_tuple);
    ++index_;
    ledger_.post(apply_entries{{{1, index_, entry_kind::command, proposed.payload}}});
    proposed.answer(committed_position{index_, 1});
  }

  std::optional<mailbox<consensus_message>> inbox_;
  address<ledger_message> ledger_;
  std::uint64_t index_ = 0;
};

// A control host that stops closed the connections of the changes that it was committing.
TEST(operator_calls, change_in_flight_is_answered_before_the_host_stops) {
  std::ifstream session(session_file);
  std::string line;
  while (std::getline(session, line) && !line.starts_with("> PUT")) {
  }
  http_request put;
  std::string base;
  std::istringstream words(line.substr(2));
  words >> put.method >> put.path >> base;
  put.headers["x-base-version"] = base;
  std::getline(session, put.body);

  settings s;
  s.id = "127.0.0.1";
  s.configuration_listen = "127.0.0.1:0";
  auto host = std::make_unique<kernel>();
  auto served = std::move(*capture([&] { return configuration_service::make(s); }));
  const auto* calls = static_cast<configuration_service*>(served.get());
  ASSERT_TRUE(capture([&] { return host->add(std::make_unique<slow_consensus>()); }));
  ASSERT_TRUE(capture([&] { return host->add(std::move(*capture([&] { return ledger_service::make(s); }))); }));
  ASSERT_TRUE(capture([&] { return host->add(std::move(served)); }));
  ASSERT_TRUE(capture([&] { return host->start(); }));
  const std::string at = "127.0.0.1:" + std::to_string(calls->port());
  const subscription stopping =
      host->timers().after(200ms, [&] { boost::asio::co_spawn(host->io(), host->stop(), boost::asio::detached); });
  std::thread running([&] { host->io().run(); });
  kernel world;
  std::string answer;
  boost::asio::co_spawn(
      world.executor(),
      [&]() -> awaitable<void> {
        const auto got = co_await http_call(world.timers(), world.executor(), at, put, 5s);
        answer = got ? std::to_string(got->status) : got.failure().message();
      },
      [&](std::exception_ptr) { world.io().stop(); });
  world.io().run_for(10s);
  running.join();
  EXPECT_EQ(answer, "200");
}

}  // namespace
}  // namespace heatherdeck

// Tests the consensus service end to end with real files and loopback connections: bootstrap, commits that reach every
// ledger, a killed leader, a restart, and a replaced disk that votes only after it was added to the membership.
#include "consensus/consensus_service.h"

#include <filesystem>
#include <future>
#include <iostream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include "model/ledger_messages.h"
#include "wire/mesh_service.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

// A ledger that records the payloads of all commands, each once; its image is the concatenated text.
class recording_ledger : public service {
 public:
  std::string_view name() const override { return "ledger"; }
  void publish(kernel& k) override {
    inbox_ = std::make_unique<mailbox<ledger_message>>(k.executor(), 2);  // short, so that deliveries block
    k.publish("ledger", inbox_->address());
  }
  result<void> start(kernel& k) override {
    boost::asio::co_spawn(k.io(), run(), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return boost::json::string(text_); }

 private:
  awaitable<void> run() {
    for (;;) {
      auto message = co_await inbox_->receive();
      if (!message) co_return;
      if (auto* applied = std::get_if<apply_entries>(&*message)) {
        for (const log_entry& e : applied->entries) {
          index_ = e.index;
          // A command may be proposed again after an unknown outcome, but is recorded once.
          const bool repeated = (";" + text_).find(";" + e.payload + ";") != std::string::npos;
          if (e.kind == entry_kind::command && !repeated) text_ += e.payload + ";";
        }
      } else if (auto* installed = std::get_if<install_ledger_image>(&*message)) {
        index_ = installed->index;
        text_ = installed->bytes;
      } else if (auto* image = std::get_if<get_ledger_image>(&*message)) {
        image->answer(ledger_image{index_, text_});
      }
    }
  }
  std::unique_ptr<mailbox<ledger_message>> inbox_;
  std::uint64_t index_ = 0;
  std::string text_;
};

// One control host: a kernel on a thread of its own. All calls are posted to that thread.
class control_process {
 public:
  explicit control_process(const settings& s) : kernel_(std::make_unique<kernel>()) {
    const outcome<void> started = capture([&]() -> result<void> {
      BOOST_LEAF_AUTO(mesh, mesh_service::make(s));
      BOOST_LEAF_AUTO(consensus, consensus_service::make(s));
      BOOST_LEAF_CHECK(kernel_->add(std::move(mesh)));
      BOOST_LEAF_CHECK(kernel_->add(std::move(consensus)));
      BOOST_LEAF_CHECK(kernel_->add(std::make_unique<recording_ledger>()));
      BOOST_LEAF_CHECK(kernel_->start());
      BOOST_LEAF_ASSIGN(consensus_, kernel_->find<consensus_message>("consensus"));
      return {};
    });
    EXPECT_TRUE(started) << started.failure().message();
    thread_ = std::thread([this] { kernel_->io().run(); });
  }
  // Simulates a kill: no orderly shutdown.
  ~control_process() {
    kernel_->io().stop();
    thread_.join();
  }

  /// Runs a coroutine on the host's thread and waits for its result.
  template <class Function>
  auto on_thread(Function function) {
    return boost::asio::co_spawn(kernel_->io(), std::move(function), boost::asio::use_future).get();
  }

  boost::json::object dump(std::string_view name) {
    return on_thread([this]() -> awaitable<boost::json::value> { co_return kernel_->dump(); })
        .as_object()["services"]
        .as_object()[name]
        .as_object();
  }
  std::string text() {
    auto all = on_thread([this]() -> awaitable<boost::json::value> { co_return kernel_->dump(); });
    return std::string(all.as_object()["services"].as_object()["ledger"].as_string());
  }
  template <class T, class Make>
  outcome<T> ask_consensus(Make make) {
    return on_thread([this, make]() -> awaitable<outcome<T>> {
      auto answer = co_await ask<T>(kernel_->timers(), kernel_->executor(), consensus_, 3s, make);
      co_return answer;
    });
  }
  outcome<committed_position> propose(const std::string& payload) {
    return ask_consensus<committed_position>([payload](reply<committed_position> r) {
      return propose_command{payload, std::move(r)};
    });
  }
  /// Proposes `count` commands concurrently. @return the number of committed commands.
  std::size_t propose_many(std::size_t count) {
    std::promise<std::size_t> finished;
    auto left = std::make_shared<std::pair<std::size_t, std::size_t>>(count, 0);
    for (std::size_t i = 0; i < count; ++i) {
      boost::asio::co_spawn(
          kernel_->io(),
          [this, left, i, &finished]() -> awaitable<void> {
            auto make = [i](reply<committed_position> r) { return propose_command{std::to_string(i), std::move(r)}; };
            auto done = co_await ask<committed_position>(kernel_->timers(), kernel_->executor(), consensus_, 10s, make);
            left->second += done ? 1 : 0;
            if (--left->first == 0) finished.set_value(left->second);
          },
          boost::asio::detached);
    }
    return finished.get_future().get();
  }
  outcome<committed_position> change(change_membership::action_kind action, const raft_member& member) {
    return ask_consensus<committed_position>([=](reply<committed_position> r) {
      return change_membership{action, member, std::move(r)};
    });
  }

 private:
  std::unique_ptr<kernel> kernel_;
  address<consensus_message> consensus_;
  std::thread thread_;
};

struct consensus_service_test : testing::Test {
  std::string root = testing::TempDir() + "/hd_consensus_" + std::to_string(::getpid());
  std::vector<settings> hosts;
  std::vector<std::unique_ptr<control_process>> processes;

  void set_up(std::size_t count) {
    // Picks free ports; each stays bound until all are known, so that they differ.
    boost::asio::io_context io;
    std::vector<boost::asio::ip::tcp::acceptor> reserved;
    std::vector<control_host> members;
    for (std::size_t i = 0; i < count; ++i) {
      reserved.emplace_back(io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
      control_host member;
      member.id = "c" + std::to_string(i);
      member.mesh_address = "127.0.0.1:" + std::to_string(reserved.back().local_endpoint().port());
      members.push_back(member);
    }
    for (const control_host& member : members) {
      settings s;
      s.id = member.id;
      s.is_control = true;
      s.mesh_listen = member.mesh_address;
      s.mesh_key = "0123456789abcdef0123456789abcdef";
      s.data_folder = root + "/" + member.id;
      s.seed = 17;
      s.control_hosts = members;
      hosts.push_back(s);
    }
    processes.resize(count);
  }
  void TearDown() override {
    processes.clear();
    std::filesystem::remove_all(root);
  }
  void start(std::size_t i) { processes[i] = std::make_unique<control_process>(hosts[i]); }
  void start_all() {
    for (std::size_t i = 0; i < hosts.size(); ++i) start(i);
  }
  // Polls the condition every 10 ms, for at most 20 s.
  template <class Condition>
  bool wait_until(Condition condition) {
    boost::asio::io_context io;
    boost::asio::steady_timer pause(io);
    for (int attempt = 0; attempt < 2000; ++attempt) {
      if (condition()) return true;
      pause.expires_after(10ms);
      pause.wait();
    }
    return false;
  }
  // @return the current leader's index; on a busy machine the leadership may change at any time.
  std::size_t current_leader() {
    std::size_t found = 0;
    EXPECT_TRUE(wait_until([&] {
      for (found = 0; found < processes.size(); ++found) {
        if (processes[found] && processes[found]->dump("consensus")["role"].as_string() == "leader") return true;
      }
      return false;
    })) << "no leader";
    return found;
  }
  // Adds and promotes a host with a replaced disk, as an operator does; retries with the current leader.
  void add_member(std::size_t host) {
    raft_member member;
    member.host_id = hosts[host].id;
    using action = change_membership::action_kind;
    EXPECT_TRUE(
        wait_until([&] { return processes[current_leader()]->change(action::add_learner, member).has_value(); }));
    EXPECT_TRUE(wait_until([&] { return processes[current_leader()]->change(action::promote, member).has_value(); }));
  }
  // Proposes at every host in turn until one commits the command. @return that host's index.
  std::size_t commit(const std::string& payload) {
    std::size_t leader = hosts.size();
    const bool done = wait_until([&] {
      for (std::size_t i = 0; i < processes.size(); ++i) {
        if (processes[i] && processes[i]->propose(payload)) leader = i;
        if (leader != hosts.size()) return true;
      }
      return false;
    });
    EXPECT_TRUE(done) << "'" << payload << "' was not committed";
    return leader;
  }
  bool all_hold(const std::string& text) {
    return wait_until([&] {
      return std::all_of(processes.begin(), processes.end(), [&](const auto& p) { return !p || p->text() == text; });
    });
  }
};

// A single control host must commit without peers, and must have its entries after a kill and a restart.
TEST_F(consensus_service_test, single_voter_commits_and_restarts) {
  set_up(1);
  start_all();
  commit("one");
  processes[0].reset();
  start(0);
  commit("two");
  EXPECT_TRUE(all_hold("one;two;")) << processes[0]->text();
}

// Another host must become leader after a kill, and every host must have all committed commands afterwards.
TEST_F(consensus_service_test, three_hosts_survive_a_killed_leader) {
  set_up(3);
  start_all();
  const std::size_t leader = commit("one");
  ASSERT_LT(leader, hosts.size());
  ASSERT_TRUE(all_hold("one;"));
  processes[leader].reset();
  const auto killed = std::chrono::steady_clock::now();
  commit("two");
  const auto elapsed = (std::chrono::steady_clock::now() - killed) / 1ms;
  std::cout << "committed again " << elapsed << " ms after the leader was killed (seed 17)\n";
  start(leader);
  commit("three");
  EXPECT_TRUE(all_hold("one;two;three;"));
  for (auto& p : processes) {
    auto confirmed = p->ask_consensus<std::uint64_t>([](reply<std::uint64_t> r) { return confirm_read{std::move(r)}; });
    ASSERT_TRUE(confirmed) << confirmed.failure().message();
    EXPECT_GE(*confirmed, 5U);  // membership, no-ops of at least two terms, three commands
  }
}

// A host that lost its disk must not count as a voter until an operator adds it, and must then receive the whole log.
TEST_F(consensus_service_test, replaced_disk_waits_for_admission) {
  set_up(3);
  start_all();
  std::size_t leader = commit("one");
  ASSERT_LT(leader, hosts.size());
  ASSERT_TRUE(all_hold("one;"));
  const std::size_t lost = (leader + 1) % 3;
  processes[lost].reset();
  std::filesystem::remove_all(hosts[lost].data_folder);
  start(lost);
  ASSERT_TRUE(wait_until([&] {
    return processes[current_leader()]->dump("consensus")["unadmitted"].as_object().contains(hosts[lost].id);
  }));
  EXPECT_EQ(processes[lost]->dump("consensus")["role"].as_string(), "learner");
  EXPECT_EQ(processes[lost]->text(), "");
  add_member(lost);
  ASSERT_TRUE(wait_until([&] { return processes[lost]->text() == "one;"; }));
  // The replaced host is a voter now, so the group tolerates the loss of the third host.
  processes[3 - leader - lost].reset();
  leader = commit("two");
  EXPECT_TRUE(all_hold("one;two;"));
}

// After log compaction a restarted host must start from its own snapshot, and a host with an empty disk must receive
// one.
TEST_F(consensus_service_test, snapshot_reaches_a_restarted_and_a_replaced_host) {
  set_up(3);
  start_all();
  const auto begun = std::chrono::steady_clock::now();
  std::size_t done = 0;
  for (int wave = 0; wave < 20 && done < 4500; ++wave) done += processes[current_leader()]->propose_many(900);
  std::cout << done << " commands committed in " << (std::chrono::steady_clock::now() - begun) / 1ms
            << " ms, 900 at a time\n";
  ASSERT_GE(done, 4500U);
  commit("last");
  for (auto& p : processes) {
    ASSERT_TRUE(wait_until([&] { return p->text().ends_with("last;"); }));
    ASSERT_TRUE(wait_until([&] { return p->dump("consensus")["snapshot_index"].to_number<int>() > 0; }));
  }
  const std::string text = processes[0]->text();
  processes[1].reset();
  start(1);
  ASSERT_TRUE(wait_until([&] { return processes[1]->text() == text; }));
  processes[2].reset();
  std::filesystem::remove_all(hosts[2].data_folder);
  start(2);
  add_member(2);
  EXPECT_TRUE(wait_until([&] { return processes[2]->text() == text; }));
  EXPECT_GT(processes[2]->dump("consensus")["first_index"].to_number<int>(), 1);
}

}  // namespace
}  // namespace heatherdeck

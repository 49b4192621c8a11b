/// @file
/// Stubs for tests of the control services on one host: a consensus service that commits at once, and a rollout service
/// that ends every rollout with the result that the test sets.
///
///     auto log = std::make_unique<single_host_consensus>();
///     log->mode = commit_mode::commit_without_answer;
#pragma once

#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/kernel.h"
#include "model/ledger_messages.h"
#include "model/rollout_messages.h"
#include "model/service_names.h"

namespace heatherdeck {

/// What the stub of the consensus service does with a proposal: commit and answer it, commit it without an answer, or
/// refuse it.
enum class commit_mode { commit, commit_without_answer, not_leader };

/// Service "consensus": commits every proposal at once on this host.
class single_host_consensus : public service {
 public:
  std::string_view name() const override { return to_name(service_name::consensus); }
  void publish(kernel& k) override {
    inbox_.emplace(k.executor(), 64);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    BOOST_LEAF_ASSIGN(ledger_, k.find<ledger_message>(to_name(service_name::ledger)));
    boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

  commit_mode mode = commit_mode::commit;
  std::vector<raft_member> voters;  ///< of the status

 private:
  awaitable<void> run() {
    for (;;) {
      outcome<consensus_message> message = co_await inbox_->receive();
      if (!message) co_return;
      std::visit([this](auto& one) { handle(std::move(one)); }, *message);
    }
  }
  void handle(propose_command message) {
    if (mode == commit_mode::not_leader) {
      message.answer(error{error_kind::not_leader, "this host is not the leader", "ask the leader", {}});
      return;
    }
    ++index_;
    // The answer to the proposal and the committed entry may arrive in either order.
    const bool report_first = index_ % 2 == 0;
    if (report_first && mode == commit_mode::commit) message.answer(committed_position{index_, 1});
    ledger_.post(apply_entries{{{1, index_, entry_kind::command, message.payload}}});
    if (mode == commit_mode::commit) message.answer(committed_position{index_, 1});
  }
  void handle(const directory_changed&) {}
  void handle(forward_command message) {
    if (mode == commit_mode::not_leader) return;
    ++index_;
    ledger_.post(apply_entries{{{1, index_, entry_kind::command, message.payload}}});
  }
  void handle(confirm_read message) { message.answer(index_); }
  void handle(get_consensus_status message) {
    consensus_status status;
    status.role = raft_role::leader;
    status.term = 1;
    status.leader = "c2";
    status.has_quorum = true;
    status.voters = voters;
    message.answer(status);
  }
  void handle(change_membership) {}

  std::optional<mailbox<consensus_message>> inbox_;
  address<ledger_message> ledger_;
  std::uint64_t index_ = 0;
};

/// How scripted_rollout ends a rollout; with none it leaves it running.
enum class scripted_result { none, done, rolled_back };

/// Service "rollout": ends every running rollout as soon as a document with it arrives.
class scripted_rollout : public service {
 public:
  std::string_view name() const override { return to_name(service_name::rollout); }
  void publish(kernel& k) override {
    inbox_.emplace(k.executor(), 64);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    BOOST_LEAF_ASSIGN(ledger_, k.find<ledger_message>(to_name(service_name::ledger)));
    boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

  scripted_result end = scripted_result::none;

 private:
  awaitable<void> run() {
    for (;;) {
      outcome<rollout_message> message = co_await inbox_->receive();
      if (!message) co_return;
      if (const auto* changed = std::get_if<document_changed>(&*message)) end_rollouts(*changed->state);
      if (const auto* question = std::get_if<get_rollouts>(&*message)) question->answer(std::vector<rollout_view>());
    }
  }
  void end_rollouts(const document_state& state) {
    for (const auto& [service, one] : state.rollouts) {
      if (one.status != rollout_status::running) continue;
      if (end == scripted_result::done) {
        ledger_.post(propose_system_command{
            set_rollout_step{service, one.to, full_share, rollout_status::done, state.document_version}, {}});
      } else if (end == scripted_result::rolled_back) {
        ledger_.post(propose_system_command{withdraw_version{service, one.to, one.to + " failed 9 of 100 calls"}, {}});
      }
    }
  }

  std::optional<mailbox<rollout_message>> inbox_;
  address<ledger_message> ledger_;
};

}  // namespace heatherdeck

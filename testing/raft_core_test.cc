// Tests single rules of the Raft state machine with scripted messages, for cases that random fault schedules rarely
// reach: commit of entries of the own term only, reads, rejected requests, the lease, and messages that must wait for
// persistence.
#include "consensus/raft_core.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "consensus/wire_entry_codec.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

// Runs host "a" of the members a, b and c; the test sends the messages of the other two.
struct raft_core_test : testing::Test {
  time_point now = time_point{} + 1h;
  std::optional<raft_core> core;
  std::vector<raft_action> actions;
  const std::vector<raft_member> members = {{"a", "sa", "", false}, {"b", "sb", "", false}, {"c", "sc", "", false}};

  // Starts from a stored log with the membership of term 1 and `earlier_commands` commands of term 2.
  void start(std::uint64_t earlier_commands = 0) {
    stored_state stored;
    stored.store_id = "sa";
    stored.hard = {2, {}, {}};
    stored.entries.push_back({1, 1, entry_kind::membership, wire_entry_codec().encode_voters(members)});
    for (std::uint64_t i = 0; i < earlier_commands; ++i)
      stored.entries.push_back({2, 2 + i, entry_kind::command, "old"});
    raft_config config;
    config.host_id = "a";
    config.codec = wire_entry_codec();
    outcome<raft_core> made = capture([&] { return raft_core::make(config, stored, now); });
    ASSERT_TRUE(made) << made.failure().message();
    core.emplace(std::move(*made));
  }
  void step(raft_event event) { actions = core->step(now, std::move(event)); }
  void receive(const std::string& from, raft_body body, std::uint64_t term = 0) {
    step(message_received{{from, "s" + from, "a", "sa", term == 0 ? core->term() : term, std::move(body)}});
  }
  void persist_everything() { step(persisted{1000}); }
  template <class Action>
  std::vector<Action> actions_of() const {
    std::vector<Action> found;
    for (const raft_action& action : actions) {
      if (const auto* a = std::get_if<Action>(&action)) found.push_back(*a);
    }
    return found;
  }
  template <class Body>
  std::vector<Body> sent_bodies() const {
    std::vector<Body> found;
    for (const send_message& s : actions_of<send_message>()) {
      if (const auto* body = std::get_if<Body>(&s.message.body)) found.push_back(*body);
    }
    return found;
  }
  // Makes "a" the leader of term 3.
  void become_leader() {
    now = core->timer_deadline();
    step(timer_expired{});
    receive("b", vote_response{true, true}, 2);
    ASSERT_TRUE(sent_bodies<vote_request>().empty())
        << "a vote request was sent before the candidate's own vote was durable";
    persist_everything();
    ASSERT_EQ(sent_bodies<vote_request>().size(), 2U);
    receive("b", vote_response{false, true});
    ASSERT_EQ(core->role(), raft_role::leader);
  }
  void acknowledge(const std::string& from, std::uint64_t match) {
    receive(from, append_response{true, match, core->peers().round()});
  }
};

// Figure 8 of the Raft paper: an entry of an earlier term that is on a quorum can still be replaced, so it must not be
// committed before an entry of the leader's own term.
TEST_F(raft_core_test, entry_of_an_earlier_term_is_not_committed_directly) {
  start(2);  // entries 1 to 3, the no-op of term 3 is entry 4
  become_leader();
  persist_everything();
  acknowledge("b", 3);
  EXPECT_EQ(core->commit_index(), 0U);
  acknowledge("b", 4);
  EXPECT_EQ(core->commit_index(), 4U);
}

// A leader that counted itself before its own write is durable could lose a committed entry in a crash.
TEST_F(raft_core_test, leader_counts_itself_only_when_durable) {
  start();
  become_leader();
  acknowledge("b", 2);
  EXPECT_EQ(core->commit_index(), 0U);
  persist_everything();
  EXPECT_EQ(core->commit_index(), 2U);
}

// An answer to a round that began before the read does not prove that this host was still the leader when it arrived.
TEST_F(raft_core_test, read_needs_a_round_that_began_after_it) {
  start();
  become_leader();
  persist_everything();
  acknowledge("b", 2);
  const std::uint64_t earlier = core->peers().round();
  step(read_received{9});
  EXPECT_TRUE(actions_of<answer_read>().empty());
  receive("b", append_response{true, 2, earlier});
  EXPECT_TRUE(actions_of<answer_read>().empty()) << "confirmed by a round that began before the read";
  acknowledge("c", 2);
  ASSERT_EQ(actions_of<answer_read>().size(), 1U);
  EXPECT_EQ(*actions_of<answer_read>()[0].answer, 2U);
}

// A new leader does not know the commit index of its predecessor until its own no-op is committed.
TEST_F(raft_core_test, read_waits_for_the_first_commit_of_the_term) {
  start(2);
  become_leader();
  step(read_received{9});
  acknowledge("b", 0);
  EXPECT_TRUE(actions_of<answer_read>().empty());
  persist_everything();
  acknowledge("b", 4);
  acknowledge("b", 4);
  ASSERT_EQ(actions_of<answer_read>().size(), 1U);
  EXPECT_EQ(*actions_of<answer_read>()[0].answer, 4U);
}

// A leader that was paused longer than its lease may have been replaced; it must step down before it handles the first
// event.
TEST_F(raft_core_test, paused_leader_steps_down_and_reports_unknown_outcomes) {
  start();
  become_leader();
  step(proposal_received{1, "before"});
  EXPECT_TRUE(actions_of<answer_proposal>().empty());
  now += 10s;
  step(proposal_received{2, "after"});
  const auto answers = actions_of<answer_proposal>();
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[0].id, 1U);
  EXPECT_EQ(answers[0].answer.failure().kind, error_kind::unknown_outcome);
  EXPECT_EQ(answers[1].id, 2U);
  EXPECT_EQ(answers[1].answer.failure().kind, error_kind::no_quorum);
  EXPECT_EQ(core->role(), raft_role::follower);
}

// A follower names the leader when it rejects a proposal, and acknowledges entries only after they are durable.
TEST_F(raft_core_test, follower_refuses_proposals_and_acknowledges_what_is_durable) {
  start();
  receive("b", append_request{1, 1, 0, 1, {{5, 2, entry_kind::noop, {}}}}, 5);
  EXPECT_TRUE(sent_bodies<append_response>().empty()) << "acknowledged before the entry was durable";
  persist_everything();
  ASSERT_EQ(sent_bodies<append_response>().size(), 1U);
  EXPECT_EQ(sent_bodies<append_response>()[0].match_index, 2U);
  step(proposal_received{1, "x"});
  ASSERT_EQ(actions_of<answer_proposal>().size(), 1U);
  EXPECT_EQ(actions_of<answer_proposal>()[0].answer.failure().kind, error_kind::not_leader);
  EXPECT_EQ(actions_of<answer_proposal>()[0].answer.failure().where, "b");
  // A host with a live leader ignores vote requests, so a returning host cannot depose a working leader.
  receive("c", vote_request{false, 9, 9}, 6);
  persist_everything();
  EXPECT_EQ(core->term(), 5U);
}

// Guards against a follower that serves an old document as current: it hears the leader, but no entries reach it.
TEST_F(raft_core_test, follower_that_gets_heartbeats_without_entries_is_not_current) {
  start();
  const append_request heartbeat{7, 5, 7, 1, {}};
  receive("b", heartbeat, 5);
  EXPECT_FALSE(core->status(now).is_current) << "this host doesn't know yet how far it is behind";
  for (int i = 0; i < 7; ++i) {
    now += 100ms;
    receive("b", heartbeat, 5);
  }
  EXPECT_TRUE(core->status(now).has_quorum);
  EXPECT_FALSE(core->status(now).is_current);
  std::vector<log_entry> entries;
  for (std::uint64_t index = 2; index <= 7; ++index) entries.push_back({5, index, entry_kind::command, "x"});
  receive("b", append_request{1, 1, 7, 2, entries}, 5);
  EXPECT_TRUE(core->status(now).is_current);
}

// Guards against taking a follower for lagging that is always a little behind a leader with many changes.
TEST_F(raft_core_test, follower_that_keeps_up_with_a_stream_of_changes_is_current) {
  start();
  receive("b", append_request{1, 1, 2, 1, {{5, 2, entry_kind::noop, {}}}}, 5);
  receive("b", append_request{2, 5, 2, 1, {}}, 5);
  for (std::uint64_t index = 3; index < 42; ++index) {
    now += 50ms;
    receive("b", append_request{index - 1, 5, index + 3, 1, {{5, index, entry_kind::command, "x"}}}, 5);
    EXPECT_TRUE(core->status(now).is_current) << "at entry " << index;
  }
}

// A command may be given to any host; with several leaders known over time it must reach the present one only.
TEST_F(raft_core_test, follower_forwards_a_command_to_the_leader) {
  start();
  step(command_forwarded{"x"});
  EXPECT_TRUE(actions_of<send_message>().empty()) << "no leader is known";
  receive("b", append_request{1, 1, 0, 1, {{5, 2, entry_kind::noop, {}}}}, 5);
  step(command_forwarded{"x"});
  ASSERT_EQ(actions_of<send_message>().size(), 1U);
  EXPECT_EQ(actions_of<send_message>()[0].message.to, "b");
  ASSERT_EQ(sent_bodies<forwarded_command>().size(), 1U);
  EXPECT_EQ(sent_bodies<forwarded_command>()[0].payload, "x");
  receive("c", forwarded_command{"y"}, 5);
  EXPECT_TRUE(actions_of<send_message>().empty()) << "a host that is not the leader passes nothing on";
}

TEST_F(raft_core_test, leader_appends_commands_of_other_hosts) {
  start();
  become_leader();
  persist_everything();
  acknowledge("b", core->log().last_index());
  const std::uint64_t before = core->log().last_index();
  receive("b", forwarded_command{"x"});
  step(command_forwarded{"y"});
  ASSERT_EQ(core->log().last_index(), before + 2);
  EXPECT_EQ(core->log().at(before + 1).payload, "x");
  EXPECT_EQ(core->log().at(before + 2).payload, "y");
  persist_everything();
  acknowledge("b", before + 2);
  EXPECT_EQ(core->commit_index(), before + 2);
  EXPECT_TRUE(actions_of<answer_proposal>().empty());
}

// Commands without an answer must not fill the log of a leader that has lost its quorum.
TEST_F(raft_core_test, forwarded_commands_are_bounded_while_nothing_is_committed) {
  start();
  become_leader();
  const std::uint64_t before = core->log().last_index();
  for (std::size_t i = 0; i < 2 * raft_config{}.max_pending; ++i) receive("b", forwarded_command{"x"});
  EXPECT_LE(core->log().last_index() - before, raft_config{}.max_pending);
}

// Two overlapping membership changes could create two disjoint quorums.
TEST_F(raft_core_test, second_membership_change_is_refused_until_the_first_is_committed) {
  start();
  become_leader();
  const raft_member added{"d", "sd", "", false};
  step(membership_change{1, change_membership::action_kind::add_learner, added});
  EXPECT_EQ(actions_of<answer_proposal>()[0].answer.failure().kind, error_kind::conflict)
      << "accepted before the first commit of the term";
  persist_everything();
  acknowledge("b", 2);
  step(membership_change{2, change_membership::action_kind::add_learner, added});
  EXPECT_TRUE(actions_of<answer_proposal>().empty());
  step(membership_change{3, change_membership::action_kind::remove, members[2]});
  EXPECT_EQ(actions_of<answer_proposal>()[0].answer.failure().kind, error_kind::conflict);
  persist_everything();
  acknowledge("b", 3);
  EXPECT_TRUE(core->log().voters()[3].learner);
  step(proposal_received{4, "far ahead"});
  for (std::uint64_t i = 5; i < 40; ++i) step(proposal_received{i, "x"});
  persist_everything();
  acknowledge("b", 39);
  step(membership_change{50, change_membership::action_kind::promote, added});
  EXPECT_EQ(actions_of<answer_proposal>()[0].answer.failure().kind, error_kind::unavailable)
      << "promoted a learner that has no entries yet";
}

}  // namespace
}  // namespace heatherdeck

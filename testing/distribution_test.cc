// Tests the distribution of documents: a node must never use a document version older than one it used before,
// whichever control host it subscribes to, across its restarts (which lose its state), and in whatever order messages
// arrive.
#include <deque>
#include <memory>

#include <gtest/gtest.h>

#include "control/publisher_core.h"
#include "model/document_digest.h"
#include "node/subscriber_core.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr const char* services_text = "web: {versions: [v1, v2]}\n";
constexpr const char* shares_text = "web: {v1: 100}\n";

document_state make_state(std::uint64_t index, const std::string& timeout_ms) {
  document_state s;
  s.document_version = {1, index};
  s.sections["services"] = {"services", services_text, {1, 1}};
  s.sections["shares"] = {"shares", shares_text, {1, 1}};
  s.sections["routes"] = {
      "routes", "- {name: all, match: {path_prefix: /}, service: web, timeout_ms: " + timeout_ms + "}\n", {1, index}};
  return s;
}

settings node_settings(std::size_t hosts, std::uint64_t seed) {
  settings s;
  s.id = "n1";
  s.availability_zone = "dar-1";
  s.region = "dar";
  s.seed = seed;
  for (std::size_t i = 0; i < hosts; ++i) {
    s.control_hosts.push_back({"c" + std::to_string(i), "dar-1", "dar", "127.0.0.1:" + std::to_string(7000 + i), ""});
  }
  return s;
}

subscribe_request make_request(const version& have) { return {"n1", "dar-1", have, {}, have.none()}; }

// After a power failure nodes moved from host to host with growing backoff while all hosts waited for the same
// election; a node that stays on the stream gets the document as soon as it is confirmed.
TEST(publisher_core, node_without_a_document_waits_for_the_next_confirmation) {
  publisher_core core({}, 1);
  const time_point now{};
  core.set_document(std::make_shared<document_state>(make_state(10, "100")), now);
  ASSERT_FALSE(core.open(1, make_request({}), now));
  ASSERT_FALSE(core.open(2, make_request({1, 10}), now));
  EXPECT_TRUE(core.may_await_confirmation(1, now + 700ms));
  EXPECT_FALSE(core.may_await_confirmation(1, now + 800ms)) << "a partitioned host must not hold the node for long";
  EXPECT_FALSE(core.may_await_confirmation(2, now)) << "a node with a document keeps serving and need not be held";
  EXPECT_FALSE(core.may_await_confirmation(3, now));
  ASSERT_TRUE(core.first_offer(1, true, now));
  EXPECT_FALSE(core.may_await_confirmation(1, now));
}

// Without combining, the queue of updates for a slow node would grow with every change and the node would apply each.
TEST(publisher_core, slow_node_receives_one_combined_delta) {
  publisher_core core({}, 1);
  const time_point now{};
  core.set_document(std::make_shared<document_state>(make_state(10, "100")), now);
  ASSERT_FALSE(core.open(1, make_request({1, 10}), now));
  core.first_offer(1, true, now);
  EXPECT_EQ(core.set_document(std::make_shared<document_state>(make_state(11, "110")), now).size(), 1U);
  for (std::uint64_t i = 12; i < 300; ++i) {
    EXPECT_TRUE(core.set_document(std::make_shared<document_state>(make_state(i, "120")), now).empty());
  }
  const auto next = core.on_applied(1, {{1, 11}}, now);
  ASSERT_TRUE(next);
  const auto* offer = std::get_if<delta_offer>(next->message.get());
  ASSERT_NE(offer, nullptr);
  EXPECT_EQ(offer->delta.from, (version{1, 11}));
  EXPECT_EQ(offer->delta.to, (version{1, 299}));
  EXPECT_EQ(offer->delta.sections_changed.size(), 1U);
}

// Guards against a subscription that gets keep-alives only, for good, because the answer to an offer was lost.
TEST(publisher_core, subscription_with_an_unanswered_offer_is_ended) {
  publisher_core core({.answer_checks = 3}, 1);
  const time_point now{};
  core.set_document(std::make_shared<document_state>(make_state(10, "100")), now);
  for (const std::uint64_t id : {1, 2, 3}) {
    ASSERT_FALSE(core.open(id, make_request({1, 10}), now));
    core.first_offer(id, true, now);
  }
  core.set_document(std::make_shared<document_state>(make_state(11, "110")), now);
  core.on_applied(1, {{1, 11}}, now);
  EXPECT_TRUE(core.take_stalled().empty());
  EXPECT_TRUE(core.take_stalled().empty());
  core.on_applied(2, {{1, 11}}, now);
  const auto stalled = core.take_stalled();
  ASSERT_EQ(stalled.size(), 1U);
  EXPECT_EQ(stalled.front().id, 3U);
  EXPECT_EQ(stalled.front().offered, (version{1, 11}));
  EXPECT_EQ(core.size(), 2U);
  EXPECT_TRUE(core.take_stalled().empty());
}

TEST(publisher_core, concurrent_subscriptions_are_admitted_up_to_the_limit) {
  publisher_core core({.max_pending_first_offers = 64}, 1);
  const time_point now{};
  core.set_document(std::make_shared<document_state>(make_state(10, "100")), now);
  std::size_t busy = 0;
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    if (core.open(id, make_request({}), now)) ++busy;
  }
  EXPECT_EQ(busy, 1000U - 64U);
  EXPECT_EQ(core.waiting(), 64U);
  for (std::uint64_t id = 1; id <= 64; ++id) core.first_offer(id, true, now);
  EXPECT_FALSE(core.open(2000, make_request({}), now));
}

TEST(publisher_core, node_ahead_of_a_lagging_host_receives_no_document) {
  publisher_core core({}, 1);
  const time_point now{};
  core.set_document(std::make_shared<document_state>(make_state(10, "100")), now);
  ASSERT_FALSE(core.open(1, make_request({1, 50}), now));
  const auto first = core.first_offer(1, true, now);
  ASSERT_TRUE(first);
  EXPECT_TRUE(std::holds_alternative<keepalive>(*first->message));
  EXPECT_TRUE(core.set_document(std::make_shared<document_state>(make_state(11, "100")), now).empty());
}

// A node leaves a host that is silent for two keep-alive periods, so the time between two keep-alives has to stay well
// below that, also when the timer that sends them has the same period and runs late by a little.
TEST(publisher_core, keepalives_are_not_skipped_when_the_timer_has_their_period) {
  constexpr auto period = 500ms;
  publisher_core core({.keepalive = period}, 1);
  time_point now{};
  core.set_document(std::make_shared<document_state>(make_state(10, "100")), now);
  ASSERT_FALSE(core.open(1, make_request({1, 10}), now));
  core.first_offer(1, true, now);
  core.make_keepalives(true, now);
  std::mt19937_64 random(3);
  time_point last_sent = now;
  for (int tick = 1; tick <= 200; ++tick) {
    now = time_point{} + tick * period + std::chrono::microseconds(random() % 2'000);
    if (core.make_keepalives(true, now).empty()) continue;
    EXPECT_LT(now - last_sent, period * 3 / 2) << "at tick " << tick;
    last_sent = now;
  }
}

TEST(publisher_core, digest_mismatch_is_answered_by_one_snapshot) {
  publisher_core core({}, 1);
  const time_point now{};
  core.set_document(std::make_shared<document_state>(make_state(10, "100")), now);
  ASSERT_FALSE(core.open(1, make_request({1, 10}), now));
  core.first_offer(1, true, now);
  core.set_document(std::make_shared<document_state>(make_state(11, "110")), now);
  const refused_report refused{{1, 11}, {error_kind::corrupt, "digest", {}, {}}};
  const auto again = core.on_refused(1, refused, now);
  ASSERT_TRUE(again);
  EXPECT_TRUE(std::holds_alternative<snapshot_offer>(*again->message));
  EXPECT_FALSE(core.on_refused(1, refused, now))
      << "a node that refuses the snapshot too must not be sent it again and again";
}

TEST(subscriber_core, first_document_must_be_confirmed) {
  subscriber_core core = subscriber_core::make(node_settings(1, 7));
  core.on_connected(core.next_attempt().host_id, {});
  const document_state s = make_state(10, "100");
  EXPECT_EQ(core.on_message(snapshot_offer{s, digest_of(s), false}, {}).document, nullptr);
  EXPECT_FALSE(core.has_document());
  EXPECT_NE(core.on_message(snapshot_offer{s, digest_of(s), true}, {}).document, nullptr);
}

// A node ignores an unconfirmed first document, and a host does not send the same version twice on one stream. The node
// must subscribe again, or it would wait forever after the host has regained its quorum.
TEST(subscriber_core, subscribes_again_after_an_unconfirmed_document) {
  publisher_core host({}, 1);
  subscriber_core node = subscriber_core::make(node_settings(1, 7));
  const time_point now{};
  host.set_document(std::make_shared<document_state>(make_state(10, "100")), now);
  node.on_connected(node.next_attempt().host_id, now);
  ASSERT_FALSE(host.open(1, node.request(), now));
  const auto unconfirmed = host.first_offer(1, false, now);
  ASSERT_TRUE(unconfirmed);
  EXPECT_FALSE(node.on_message(*unconfirmed->message, now).disconnect_reason.empty());
  host.close(1);
  node.on_disconnected();
  node.on_connected(node.next_attempt().host_id, now);
  ASSERT_FALSE(host.open(2, node.request(), now));
  const auto confirmed = host.first_offer(2, true, now);
  ASSERT_TRUE(confirmed);
  EXPECT_NE(node.on_message(*confirmed->message, now).document, nullptr);
}

// A periodic keep-alive states that the host is in contact with a quorum, not that its version is the latest: a
// follower may lag.
TEST(subscriber_core, periodic_keepalive_does_not_confirm_a_version) {
  subscriber_core node = subscriber_core::make(node_settings(1, 7));
  node.on_connected(node.next_attempt().host_id, {});
  const document_state old = make_state(5, "100");
  node.on_message(keepalive{{}, false}, {});
  node.on_message(keepalive{{1, 5}, true}, {});
  EXPECT_EQ(node.on_message(snapshot_offer{old, digest_of(old), false}, {}).document, nullptr);
  EXPECT_FALSE(node.has_document());
}

TEST(subscriber_core, invalid_document_is_refused_as_a_whole) {
  subscriber_core core = subscriber_core::make(node_settings(1, 7));
  core.on_connected(core.next_attempt().host_id, {});
  const document_state good = make_state(10, "100");
  ASSERT_NE(core.on_message(snapshot_offer{good, digest_of(good), true}, {}).document, nullptr);
  document_state bad = make_state(11, "110");
  bad.sections["shares"].text = "web: {v9: 100}\n";
  const auto r = core.on_message(snapshot_offer{bad, digest_of(bad), true}, {});
  EXPECT_EQ(r.document, nullptr);
  ASSERT_TRUE(r.answer);
  EXPECT_TRUE(std::holds_alternative<refused_report>(*r.answer));
  EXPECT_EQ(core.held_version(), (version{1, 10}));
}

// During an election no host has a quorum. A node that disconnected at once would wait for its backoff and receive the
// first change of the new leader late.
TEST(subscriber_core, node_with_a_document_stays_during_an_election) {
  subscriber_core core = subscriber_core::make(node_settings(2, 7));
  core.on_connected(core.next_attempt().host_id, {});
  const document_state state = make_state(10, "100");
  ASSERT_NE(core.on_message(snapshot_offer{state, digest_of(state), true}, {}).document, nullptr);
  const time_point lost{1s};
  EXPECT_TRUE(core.on_message(keepalive{{1, 10}, false}, lost).disconnect_reason.empty());
  EXPECT_TRUE(core.on_message(keepalive{{1, 10}, false}, lost + 5s).disconnect_reason.empty());
  EXPECT_FALSE(core.on_message(keepalive{{1, 10}, false}, lost + 10s).disconnect_reason.empty());
}

// Control hosts that joined after the settings were written must be used, nearest first.
TEST(subscriber_core, uses_control_hosts_from_the_directory) {
  subscriber_core core = subscriber_core::make(node_settings(1, 7));
  member_record near;
  near.node_id = "10.1.0.9";
  near.availability_zone = "dar-1";
  near.region = "dar";
  near.mesh_address = "10.1.0.9:7001";
  near.role = process_role::control;
  member_record node = near;
  node.node_id = "10.1.0.3";
  node.role = process_role::node;
  core.set_members({node});
  EXPECT_EQ(core.next_attempt().host_id, "c0") << "a member list without control hosts must change nothing";
  core.set_members({node, near});
  EXPECT_EQ(core.next_attempt().mesh_address, "10.1.0.9:7001");
}

// The host that was nearest in the settings may not be the nearest of the directory; a node that takes it for the
// nearest skips the host of its own zone when it leaves.
TEST(subscriber_core, nearest_host_is_tried_first_after_the_list_has_changed) {
  settings s = node_settings(1, 7);
  s.control_hosts.front().availability_zone = "mwanza-1";
  s.control_hosts.front().region = "mwanza";
  subscriber_core core = subscriber_core::make(s);
  core.on_connected(core.next_attempt().host_id, {});
  const document_state state = make_state(10, "100");
  ASSERT_NE(core.on_message(snapshot_offer{state, digest_of(state), true}, {}).document, nullptr);
  std::vector<member_record> hosts(3);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].node_id = "c" + std::to_string(i);
    hosts[i].mesh_address = "127.0.0.1:" + std::to_string(7000 + i);
    hosts[i].availability_zone = i == 0 ? "mwanza-1" : "dar-" + std::to_string(i);
    hosts[i].region = i == 0 ? "mwanza" : "dar";
    hosts[i].role = process_role::control;
  }
  core.set_members(hosts);
  core.on_disconnected();
  EXPECT_EQ(core.next_attempt().host_id, "c1");
}

TEST(subscriber_core, disconnects_from_a_host_without_quorum_or_messages) {
  subscriber_core core = subscriber_core::make(node_settings(2, 7));
  core.on_connected(core.next_attempt().host_id, {});
  EXPECT_FALSE(core.on_message(keepalive{{1, 10}, false}, {}).disconnect_reason.empty());
  core.on_disconnected();
  core.on_connected(core.next_attempt().host_id, time_point{} + 1s);
  EXPECT_TRUE(core.check_connection(time_point{} + 10s).empty());
  EXPECT_FALSE(core.check_connection(time_point{} + 12s).empty());
}

// A node with the document of version 1.10 and two hosts, subscribed to the first, which goes on sending keep-alives.
struct node_with_document : testing::Test {
  void SetUp() override {
    core.on_connected(core.next_attempt().host_id, now);
    const document_state state = make_state(10, "100");
    ASSERT_NE(core.on_message(snapshot_offer{state, digest_of(state), true}, now).document, nullptr);
  }
  // Gets keep-alives with this version until it leaves. @return how long that took.
  duration leaves_after(const version& stated) {
    const time_point begun = now;
    while (core.check_connection(now).empty() && now < begun + 1min) {
      core.on_message(keepalive{stated, true}, now);
      now += 500ms;
    }
    return now - begun;
  }

  settings s = [] {
    settings made = node_settings(2, 7);
    made.keepalive = 500ms;
    return made;
  }();
  subscriber_core core = subscriber_core::make(s);
  time_point now{1s};
};

constexpr auto progress_bound = 2s;  // two keep-alive periods, and one until the node looks

// Guards against a node that stays with an old document because its host states a later one and doesn't send it.
TEST_F(node_with_document, leaves_a_host_that_does_not_send_the_version_that_it_states) {
  const std::string left = core.source();
  EXPECT_LE(leaves_after({1, 11}), progress_bound);
  core.on_disconnected();
  EXPECT_NE(core.next_attempt().host_id, left) << "the other host is tried first";
}

// Guards against a node that follows a host that has stopped applying changes.
TEST_F(node_with_document, leaves_a_host_whose_document_is_older) { EXPECT_LE(leaves_after({1, 9}), progress_bound); }

TEST_F(node_with_document, stays_at_a_host_with_the_same_version) { EXPECT_GE(leaves_after({1, 10}), 50s); }

// Guards against a node that changes hosts for good because no host has a document that it accepts.
TEST_F(node_with_document, stays_at_a_host_whose_version_it_has_refused) {
  const document_state invalid = make_state(11, "-1");
  const auto refused = core.on_message(snapshot_offer{invalid, digest_of(invalid), false}, now);
  ASSERT_TRUE(refused.answer && std::holds_alternative<refused_report>(*refused.answer));
  EXPECT_GE(leaves_after({1, 11}), 50s);
}

// Guards against a search that tries only the host with a silent connection: after an election all others have stated
// that they have no quorum. Two attempts of 2 s each left nodes with an old document for 4 s.
TEST_F(node_with_document, hosts_without_quorum_are_tried_beside_a_silent_one) {
  core.on_message(keepalive{{1, 10}, false}, now);
  core.on_disconnected();
  source_race race;
  race.begin(now);
  const auto silent = core.next_attempt();
  race.add(1, silent.host_id, now);
  const auto beside = core.next_parallel_attempt(race);
  ASSERT_TRUE(beside);
  EXPECT_NE(beside->host_id, silent.host_id);
}

// One seeded schedule: control hosts whose copies of the document differ in age, and one node that restarts, changes
// hosts and receives messages of streams that it has closed.
class fault_schedule {
 public:
  fault_schedule(std::uint64_t seed, bool stale_hosts_confirm)
      : random_(seed), stale_hosts_confirm_(stale_hosts_confirm) {
    for (std::size_t i = 0; i < host_count; ++i) hosts_.emplace_back(publisher_core::limits{}, seed + i);
    commit();
    restart();
  }

  /// @return how many times the node accepted an older version than one that it had used before.
  int run(int steps) {
    for (int i = 0; i < steps; ++i) step();
    return reverts_;
  }

  std::uint64_t applied() const { return applied_; }

 private:
  static constexpr std::size_t host_count = 3;

  std::size_t random_below(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }

  void commit() {
    ++index_;
    committed_ = std::make_shared<document_state>(make_state(index_, std::to_string(100 + index_)));
  }

  // While it is partitioned, host 0 receives no new documents; the other hosts form a quorum.
  void replicate(std::size_t host) {
    if (host == 0 && host_0_partitioned_) return;
    deliver(host, hosts_[host].set_document(committed_, now_));
  }

  void deliver(std::size_t host, const std::vector<publisher_core::offer>& offers) {
    for (const auto& offer : offers) in_flight_.push_back({host, offer.to, offer.message});
  }

  // The connections of a process end with it, so the restarted process receives nothing that was sent on them.
  void restart() {
    in_flight_.clear();
    node_ = std::make_unique<subscriber_core>(subscriber_core::make(node_settings(host_count, random_())));
    connect();
  }

  void connect() {
    if (stream_ != 0) {
      hosts_[host_].close(stream_);
      node_->on_disconnected();
    }
    const std::string host_id = node_->next_attempt().host_id;
    host_ = random_below(host_count);
    stream_ = next_stream_++;
    node_->on_connected(host_id, now_);
    const subscribe_request request = node_->request();
    if (hosts_[host_].open(stream_, request, now_)) return;
    bool confirmed = !request.want_confirmed || stale_hosts_confirm_;
    if (request.want_confirmed && !(host_ == 0 && host_0_partitioned_)) {
      hosts_[host_].set_document(committed_, now_);
      confirmed = true;
    }
    if (const auto offer = hosts_[host_].first_offer(stream_, confirmed, now_)) deliver(host_, {*offer});
  }

  // Messages of one stream arrive in order; messages of a closed stream are delivered as well.
  void receive() {
    if (in_flight_.empty()) return;
    const std::size_t chosen = random_below(in_flight_.size());
    const auto first = std::find_if(in_flight_.begin(), in_flight_.end(),
                                    [&](const in_flight_message& f) { return f.stream == in_flight_[chosen].stream; });
    const in_flight_message f = *first;
    in_flight_.erase(first);
    const auto r = node_->on_message(*f.message, now_);
    if (r.document) {
      ++applied_;
      if (r.document->document_version < highest_) ++reverts_;
      highest_ = std::max(highest_, r.document->document_version);
    }
    if (!r.answer) return;
    if (const auto* done = std::get_if<applied_report>(&*r.answer)) {
      if (const auto offer = hosts_[f.host].on_applied(f.stream, *done, now_)) deliver(f.host, {*offer});
    }
  }

  void step() {
    now_ += 10ms;
    switch (random_below(12)) {
      case 0:
        commit();
        break;
      case 1:
      case 2:
        replicate(random_below(host_count));
        break;
      case 3:
        if (random_below(4) == 0) restart();
        break;
      case 4:
        connect();
        break;
      case 5:
        if (random_below(8) == 0) host_0_partitioned_ = !host_0_partitioned_;
        break;
      case 6: {
        // A host in contact with a leader that has a quorum may still lag behind the committed document.
        const std::size_t host = random_below(host_count);
        deliver(host, hosts_[host].make_keepalives(!(host == 0 && host_0_partitioned_), now_));
        break;
      }
      default:
        receive();
    }
  }

  struct in_flight_message {
    std::size_t host;
    std::uint64_t stream;
    std::shared_ptr<const control_message> message;
  };

  std::mt19937_64 random_;
  bool stale_hosts_confirm_;
  std::deque<publisher_core> hosts_;
  std::unique_ptr<subscriber_core> node_;
  std::vector<in_flight_message> in_flight_;
  document_state_ptr committed_;
  std::uint64_t index_ = 0;
  std::size_t host_ = 0;
  std::uint64_t stream_ = 0;
  std::uint64_t next_stream_ = 1;
  bool host_0_partitioned_ = false;
  version highest_;
  int reverts_ = 0;
  std::uint64_t applied_ = 0;
  time_point now_{};
};

constexpr std::uint64_t schedule_count = 3000;
constexpr int steps_per_schedule = 120;

TEST(distribution, document_version_of_a_node_never_decreases) {
  std::uint64_t applied = 0;
  for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
    fault_schedule s(seed, false);
    ASSERT_EQ(s.run(steps_per_schedule), 0) << "seed " << seed;
    applied += s.applied();
  }
  EXPECT_GT(applied, schedule_count) << "too few documents were applied for the schedules to test the decision";
}

// Control for the test above: the same schedules without the confirmation of the first document do revert versions.
TEST(distribution, nodes_revert_without_confirmation_of_the_first_document) {
  int reverts = 0;
  for (std::uint64_t seed = 1; seed <= schedule_count; ++seed)
    reverts += fault_schedule(seed, true).run(steps_per_schedule);
  EXPECT_GT(reverts, 0);
  RecordProperty("reverts", reverts);
  std::printf("%d document versions decreased in %d schedules without confirmation\n", reverts,
              static_cast<int>(schedule_count));
}

}  // namespace
}  // namespace heatherdeck

// Tests of the calls that evacuate an availability zone: the decision on a call, and the calls at a control host.
// Guards against an accepted evacuation that is lost or refused when the call is sent again, and against calls that are
// refused for good although they could succeed. permitted_upstreams_test.cc tests what nodes make of it.
#include "control/evacuation.h"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

#include "control/configuration.h"
#include "control/ledger.h"
#include "control/ledger_service.h"
#include "platform/configuration_service.h"
#include "testing/single_host_control.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const time_point start_time = time_point{} + 1h;

member_record member(std::string id, std::string zone, process_role role, member_state state = member_state::alive) {
  return {.node_id = id,
          .availability_zone = zone,
          .region = zone.substr(0, zone.find('-')),
          .mesh_address = id + ":7000",
          .role = role,
          .state = state};
}

std::vector<member_record> two_zones() {
  return {member("10.0.0.1", "dar-1", process_role::control), member("10.0.0.2", "dar-2", process_role::control),
          member("10.0.1.1", "dar-1", process_role::node), member("10.0.1.2", "dar-2", process_role::node)};
}

const known_zones zones{{"dar-1", "dar-2"}, {"dar-1", "dar-2"}, true};

// The replicated state of one control host.
struct evacuation_ledger : testing::Test {
  ledger replicated{1};
  std::uint64_t index = 0;

  outcome<std::optional<submission>> plan(evacuation_call call, const std::string& zone) {
    return capture([&] { return plan_evacuation(call, zone, replicated.content().document, zones); });
  }
  command_result apply(const submission& change) { return replicated.apply(++index, change); }
  void accept(evacuation_call call, const std::string& zone) {
    const auto planned = plan(call, zone);
    ASSERT_TRUE(planned) << planned.failure().message();
    ASSERT_TRUE(*planned);
    const command_result result = apply(**planned);
    EXPECT_TRUE(result.ok()) << result.refusal.message();
  }
  std::set<std::string> evacuated() {
    return *capture([&] { return evacuated_zones(replicated.content().document); });
  }
};

// After a lost acknowledgement the call is sent again, perhaps to the next leader or after a restart of all hosts.
TEST_F(evacuation_ledger, repeated_call_is_accepted_also_after_a_restart) {
  accept(evacuation_call::start, "dar-1");
  auto restored = capture([&] { return ledger::restore(1, replicated.content()); });
  ASSERT_TRUE(restored) << restored.failure().message();
  replicated = std::move(*restored);
  EXPECT_EQ(evacuated(), std::set<std::string>{"dar-1"});
  const auto again = plan(evacuation_call::start, "dar-1");
  ASSERT_TRUE(again) << again.failure().message();
  EXPECT_FALSE(*again) << "nothing is left to change";
}

// Two calls that were decided on the same document must not both take effect, or both last zones could be evacuated.
TEST_F(evacuation_ledger, second_of_two_crossing_calls_is_decided_anew) {
  const auto first = plan(evacuation_call::start, "dar-1");
  const auto second = plan(evacuation_call::start, "dar-2");
  EXPECT_TRUE(apply(**first).ok());
  EXPECT_EQ(apply(**second).refusal.kind, error_kind::conflict);
  EXPECT_EQ(plan(evacuation_call::start, "dar-2").failure().kind, error_kind::conflict) << "it is the last zone now";
  EXPECT_EQ(evacuated(), std::set<std::string>{"dar-1"});
}

// The id of a submission depends on the revision and the text. If the section vanished after the last evacuation, the
// next one would have the id of the first, whose stored answer would acknowledge it without any effect.
TEST_F(evacuation_ledger, evacuation_takes_effect_again_after_it_ended) {
  accept(evacuation_call::start, "dar-1");
  accept(evacuation_call::end, "dar-1");
  EXPECT_TRUE(evacuated().empty());
  accept(evacuation_call::start, "dar-1");
  EXPECT_EQ(evacuated(), std::set<std::string>{"dar-1"});
}

TEST_F(evacuation_ledger, new_configuration_leaves_evacuations_alone) {
  accept(evacuation_call::start, "dar-1");
  const auto sent =
      capture([] { return parse_configuration(R"({"version":"00000007","routes":{},"services":{},"limits":{}})"); });
  ASSERT_TRUE(sent);
  const submission change{"put", "platform", diff_configuration(*sent, replicated.content().document), {}};
  // Decided on before the configuration: its revision is still the current one afterwards.
  const auto crossing = plan(evacuation_call::end, "dar-1");
  EXPECT_TRUE(apply(change).ok());
  EXPECT_EQ(evacuated(), std::set<std::string>{"dar-1"});
  EXPECT_TRUE(apply(**crossing).ok()) << "a change of the configuration must not make the call fail";
}

TEST_F(evacuation_ledger, call_is_refused_for_good_only_when_the_zones_are_known) {
  EXPECT_EQ(plan(evacuation_call::start, "nowhere").failure().kind, error_kind::not_found);
  EXPECT_EQ(plan(evacuation_call::end, "nowhere").failure().kind, error_kind::not_found);
  known_zones partial = zones;
  partial.complete = false;
  partial.serving = {"dar-1"};
  const auto uncertain = [&](evacuation_call call, const std::string& zone) {
    return capture([&] { return plan_evacuation(call, zone, {}, partial); }).failure().kind;
  };
  EXPECT_EQ(uncertain(evacuation_call::start, "nowhere"), error_kind::unavailable);
  EXPECT_EQ(uncertain(evacuation_call::end, "nowhere"), error_kind::unavailable);
  EXPECT_EQ(uncertain(evacuation_call::start, "dar-1"), error_kind::unavailable) << "other zones may serve";
}

// A zone that is cut off leaves the list of members, and is to be evacuated just then. A control host that starts while
// a zone is cut off must not take it for one that does not exist.
TEST(zone_registry, zone_that_is_cut_off_stays_known) {
  const std::vector<member_record> rest{member("10.0.0.1", "dar-1", process_role::control)};
  zone_registry registry({"10.0.0.1", "10.0.0.2:9"});
  registry.observe(rest, start_time);
  registry.observe(rest, start_time + 60s);
  EXPECT_FALSE(registry.known().complete) << "the control host of a zone is missing";
  std::vector<member_record> silent = two_zones();
  silent[3].state = member_state::suspect;
  registry.observe(silent, start_time + 61s);
  registry.observe(two_zones(), start_time + 64s);
  EXPECT_FALSE(registry.known().complete) << "gossip may not have brought all members yet";
  registry.observe(two_zones(), start_time + 66s);
  EXPECT_TRUE(registry.known().complete);
  registry.observe(rest, start_time + 70s);
  EXPECT_TRUE(registry.known().complete);
  EXPECT_TRUE(registry.known().all.contains("dar-2"));
  EXPECT_TRUE(registry.known().serving.contains("dar-2"));
}

// Service "directory" with a fixed list of members.
class fixed_directory : public service {
 public:
  std::string_view name() const override { return to_name(service_name::directory); }
  void publish(kernel& k) override {
    inbox_.emplace(k.executor(), 16);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

 private:
  awaitable<void> run() {
    for (;;) {
      auto message = co_await inbox_->receive();
      if (!message) co_return;
      if (const auto* asked = std::get_if<get_members>(&*message)) {
        asked->answer(std::make_shared<const std::vector<member_record>>(two_zones()));
      }
    }
  }
  std::optional<mailbox<directory_message>> inbox_;
};

struct evacuation_calls : testing::Test {
  evacuation_calls() {
    settings s;
    s.id = "10.0.0.1";
    s.configuration_listen = "127.0.0.1:0";
    s.founders = {"10.0.0.1", "10.0.0.2"};
    auto consensus = std::make_unique<single_host_consensus>();
    log = consensus.get();
    auto served = std::move(*capture([&] { return configuration_service::make(s); }));
    calls = static_cast<configuration_service*>(served.get());
    EXPECT_TRUE(capture([&] { return k.add(std::move(consensus)); }));
    EXPECT_TRUE(capture([&] { return k.add(std::make_unique<fixed_directory>()); }));
    EXPECT_TRUE(capture([&] { return k.add(std::move(*capture([&] { return ledger_service::make(s); }))); }));
    EXPECT_TRUE(capture([&] { return k.add(std::make_unique<scripted_rollout>()); }));
    EXPECT_TRUE(capture([&] { return k.add(std::move(served)); }));
    const outcome<void> begun = capture([&] { return k.start(); });
    EXPECT_TRUE(begun) << begun.failure().message();
  }

  unsigned call(const std::string& path, std::string body = {}) {
    unsigned status = 0;
    const http_request request{"POST", "/v1/evacuation/" + path, {}, {}, std::move(body)};
    const std::string at = "127.0.0.1:" + std::to_string(calls->port());
    boost::asio::co_spawn(
        k.executor(),
        [&]() -> awaitable<void> {
          const duration limit = 5s;
          const auto answer = co_await http_call(k.timers(), k.executor(), at, request, limit);
          if (answer) status = answer->status;
        },
        [&](std::exception_ptr) { k.io().stop(); });
    k.io().restart();
    k.io().run_for(6s);
    return status;
  }
  void run_for(duration time) {
    k.io().restart();
    k.io().run_for(time);
  }

  kernel k;
  single_host_consensus* log = nullptr;
  configuration_service* calls = nullptr;
};

TEST_F(evacuation_calls, are_answered_by_what_the_log_holds) {
  EXPECT_EQ(call("nowhere/start"), 503U) << "the host has just started and does not know all zones";
  EXPECT_EQ(call("dar-1/start"), 200U);
  EXPECT_EQ(call("dar-1/start"), 200U) << "sent again";
  EXPECT_EQ(call("dar-1/end", "{}"), 400U);
  run_for(zone_registry::settling_time + 200ms);
  EXPECT_EQ(call("nowhere/start"), 404U);
  EXPECT_EQ(call("dar-1/stop"), 404U);
  EXPECT_EQ(call("dar-2/start"), 409U) << "the last zone; had the rejected call ended the other, it would be 200";
  EXPECT_EQ(call("dar-1/end"), 200U);
  EXPECT_EQ(call("dar-1/end"), 200U);
  EXPECT_EQ(call("dar-2/start"), 200U);
  log->mode = commit_mode::commit_without_answer;
  EXPECT_EQ(call("dar-2/end"), 200U) << "the log holds it, although the consensus service has not answered";
  log->mode = commit_mode::not_leader;
  EXPECT_EQ(call("dar-2/start"), 503U);
  log->mode = commit_mode::commit;
  EXPECT_EQ(call("dar-2/start"), 200U);
}

}  // namespace
}  // namespace heatherdeck

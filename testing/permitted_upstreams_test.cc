// Tests of the rule that excludes upstreams: those of an evacuated zone, and those outside of a route's regions. Guards
// against a request that reaches one all the same: at the first attempt, at a retry, when the others are full, as the
// trial of a suspected request, after a wait for a slot, or because another node has an older document.
#include <gtest/gtest.h>

#include "model/document_compiler.h"
#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;
using names = std::set<std::string>;

const time_point now = time_point{} + 1h;

struct permitted_upstreams : testing::Test {
  traffic_core core{{.node_id = "n1", .availability_zone = "dar-1", .region = "dar", .seed = 5}};
  std::uint64_t last_id = 0;

  void set_document(names evacuated, std::vector<std::string> regions = {}) {
    auto d = std::make_shared<compiled_document>();
    d->routes = {{.name = "lookup", .path_prefix = "/", .service = "certdesk", .regions = std::move(regions)}};
    d->services["certdesk"] = {.name = "certdesk", .versions = {"v1"}, .shares = {{"v1", full_share}}};
    d->evacuated_zones = std::move(evacuated);
    core.set_document(d);
  }
  // The upstream in each zone has one slot and three connections; the first zone is that of this node.
  void set_zones(const std::vector<std::string>& zones) {
    std::vector<member_record> members;
    members.reserve(zones.size());
    for (const std::string& zone : zones) {
      members.push_back({.node_id = zone == "dar-1" ? "n1" : zone,
                         .availability_zone = zone,
                         .region = zone.substr(0, zone.find('-')),
                         .endpoints = {{.service = "certdesk",
                                        .upstream_version = "v1",
                                        .target = zone,
                                        .state = upstream_state::ready,
                                        .slots = 1,
                                        .connections = 3}}});
    }
    core.set_members(members, now);
  }
  static std::string result_of(const std::optional<pick_result>& answer) {
    if (!answer) return "waits";
    if (const auto* refused = std::get_if<refusal>(&*answer)) return std::string(to_name(refused->reason));
    return std::get<upstream_choice>(*answer).target;
  }
  std::string pick(std::vector<std::string> tried = {}, bool from_peer = false, request_fingerprint request = {}) {
    request_attributes a{.path = "/x", .method = "GET", .from_peer = from_peer, .fingerprint = request};
    if (from_peer) a.service = "certdesk";
    a.attempt = static_cast<std::uint32_t>(tried.size());
    a.tried_targets = std::move(tried);
    return result_of(core.pick(now, a, ++last_id));
  }
  std::string pick_for_peer() { return pick({}, true); }
};

// A node that restarts gets the evacuations with its first document.
TEST_F(permitted_upstreams, none_of_an_evacuated_zone_is_chosen) {
  set_document({"dar-1", "mwa-1"});
  set_zones({"dar-1", "dar-2", "mwa-1"});
  EXPECT_EQ((names{pick(), pick(), pick()}), names{"dar-2"});
  EXPECT_EQ(pick(), "no_upstream") << "all connections are used";
  EXPECT_EQ(pick_for_peer(), "no_upstream") << "the other node has an older document";
  set_document({"dar-1", "dar-2", "mwa-1"});
  EXPECT_EQ(pick({"dar-2"}), "no_upstream") << "a retry when no zone is left";
  set_document({});
  EXPECT_EQ(pick_for_peer(), "dar-1") << "the evacuation has ended";
}

// All nodes return to the zone at the same moment, and the upstreams that were idle may be cold.
TEST_F(permitted_upstreams, zone_gets_requests_slowly_after_its_evacuation) {
  const auto weight = [&] {
    const boost::json::value state = core.dump(now);
    return state.at_pointer("/services/certdesk/upstreams/0/weight").to_number<double>();
  };
  set_document({"dar-2"});
  set_zones({"dar-2"});
  core.take_answers(now);
  EXPECT_EQ(weight(), 1);
  set_document({});
  core.take_answers(now);
  EXPECT_EQ(weight(), slow_start::min_weight);
}

// A suspected request has one upstream, found by rank among all.
TEST_F(permitted_upstreams, none_of_an_evacuated_zone_is_chosen_for_a_trial) {
  set_document({"dar-1"});
  set_zones({"dar-1", "dar-2", "mwa-1"});
  auto list = std::make_shared<quarantine_list>();
  for (std::uint64_t i = 1; i < 20; ++i) {
    list->services["certdesk"] = {{{i, 0}, request_standing::suspected}};
    core.set_quarantine(list);
    EXPECT_NE(pick({}, false, {i, 0}), "dar-1");
  }
}

// What waits in the queue of the own upstream when the evacuation comes would reach it when a slot becomes free.
TEST_F(permitted_upstreams, waiting_requests_leave_the_queue_of_an_evacuated_zone) {
  set_document({});
  set_zones({"dar-1"});
  EXPECT_EQ(pick(), "dar-1");
  EXPECT_EQ(pick(), "waits");
  EXPECT_EQ(pick_for_peer(), "waits");
  set_zones({"dar-1", "dar-2"});
  set_document({"dar-1"});
  std::map<std::uint64_t, std::string> answers;
  for (const auto& [id, answer] : core.take_answers(now + 1ms)) answers[id] = result_of(answer);
  EXPECT_EQ(answers, (std::map<std::uint64_t, std::string>{{2, "dar-2"}, {3, "no_upstream"}}));
  core.finish(now + 2ms, {1, call_outcome::ok, 1ms, {}});
  EXPECT_TRUE(core.take_answers(now + 3ms).empty()) << "the running request completes, and nothing follows it";
}

TEST_F(permitted_upstreams, no_attempt_leaves_the_regions_of_its_route) {
  set_document({}, {"mwa"});
  set_zones({"dar-1", "mwa-1", "mwa-2", "kig-1"});
  EXPECT_EQ(pick_for_peer(), "no_upstream") << "the other node has an older document";
  const std::string first = pick();
  EXPECT_EQ((names{first, pick({first})}), (names{"mwa-1", "mwa-2"}));
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(pick().starts_with("mwa"));
  EXPECT_EQ(pick(), "no_upstream") << "the region is full, and the others are not tried";
  set_zones({"dar-1", "kig-1"});
  EXPECT_EQ(pick(), "no_upstream") << "none is left in the region";
  set_document({}, {"mwa", "dar"});
  EXPECT_EQ(pick_for_peer(), "dar-1");
}

TEST(route_regions, are_read_from_both_forms_of_routes) {
  document_state state;
  state.sections["services"] = {"services", R"({"a":{"warmup_s":2.5,"warmup_per_s":17.5}})", {1, 1}};
  state.sections["routes.00"] = {
      "routes.00",
      R"({"r":{"host":"h","path_prefix":"/","kind":"safe","timeout_ms":9,"service":"a","allowed_regions":["dar","mwa"]}})",
      {1, 1}};
  state.sections["routes.list"] = {"routes.list", "- { name: l, service: a, allowed_regions: [kig] }\n", {1, 1}};
  const auto compiled = capture([&] { return compile_document(state); });
  ASSERT_TRUE(compiled) << compiled.failure().message();
  EXPECT_EQ((*compiled)->routes[0].regions, (std::vector<std::string>{"dar", "mwa"}));
  EXPECT_EQ((*compiled)->routes[1].regions, std::vector<std::string>{"kig"});
  EXPECT_EQ((*compiled)->services.at("a").warmup, 2500ms);
  EXPECT_EQ((*compiled)->services.at("a").warmup_per_s, 17.5);
}

}  // namespace
}  // namespace heatherdeck

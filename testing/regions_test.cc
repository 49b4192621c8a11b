// Tests of the regions of routes and client accounts. Guards against a request that leaves the regions in which it may
// be served: at the first attempt, at a retry, when the region is full, or because another node sent it here.
#include <gtest/gtest.h>

#include "model/document_compiler.h"
#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const time_point now = time_point{} + 1h;

struct regions_test : testing::Test {
  traffic_core core{{.node_id = "n1", .availability_zone = "dar-1", .region = "dar", .seed = 7}};

  void set_up(std::vector<std::string> regions) {
    auto d = std::make_shared<compiled_document>();
    d->document_version = {1, 5};
    d->routes = {{.name = "lookup", .path_prefix = "/", .service = "certdesk", .regions = std::move(regions)}};
    d->services["certdesk"] = {.name = "certdesk", .versions = {"v1"}, .shares = {{"v1", full_share}}};
    core.set_document(d);
  }
  static member_record node(const std::string& id, const std::string& zone) {
    return {.node_id = id,
            .availability_zone = zone,
            .region = zone.substr(0, zone.find('-')),
            .mesh_address = "127.0.0.1:7000",
            .endpoints = {{.service = "certdesk",
                           .upstream_version = "v1",
                           .target = "t-" + id,
                           .address = "127.0.0.1:9000",
                           .state = upstream_state::ready,
                           .slots = 1,
                           .connections = 3}}};
  }
  void set_nodes() {
    core.set_members({node("n1", "dar-1"), node("n2", "mwa-1"), node("n3", "mwa-2"), node("n4", "kig-1")}, now);
  }
  std::string pick(std::vector<std::string> tried = {}, bool from_peer = false) {
    request_attributes a{.path = "/x", .method = "GET", .from_peer = from_peer};
    if (from_peer) a.service = "certdesk";
    a.attempt = static_cast<std::uint32_t>(tried.size());
    a.tried_targets = std::move(tried);
    const pick_result answer = core.pick(now, a);
    if (const auto* refused = std::get_if<refusal>(&answer)) return std::string(to_name(refused->reason));
    return std::get<upstream_choice>(answer).target;
  }
};

TEST_F(regions_test, no_attempt_and_no_retry_leaves_them) {
  set_up({"mwa"});
  set_nodes();
  const std::string first = pick();
  const std::string second = pick({first});
  EXPECT_EQ((std::set<std::string>{first, second}), (std::set<std::string>{"t-n2", "t-n3"}));
}

// All connections of the region are used: the request is rejected, and the free upstreams elsewhere get none.
TEST_F(regions_test, full_region_is_not_left) {
  set_up({"mwa"});
  set_nodes();
  for (int i = 0; i < 6; ++i) EXPECT_TRUE(pick().starts_with("t-n")) << "request " << i;
  EXPECT_EQ(pick(), "no_upstream");
}

TEST_F(regions_test, rejected_at_once_when_none_is_left) {
  set_up({"lamu"});
  set_nodes();
  EXPECT_EQ(pick(), "no_upstream");
  EXPECT_EQ(pick({"t-n2"}), "no_upstream");
  core.set_members({node("n1", "dar-1"), node("n4", "kig-1")}, now);
  set_up({"mwa"});
  EXPECT_EQ(pick(), "no_upstream");
}

// A first node with an older document, or of an older release, sends what this node must not serve.
TEST_F(regions_test, owning_node_refuses_what_may_not_be_served_in_its_region) {
  set_up({"mwa"});
  set_nodes();
  EXPECT_EQ(pick({}, true), "no_upstream");
  set_up({"mwa", "dar"});
  EXPECT_EQ(pick({}, true), "t-n1");
}

TEST_F(regions_test, empty_list_permits_all) {
  set_up({});
  set_nodes();
  EXPECT_EQ(pick(), "t-n1");
}

TEST(route_regions, are_read_from_both_forms_of_routes) {
  document_state state;
  state.document_version = {1, 1};
  state.sections["services"] = {"services", R"({"a":{}})", {1, 1}};
  state.sections["routes.00"] = {
      "routes.00",
      R"({"r":{"host":"h","path_prefix":"/","kind":"safe","timeout_ms":9,"service":"a","regions":["dar","mwa"]}})",
      {1, 1}};
  state.sections["routes.list"] = {"routes.list", "- { name: l, service: a, regions: [kig] }\n", {1, 1}};
  const auto compiled = capture([&] { return compile_document(state); });
  ASSERT_TRUE(compiled) << compiled.failure().message();
  EXPECT_EQ((*compiled)->routes[0].regions, (std::vector<std::string>{"dar", "mwa"}));
  EXPECT_EQ((*compiled)->routes[1].regions, std::vector<std::string>{"kig"});
  state.sections["routes.list"].text = "- { name: l, service: a, regions: kig }\n";
  EXPECT_FALSE(capture([&] { return compile_document(state); })) << "one name instead of a list";
}

}  // namespace
}  // namespace heatherdeck

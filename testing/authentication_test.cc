// Tests the authentication of callers in the traffic decisions. Guards against requests that run without a valid key,
// 404 or 503 that become 401, keys that stay valid in queues, and accounts that a caller names itself.
#include <gtest/gtest.h>

#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const time_point start_time = time_point{} + 1h;

std::shared_ptr<compiled_document> document(const std::vector<std::pair<std::string, std::string>>& keys,
                                            bool has_accounts = true) {
  auto d = std::make_shared<compiled_document>();
  d->document_version = {1, 5};
  d->routes = {{.name = "lookup", .host = "h", .path_prefix = "/a", .service = "desk", .priority = 7},
               {.name = "open", .host = "h", .path_prefix = "/open", .service = "desk", .anonymous = true}};
  d->services["desk"] = {.name = "desk", .versions = {"v1"}, .shares = {{"v1", full_share}}};
  d->has_accounts = has_accounts;
  std::vector<account_key_table::entry> entries;
  for (const auto& [key, account] : keys) {
    d->accounts[account] = {.name = account, .priority = account == "plain" ? std::optional<std::uint32_t>() : 2};
    entries.push_back({digest_of_key(key), account});
  }
  EXPECT_FALSE(d->account_keys.build(std::move(entries)));
  return d;
}

request_attributes request(const std::string& path, const std::string& key = {}) {
  request_attributes attributes{.host = "h", .path = path, .method = "GET"};
  if (!key.empty()) {
    attributes.api_key = digest_of_key(key);
    attributes.headers["authorization"] = "Bearer " + key;
  }
  return attributes;
}

request_attributes forwarded(const std::string& account, const std::string& key) {
  request_attributes attributes{.host = "h", .path = "/a/1", .method = "GET"};
  attributes.from_peer = true;
  attributes.service = "desk";
  attributes.upstream_version = "v1";
  attributes.account = account;
  if (!key.empty()) attributes.account_key = key_id_of(digest_of_key(key));
  return attributes;
}

struct authentication : testing::Test {
  traffic_core core{{.node_id = "n1", .availability_zone = "dar-1", .region = "dar", .seed = 3}};
  time_point now = start_time;

  void SetUp() override { set_upstream(20); }
  void set_upstream(std::uint32_t slots) {
    const endpoint_record own{.service = "desk",
                              .upstream_version = "v1",
                              .target = "t1",
                              .address = "127.0.0.1:9000",
                              .state = upstream_state::ready,
                              .slots = slots,
                              .connections = 130};
    core.set_members({{.node_id = "n1", .availability_zone = "dar-1", .region = "dar", .endpoints = {own}}}, now);
  }
  std::string result_of(const request_attributes& attributes) {
    const pick_result answer = core.pick(now, attributes);
    if (const auto* r = std::get_if<refusal>(&answer)) {
      if (r->reason == refusal_reason::unauthenticated) {
        EXPECT_EQ(r->retry_after, 0ms) << "no promise to come back";
      }
      return std::string(to_name(r->reason));
    }
    const upstream_choice& choice = std::get<upstream_choice>(answer);
    core.finish(now, {choice.pick_id, call_outcome::ok, 5ms, {}});
    return "account " + choice.account + (choice.remove_credentials ? ", removed" : ", kept");
  }
};

struct stage_case {
  const char* what;
  request_attributes attributes;
  std::string expected;
};

TEST_F(authentication, decides_by_route_and_key) {
  EXPECT_EQ(result_of(request("/a/1", "k1")), "no_document") << "a node without a document knows no key";
  core.set_document(document({{"k1", "acme"}, {"k2", "acme"}, {"k3", "plain"}}));
  request_attributes named_by_caller = request("/a/1");
  named_by_caller.account = "acme";
  const stage_case cases[] = {
      {"known", request("/a/1", "k1"), "account acme, removed"},
      {"second key", request("/a/1", "k2"), "account acme, removed"},
      {"missing", request("/a/1"), "unauthenticated"},
      {"unknown", request("/a/1", "k4"), "unauthenticated"},
      {"account without a key", named_by_caller, "unauthenticated"},
      {"no route", request("/b"), "no_route"},
      {"no route, unknown key", request("/b", "k4"), "no_route"},
      {"anonymous", request("/open"), "account , removed"},
      {"anonymous with a key", request("/open", "k1"), "account , removed"},
      {"anonymous with an unknown key", request("/open", "k4"), "account , removed"},
      {"forwarded", forwarded("plain", "k3"), "account plain, removed"},
      {"forwarded, account not known here yet", forwarded("later", "k9"), "account later, removed"},
      {"forwarded, anonymous", forwarded("", ""), "account , removed"},
  };
  for (const stage_case& c : cases) EXPECT_EQ(result_of(c.attributes), c.expected) << c.what;
  EXPECT_EQ(core.counters().missing_keys, 2U);
  EXPECT_EQ(core.counters().unknown_keys, 1U);
  const boost::json::value dump = core.dump(now);
  EXPECT_EQ(dump.at("accounts").at("keys").as_uint64(), 3U);
  EXPECT_EQ(dump.at("accounts").at("refused_missing").as_uint64(), 2U);
}

TEST_F(authentication, document_without_accounts_needs_no_key) {
  core.set_document(document({{"k1", "acme"}}));
  EXPECT_EQ(result_of(request("/a/1")), "unauthenticated");
  core.set_document(document({}, false));
  EXPECT_EQ(result_of(request("/a/1")), "account , kept");
  EXPECT_EQ(result_of(request("/a/1", "k1")), "account , kept");
  EXPECT_EQ(result_of(forwarded("acme", "k1")), "account acme, removed") << "the first node has the older document";
  EXPECT_TRUE(core.dump(now).at("accounts").is_null());
  core.set_document(document({}, true));
  EXPECT_EQ(result_of(request("/a/1", "k1")), "unauthenticated") << "an empty map of accounts is not open to all";
}

TEST_F(authentication, withdrawn_key_is_refused_at_the_next_pick) {
  core.set_document(document({{"k1", "acme"}, {"k2", "acme"}}));
  EXPECT_EQ(result_of(request("/a/1", "k1")), "account acme, removed");
  core.set_document(document({{"k2", "acme"}}));
  EXPECT_EQ(result_of(request("/a/1", "k1")), "unauthenticated");
  request_attributes second_attempt = request("/a/1", "k1");
  second_attempt.attempt = 1;
  EXPECT_EQ(result_of(second_attempt), "unauthenticated");
  EXPECT_EQ(result_of(request("/a/1", "k2")), "account acme, removed");
}

// Only the request with the withdrawn key leaves the queue, and the slot that it waited for goes to the next one.
TEST_F(authentication, requests_that_wait_are_refused_when_their_key_is_withdrawn) {
  set_upstream(1);
  core.set_document(document({{"k1", "acme"}, {"k2", "acme"}, {"k3", "plain"}}));
  const pick_result running = core.pick(now, request("/a/1", "k3"));
  ASSERT_TRUE(std::holds_alternative<upstream_choice>(running));
  ASSERT_FALSE(core.pick(now, request("/a/1", "k1"), 1));
  ASSERT_FALSE(core.pick(now, request("/a/1", "k2"), 2));
  ASSERT_FALSE(core.pick(now, forwarded("acme", "k1"), 3));
  ASSERT_FALSE(core.pick(now, forwarded("later", "k9"), 4));
  ASSERT_FALSE(core.pick(now, request("/open"), 5));
  EXPECT_TRUE(core.take_answers(now).empty());
  core.set_document(document({{"k2", "acme"}, {"k3", "plain"}}));
  std::set<std::uint64_t> refused;
  for (const auto& [id, answer] : core.take_answers(now)) {
    ASSERT_TRUE(std::holds_alternative<refusal>(answer));
    EXPECT_EQ(std::get<refusal>(answer).reason, refusal_reason::unauthenticated);
    refused.insert(id);
  }
  EXPECT_EQ(refused, (std::set<std::uint64_t>{1, 3}));
  EXPECT_EQ(core.counters().withdrawn_keys, 2U);
  core.finish(now, {std::get<upstream_choice>(running).pick_id, call_outcome::ok, 5ms, {}});
  EXPECT_EQ(core.take_answers(now).size(), 1U);
}

// The account's priority takes precedence over the route's, also at the node of the upstream.
TEST_F(authentication, priority_of_the_account_takes_precedence) {
  set_upstream(1);
  core.set_document(document({{"k1", "acme"}, {"k3", "plain"}}));
  const auto first_served = [&](const request_attributes& less, const request_attributes& more) {
    pick_result running = core.pick(now, request("/open"));
    EXPECT_FALSE(core.pick(now, less, 1));
    EXPECT_FALSE(core.pick(now, more, 2));
    core.finish(now, {std::get<upstream_choice>(running).pick_id, call_outcome::ok, 5ms, {}});
    std::vector<std::uint64_t> order;
    for (auto answers = core.take_answers(now); !answers.empty(); answers = core.take_answers(now)) {
      order.push_back(answers.front().first);
      core.finish(now, {std::get<upstream_choice>(answers.front().second).pick_id, call_outcome::ok, 5ms, {}});
    }
    EXPECT_EQ(order.size(), 2U);
    return order.empty() ? 0 : order.front();
  };
  EXPECT_EQ(first_served(request("/a/1", "k3"), request("/a/1", "k1")), 2U);
  EXPECT_EQ(first_served(forwarded("plain", "k3"), forwarded("acme", "k1")), 2U);
}

}  // namespace
}  // namespace heatherdeck

// Tests accounts from the caller's connection to the upstream, with the real proxy, mesh and traffic decisions: the
// upstream learns the account and never the key, callers cannot name an account, and nothing that operators can read
// contains a key.
#include <mutex>
#include <thread>

#include <boost/json/serialize.hpp>

#include "kernel/log.h"
#include "model/account_section.h"
#include "platform/dialect.h"
#include "testing/second_node.h"
#include "traffic/traffic_core.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const std::string key = "k-5e1f0c77aa";
const std::string other_key = "k-0b62d8114c";
const std::string wrong_key = "k-ffffffffff";

/// An upstream that records the head of each request and answers it.
class recording_upstream {
 public:
  upstream_script script() {
    return [this](tcp_socket socket) -> awaitable<void> {
      std::string received;
      while (true) {
        auto [ec, size] = co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(received),
                                                                 "\r\n\r\n", use_tuple);
        if (ec) co_return;
        const std::string head = received.substr(0, size);
        received.erase(0, size);
        const std::scoped_lock lock(mutex_);
        heads_.push_back(head);
        const std::size_t id = head.find("x-request-id: ");
        const std::string answer = "HTTP/1.1 200 OK\r\n" + head.substr(id, head.find("\r\n", id) + 2 - id) +
                                   "x-response-seal: s\r\ncontent-length: 0\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(answer));
      }
    };
  }
  std::vector<std::string> take_heads() {
    const std::scoped_lock lock(mutex_);
    return std::exchange(heads_, {});
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> heads_;
};

compiled_document_ptr document(bool has_accounts, const std::string& valid_key = key) {
  auto d = std::make_shared<compiled_document>();
  d->document_version = {1, 5};
  d->routes = {{.name = "lookup", .host = "h", .path_prefix = "/a", .service = "certdesk"},
               {.name = "open", .host = "h", .path_prefix = "/open", .service = "certdesk", .anonymous = true}};
  d->services["certdesk"] = {.name = "certdesk", .versions = {"v1"}, .shares = {{"v1", full_share}}};
  d->has_accounts = has_accounts;
  if (has_accounts) {
    d->accounts["acme"] = {.name = "acme"};
    EXPECT_FALSE(d->account_keys.build({{digest_of_key(valid_key), "acme"}, {digest_of_key(other_key), "acme"}}));
  }
  return d;
}

/// The traffic decisions of a node whose upstream is that of the harness.
class node_decisions {
 public:
  node_decisions(proxy_harness& harness, std::string node_id)
      : core_({.node_id = std::move(node_id), .availability_zone = "dar-1", .region = "dar", .seed = 5}) {
    harness.traffic->pick = [this](const request_attributes& attributes) {
      const time_point now = timer_service::now();
      pick_result answer = core_.pick(now, attributes);
      if (auto* choice = std::get_if<upstream_choice>(&answer)) core_.finish(now, {choice->pick_id});
      return answer;
    };
  }
  void set_upstream(std::string node_id, const std::string& address, const std::string& mesh_address) {
    const endpoint_record endpoint{.service = "certdesk",
                                   .upstream_version = "v1",
                                   .target = "certdesk-1",
                                   .address = address,
                                   .state = upstream_state::ready,
                                   .slots = 20,
                                   .connections = 130};
    core_.set_members({{.node_id = std::move(node_id),
                        .availability_zone = "dar-1",
                        .region = "dar",
                        .mesh_address = mesh_address,
                        .endpoints = {endpoint}}},
                      timer_service::now());
  }
  traffic_core& core() { return core_; }

 private:
  traffic_core core_;
};

struct call_case {
  const char* what;
  std::string head;  ///< request line and header fields
  unsigned status;
  std::string account;  ///< that the upstream receives; empty: none
};

const std::string line = "GET /a/1 HTTP/1.1\r\nHost: h\r\n";
const std::string open_line = "GET /open/1 HTTP/1.1\r\nHost: h\r\n";

std::string bearer(const std::string& with_key) { return "Authorization: Bearer " + with_key + "\r\n"; }

const std::vector<call_case> calls_with_accounts = {
    {"known key", line + bearer(key), 200, "acme"},
    {"scheme in another case, blanks", line + "authorization:  bEARER   " + key + " \r\n", 200, "acme"},
    {"second key", line + bearer(other_key), 200, "acme"},
    {"spoofed account", line + bearer(key) + "X-Tenant-Id: evil\r\nhd-account: evil\r\nhd-account-key: 00\r\n", 200,
     "acme"},
    {"spoofed account without a key", line + "X-Tenant-Id: acme\r\nhd-account: acme\r\n", 401, ""},
    {"no key", line, 401, ""},
    {"unknown key", line + bearer(wrong_key), 401, ""},
    {"part of a key", line + bearer(key.substr(0, 5)), 401, ""},
    {"empty key", line + "Authorization: Bearer \r\n", 401, ""},
    {"another scheme", line + "Authorization: Basic " + key + "\r\n", 401, ""},
    {"two fields", line + bearer(key) + bearer(wrong_key), 401, ""},
    {"two fields, the other way round", line + bearer(wrong_key) + bearer(key), 401, ""},
    {"no route", "GET /b HTTP/1.1\r\nHost: h\r\n" + bearer(wrong_key), 404, ""},
    {"anonymous", open_line, 200, ""},
    {"anonymous with a key and a spoofed account", open_line + bearer(key) + "X-Tenant-Id: acme\r\n", 200, ""},
    {"malformed, with a key", line + bearer(key) + "Host: again\r\n", 400, ""},
    {"malformed key field", line + "Authorization: Bearer " + key + "\x01\r\n", 400, ""},
};

// Calls `h` and checks the status and what the upstream received.
awaitable<void> check_calls(proxy_harness& h, recording_upstream& upstream, const std::vector<call_case>& cases) {
  for (const call_case& c : cases) {
    auto response = co_await h.call(c.head + "X-Request-Id: r1\r\n\r\n");
    EXPECT_EQ(response.result_int(), c.status) << c.what;
    if (c.status == 401) {
      EXPECT_EQ(response["www-authenticate"], "Bearer");
      EXPECT_EQ(response.count("retry-after"), 0U);
    }
    const std::vector<std::string> heads = upstream.take_heads();
    EXPECT_EQ(heads.size(), c.status == 200 ? 1U : 0U) << c.what;
    if (heads.empty()) continue;
    const std::string expected = c.account.empty() ? "" : "x-tenant-id: " + c.account + "\r\n";
    EXPECT_NE(heads[0].find(expected), std::string::npos) << c.what << ": " << heads[0];
    for (const std::string& absent : {std::string("evil"), std::string("uthorization"), std::string("earer"),
                                      std::string("hd-account"), key, other_key, wrong_key}) {
      EXPECT_EQ(heads[0].find(absent), std::string::npos) << c.what << ": " << heads[0];
    }
    const std::size_t first = heads[0].find("x-tenant-id");
    EXPECT_EQ(first == std::string::npos, c.account.empty()) << c.what;
    if (first != std::string::npos) {
      EXPECT_EQ(heads[0].find("x-tenant-id", first + 1), std::string::npos);
    }
  }
}

// Without accounts both fields are the business of callers and upstreams, as before.
const std::string forwarded_unchanged = "authorization: Bearer " + key + "\r\nx-tenant-id: theirs\r\n";

awaitable<void> check_call_without_accounts(proxy_harness& h, recording_upstream& upstream) {
  auto response = co_await h.call(line + bearer(key) + "X-Tenant-Id: theirs\r\nX-Request-Id: r1\r\n\r\n");
  EXPECT_EQ(response.result_int(), 200U);
  const std::vector<std::string> heads = upstream.take_heads();
  EXPECT_EQ(heads.size(), 1U);
  if (!heads.empty()) {
    EXPECT_NE(heads[0].find(forwarded_unchanged), std::string::npos) << heads[0];
  }
}

const http_dialect& dialect() { return dialect_of(dialect_name::platform); }

TEST(account_proxy, upstream_receives_the_account_and_never_the_key) {
  recording_upstream upstream;
  proxy_harness h(upstream.script(), 60s, false, dialect());
  node_decisions node(h, "n1");
  node.set_upstream("n1", h.choice.upstream_address, "127.0.0.1:1");
  h.run([&]() -> awaitable<void> {
    auto before = co_await h.call(line + bearer(key) + "\r\n");
    EXPECT_EQ(before.result_int(), 503U) << "a node without a document must not answer 401";
    node.core().set_document(document(true));
    co_await check_calls(h, upstream, calls_with_accounts);
    node.core().set_document(document(false));
    co_await check_call_without_accounts(h, upstream);
    node.core().set_document(document(true));
    co_await check_calls(h, upstream, calls_with_accounts);
  });
}

// An open connection, and requests that were sent on it ahead, must not outlive the key.
TEST(account_proxy, withdrawn_key_is_refused_on_an_open_connection) {
  recording_upstream upstream;
  proxy_harness h(upstream.script(), 60s, false, dialect());
  node_decisions node(h, "n1");
  node.set_upstream("n1", h.choice.upstream_address, "127.0.0.1:1");
  node.core().set_document(document(true));
  h.run([&]() -> awaitable<void> {
    auto caller = co_await h.connect();
    const std::string request = line + bearer(key) + "X-Request-Id: r1\r\n\r\n";
    co_await h.send(*caller, request);
    auto served = co_await h.read_response(*caller);
    EXPECT_EQ(served.result_int(), 200U);
    node.core().set_document(document(true, wrong_key));
    co_await h.send(*caller, request + request);
    for (int i = 0; i < 2; ++i) {
      auto refused = co_await h.read_response(*caller);
      EXPECT_EQ(refused.result_int(), 401U);
    }
    co_await h.send(*caller, line + bearer(other_key) + "X-Request-Id: r1\r\n\r\n");
    auto rotated = co_await h.read_response(*caller);
    EXPECT_EQ(rotated.result_int(), 200U);
  });
}

/// Two nodes; all requests of the first go to the upstream of the second.
struct two_nodes {
  recording_upstream upstream;
  second_node second{upstream.script(), dialect()};
  node_decisions second_decisions{second.harness, "n2"};
  proxy_harness first{echo_upstream, 60s, true, dialect()};
  node_decisions first_decisions{first, "n1"};

  two_nodes() {
    first_decisions.set_upstream("n2", "127.0.0.1:1", "127.0.0.1:" + std::to_string(second.harness.mesh->port()));
    set_second(document(true));
    first_decisions.core().set_document(document(true));
  }
  void set_second(const compiled_document_ptr& next) {
    std::atomic<bool> done = false;
    second.post([&] {
      second_decisions.set_upstream("n2", second.harness.choice.upstream_address, "127.0.0.1:1");
      second_decisions.core().set_document(next);
      done = true;
    });
    while (!done) std::this_thread::sleep_for(1ms);
  }
};

TEST(account_proxy, account_reaches_the_upstream_of_another_node) {
  two_nodes nodes;
  nodes.first.run([&]() -> awaitable<void> { co_await check_calls(nodes.first, nodes.upstream, calls_with_accounts); });
  // The second node has an older document without accounts, or a newer one; the first has authenticated the request.
  nodes.set_second(document(false));
  nodes.first.run([&]() -> awaitable<void> { co_await check_calls(nodes.first, nodes.upstream, calls_with_accounts); });
  nodes.set_second(document(true, "another key"));
  nodes.first.run([&]() -> awaitable<void> { co_await check_calls(nodes.first, nodes.upstream, calls_with_accounts); });
  nodes.set_second(document(false));
  nodes.first_decisions.core().set_document(document(false));
  nodes.first.run([&]() -> awaitable<void> { co_await check_call_without_accounts(nodes.first, nodes.upstream); });
  nodes.second.join();
  for (const request_attributes& request : nodes.second.harness.traffic->requests) {
    EXPECT_TRUE(request.from_peer);
    EXPECT_FALSE(request.api_key) << "only the first node authenticates";
    EXPECT_EQ(request.account_key.has_value(), !request.account.empty());
  }
}

// The first node has not received the document with accounts yet: the second must not hand the key to its upstream.
TEST(account_proxy, key_of_a_request_from_a_node_without_accounts_is_removed) {
  two_nodes nodes;
  nodes.first_decisions.core().set_document(document(false));
  nodes.first.run([&]() -> awaitable<void> {
    auto response = co_await nodes.first.call(line + bearer(key) + "X-Tenant-Id: theirs\r\nX-Request-Id: r1\r\n\r\n");
    EXPECT_EQ(response.result_int(), 200U);
  });
  const std::vector<std::string> heads = nodes.upstream.take_heads();
  ASSERT_EQ(heads.size(), 1U);
  EXPECT_EQ(heads[0].find(key), std::string::npos) << heads[0];
  EXPECT_EQ(heads[0].find("theirs"), std::string::npos) << heads[0];
}

// A key that was withdrawn while its request waited beside the upstream: the caller gets the 401, and no other node is
// asked.
TEST(account_proxy, refusal_by_the_second_node_is_relayed) {
  two_nodes nodes;
  nodes.second.post([&] {
    nodes.second.harness.traffic->pick = [](const request_attributes&) {
      return refusal{refusal_reason::unauthenticated};
    };
  });
  nodes.first.run([&]() -> awaitable<void> {
    auto response = co_await nodes.first.call(line + bearer(key) + "X-Request-Id: r1\r\n\r\n");
    EXPECT_EQ(response.result_int(), 401U);
    EXPECT_EQ(response["www-authenticate"], "Bearer");
    EXPECT_EQ(response.count("retry-after"), 0U);
  });
  EXPECT_EQ(nodes.first.traffic->requests.size(), 1U);
  EXPECT_EQ(nodes.first.traffic->finished.at(0).outcome, call_outcome::not_executed);
}

bool holds_a_key(const std::string& text) {
  for (const std::string& one : {key, other_key, wrong_key}) {
    if (text.find(one) != std::string::npos) return true;
  }
  return false;
}

// Logs, dumps and response bodies are read by operators, copied into tickets and kept for long.
TEST(account_proxy, no_log_line_or_dump_of_a_scenario_contains_a_key) {
  testing::internal::CaptureStderr();
  set_log_level(log_level::debug);
  std::string dumps;
  {
    two_nodes nodes;
    nodes.first.run([&]() -> awaitable<void> {
      co_await check_calls(nodes.first, nodes.upstream, calls_with_accounts);
      nodes.first_decisions.core().set_document(document(true, wrong_key));
      for (const call_case& c : calls_with_accounts) {
        auto response = co_await nodes.first.call(c.head + "X-Request-Id: r1\r\n\r\n");
        dumps += response.body();
      }
      // The second node fails, so that the log reports what was on its way.
      nodes.second.post([&] { nodes.second.harness.close_upstream(); });
      for (const call_case& c : calls_with_accounts) (void)co_await nodes.first.call(c.head + "\r\n");
      dumps += boost::json::serialize(nodes.first.k.dump());
      dumps += boost::json::serialize(nodes.first_decisions.core().dump(timer_service::now()));
    });
    nodes.second.join();
    dumps += boost::json::serialize(nodes.second.harness.k.dump());
    dumps += boost::json::serialize(nodes.second_decisions.core().dump(timer_service::now()));
  }
  for (const char* invalid :
       {R"({"acme":{"api_keys":["k-5e1f0c77aa"],"k-0b62d8114c":1}})", R"({"acme":"k-5e1f0c77aa"})"}) {
    const auto parsed = capture([&] { return parse_accounts_section(invalid, {.name = "section accounts.00"}); });
    ASSERT_FALSE(parsed);
    log_error("refused", parsed.failure());
    dumps += parsed.failure().message();
  }
  std::string logs;
  // The log is written by another thread.
  std::this_thread::sleep_for(200ms);
  logs = testing::internal::GetCapturedStderr();
  EXPECT_NE(logs.find("request_refused"), std::string::npos) << "the log was not captured";
  EXPECT_FALSE(holds_a_key(logs)) << logs;
  EXPECT_FALSE(holds_a_key(dumps)) << dumps;
}

struct log_to_stderr : testing::Environment {
  void SetUp() override { init_logging("account_proxy_test", log_level::warning, log_stream::standard_error); }
};
const auto* const logging = testing::AddGlobalTestEnvironment(new log_to_stderr);

}  // namespace
}  // namespace heatherdeck

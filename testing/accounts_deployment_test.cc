// Runs control hosts and nodes as processes, with accounts that change, and searches everything that operators can read
// for API keys. Without upstreams an authenticated request is answered with 503.
//
// Guards against keys in logs and dumps, keys that stay valid after they were withdrawn, and nodes that answer 401
// before they have a confirmed document.
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include "kernel/kernel.h"
#include "testing/soak_deployment.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const std::string kept_key = "k-kept-9d0c41";
const std::string old_key = "k-old-77aa02";
const std::string new_key = "k-new-e3b9f6";
const std::string unknown_key = "k-unknown-5c1d";
constexpr milliseconds in_force_limit = 2500ms;
constexpr auto ready_limit = 30s;

std::string configuration_text(unsigned label, const std::string& accounts) {
  return fmt::format(
      R"({{"version":"{:08x}","routes":{{"lookup":{{"host":"desk","path_prefix":"/a/","kind":"safe","timeout_ms":1000,)"
      R"("service":"desk"}},"open":{{"host":"desk","path_prefix":"/open/","kind":"safe","timeout_ms":1000,)"
      R"("service":"desk","anonymous":true}}}},"services":{{"desk":{{}}}},"limits":{{}}{}}})",
      label, accounts.empty() ? "" : ",\"accounts\":" + accounts);
}

std::string accounts_with(const std::string& second_key) {
  return fmt::format(R"({{"acme":{{"api_keys":["{}","{}"],"priority":1}}}})", kept_key, second_key);
}

class accounts_deployment : public testing::Test {
 protected:
  void SetUp() override {
    work = (std::filesystem::temp_directory_path() / fmt::format("hd_accounts_{}", ::getpid())).string();
    auto made = capture([&] {
      return soak_deployment::make({.bin = HD_BUILD_FOLDER, .work = work, .services = {"desk", "desk"}});
    });
    ASSERT_TRUE(made) << made.failure().message();
    deployment = std::move(*made);
    for (const char kind : {'c', 'n'}) {
      for (const std::string& name : deployment->names(kind))
        ASSERT_TRUE(capture([&] { return deployment->start(name); }));
    }
  }
  void TearDown() override {
    deployment.reset();
    std::error_code ignored;
    std::filesystem::remove_all(work, ignored);
  }

  http_response call(const std::string& name, soak_port port, http_request request) const {
    kernel k;
    http_response answer;
    answer.status = 0;
    boost::asio::co_spawn(
        k.io(),
        [&]() -> awaitable<void> {
          const duration limit = 2s;
          const std::string at = deployment->address(name, port);
          auto got = co_await http_call(k.timers(), k.executor(), at, std::move(request), limit);
          if (got) answer = std::move(*got);
        },
        boost::asio::detached);
    k.io().run();
    return answer;
  }
  unsigned status(const std::string& node, const std::string& path, const std::string& key) const {
    http_request request{.method = "GET", .path = path};
    request.headers["host"] = "desk";
    if (!key.empty()) request.headers["authorization"] = "Bearer " + key;
    return call(node, soak_port::caller, std::move(request)).status;
  }
  bool eventually(const std::function<bool()>& condition, milliseconds limit) const {
    const time_point end = steady_clock::now() + limit;
    while (!condition() && steady_clock::now() < end) std::this_thread::sleep_for(20ms);
    return condition();
  }
  bool all_nodes(const std::function<bool(const std::string&)>& condition, milliseconds limit) const {
    return eventually([&] { return condition("n1") && condition("n2"); }, limit);
  }
  std::string everything_readable() const {
    std::string text;
    for (const char kind : {'c', 'n'}) {
      for (const std::string& name : deployment->names(kind)) {
        std::ostringstream log;
        log << std::ifstream(work + "/" + name + ".log").rdbuf();
        EXPECT_FALSE(log.str().empty()) << name;
        text += log.str();
        for (const char* path : {"/dump", "/metrics"})
          text += call(name, soak_port::admin, {.method = "GET", .path = path}).body;
        if (kind == 'c') text += call(name, soak_port::operators, {.method = "GET", .path = "/v1/document"}).body;
      }
    }
    return text;
  }

  std::string work;
  std::unique_ptr<soak_deployment> deployment;
};

TEST_F(accounts_deployment, keys_are_in_force_in_time_and_shown_nowhere) {
  const auto& d = *deployment;
  EXPECT_TRUE(eventually([&] { return status("n1", "/a/1", kept_key) == 503; }, ready_limit)) << "no document: 503";
  ASSERT_TRUE(d.put_configuration("00000000", configuration_text(7, accounts_with(old_key)), ready_limit));
  ASSERT_TRUE(all_nodes([&](const std::string& n) { return d.ready(n); }, ready_limit));
  for (const std::string& n : d.names('n')) {
    EXPECT_EQ(status(n, "/a/1", kept_key), 503U) << "authenticated, but there is no upstream";
    EXPECT_EQ(status(n, "/a/1", old_key), 503U);
    EXPECT_EQ(status(n, "/a/1", unknown_key), 401U);
    EXPECT_EQ(status(n, "/a/1", ""), 401U);
    EXPECT_EQ(status(n, "/b/1", unknown_key), 404U);
    EXPECT_EQ(status(n, "/open/1", ""), 503U);
  }
  // A key is replaced; the other key of the account is not affected.
  ASSERT_TRUE(d.put_configuration("00000007", configuration_text(8, accounts_with(new_key)), ready_limit));
  const time_point acknowledged = steady_clock::now();
  EXPECT_TRUE(all_nodes(
      [&](const std::string& n) {
        return status(n, "/a/1", old_key) == 401 && status(n, "/a/1", new_key) == 503 &&
               status(n, "/a/1", kept_key) == 503;
      },
      in_force_limit));
  fmt::print("key replaced at both nodes after {} ms\n",
             std::chrono::duration_cast<milliseconds>(steady_clock::now() - acknowledged).count());
  for (const std::string& host : d.names('c')) {
    const auto read = call(host, soak_port::configuration, {.method = "GET", .path = "/v1/configuration"});
    EXPECT_EQ(read.status, 200U) << host;
    EXPECT_EQ(boost::json::parse(read.body), boost::json::parse(configuration_text(8, accounts_with(new_key))));
  }
  // A node that starts again must not answer 401 to a valid key.
  deployment->send_signal("n2", SIGKILL);
  ASSERT_TRUE(eventually([&] { return deployment->try_wait("n2").has_value(); }, 5s));
  ASSERT_TRUE(capture([&] { return deployment->start("n2"); }));
  ASSERT_TRUE(eventually(
      [&] {
        const unsigned answered = status("n2", "/a/1", kept_key);
        EXPECT_TRUE(answered == 0 || answered == 503) << answered;
        return d.ready("n2");
      },
      ready_limit));
  EXPECT_EQ(status("n2", "/a/1", old_key), 401U);
  // A refused configuration, whose error must not name the key.
  const std::string shared =
      R"({"acme":{"api_keys":[")" + kept_key + R"("]},"basil":{"api_keys":[")" + kept_key + R"("]}})";
  EXPECT_FALSE(d.put_configuration("00000008", configuration_text(9, shared), 300ms));
  const std::string readable = everything_readable();
  for (const std::string& key : {kept_key, old_key, new_key, unknown_key})
    EXPECT_EQ(readable.find(key), std::string::npos) << key;
  for (const char* expected : {"have the same API key", "accounts_in_force", "\"unauthenticated\"", "refused_unknown"})
    EXPECT_NE(readable.find(expected), std::string::npos) << expected;
  // Without accounts every request is served, whatever it carries.
  ASSERT_TRUE(d.put_configuration("00000008", configuration_text(9, ""), ready_limit));
  EXPECT_TRUE(all_nodes(
      [&](const std::string& n) { return status(n, "/a/1", "") == 503 && status(n, "/a/1", unknown_key) == 503; },
      in_force_limit));
}

// A table of this size must pass through the log, the subscriptions and the nodes' limits.
TEST_F(accounts_deployment, ten_thousand_accounts_reach_the_nodes) {
  const auto& d = *deployment;
  const auto many = [](const std::string& last_key) {
    std::string accounts;
    for (int i = 0; i < 10'000; ++i) {
      accounts += fmt::format(R"({}"account-{:05}":{{"api_keys":["key-{:034}-1","{}"],"priority":1,"rate_per_s":525}})",
                              i == 0 ? "{" : ",", i, i, i < 9'999 ? fmt::format("key-{:034}-2", i) : last_key);
    }
    return accounts + "}";
  };
  const auto ms_since = [](time_point start) {
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start).count();
  };
  time_point start = steady_clock::now();
  ASSERT_TRUE(d.put_configuration("00000000", configuration_text(7, many(old_key)), ready_limit));
  const auto acknowledged_ms = ms_since(start);
  ASSERT_TRUE(
      all_nodes([&](const std::string& n) { return status(n, "/a/1", old_key) == 503 && d.ready(n); }, ready_limit));
  EXPECT_EQ(status("n1", "/a/1", unknown_key), 401U);
  const auto first_ms = ms_since(start);
  start = steady_clock::now();
  ASSERT_TRUE(d.put_configuration("00000007", configuration_text(8, many(new_key)), ready_limit));
  const time_point acknowledged = steady_clock::now();
  EXPECT_TRUE(all_nodes([&](const std::string& n) { return status(n, "/a/1", old_key) == 401; }, in_force_limit));
  fmt::print(
      "10,000 accounts: acknowledged after {} ms, at both nodes after {} ms; one key: acknowledged after {} ms, "
      "withdrawn at both nodes {} ms later\n",
      acknowledged_ms, first_ms, ms_since(start) - ms_since(acknowledged), ms_since(acknowledged));
}

}  // namespace
}  // namespace heatherdeck

// Tests of the settings: a file with a mistake must be refused as a whole, with location and remedy, so that no process
// starts with it.
#include "model/settings.h"

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

constexpr const char* node_yaml = R"(id: dar-1-n1
region: dar
availability_zone: dar-1
roles: [node]
mesh_listen: 127.0.0.1:7001
admin_listen: 127.0.0.1:7002
caller_listen: 127.0.0.1:7003
upstream_listen: 127.0.0.1:7004
mesh_key_file: mesh.key
control_hosts:
  - {id: c1, availability_zone: dar-1, region: dar, mesh_address: "127.0.0.1:7101", operator_address: "127.0.0.1:7102"}
)";

outcome<settings> parse(const std::string& text) {
  return capture([&] { return parse_settings(text, "node.yaml"); });
}

TEST(settings, complete_file_is_parsed) {
  const auto s = parse(node_yaml);
  ASSERT_TRUE(s) << s.failure().message();
  EXPECT_TRUE(s->is_node);
  EXPECT_FALSE(s->is_control);
  EXPECT_EQ(s->control_hosts.at(0).operator_address, "127.0.0.1:7102");
  EXPECT_EQ(s->drain_limit, std::chrono::seconds(30));
}

// Behind a port mapping the other processes must get the outer address, not the one that this process listens on.
TEST(settings, advertised_address_replaces_the_listening_one_for_others) {
  const auto plain = parse(node_yaml);
  ASSERT_TRUE(plain);
  EXPECT_EQ(plain->mesh_address(), "127.0.0.1:7001");
  const auto mapped = parse(std::string(node_yaml) + "mesh_advertise: \"10.0.0.9:9001\"\n");
  ASSERT_TRUE(mapped) << mapped.failure().message();
  EXPECT_EQ(mapped->mesh_address(), "10.0.0.9:9001");
}

struct refusal_case {
  const char* added;
  const char* text;
  const char* where;
};

// Each case is one mistake. If it were accepted, a process would start with settings that the operator did not intend.
TEST(settings, mistakes_are_refused_with_their_line) {
  const refusal_case cases[] = {
      {"listn: 1\n", "listn", "node.yaml:12"},
      {"heartbeat_ms: 5\n", "5", "node.yaml:12"},
      {"heartbeat_ms: 500\n", "election_timeout_ms", "node.yaml"},
      {"log_level: loud\n", "loud", "node.yaml:12"},
      {"data_folder: {a: 1}\n", "", "node.yaml:12"},
      {"seeds: [nowhere]\n", "nowhere", "node.yaml:12"},
      {"seeds: [\"10.1.0.1x:7001\"]\n", "10.1.0.1x", "node.yaml:12"},
      {"dialect: latin\n", "latin", "node.yaml:12"},
      {"id: again\n", "id", "node.yaml:12"},
  };
  for (const refusal_case& c : cases) {
    const auto s = parse(std::string(node_yaml) + c.added);
    ASSERT_FALSE(s) << c.added;
    EXPECT_EQ(s.failure().kind, error_kind::bad_settings) << c.added;
    EXPECT_NE(s.failure().text.find(c.text), std::string::npos) << s.failure().message();
    EXPECT_EQ(s.failure().where.rfind(c.where, 0), 0U) << s.failure().message();
    EXPECT_FALSE(s.failure().remedy.empty()) << c.added;
  }
}

std::string with_founders() {
  std::string text = node_yaml;
  text.erase(text.find("control_hosts"));
  return text + "founders: [\"10.1.0.40:8144\", \"10.2.0.42:8144\"]\n";
}

// Every process must derive the same ids and ports from `founders`; otherwise the control hosts do not recognise each
// other.
TEST(settings, founders_are_known_by_their_addresses) {
  const auto s = parse(with_founders());
  ASSERT_TRUE(s) << s.failure().message();
  ASSERT_EQ(s->control_hosts.size(), 2U);
  EXPECT_EQ(s->control_hosts[0].id, "10.1.0.40");
  EXPECT_EQ(s->control_hosts[0].mesh_address, "10.1.0.40:7001");
  EXPECT_EQ(seed_addresses(*s).size(), 2U);
  EXPECT_FALSE(parse(std::string(node_yaml) + "founders: [\"10.1.0.40:8144\"]\n"));
}

TEST(settings, mesh_key_is_given_exactly_once) {
  EXPECT_FALSE(parse(std::string(node_yaml) + "mesh_key: 0123456789abcdef\n"));
  std::string inline_key = node_yaml;
  inline_key.replace(inline_key.find("mesh_key_file: mesh.key"), 23, "mesh_key: 0123456789abcdef");
  EXPECT_TRUE(parse(inline_key));
}

// If draining took longer than stop_grace_ms, the process would be killed and its requests in flight would fail.
TEST(settings, drain_ends_before_the_process_is_killed) {
  const auto s = parse(std::string(node_yaml) + "stop_grace_ms: 6000\n");
  ASSERT_TRUE(s);
  EXPECT_EQ(effective_drain_limit(*s), std::chrono::milliseconds(5700));
  EXPECT_EQ(effective_drain_limit(*parse(node_yaml)), std::chrono::milliseconds(30'000));
}

TEST(settings, role_requires_its_keys) {
  std::string text = node_yaml;
  text.replace(text.find("roles: [node]"), 13, "roles: [control]");
  const auto s = parse(text);
  ASSERT_FALSE(s);
  EXPECT_NE(s.failure().text.find("data_folder"), std::string::npos) << s.failure().message();
}

// The page would mislead operators if it missed a key or differed from the table.
TEST(settings, reference_page_matches_the_table) {
  std::ifstream file(std::string(HD_SOURCE_DIR) + "/docs/settings.md");
  std::ostringstream page;
  page << file.rdbuf();
  EXPECT_EQ(page.str(), settings_reference()) << "run: heatherdeckd --settings_reference > docs/settings.md";
}

}  // namespace
}  // namespace heatherdeck

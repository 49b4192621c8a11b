// Tests complete configurations: the text is returned with the content that was sent, a change of one route edits one
// section, invalid texts are refused, and routes match by their longest prefix.
#include "control/configuration.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include "model/document_compiler.h"
#include "traffic/route_table.h"

namespace heatherdeck {
namespace {

const std::string first_text =
    R"({"version":"00000007","routes":{"r-1":{"host":"a.example","path_prefix":"/x/","kind":"safe","timeout_ms":1000,)"
    R"("objective_ms":250,"priority":2,"split":[{"service":"orders","weight":90},{"service":"stock","weight":10}],)"
    R"("attempts":2},"r-2":{"host":"a.example","path_prefix":"/x/deep/","kind":"unsafe","timeout_ms":1200,)"
    R"("objective_ms":300,"priority":1,"service":"orders","attempts":2}},"services":{"orders":{"health_path":"/health",)"
    R"("connections":110,"protocol":"h1","tls":false},"stock":{"health_path":"/health","connections":110,)"
    R"("protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

outcome<configuration> read(const std::string& text) {
  return capture([&] { return parse_configuration(text); });
}

// Returns the document after the configuration has been accepted in the log entry with this index.
document_state accepted(const std::string& text, document_state before = {}, std::uint64_t index = 1) {
  const auto sent = read(text);
  EXPECT_TRUE(sent) << sent.failure().message();
  before.document_version = {1, index};
  for (const section_edit& edit : diff_configuration(*sent, before)) {
    if (edit.text.empty()) {
      before.sections.erase(edit.name);
    } else {
      before.sections[edit.name] = {edit.name, edit.text, before.document_version};
    }
  }
  return before;
}

outcome<compiled_document_ptr> compile(const document_state& state) {
  return capture([&] { return compile_document(state); });
}

TEST(configuration, is_returned_as_it_was_sent) {
  const document_state document = accepted(first_text);
  EXPECT_EQ(configuration_label(document), 7U);
  EXPECT_EQ(boost::json::parse(serialize_configuration(document)), boost::json::parse(first_text));
}

TEST(configuration, change_of_one_route_edits_one_section) {
  const document_state before = accepted(first_text);
  const std::string next = replaced(replaced(first_text, "00000007", "00000008"), "1200", "1300");
  const auto sent = read(next);
  ASSERT_TRUE(sent);
  const std::vector<section_edit> edits = diff_configuration(*sent, before);
  ASSERT_EQ(edits.size(), 2U);  // the sections of the label and of the route
  for (const section_edit& edit : edits) EXPECT_EQ(edit.base, before.sections.at(edit.name).revision);
}

TEST(configuration, removed_route_is_gone) {
  const document_state before = accepted(first_text);
  const std::size_t from = first_text.find(",\"r-2\"");
  const std::size_t to = first_text.find("},\"services\"");
  const std::string next = replaced(first_text.substr(0, from) + first_text.substr(to), "00000007", "00000008");
  const document_state after = accepted(next, before, 2);
  EXPECT_EQ(boost::json::parse(serialize_configuration(after)), boost::json::parse(next));
  const auto compiled = compile(after);
  ASSERT_TRUE(compiled) << compiled.failure().message();
  EXPECT_EQ((*compiled)->routes.size(), 1U);
}

struct bad_text {
  const char* from;
  const char* to;
};

// If accepted, each of these would take effect, or be refused by some hosts only.
TEST(configuration, invalid_texts_are_refused) {
  const bad_text cases[] = {
      {"\"service\":\"orders\",\"attempts\"", "\"service\":\"missing\",\"attempts\""},
      {"/x/deep/", "/x/"},
      {"1200", "600001"},
      {"/x/deep/", "x/deep/"},
      {"\"unsafe\"", "\"maybe\""},
      {"00000007", "7"},
      {"00000007", "00000000"},
      {"\"timeout_ms\":1200,", ""},
      {"\"weight\":10", "\"weight\":\"ten\""},
      {"\"services\"", "\"servants\""},
  };
  for (const bad_text& c : cases) {
    const std::string text = replaced(first_text, c.from, c.to);
    const auto sent = read(text);
    if (!sent) continue;
    EXPECT_FALSE(compile(accepted(text))) << c.to;
  }
  for (std::size_t length = 0; length < first_text.size(); length += 7) {
    EXPECT_FALSE(read(first_text.substr(0, length))) << length;
  }
}

// A text that held its version only was acknowledged, and removed every route.
TEST(configuration, text_without_a_member_is_refused) {
  for (const char* member : {"version", "routes", "services", "limits"}) {
    boost::json::object incomplete = boost::json::parse(first_text).as_object();
    ASSERT_EQ(incomplete.erase(member), 1U);
    EXPECT_FALSE(read(boost::json::serialize(incomplete))) << member;
  }
}

const route_rule* match(const route_table& routes, const std::string& path) {
  return routes.match({.host = "A.example:80", .path = path, .method = "GET"});
}

TEST(configuration, longest_matching_prefix_wins) {
  const auto compiled = compile(accepted(first_text));
  ASSERT_TRUE(compiled) << compiled.failure().message();
  const route_table routes(*compiled);
  ASSERT_NE(match(routes, "/x/deep/1"), nullptr);
  EXPECT_EQ(match(routes, "/x/deep/1")->name, "r-2");
  EXPECT_EQ(match(routes, "/x/1?a=b")->name, "r-1");
  EXPECT_EQ(match(routes, "/x"), nullptr);
  EXPECT_EQ(match(routes, "/xy/1"), nullptr);
}

// When versions are known from announcements only, a new version gets traffic only through its rollout.
TEST(configuration, rollout_splits_the_traffic_of_open_versions) {
  document_state document = accepted(first_text);
  document.sections["rollouts.orders"] = {"rollouts.orders", R"({"orders":{"to":"v2","finish_within_s":12}})", {1, 1}};
  document.rollouts["orders"] = {"orders", "", "v2", 500, rollout_status::running, {}, {1, 1}};
  auto compiled = compile(document);
  ASSERT_TRUE(compiled) << compiled.failure().message();
  const std::vector<version_share> running{{"v2", 500}, {other_versions, 9'500}};
  EXPECT_EQ((*compiled)->services.at("orders").shares, running);
  document.rollouts["orders"].status = rollout_status::rolled_back;
  document.withdrawn[{"orders", "v2"}] = {"orders", "v2", "failures", {1, 2}};
  compiled = compile(document);
  ASSERT_TRUE(compiled) << compiled.failure().message();
  EXPECT_EQ((*compiled)->services.at("orders").shares, (std::vector<version_share>{{other_versions, full_share}}));
}

}  // namespace
}  // namespace heatherdeck

// Tests client accounts in the configuration: reading back what was sent, changes of one key, malformed members, and
// that nodes never receive an API key. Guards against keys in errors, and against a table that is sent whole for each
// change.
#include <chrono>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "control/configuration.h"
#include "control/publisher_core.h"
#include "model/distributed_document.h"
#include "model/document_compiler.h"
#include "model/document_digest.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const std::string first_key = "key-of-first-8f31";
const std::string second_key = "key-of-second-77ab";
const std::string accounts_text =
    R"({"acme":{"api_keys":["key-of-first-8f31","old-1"],"priority":1,"rate_per_s":525,"burst":525.5},)"
    R"("b.example":{"api_keys":["key-of-second-77ab"],"rate_per_s":0,"allowed_regions":["dar"]},"none":{"api_keys":[]}})";

std::string text_with(const std::string& accounts, std::uint64_t label = 7) {
  const std::string member = accounts.empty() ? "" : ",\"accounts\":" + accounts;
  return fmt::format(R"({{"version":"{:08x}","routes":{{"r-1":{{"host":"a.example","path_prefix":"/x/","kind":"safe",)"
                     R"("timeout_ms":1000,"service":"orders","anonymous":true}}}},"services":{{"orders":{{}}}},)"
                     R"("limits":{{}}{}}})",
                     label, member);
}

outcome<configuration> read(const std::string& text) {
  return capture([&] { return parse_configuration(text); });
}

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

boost::json::value read_back(const document_state& state) { return boost::json::parse(serialize_configuration(state)); }

TEST(accounts, configuration_is_returned_as_it_was_sent) {
  for (const std::string& accounts : {accounts_text, std::string("{}"), std::string()}) {
    const std::string text = text_with(accounts);
    const document_state state = accepted(text);
    EXPECT_EQ(read_back(state), boost::json::parse(text));
    const auto compiled = compile(state);
    ASSERT_TRUE(compiled) << compiled.failure().message();
    EXPECT_EQ((*compiled)->has_accounts, !accounts.empty());
  }
}

TEST(accounts, are_compiled_with_their_limits_and_found_by_key) {
  const auto compiled = compile(accepted(text_with(accounts_text)));
  ASSERT_TRUE(compiled) << compiled.failure().message();
  const compiled_document& document = **compiled;
  EXPECT_EQ(document.accounts.at("acme"), (client_account{"acme", 1, 525, 525.5, {}}));
  EXPECT_EQ(document.accounts.at("b.example"), (client_account{"b.example", {}, 0, 0, {"dar"}}));
  EXPECT_EQ(document.account_keys.size(), 3U);
  EXPECT_EQ(document.account_of_key(digest_of_key(first_key))->name, "acme");
  EXPECT_EQ(document.account_of_key(digest_of_key("old-1"))->name, "acme");
  EXPECT_EQ(document.account_of_key(digest_of_key(first_key + "x")), nullptr);
  EXPECT_TRUE(document.account_keys.contains(key_id_of(digest_of_key(second_key))));
  EXPECT_FALSE(document.account_keys.contains(key_id_of(key_digest{})));
  EXPECT_EQ(to_hex(digest_of_key("abc")), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_TRUE(document.routes.front().anonymous);
}

// A configuration without the member removes accounts; an empty map keeps the deployment closed.
TEST(accounts, removed_member_removes_the_accounts) {
  const document_state before = accepted(text_with(accounts_text));
  const document_state closed = accepted(text_with("{}", 8), before, 2);
  EXPECT_EQ(read_back(closed), boost::json::parse(text_with("{}", 8)));
  EXPECT_TRUE((*compile(closed))->has_accounts);
  const document_state open = accepted(text_with("", 9), closed, 3);
  EXPECT_EQ(read_back(open), boost::json::parse(text_with("", 9)));
  EXPECT_FALSE((*compile(open))->has_accounts);
}

TEST(accounts, shared_key_is_refused_and_names_both_accounts) {
  const auto compiled = compile(accepted(
      text_with(R"({"acme":{"api_keys":["secret-7"]},"basil":{"api_keys":["k-1","secret-7"]},"c":{"api_keys":[]}})")));
  ASSERT_FALSE(compiled);
  EXPECT_EQ(compiled.failure().kind, error_kind::bad_document);
  const std::string message = compiled.failure().message();
  EXPECT_NE(message.find("'acme'"), std::string::npos) << message;
  EXPECT_NE(message.find("'basil'"), std::string::npos) << message;
  EXPECT_EQ(message.find("secret"), std::string::npos) << message;
}

// A malformed member that is accepted would lock callers out, or leave them without a limit.
TEST(accounts, malformed_members_are_refused_without_quoting_keys) {
  const std::string cases[] = {
      R"(["secret"])",
      R"({"acme":"secret"})",
      R"({"acme":{}})",
      R"({"acme":{"api_keys":"secret"}})",
      R"({"acme":{"api_keys":{"secret":1}}})",
      R"({"acme":{"api_keys":["secret", 5]}})",
      R"({"acme":{"api_keys":[""]}})",
      R"({"acme":{"api_keys":["secret with a blank"]}})",
      R"({"acme":{"api_keys":["secret\n"]}})",
      R"({"acme":{"api_keys":["secret"],"secret":1}})",
      R"({"acme":{"keys":["secret"]}})",
      R"({"acme":{"api_keys":["secret"],"priority":-1}})",
      R"({"acme":{"api_keys":["secret"],"priority":1.5}})",
      R"({"acme":{"api_keys":["secret"],"priority":"1"}})",
      R"({"acme":{"api_keys":["secret"],"rate_per_s":"many"}})",
      R"({"acme":{"api_keys":["secret"],"rate_per_s":-3}})",
      R"({"acme":{"api_keys":["secret"],"burst":null}})",
      R"({"acme":{"api_keys":["secret"],"allowed_regions":"dar"}})",
      R"({"acme":{"api_keys":["secret"],"allowed_regions":[7]}})",
      R"({"":{"api_keys":["secret"]}})",
      R"({"a b":{"api_keys":["secret"]}})",
      "{\"a\\r\\nx\":{\"api_keys\":[\"secret\"]}}",
      "{\"acme\":{\"api_keys\":[\"secret" + std::string(max_api_key_bytes, 'x') + "\"]}}",
  };
  for (const std::string& accounts : cases) {
    const auto sent = read(text_with(accounts));
    ASSERT_FALSE(sent) << accounts.substr(0, 80);
    EXPECT_EQ(sent.failure().kind, error_kind::bad_document);
    EXPECT_EQ(sent.failure().message().find("secret"), std::string::npos) << sent.failure().message();
  }
  std::string bad_flag = text_with("{}");
  bad_flag.replace(bad_flag.find("true"), 4, "\"yes\"");
  EXPECT_FALSE(compile(accepted(bad_flag)));
}

// An operator who writes sections directly must not bring the control hosts to a document that does not compile.
TEST(accounts, sections_of_other_origin_are_checked) {
  const std::pair<std::string, std::string> cases[] = {
      {"accounts.00", "acme: {keys: []}"},
      {"accounts.00", R"({"acme":{"keys":["secret"]}})"},
      {"accounts.00", R"({"acme":{"api_keys":["secret"]}})"},
      {"account_keys.00", R"({"acme":{"keys":[]}})"},
      {"account_keys.00", "[]"},
      {"account_keys.00", "{\"secret"},
      {"accounts.00", "{\"acme\":" + std::string(100, '[') + "}"},
      {"accounts.00", "{}" + std::string(max_section_bytes, ' ')},
  };
  for (const auto& [name, text] : cases) {
    document_state state = accepted(text_with(""));
    state.sections[name] = {name, text, {1, 1}};
    const auto compiled = compile(state);
    ASSERT_FALSE(compiled) << text.substr(0, 80);
    EXPECT_EQ(compiled.failure().message().find("secret"), std::string::npos) << compiled.failure().message();
  }
}

std::string many_accounts(int count, int changed = -1) {
  boost::json::object accounts;
  for (int i = 0; i < count; ++i) {
    const auto key = [&](int n) {
      return fmt::format("{}-{}", n, to_hex(digest_of_key(fmt::format("{} {}", i, n))).substr(0, 40));
    };
    accounts[fmt::format("account-{:05}", i)] = boost::json::object{
        {"api_keys", {key(1), key(i == changed ? 3 : 2)}}, {"priority", i % 3}, {"rate_per_s", 525}, {"burst", 525}};
  }
  return boost::json::serialize(accounts);
}

std::size_t bytes_of(const document_state& state) {
  std::size_t bytes = 0;
  for (const auto& [name, s] : state.sections) bytes += name.size() + s.text.size();
  return bytes;
}

// Also the trial of the size that a deployment may grow to; it prints what was measured.
TEST(accounts, ten_thousand_fit_and_one_changed_key_edits_one_pair_of_sections) {
  using clock = std::chrono::steady_clock;
  const auto ms_since = [](clock::time_point start) {
    return std::chrono::duration<double, std::milli>(clock::now() - start).count();
  };
  const std::string text = text_with(many_accounts(10'000));
  auto start = clock::now();
  const document_state before = accepted(text);
  const double split_ms = ms_since(start);
  document_compiler compiler;
  start = clock::now();
  ASSERT_TRUE(capture([&] { return compiler.compile(before); }));
  const double compile_ms = ms_since(start);
  std::size_t largest = 0;
  for (const auto& [name, s] : before.sections) largest = std::max(largest, s.text.size());
  const auto sent = distributed_part(std::make_shared<document_state>(before));
  EXPECT_EQ(read_back(before), boost::json::parse(text));

  const auto changed = read(text_with(many_accounts(10'000, 77), 8));
  const std::vector<section_edit> edits = diff_configuration(*changed, before);
  ASSERT_EQ(edits.size(), 3U) << "label, accounts.NN and account_keys.NN";
  const document_state after = accepted(text_with(many_accounts(10'000, 77), 8), before, 2);
  start = clock::now();
  ASSERT_TRUE(capture([&] { return compiler.compile(after); }));
  const double again_ms = ms_since(start);
  fmt::print(
      "10,000 accounts: configuration {} bytes, document {}, sent to nodes {}, sections {}, largest {}; split {} "
      "ms, compile {} ms, compile after one changed key {} ms\n",
      text.size(), bytes_of(before), bytes_of(*sent), before.sections.size(), largest, split_ms, compile_ms, again_ms);
  EXPECT_LE(bytes_of(before), max_document_bytes);
  EXPECT_LE(before.sections.size(), max_sections / 2) << "other sections need room as well";
}

bool contains_key(const document_state& state) {
  for (const auto& [name, s] : state.sections) {
    if (s.text.find(first_key) != std::string::npos || s.text.find("api_keys") != std::string::npos) return true;
  }
  return false;
}

// Nodes get the digests only, and verify the digest of what they get.
TEST(accounts, publisher_keeps_keys_on_the_control_hosts) {
  publisher_core core({}, 1);
  const time_point now{};
  const document_state first = accepted(text_with(accounts_text));
  ASSERT_TRUE(contains_key(first));
  core.set_document(std::make_shared<document_state>(first), now);
  ASSERT_FALSE(core.open(1, {"n1", "dar-1", {}, {}, true}, now));
  const auto offered = core.first_offer(1, true, now);
  ASSERT_TRUE(offered);
  const auto* snapshot = std::get_if<snapshot_offer>(offered->message.get());
  ASSERT_NE(snapshot, nullptr);
  EXPECT_FALSE(contains_key(snapshot->state));
  EXPECT_EQ(snapshot->state_digest, digest_of(snapshot->state));
  EXPECT_TRUE((*compile(snapshot->state))->account_of_key(digest_of_key(first_key)) != nullptr);

  // A change of one key: the delta leads to the filtered state.
  core.on_applied(1, {{1, 1}}, now);
  std::string next_text = text_with(accounts_text, 8);
  next_text.replace(next_text.find("old-1"), 5, "new-2");
  const document_state second = accepted(next_text, first, 2);
  auto offers = core.set_document(std::make_shared<document_state>(second), now);
  ASSERT_EQ(offers.size(), 1U);
  const auto* delta = std::get_if<delta_offer>(offers[0].message.get());
  ASSERT_NE(delta, nullptr);
  EXPECT_EQ(delta->delta.sections_changed.size(), 2U) << "label and accounts.NN";
  const auto applied = capture([&] { return apply_delta(snapshot->state, delta->delta); });
  ASSERT_TRUE(applied) << applied.failure().message();
  EXPECT_FALSE(contains_key(*applied));

  // A change that nodes do not see still raises their version.
  core.on_applied(1, {{1, 2}}, now);
  document_state third = second;
  third.document_version = {1, 3};
  third.sections["account_keys.3f"] = {"account_keys.3f", R"({"unused":{"api_keys":["key-of-first-8f31"]}})", {1, 3}};
  offers = core.set_document(std::make_shared<document_state>(third), now);
  ASSERT_EQ(offers.size(), 1U);
  delta = std::get_if<delta_offer>(offers[0].message.get());
  ASSERT_NE(delta, nullptr);
  EXPECT_TRUE(delta->delta.sections_changed.empty());
  const auto last = capture([&] { return apply_delta(*applied, delta->delta); });
  ASSERT_TRUE(last) << last.failure().message();
  EXPECT_EQ(last->document_version, (version{1, 3}));
}

}  // namespace
}  // namespace heatherdeck

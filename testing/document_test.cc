// Tests of the document: splitting into sections, validation of the whole document, effective shares, deltas and
// digests.
#include <gtest/gtest.h>

#include "model/document_compiler.h"
#include "model/document_delta.h"
#include "model/document_digest.h"
#include "testing/sample_document.h"

namespace heatherdeck {
namespace {

outcome<compiled_document_ptr> compile(const document_state& state) {
  return capture([&] { return compile_document(state); });
}

document_state sample_with_section(const std::string& name, const std::string& text) {
  document_state state = sample_state();
  state.sections[name] = {name, text, {1, 1}};
  return state;
}

std::string shares_of(const document_state& state, const std::string& service = "certdesk") {
  const outcome<compiled_document_ptr> compiled = compile(state);
  if (!compiled) return compiled.failure().message();
  std::string text;
  for (const version_share& s : (*compiled)->services.at(service).shares) {
    text += (text.empty() ? "" : " ") + s.upstream_version + "=" + std::to_string(s.share);
  }
  return text;
}

// Operators edit the whole document; the text of a section must not depend on the sections around it.
TEST(document_parser, splits_into_sections_and_renders_them_again) {
  const outcome<parsed_document> parsed = capture([] { return parse_document(sample_text, "mesh.yaml"); });
  ASSERT_TRUE(parsed) << parsed.failure().message();
  EXPECT_EQ(parsed->sections.size(), 5U);
  EXPECT_EQ(parsed->sections.at("routes.certdesk").rfind("# lookups keep ferries moving\n- name: lookup\n", 0), 0U);
  EXPECT_EQ(parsed->sections.at("services").find("between"), std::string::npos);
  const std::string rendered = render_document(parsed->sections);
  const outcome<parsed_document> again = capture([&] { return parse_document(rendered, "again.yaml"); });
  ASSERT_TRUE(again) << again.failure().message();
  EXPECT_EQ(again->sections, parsed->sections);
}

// A layout that cannot be split must be refused; otherwise sections would get content that the operator did not write.
TEST(document_parser, accepts_or_refuses_unusual_layouts) {
  for (const char* text : {
           "sections:\n  shares: { a: { v1: 100 } }\n  services:\n    a: { versions: [v1] }\n",
           "sections:\n  routes:\n  - name: x\n    service: a\n  services: { a:\n    { versions: [v1] } }\n",
           "sections:\n  \"shares\":\n    a:\n      v1: 100\n\n  services:\n    a:\n      versions:\n      - v1 # x\n",
           "sections:\r\n  services:\r\n    a: { versions: [v1] }\r\n",
       }) {
    const outcome<parsed_document> parsed = capture([&] { return parse_document(text, "f"); });
    ASSERT_TRUE(parsed) << text << parsed.failure().message();
    EXPECT_TRUE(parsed->sections.contains("services"));
  }
  for (const char* text : {
           "sections: { services: { a: { versions: [v1] } }, shares: {} }\n",
           "sections: { services: { a: { versions: [v1] } } }\n",
           "sections:\n  services:\n",
           "sections:\n  service: {}\n",
           "sections:\n  routes.: []\n",
           "sections: {}\nmore: 1\n",
           "",
       }) {
    const outcome<parsed_document> parsed = capture([&] { return parse_document(text, "f.yaml"); });
    ASSERT_FALSE(parsed) << text;
    EXPECT_EQ(parsed.failure().where.rfind("f.yaml:", 0), 0U) << text;
    EXPECT_FALSE(parsed.failure().remedy.empty()) << text;
  }
}

TEST(document_compiler, compiles_the_sample) {
  const outcome<compiled_document_ptr> compiled = compile(sample_state());
  ASSERT_TRUE(compiled) << compiled.failure().message();
  const compiled_document& document = **compiled;
  ASSERT_EQ(document.routes.size(), 1U);
  EXPECT_EQ(document.routes[0].headers.at("x-team"), "ferry");
  EXPECT_EQ(document.services.at("certdesk").in_flight_limit, 140U);
  EXPECT_EQ(document.rollouts.at("certdesk").max_first_share, 100U);
  EXPECT_EQ(shares_of(sample_state(), "recordhold"), "v1=10000");
}

// Each row makes the document invalid: requests would have no upstream or a wrong one. The error must have the location
// of the mistake.
TEST(document_compiler, refuses_with_section_line_and_remedy) {
  struct row {
    const char* name;
    const char* text;
    const char* expected_text;
    const char* where;
  };
  for (const row& r : {
           row{"routes.certdesk", "- name: a\n  service: gone\n", "'gone' does not exist",
               "section routes.certdesk:2:12"},
           row{"routes.b", "- {name: a, service: recordhold}\n- {name: a, service: recordhold}\n", "two routes",
               "section routes.b:2:3"},
           row{"routes.b", "- {name: a, service: recordhold, timeout_ms: 0}\n", "whole number",
               "section routes.b:1:46"},
           row{"routes.b", "- {name: a, service: recordhold, match: {path_prefix: x}}\n", "path prefix",
               "section routes.b:1:"},
           row{"routes.b", "- {name: a, service: recordhold, match: {verb: GET}}\n", "'verb' is not known",
               "section routes.b:1:42"},
           row{"shares", "certdesk: { v1: 90, v3: 9 }\n", "add up to 99", "section shares:1:11"},
           row{"shares", "certdesk: { v1: 90, v9: 10 }\n", "no version 'v9'", "section shares:1:25"},
           row{"shares", "{}\n", "no shares", "section services:1:11"},
           row{"shares.b", "certdesk: { v1: 100 }\n", "two sections", "section shares.b:1:11"},
           row{"shares", "certdesk: { v1: 50, v2: 50 }\n", "fixed share and a rollout", "section rollouts:1:27"},
           row{"shares", "certdesk: { v3: 100 }\n", "no share of traffic", "section rollouts:1:19"},
           row{"shares", "certdesk: { v1: 99.999, v3: 0.001 }\n", "finer than 0.01", "section shares:1:17"},
           row{"rollouts", "certdesk: { from: v1, to: v1 }\n", "to itself", "section rollouts:1:27"},
           row{"rollouts", "gone: { from: v1, to: v2 }\n", "does not exist", "section rollouts:1:7"},
           row{"limits", "certdesk: { retry_ratio: 1.5 }\n", "not a number from 0 to 1", "section limits:1:26"},
           row{"services", "certdesk: { versions: [] }\n", "1 to 32 versions", "section services:1:23"},
           row{"services", "certdesk: [v1]\n", "a map is expected", "section services:1:11"},
       }) {
    const outcome<compiled_document_ptr> compiled = compile(sample_with_section(r.name, r.text));
    ASSERT_FALSE(compiled) << r.text;
    EXPECT_EQ(compiled.failure().kind, error_kind::bad_document);
    EXPECT_NE(compiled.failure().text.find(r.expected_text), std::string::npos) << compiled.failure().message();
    EXPECT_EQ(compiled.failure().where.rfind(r.where, 0), 0U) << r.text << compiled.failure().where;
    EXPECT_FALSE(compiled.failure().remedy.empty());
  }
}

// Wrong shares would send traffic to a version that was rolled back, or not add up to all traffic.
TEST(document_compiler, applies_rollouts_and_withdrawals_to_shares) {
  document_state state = sample_state();
  rollout_state& rollout = state.rollouts["certdesk"];
  rollout = {"certdesk", "v1", "v2", 100, rollout_status::running, "", {1, 1}};
  EXPECT_EQ(shares_of(state), "v1=8910 v2=100 v3=990");
  rollout.share = full_share;
  rollout.status = rollout_status::watching;
  EXPECT_EQ(shares_of(state), "v2=10000");
  state.sections["shares"].text = "certdesk: { v2: 100 }\n";
  EXPECT_EQ(shares_of(state), "v2=10000");
  state.withdrawn[{"certdesk", "v2"}] = {"certdesk", "v2", "failed", {1, 2}};
  rollout.status = rollout_status::rolled_back;
  rollout.share = 0;
  EXPECT_EQ(shares_of(state), "v1=10000") << "no other version has a share, so the old version gets all traffic";
  state.sections["shares"].text = "certdesk: { v1: 33.33, v2: 33.33, v3: 33.34 }\n";
  EXPECT_EQ(shares_of(state), "v1=4999 v3=5001");
  state.withdrawn[{"certdesk", "v1"}] = {"certdesk", "v1", "failed", {1, 3}};
  EXPECT_EQ(shares_of(state), "v3=10000");
  state.withdrawn[{"certdesk", "v3"}] = {"certdesk", "v3", "failed", {1, 4}};
  EXPECT_EQ(shares_of(state), "");
}

// If the compiler used a cached section although its text has changed, an outdated document would take effect. Seed 11.
TEST(document_compiler, caches_only_unchanged_sections) {
  document_compiler compiler;
  document_state state = sample_state();
  std::mt19937_64 random(11);
  for (int i = 0; i < 200; ++i) {
    const std::uint64_t v1 = random() % 101;
    state.sections["shares"].text =
        "certdesk: { v1: " + std::to_string(v1) + ", v3: " + std::to_string(100 - v1) + " }\n";
    if (random() % 3 == 0) state.sections["shares"].text = "certdesk: {}\n";
    const outcome<compiled_document_ptr> cached = capture([&] { return compiler.compile(state); });
    const outcome<compiled_document_ptr> fresh = compile(state);
    ASSERT_EQ(cached.has_value(), fresh.has_value());
    if (!cached) continue;
    EXPECT_EQ((*cached)->services.at("certdesk").shares, (*fresh)->services.at("certdesk").shares);
  }
}

// A delta that misses a change would leave a node with a different document. Random changes with seeds 1 to 40.
TEST(document_delta, deltas_lead_to_the_same_state_from_any_recent_version) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<document_state> states{document_state{.document_version = {1, 1}}};
    document_history history;
    for (int i = 0; i < 60; ++i) {
      states.push_back(random_successor(states.back(), random));
      history.record(states[states.size() - 2], states.back());
    }
    const document_state& last = states.back();
    for (const document_state& held : states) {
      const document_delta direct = make_delta(held, last);
      if (held.document_version != last.document_version) {
        const auto applied = capture([&] { return apply_delta(held, direct); });
        ASSERT_TRUE(applied) << applied.failure().message() << " seed " << seed;
        ASSERT_EQ(*applied, last) << "seed " << seed;
      }
      const auto recorded = history.delta_since(held.document_version, last);
      ASSERT_EQ(recorded.has_value(), held.document_version != last.document_version) << "seed " << seed;
      if (!recorded) continue;
      const auto by_history = capture([&] { return apply_delta(held, *recorded); });
      ASSERT_TRUE(by_history) << by_history.failure().message() << " seed " << seed;
      ASSERT_EQ(*by_history, last) << "seed " << seed;
    }
    EXPECT_FALSE(history.delta_since({1, 0}, last));
    EXPECT_FALSE(history.delta_since({2, 1}, last));
  }
}

// A delta must be refused when the base has another version or differs in any byte, or when it leads to an older
// version. Seed 5.
TEST(document_delta, refuses_a_delta_that_does_not_match_the_base) {
  std::mt19937_64 random(5);
  const document_state base = sample_state();
  const document_state next = random_successor(base, random);
  const document_delta delta = make_delta(base, next);
  document_state other = base;
  other.sections["limits"].text += "# changed\n";
  EXPECT_EQ(capture([&] { return apply_delta(other, delta); }).failure().kind, error_kind::corrupt);
  EXPECT_EQ(capture([&] { return apply_delta(next, delta); }).failure().kind, error_kind::conflict);
  EXPECT_EQ(capture([&] { return apply_delta(next, make_delta(next, base)); }).failure().kind, error_kind::conflict);
  EXPECT_NE(digest_of(other), digest_of(base));
}

// An unbounded history would use up the memory; it keeps only the names of the last 1,000 versions.
TEST(document_delta, history_keeps_a_bounded_number_of_versions) {
  document_history history;
  document_state state{.document_version = {1, 0}};
  for (std::uint64_t i = 1; i <= 1500; ++i) {
    document_state next = state;
    next.document_version.index = i;
    next.sections["routes.a"] = {"routes.a", std::to_string(i), next.document_version};
    history.record(state, next);
    state = next;
  }
  EXPECT_EQ(history.changes().size(), document_history::max_changes);
  EXPECT_FALSE(history.delta_since({1, 499}, state));
  ASSERT_TRUE(history.delta_since({1, 500}, state));
  EXPECT_EQ(history.delta_since({1, 500}, state)->sections_changed.size(), 1U);
}

}  // namespace
}  // namespace heatherdeck

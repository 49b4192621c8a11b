// Tests of the YAML reader: every refusal has location and remedy, and no malicious text exceeds the limits.
#include "model/yaml_reader.h"

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

outcome<yaml_node> read(std::string_view text, yaml_source source = {.name = "f.yaml"}) {
  return capture([&] { return read_yaml(text, source); });
}

error refusal(std::string_view text, yaml_source source = {.name = "f.yaml"}) {
  const outcome<yaml_node> parsed = read(text, std::move(source));
  return parsed ? error{error_kind::internal, "accepted", "", ""} : parsed.failure();
}

// If order, locations or quoted text were lost, the compiled document would differ from what the operator wrote.
TEST(yaml_reader, keeps_order_locations_and_values) {
  const outcome<yaml_node> root = read("b: 1\na:\n  - x\n  - {k: 'v w'}\n");
  ASSERT_TRUE(root);
  ASSERT_EQ(root->entries().size(), 2U);
  EXPECT_EQ(root->entries()[0].key, "b");
  EXPECT_EQ(root->entries()[1].line, 2U);
  const yaml_node* list = root->find("a");
  ASSERT_NE(list, nullptr);
  ASSERT_EQ(list->items().size(), 2U);
  EXPECT_EQ(list->items()[1].line(), 4U);
  EXPECT_EQ(list->items()[1].find("k")->text(), "v w");
}

// Each of these texts makes other YAML readers guess, loop or run out of memory.
TEST(yaml_reader, refuses_with_location_and_remedy) {
  struct row {
    const char* text;
    const char* expected_text;
    const char* where;
  };
  for (const row& r : {
           row{"a: 1\na: 2\n", "appears twice", "f.yaml:2:1"},
           row{"a: &x 1\nb: *x\n", "anchors", "f.yaml:1:4"},
           row{"a: !!str 1\n", "tag", "f.yaml:1:4"},
           row{"a: 1\n---\nb: 2\n", "more than one", "f.yaml:3:1"},
           row{"a: [1\n", "not valid YAML", "f.yaml:"},
           row{"a: \xff\n", "not UTF-8", "f.yaml:1:4"},
           row{"a: \x01\n", "not UTF-8", "f.yaml:1:4"},
           row{"? [a]\n: b\n", "single value", "f.yaml:1:3"},
       }) {
    const error e = refusal(r.text);
    EXPECT_EQ(e.kind, error_kind::bad_document) << r.text;
    EXPECT_NE(e.text.find(r.expected_text), std::string::npos) << r.text << " -> " << e.message();
    EXPECT_EQ(e.where.rfind(r.where, 0), 0U) << r.text << " -> " << e.where;
    EXPECT_FALSE(e.remedy.empty()) << r.text;
  }
}

// Without limits, a few megabytes of brackets would exhaust the stack.
TEST(yaml_reader, limits_size_and_depth) {
  EXPECT_EQ(refusal(std::string(1'000'000, '[')).kind, error_kind::bad_document);
  const std::string balanced = std::string(500'000, '[') + std::string(500'000, ']');
  EXPECT_NE(refusal(balanced).text.find("deeper than 16"), std::string::npos);
  EXPECT_NE(refusal("abc", {.name = "f", .max_bytes = 2}).text.find("the limit is 2"), std::string::npos);
  EXPECT_TRUE(read(std::string(16, '[') + std::string(16, ']')));
  EXPECT_FALSE(read(std::string(17, '[') + std::string(17, ']')));
}

// An error in a section must have the line of the file that the operator edits.
TEST(yaml_reader, offsets_are_added_to_locations) {
  const error e = refusal("a: 1\na: 2\n", {.name = "m.yaml", .line_offset = 10, .column_offset = 4});
  EXPECT_EQ(e.where, "m.yaml:12:5");
}

// Values that a lenient reader would accept partly, such as 12x, must be refused.
TEST(yaml_reader, typed_values_are_strict) {
  const outcome<yaml_node> root = read("n: 12x\nd: 0.5\nf: yes\ne:\nbig: 99999999999999999999\n");
  ASSERT_TRUE(root);
  EXPECT_FALSE(capture([&] { return root->find("n")->as_unsigned(0, 100); }));
  EXPECT_FALSE(capture([&] { return root->find("big")->as_unsigned(0, 100); }));
  EXPECT_FALSE(capture([&] { return root->find("f")->as_bool(); }));
  EXPECT_FALSE(capture([&] { return root->find("e")->as_string(); }));
  const outcome<double> d = capture([&] { return root->find("d")->as_double(0, 1); });
  ASSERT_TRUE(d);
  EXPECT_DOUBLE_EQ(*d, 0.5);
  const outcome<void> keys = capture([&] { return root->expect_keys({"n", "d", "f", "e"}); });
  ASSERT_FALSE(keys);
  EXPECT_EQ(keys.failure().where, "f.yaml:5:1");
}

// Reading keys from an empty text must fail with a location; the null node has a source for that.
TEST(yaml_reader, empty_text_is_a_null_node) {
  const outcome<yaml_node> root = read("# only a comment\n");
  ASSERT_TRUE(root);
  EXPECT_EQ(root->kind(), yaml_kind::null);
  const outcome<void> keys = capture([&] { return root->expect_keys({"a"}); });
  ASSERT_FALSE(keys);
  EXPECT_EQ(keys.failure().where, "f.yaml:1:1");
}

}  // namespace
}  // namespace heatherdeck

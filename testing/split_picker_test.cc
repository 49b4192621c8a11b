// Guards the parts of a split route: each service must get its weight's share within any short run of requests.
#include "traffic/split_picker.h"

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

route_rule split_rule() {
  route_rule rule;
  rule.name = "r";
  rule.split = {{"a", 90}, {"b", 10}, {"c", 0}};
  return rule;
}

TEST(split_picker, each_part_is_within_one_request_of_its_weight) {
  split_picker parts;
  const route_rule rule = split_rule();
  int a = 0;
  for (int n = 1; n <= 1000; ++n) {
    const std::string& picked = parts.pick(rule);
    ASSERT_NE(picked, "c");
    a += picked == "a" ? 1 : 0;
    ASSERT_NEAR(a, 0.9 * n, 1.0) << "after " << n;
  }
}

// A change of another route must not begin the parts anew, which would favour the largest one during a storm of
// changes.
TEST(split_picker, keeps_its_place_over_changes_of_the_document) {
  split_picker parts;
  compiled_document document;
  document.routes.push_back(split_rule());
  int b = 0;
  for (int n = 0; n < 100; ++n) {
    parts.set_document(document);
    b += parts.pick(document.routes.front()) == "b" ? 1 : 0;
  }
  EXPECT_EQ(b, 10);
}

}  // namespace
}  // namespace heatherdeck

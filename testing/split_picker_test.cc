// Tests of split routes: each service must get its proportion within any short sequence of requests.
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

TEST(split_picker, each_service_is_within_one_request_of_its_proportion) {
  split_picker picker;
  const route_rule rule = split_rule();
  int a = 0;
  for (int n = 1; n <= 1000; ++n) {
    const std::string& picked = picker.pick(rule);
    ASSERT_NE(picked, "c");
    a += picked == "a" ? 1 : 0;
    ASSERT_NEAR(a, 0.9 * n, 1.0) << "after " << n;
  }
}

// A change of another route must not reset the rotation; with frequent changes the service with the largest weight
// would get more than its proportion.
TEST(split_picker, keeps_its_rotation_across_document_changes) {
  split_picker picker;
  compiled_document document;
  document.routes.push_back(split_rule());
  int b = 0;
  for (int n = 0; n < 100; ++n) {
    picker.set_document(document);
    b += picker.pick(document.routes.front()) == "b" ? 1 : 0;
  }
  EXPECT_EQ(b, 10);
}

}  // namespace
}  // namespace heatherdeck

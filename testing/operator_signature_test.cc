// Tests the signatures of submissions: a signature is valid for one content and one key only, and malformed keys are
// refused.
#include "model/operator_signature.h"

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

submission sample() { return {"id-1", "amina", {{"shares", "a: { v1: 100 }\n", {1, 4}}}, {}}; }

// A member that the signature does not cover could be altered in a captured submission, which could then be replayed.
TEST(operator_signature, covers_every_member) {
  const operator_key_pair keys = *capture([] { return generate_operator_keys(); });
  EXPECT_EQ(*capture([&] { return public_key_of(keys.secret); }), keys.public_key);
  submission change = sample();
  ASSERT_TRUE(capture([&] { return sign_submission(change, keys.secret); }));
  EXPECT_TRUE(capture([&] { return verify_submission(change, keys.public_key); }));
  const auto refused = [&](auto alter) {
    submission altered = change;
    alter(altered);
    const outcome<void> checked = capture([&] { return verify_submission(altered, keys.public_key); });
    return !checked && checked.failure().kind == error_kind::unauthorised;
  };
  EXPECT_TRUE(refused([](submission& s) { s.id = "id-2"; }));
  EXPECT_TRUE(refused([](submission& s) { s.operator_name = "juma"; }));
  EXPECT_TRUE(refused([](submission& s) { s.edits[0].name = "limits"; }));
  EXPECT_TRUE(refused([](submission& s) { s.edits[0].text = ""; }));
  EXPECT_TRUE(refused([](submission& s) { s.edits[0].base.index = 5; }));
  EXPECT_TRUE(refused([](submission& s) { s.edits.push_back(s.edits[0]); }));
  EXPECT_TRUE(refused([](submission& s) { s.signature[3] ^= 1; }));
  EXPECT_TRUE(refused([](submission& s) { s.signature.clear(); }));
  EXPECT_TRUE(refused([](submission& s) { s.signature += 'x'; }));
  const operator_key_pair other = *capture([] { return generate_operator_keys(); });
  EXPECT_FALSE(capture([&] { return verify_submission(change, other.public_key); }));
  EXPECT_FALSE(capture([&] { return verify_submission(change, "bm90IGEga2V5"); }));
}

TEST(operator_signature, base64_round_trip_and_malformed_text) {
  for (const std::string& bytes : {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
                                   std::string("\0\xff\x80", 3), std::string(100, '\xfb')}) {
    EXPECT_EQ(*capture([&] { return from_base64(to_base64(bytes)); }), bytes);
  }
  for (const char* bad : {"a", "ab=a", "a===", "====", " YQ=", "YQ=\n", "YW J"}) {
    EXPECT_FALSE(capture([&] { return from_base64(bad); })) << bad;
  }
}

}  // namespace
}  // namespace heatherdeck

// Guards against fingerprints that differ when the same request is sent again, or agree for different requests.
#include "model/request_fingerprint.h"

#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

TEST(request_fingerprint, fields_do_not_run_into_each_other) {
  const std::uint64_t base = hash_request_head("GET", "orders", "/parcels/7", "desk");
  EXPECT_EQ(hash_request_head("GET", "orders", "/parcels/7", "desk"), base);
  EXPECT_NE(hash_request_head("GET", "orders/", "parcels/7", "desk"), base);
  EXPECT_NE(hash_request_head("GET", "orders", "/parcels/7", "bench"), base);
  EXPECT_NE(hash_request_head("POST", "orders", "/parcels/7", "desk"), base);
}

TEST(request_fingerprint, body_hash_is_independent_of_the_parts) {
  body_hasher whole;
  body_hasher parts;
  EXPECT_EQ(whole.value(), 0U);
  whole.update("parcel=7&note=soles");
  parts.update("parcel=");
  parts.update("");
  parts.update("7&note=soles");
  EXPECT_EQ(whole.value(), parts.value());
  parts.update("!");
  EXPECT_NE(whole.value(), parts.value());
}

TEST(request_fingerprint, only_the_first_part_of_a_long_body_counts) {
  body_hasher first;
  body_hasher second;
  first.update(std::string(max_hashed_body_bytes, 'x'));
  EXPECT_TRUE(first.full());
  second.update(std::string(max_hashed_body_bytes + 1, 'x'));
  second.update("y");
  EXPECT_EQ(first.value(), second.value());
}

}  // namespace
}  // namespace heatherdeck

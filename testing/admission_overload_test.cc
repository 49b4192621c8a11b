// Plays every load of overload_cases and checks what the callers get. Guards against an admission that earns less than
// nine tenths of what a scheduler could that knows the mean service times, or less than the code before (commit
// c75f364, which ordered by priority and objective and did not know accounts), and against accounts that are pushed
// out.
#include <gtest/gtest.h>

#include "testing/overload_cases.h"

namespace heatherdeck {
namespace {

constexpr std::uint64_t seeds = 3;
constexpr std::uint64_t min_account_requests = 100;
// With other random numbers the sums over three seeds differ by up to this.
constexpr double noise = 0.006;

struct expected_load {
  const char* name;
  double owed_before = 0;  ///< part of all worth owed that the code before earned, on these seeds
  /// Whether it reaches nine tenths of the bound for a scheduler that knows every service time. Where it does not, a
  /// scheduler that knows the means earns 0.86 to 0.95 of that bound itself.
  bool reaches_bound = true;
};

class admission_overload : public testing::TestWithParam<expected_load> {};

TEST_P(admission_overload, earns_nine_tenths_of_the_bound_and_no_less_than_before) {
  const expected_load& expected = GetParam();
  const overload_sums sums = play_overload(overload_case_named(expected.name), seeds);
  EXPECT_GT(sums.of_mean_bound(), 0.9) << expected.name;
  if (expected.reaches_bound) {
    EXPECT_GT(sums.of_bound(), 0.9) << expected.name;
  }
  EXPECT_GT(sums.of_owed(), expected.owed_before - noise) << expected.name;
  EXPECT_GT(sums.worst_account(min_account_requests), 0.25) << expected.name;
}

INSTANTIATE_TEST_SUITE_P(
    loads, admission_overload,
    testing::Values(expected_load{"0.7 x", 0.989}, expected_load{"1.0 x", 0.960}, expected_load{"1.2 x", 0.835},
                    expected_load{"1.6 x", 0.659, false}, expected_load{"2.5 x", 0.461, false},
                    expected_load{"half lost", 0.784}, expected_load{"slow when full", 0.803, false},
                    expected_load{"slow upstreams", 0.782, false}, expected_load{"least urgent burst", 0.802, false},
                    expected_load{"most urgent burst", 0.890}, expected_load{"retry storm", 0.910},
                    expected_load{"accounts 1.2 x", 0.927}, expected_load{"accounts 1.6 x", 0.834},
                    expected_load{"accounts 2.5 x", 0.731}, expected_load{"equal priorities", 0.834},
                    expected_load{"hot account", 0.862}, expected_load{"hot account, one kind", 0.676, false},
                    expected_load{"hot small account", 0.925}));

// The account sends six times its usual demand, of the only kind of request. The others were served 0.826 before, and
// 0.97 without it.
TEST(admission_overload_accounts, hot_account_does_not_push_out_the_others) {
  const overload_sums sums = play_overload(overload_case_named("hot account, one kind"), seeds);
  EXPECT_GT(sums.served_part_without("account-0"), 0.89);
  EXPECT_GT(play_overload(overload_case_named("hot account"), seeds).served_part_without("account-0"), 0.87);
}

// Priorities of accounts take precedence, and a strict order served the last ones 0.006 of the rate of all.
TEST(admission_overload_accounts, least_urgent_accounts_are_served_a_quarter_of_the_rate_of_all) {
  for (const char* name : {"priorities 1.6 x", "priorities 2.5 x"}) {
    EXPECT_GT(play_overload(overload_case_named(name), seeds).worst_account(min_account_requests), 0.25) << name;
  }
}

}  // namespace
}  // namespace heatherdeck

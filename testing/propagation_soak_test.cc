// Six control hosts and twelve nodes as processes, killed, without power, frozen, stopped, cut off and started again in
// seeded orders while the configuration changes: every node in touch serves every route 2 s after its acknowledgement.
//
// HD_SEED=n plays the seed n instead of the fixed one, HD_ORDERS=n that many orders, HD_BIN=folder the programs of
// another build; the logs are kept if a check fails.
#include "testing/propagation_soak.h"

#include <cstdlib>
#include <filesystem>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace heatherdeck {
namespace {

constexpr std::uint64_t fixed_seed = 108;
constexpr std::uint64_t fixed_orders = 3;
constexpr std::size_t most_printed = 5;

std::uint64_t number_from(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text != nullptr ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// Six control hosts and twelve nodes in their zones.
class propagation : public testing::Test {
 protected:
  void SetUp() override {
    const char* bin = std::getenv("HD_BIN");
    work = (std::filesystem::temp_directory_path() / fmt::format("hd_propagation_{}", ::getpid())).string();
    auto made = capture([&] {
      return soak_deployment::make({.bin = bin != nullptr ? bin : HD_BUILD_FOLDER,
                                    .work = work,
                                    .control_hosts = 6,
                                    .services = std::vector<std::string>(12, "desk"),
                                    .tolerated_losses = propagation_soak::tolerated_losses,
                                    .zones = {{"alex-a", "delta"},
                                              {"tanta-b", "delta"},
                                              {"giza-a", "cairo"},
                                              {"nasr-b", "cairo"},
                                              {"luxor-a", "upper"},
                                              {"aswan-b", "upper"}},
                                    .relayed = true});
    });
    ASSERT_TRUE(made) << made.failure().message();
    deployment = std::move(*made);
    soak = std::make_unique<propagation_soak>(*deployment, seed);
    soak->start();
  }

  void TearDown() override {
    if (!soak) return;
    soak->stop();
    const propagation_soak::counters& counts = soak->counts();
    std::cout << fmt::format("seed {}: {} changes, {} requests, {} unanswered;", seed, counts.changes, counts.requests,
                             counts.unanswered);
    for (const auto& [kind, count] : counts.faults) std::cout << fmt::format(" {} {}", to_name(kind), count);
    std::cout << "\n";
    EXPECT_GT(counts.changes, 0U);
    const std::vector<std::string>& findings = soak->findings();
    for (std::size_t i = 0; i < std::min(most_printed, findings.size()); ++i) ADD_FAILURE() << findings[i];
    deployment.reset();
    if (!findings.empty()) {
      std::cout << findings.size() << " findings, logs in " << work << "\n" << soak->journal();
      return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(work, ignored);
  }

  const std::uint64_t seed = number_from("HD_SEED", fixed_seed);
  std::string work;
  std::unique_ptr<soak_deployment> deployment;
  std::unique_ptr<propagation_soak> soak;
};

TEST_F(propagation, acknowledged_routes_are_served_by_every_node) {
  for (std::uint64_t left = number_from("HD_ORDERS", fixed_orders); left != 0 && soak->findings().empty(); --left)
    soak->play_order();
}

}  // namespace
}  // namespace heatherdeck

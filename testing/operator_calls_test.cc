// Compares the calls of the platform's operators and their answers with testing/golden/platform/operator_calls.session:
// changes with resends, a conflict, an invalid text, a truncated text, and a rollout.
//
// "> METHOD PATH [BASE]" is followed by the body, if there is one; "< STATUS BODY" is the answer. The versions are
// those of the log of a single host. HD_WRITE_GOLDEN=1 rewrites the answers in the file, for review in the diff.
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

#include "control/ledger_service.h"
#include "platform/configuration_service.h"
#include "testing/single_host_control.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const std::string session_file = std::string(HD_GOLDEN_FOLDER) + "/operator_calls.session";

class control_host {
 public:
  control_host() {
    settings s;
    s.id = "127.0.0.1";
    s.configuration_listen = "127.0.0.1:0";
    auto served = std::move(*capture([&] { return configuration_service::make(s); }));
    calls_ = static_cast<configuration_service*>(served.get());
    auto rollouts = std::make_unique<scripted_rollout>();
    rollouts->end = scripted_result::done;
    EXPECT_TRUE(capture([&] { return k_.add(std::make_unique<single_host_consensus>()); }));
    EXPECT_TRUE(capture([&] { return k_.add(std::move(*capture([&] { return ledger_service::make(s); }))); }));
    EXPECT_TRUE(capture([&] { return k_.add(std::move(rollouts)); }));
    EXPECT_TRUE(capture([&] { return k_.add(std::move(served)); }));
    const outcome<void> begun = capture([&] { return k_.start(); });
    EXPECT_TRUE(begun) << begun.failure().message();
  }

  // Returns "< STATUS BODY", or the error when there is no answer.
  std::string call(http_request request) {
    std::string answer = "no answer";
    const std::string at = "127.0.0.1:" + std::to_string(calls_->port());
    boost::asio::co_spawn(
        k_.executor(),
        [&]() -> awaitable<void> {
          const duration limit = 10s;
          outcome<http_response> got = co_await http_call(k_.timers(), k_.executor(), at, request, limit);
          answer = got ? "< " + std::to_string(got->status) + " " + got->body : got.failure().message();
        },
        [&](std::exception_ptr) { k_.io().stop(); });
    k_.io().restart();
    k_.io().run_for(20s);
    return answer;
  }

 private:
  kernel k_;
  configuration_service* calls_ = nullptr;
};

// Returns the session with the answers of a new control host.
std::string play(const std::string& session) {
  control_host host;
  std::istringstream lines(session);
  std::string out;
  std::string line;
  std::getline(lines, line);
  while (lines) {
    if (!line.starts_with("> ")) {
      if (line.starts_with("#")) out += line + "\n";
      std::getline(lines, line);
      continue;
    }
    http_request request;
    std::string base;
    std::istringstream words(line.substr(2));
    words >> request.method >> request.path >> base;
    if (!base.empty()) request.headers["x-base-version"] = base;
    out += line + "\n";
    std::getline(lines, line);
    if (!line.empty() && line.front() != '<' && line.front() != '>' && line.front() != '#') {
      request.body = line;
      out += line + "\n";
      std::getline(lines, line);
    }
    out += host.call(std::move(request)) + "\n";
  }
  return out;
}

TEST(operator_calls, session_is_as_recorded) {
  std::ostringstream recorded;
  recorded << std::ifstream(session_file).rdbuf();
  const std::string played = play(recorded.str());
  if (std::getenv("HD_WRITE_GOLDEN") != nullptr) {
    std::ofstream(session_file) << played;
    GTEST_SKIP() << "the session file was rewritten";
  }
  ASSERT_FALSE(played.empty());
  EXPECT_EQ(played, recorded.str());
}

}  // namespace
}  // namespace heatherdeck

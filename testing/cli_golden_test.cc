// Compares the output of whole sessions of the command-line tool, run against a control host in this process, with
// testing/golden/cli/*.session. Addresses, generated ids and times are replaced by placeholders before the comparison.
//
// A session file has commands ("$ heatherdeck ..."), steps of the test ("! copy FROM TO", "! rollouts END") and, after
// each command, its output and exit code. With HD_WRITE_GOLDEN=1 the test rewrites the files, so that the changes can
// be reviewed with git diff, and reports itself as skipped.
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>

#include <gtest/gtest.h>
#include <sys/wait.h>

#include "control/ledger_service.h"
#include "control/operators_service.h"
#include "model/operator_signature.h"
#include "testing/single_host_control.h"

namespace heatherdeck {
namespace {

namespace fs = std::filesystem;

const fs::path golden_folder = HD_GOLDEN_FOLDER;
const fs::path tool = HD_CLI_PROGRAM;

// One control host with two operators; its kernel runs on a thread of its own.
class control_host_process {
 public:
  explicit control_host_process(const fs::path& folder) {
    settings s;
    s.id = "c1";
    s.availability_zone = "dar-1";
    s.operator_listen = "127.0.0.1:0";
    s.operators = {{"amina", make_key(folder / "amina.key"), {"*"}},
                   {"juma", make_key(folder / "juma.key"), {"routes.*"}}};
    auto rollout = std::make_unique<scripted_rollout>();
    rollout_ = rollout.get();
    auto operators = std::move(*capture([&] { return operators_service::make(s); }));
    operators_ = static_cast<operators_service*>(operators.get());
    auto ledger = std::move(*capture([&] { return ledger_service::make(s); }));
    EXPECT_TRUE(capture([&] { return k_.add(std::make_unique<single_host_consensus>()); }));
    EXPECT_TRUE(capture([&] { return k_.add(std::move(ledger)); }));
    EXPECT_TRUE(capture([&] { return k_.add(std::move(rollout)); }));
    EXPECT_TRUE(capture([&] { return k_.add(std::move(operators)); }));
    EXPECT_TRUE(capture([&] { return k_.start(); }));
    port_ = operators_->port();
    thread_ = std::thread([this] { k_.io().run(); });
  }
  ~control_host_process() {
    k_.io().stop();
    thread_.join();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void end_rollouts(scripted_result end) {
    boost::asio::post(k_.executor(), [this, end] { rollout_->end = end; });
  }

 private:
  static std::string make_key(const fs::path& file) {
    const operator_key_pair keys = *capture([] { return generate_operator_keys(); });
    std::ofstream(file) << keys.secret << "\n";
    return keys.public_key;
  }

  kernel k_;
  scripted_rollout* rollout_ = nullptr;
  operators_service* operators_ = nullptr;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

std::string replaced(std::string text, const std::string& pattern, const std::string& by) {
  return std::regex_replace(text, std::regex(pattern), by);
}

std::string without_variable_parts(std::string text, const std::string& address) {
  text = replaced(std::move(text), address, "{control}");
  text = replaced(std::move(text), "[0-9a-f]{32}", "{id}");
  return replaced(std::move(text), "for [0-9.]+ s", "for {time}");
}

// Runs one command line in the folder. @return stdout and stderr in the order of writing, then the exit code.
std::string run_tool(const fs::path& folder, const std::string& words) {
  const std::string line = "cd '" + folder.string() + "' && '" + tool.string() + "'" + words + " 2>&1";
  std::FILE* pipe = popen(line.c_str(), "r");
  if (pipe == nullptr) return "cannot start\n";
  std::string output;
  std::array<char, 4096> buffer{};
  while (const std::size_t size = std::fread(buffer.data(), 1, buffer.size(), pipe)) output.append(buffer.data(), size);
  const int status = pclose(pipe);
  return output + "exit " + std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -1) + "\n";
}

class session_player {
 public:
  explicit session_player(const std::string& name)
      : folder_(fs::temp_directory_path() / ("heatherdeck-golden-" + name + "-" + std::to_string(getpid()))) {
    fs::create_directories(folder_);
    for (const auto& file : fs::directory_iterator(golden_folder)) {
      if (file.path().extension() == ".yaml" || file.path().extension() == ".jsonl") fs::copy(file.path(), folder_);
    }
    host_ = std::make_unique<control_host_process>(folder_);
  }
  ~session_player() {
    host_.reset();
    fs::remove_all(folder_);
  }

  // Runs the commands and steps of a session. @return the session with the actual output.
  std::string play(const std::string& session) {
    std::istringstream lines(session);
    std::string out;
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("$ heatherdeck")) {
        const std::string words =
            replaced(line.substr(std::string("$ heatherdeck").size()), "\\{control\\}", host_->address());
        out += line + "\n" + without_variable_parts(run_tool(folder_, words), host_->address());
      } else if (line.starts_with("! ")) {
        take_step(line.substr(2));
        out += line + "\n";
      }
    }
    return out;
  }

 private:
  void take_step(const std::string& step) {
    std::istringstream words(step);
    std::string verb;
    std::string first;
    std::string second;
    words >> verb >> first >> second;
    if (verb == "copy") {
      fs::copy_file(folder_ / first, folder_ / second, fs::copy_options::overwrite_existing);
    } else if (verb == "rollouts") {
      host_->end_rollouts(first == "done" ? scripted_result::done : scripted_result::rolled_back);
    } else {
      ADD_FAILURE() << "unknown step " << step;
    }
  }

  fs::path folder_;
  std::unique_ptr<control_host_process> host_;
};

class cli_golden : public testing::TestWithParam<const char*> {};

TEST_P(cli_golden, session_is_as_recorded) {
  const fs::path file = golden_folder / (std::string(GetParam()) + ".session");
  std::ostringstream recorded;
  recorded << std::ifstream(file).rdbuf();
  session_player player(GetParam());
  const std::string played = player.play(recorded.str());
  if (std::getenv("HD_WRITE_GOLDEN") != nullptr) {
    std::ofstream(file) << played;
    GTEST_SKIP() << "the session file was rewritten";
  }
  EXPECT_EQ(played, recorded.str());
}

INSTANTIATE_TEST_SUITE_P(sessions, cli_golden,
                         testing::Values("check", "usage", "submit", "rollout", "rollback", "explain"));

}  // namespace
}  // namespace heatherdeck

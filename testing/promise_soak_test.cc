// Two nodes and upstreams that fail at random: rejections with copies that arrive late, lost connections, bytes that
// are no response. Whatever happens, a request that is not idempotent runs once at most, and not at all if its caller
// got a status that promises so.
//
// HD_SEED=n runs the seed n instead of the fixed one.
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>

#include <fmt/format.h>

#include "platform/dialect.h"
#include "testing/second_node.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t fixed_seed = 1;
constexpr int callers = 64;
constexpr int calls_per_caller = 50;
// Longer than a PING and its timeout, and than the handshake of a new connection.
constexpr auto freeze_time = 2600ms;

/// What an upstream does with a request.
enum class behaviour {
  serve,
  serve_late,
  serve_and_reject,
  reject,
  reject_twice,
  misdirect,
  reject_early,
  crash,
  close_unread,
  garbage
};
constexpr std::pair<behaviour, int> weights[] = {{behaviour::serve, 40},           {behaviour::serve_late, 15},
                                                 {behaviour::serve_and_reject, 5}, {behaviour::reject, 12},
                                                 {behaviour::reject_twice, 12},    {behaviour::misdirect, 4},
                                                 {behaviour::reject_early, 5},     {behaviour::crash, 4},
                                                 {behaviour::close_unread, 5},     {behaviour::garbage, 3}};

/// Runs of all upstreams, by request id.
class run_log {
 public:
  void add(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    ++runs_[id];
  }
  int count(const std::string& id) const {
    const std::scoped_lock lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
};

/// Upstreams of one node; each connection is served by its own task on the thread of the node.
class failing_upstream {
 public:
  failing_upstream(run_log& log, std::uint64_t seed) : log_(&log), random_(seed) {}

  upstream_script script() {
    return [this](tcp_socket s) { return serve(std::make_shared<h1_stream>(std::move(s))); };
  }
  int late_rejections() const { return late_rejections_; }

 private:
  behaviour draw() {
    std::vector<double> shares;
    for (const auto& [what, weight] : weights) shares.push_back(weight);
    return weights[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_)].first;
  }

  static std::string rejection_of(const std::string& id) {
    return "HTTP/1.1 503 Full\r\nX-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  awaitable<void> pause(h1_stream& stream, int max_ms) {
    boost::asio::steady_timer timer(stream.socket.get_executor(), milliseconds(random_() % max_ms));
    (void)co_await timer.async_wait(use_tuple);
  }

  awaitable<void> serve(std::shared_ptr<h1_stream> stream) {
    std::string late;
    for (;;) {
      h1_reader<true> reader(*stream);
      if (co_await reader.read_head()) co_return;
      const std::string id(reader.message()["X-Request-Id"]);
      const behaviour what = draw();
      // A copy of an earlier rejection, or one of no request, comes where the response to this request is due.
      if (!late.empty()) {
        ++late_rejections_;
        co_await proxy_harness::send(*stream, std::exchange(late, {}));
      }
      if (what == behaviour::close_unread) co_return;
      if (what == behaviour::reject_early) co_await proxy_harness::send(*stream, rejection_of(id));
      while (!reader.done()) {
        const auto data = co_await reader.read_body();
        if (!data) co_return;
      }
      switch (what) {
        case behaviour::serve:
        case behaviour::serve_late:
        case behaviour::serve_and_reject:
          log_->add(id);
          if (what == behaviour::serve_late) co_await pause(*stream, 30);
          co_await proxy_harness::send(*stream, "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: " + id +
                                                    "\r\nContent-Length: 2\r\n\r\nok");
          if (what == behaviour::serve_and_reject) {
            late = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
          }
          break;
        case behaviour::reject:
        case behaviour::reject_twice:
          co_await proxy_harness::send(*stream, rejection_of(id));
          if (what == behaviour::reject_twice) late = rejection_of(id);
          break;
        case behaviour::misdirect: {
          const std::string misdirected = "HTTP/1.1 421 No\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
          co_await proxy_harness::send(*stream, misdirected);
          late = misdirected;
          break;
        }
        case behaviour::crash:
          log_->add(id);
          co_return;
        case behaviour::garbage:
          log_->add(id);
          co_await proxy_harness::send(*stream, "no response\r\n\r\n");
          co_return;
        case behaviour::reject_early:
        case behaviour::close_unread:
          break;
      }
    }
  }

  run_log* log_;
  std::mt19937_64 random_;
  int late_rejections_ = 0;
};

struct tally {
  std::map<unsigned, int> statuses;
  int refused_but_ran = 0;
  int ran_twice = 0;
  int served_without_run = 0;
};

TEST(promise_soak, refused_requests_never_run_and_others_run_once) {
  const char* chosen_seed = std::getenv("HD_SEED");
  const std::uint64_t seed = chosen_seed != nullptr ? std::strtoull(chosen_seed, nullptr, 10) : fixed_seed;
  run_log log;
  failing_upstream near(log, seed);
  failing_upstream far(log, seed + 1);
  failing_upstream leaving(log, seed + 3);
  std::mt19937_64 random(seed + 2);
  tally seen;
  std::map<std::string, unsigned> answered;
  {
    const http_dialect& dialect = dialect_of(dialect_name::platform);
    second_node second(far.script(), dialect);
    second_node third(leaving.script(), dialect);
    proxy_harness first(near.script(), 60s, true, dialect);
    const std::string others[] = {"127.0.0.1:" + std::to_string(second.harness.mesh->port()),
                                  "127.0.0.1:" + std::to_string(third.harness.mesh->port())};
    const auto pick = first.traffic->pick;
    first.traffic->pick = [&](const request_attributes& attributes) {
      pick_result picked = pick(attributes);
      if (auto* choice = std::get_if<upstream_choice>(&picked); choice != nullptr && random() % 3 != 0) {
        choice->local = false;
        choice->mesh_address = others[random() % std::size(others)];
      }
      return picked;
    };
    int ended = 0;
    const auto call_repeatedly = [&](int caller) -> awaitable<void> {
      std::unique_ptr<h1_stream> stream;
      for (int i = 0; i < calls_per_caller; ++i) {
        if (!stream) stream = co_await first.connect();
        const std::string id = fmt::format("r-{}-{}", caller, i);
        const std::string body(random() % 4 == 0 ? random() % 100'000 : 0, 'x');
        co_await first.send(*stream, fmt::format("POST /book HTTP/1.1\r\nHost: a\r\nX-Request-Id: {}\r\n"
                                                 "X-Deadline-Ms: 5000\r\nContent-Length: {}\r\n\r\n{}",
                                                 id, body.size(), body));
        const auto response = co_await first.read_response(*stream);
        answered[id] = response.result_int();
        if (response.result_int() == 0 || !response.keep_alive()) stream.reset();
      }
      ++ended;
    };
    first.run([&]() -> awaitable<void> {
      for (int c = 0; c < callers; ++c) boost::asio::co_spawn(first.k.io(), call_repeatedly(c), boost::asio::detached);
      const auto half_done = [&] { return answered.size() >= callers * calls_per_caller / 2; };
      EXPECT_TRUE(co_await eventually(first.k, half_done));
      second.post([] { std::this_thread::sleep_for(freeze_time); });
      third.post(
          [&] { (*third.harness.k.find<mesh_message>(to_name(service_name::mesh))).post(refuse_new_streams{}); });
      boost::asio::steady_timer timer(first.k.io());
      while (ended < callers) {
        timer.expires_after(10ms);
        (void)co_await timer.async_wait(use_tuple);
      }
    });
    second.join();
    third.join();
  }
  for (const auto& [id, status] : answered) {
    ++seen.statuses[status];
    const int runs = log.count(id);
    if (runs > 1) ++seen.ran_twice;
    if (http_dialect::implies_not_executed(status) && runs > 0) ++seen.refused_but_ran;
    if (status == 200 && runs == 0) ++seen.served_without_run;
  }
  EXPECT_EQ(answered.size(), static_cast<std::size_t>(callers * calls_per_caller));
  EXPECT_EQ(seen.refused_but_ran, 0) << "seed " << seed;
  EXPECT_EQ(seen.ran_twice, 0) << "seed " << seed;
  EXPECT_EQ(seen.served_without_run, 0) << "seed " << seed;
  EXPECT_GT(seen.statuses[200], callers * calls_per_caller / 2);
  EXPECT_GT(seen.statuses[503], 0);
  EXPECT_GT(near.late_rejections() + far.late_rejections() + leaving.late_rejections(), 0);
  for (const auto& [status, count] : seen.statuses) std::cout << status << ": " << count << "\n";
  std::cout << "late rejections: " << near.late_rejections() + far.late_rejections() + leaving.late_rejections()
            << "\n";
}

}  // namespace
}  // namespace heatherdeck

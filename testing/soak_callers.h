/// @file
/// Callers of the nodes of a fleet, in the test's process. Used by stop_soak_test.
///
/// A bound caller keeps a connection to one node and uses it until the process is gone, whatever the node's readiness.
/// A roaming caller opens a connection for each call, to a node that is ready by GET /ready on its admin port.
///
///     soak_callers callers({.nodes = nodes, .seed = 7});
///     callers.start();
///     ...
///     for (const call_record& call : callers.finish()) ...
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/kernel.h"
#include "testing/wall_clock.h"

namespace heatherdeck {

/// How often a roaming caller's platform asks a node for its readiness, and how many missed answers in a row take the
/// node out. Together they are the time after which callers know of a stop.
inline constexpr std::chrono::seconds readiness_period{1};
inline constexpr unsigned misses_until_out = 2;

/// lookup: short; archive: up to most of the grace time, idempotent; order: not idempotent; download: 100 KB.
enum class call_kind { lookup, archive, order, download };

template <>
struct enum_table<call_kind> {
  static constexpr auto entries = std::to_array<enum_entry<call_kind>>({
      {call_kind::lookup, "lookup"},
      {call_kind::archive, "archive"},
      {call_kind::order, "order"},
      {call_kind::download, "download"},
  });
};

/// One call whose request was sent completely. Times are wall-clock times since the Unix epoch, as in logs.
struct call_record {
  std::string id;    ///< in hd-request-id and hd-test-id
  std::string node;  ///< name of the node that was called
  call_kind kind = call_kind::lookup;
  milliseconds sent_at{0};
  milliseconds ended_at{0};
  bool answered = false;  ///< otherwise the connection ended without a complete response
  bool response_began = false;
  unsigned status = 0;
  std::string outcome;         ///< hd-outcome of the response
  std::string answered_id;     ///< hd-request-id of the response
  std::string upstream_id;     ///< x-test-id of the response, set by the upstream
  bool body_complete = false;  ///< the body has the size that the request asked for
};

struct called_node {
  std::string name;
  std::string caller_address;
  std::string admin_address;
};

struct soak_caller_options {
  std::vector<called_node> nodes;
  std::string host;             ///< value of the Host header
  unsigned bound_per_node = 6;  ///< callers that keep to one node
  unsigned roaming = 24;
  std::uint64_t seed = 1;
};

/// Runs all callers on one thread; the calling thread must not touch them between start() and finish().
class soak_callers {
 public:
  explicit soak_callers(soak_caller_options options) : options_(std::move(options)) {}
  ~soak_callers() { finish(); }
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;

  void start();
  /// Lets every caller end its call and waits for it.
  /// @return all calls, in the order in which they ended.
  const std::vector<call_record>& finish();

 private:
  struct caller;
  awaitable<void> watch_readiness(std::size_t node);
  awaitable<void> run_caller(std::uint64_t number, std::size_t bound_node, bool roaming);
  awaitable<bool> call(caller& c, const called_node& node);
  awaitable<void> sleep(duration delay);

  soak_caller_options options_;
  kernel kernel_;
  std::thread thread_;
  std::vector<unsigned> misses_;  ///< of each node, in a row
  std::vector<call_record> calls_;
  bool stopping_ = false;
};

}  // namespace heatherdeck

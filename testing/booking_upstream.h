/// @file
/// An upstream in the platform's dialect that sheds what it has no room for and misbehaves at random. Used by
/// booking_soak_test; runs on the event loop of the test's kernel.
///
/// It echoes X-Request-Id, seals its answers, answers 421 to requests for another target, rejects with X-Not-Executed
/// before it reads the body, and announces itself to the node on its host. A request has run when its whole body was
/// read and a slot was free; each run is recorded.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kernel/enum_names.h"
#include "kernel/kernel.h"
#include "node/h1_stream.h"

namespace heatherdeck {

enum class upstream_fault {
  lost_answer,          ///< ran, and the connection is closed in place of the answer
  cut_answer,           ///< the connection is closed within the answer's body
  slow_answer,          ///< takes longer than the route's timeout allows for most
  failed_answer,        ///< ran, answered with 500
  answer_copy,          ///< a second copy of an answer, late
  refusal,              ///< rejects although there is room
  silent_refusal,       ///< rejects without an answer, and answers nothing more on the connection
  refusal_copy,         ///< a second copy of a rejection, late
  refusal_copy_return,  ///< the same, not before the rejected request has come again
  extra_rejection,      ///< a rejection without an id after a complete answer
};

template <>
struct enum_table<upstream_fault> {
  static constexpr auto entries = std::to_array<enum_entry<upstream_fault>>({
      {upstream_fault::lost_answer, "lost_answer"},
      {upstream_fault::cut_answer, "cut_answer"},
      {upstream_fault::slow_answer, "slow_answer"},
      {upstream_fault::failed_answer, "failed_answer"},
      {upstream_fault::answer_copy, "answer_copy"},
      {upstream_fault::refusal, "refusal"},
      {upstream_fault::silent_refusal, "silent_refusal"},
      {upstream_fault::refusal_copy, "refusal_copy"},
      {upstream_fault::refusal_copy_return, "refusal_copy_return"},
      {upstream_fault::extra_rejection, "extra_rejection"},
  });
};

/// A request that an upstream has begun to work on.
struct upstream_run {
  std::string id;
  std::string target;
  milliseconds begun_at{0};            ///< wall clock, since the Unix epoch
  unsigned status = 200;               ///< that the upstream answers, or would answer
  bool intact = true;                  ///< the body is the one that the caller sends with this id
  std::vector<std::string> late = {};  ///< late messages on its connection since the answer before
};

/// What all upstreams of a soak did.
struct upstream_record {
  std::vector<upstream_run> runs;
  std::map<upstream_fault, std::uint64_t> faults;
  std::uint64_t refused_full = 0;     ///< no slot and no room in the queue, or no slot before the deadline
  std::uint64_t misdirected = 0;      ///< 421
  std::uint64_t returned = 0;         ///< rejected requests that came to the same upstream again
  std::uint64_t reset = 0;            ///< connections beyond the limit
  std::uint64_t rejected_upload = 0;  ///< rejections before a long body was read
};

struct booking_upstream_options {
  std::string name;  ///< its targets are named NAME-1, NAME-2, ... by incarnation
  std::string service;
  std::string listen;
  std::string announce_to;
  unsigned slots = 3;
  unsigned announced_slots = 5;
  unsigned queue_limit = 2;
  unsigned max_connections = 8;
  std::uint64_t seed = 1;
  std::set<upstream_fault> without;  ///< faults that never occur
};

/// @return a text of this size in which each line carries the id.
std::string text_of(const std::string& id, std::size_t size);

/// All members run on the kernel's loop. The object must outlive the loop's last run.
class booking_upstream {
 public:
  booking_upstream(kernel& k, booking_upstream_options options, upstream_record& record);
  /// Listens and announces until close().
  result<void> start();
  /// Ends the process that the upstream stands for and starts another one at the same address, with a new target name.
  void replace();
  /// @return whether no request is running, waiting or being read.
  bool idle() const { return running_ == 0 && waiting_.empty(); }
  void close();

 private:
  struct incoming;
  struct late_message;
  struct connection;
  using connection_ptr = std::shared_ptr<connection>;

  awaitable<void> accept();
  awaitable<void> announce();
  awaitable<void> serve(connection_ptr c);
  awaitable<bool> answer(connection& c, incoming& request);
  awaitable<bool> reject(connection& c, incoming& request, unsigned status);
  awaitable<bool> run(connection& c, incoming& request);
  awaitable<bool> read_body(connection& c, incoming& request);
  awaitable<bool> acquire_slot(milliseconds limit);
  void release_slot();
  awaitable<bool> write(connection& c, std::string text);
  awaitable<void> send_late_messages(connection& c);
  awaitable<void> sleep(milliseconds time);
  bool occurs(upstream_fault fault);
  int draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  std::string target() const { return target(incarnation_); }
  std::string target(unsigned incarnation) const { return options_.name + "-" + std::to_string(incarnation); }

  kernel& kernel_;
  booking_upstream_options options_;
  upstream_record& record_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mt19937_64 random_;
  unsigned incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  milliseconds born_;
  unsigned running_ = 0;
  std::deque<boost::asio::steady_timer*> waiting_;
  std::set<connection_ptr> connections_;
  std::set<std::string> refused_;   ///< ids of rejected requests
  std::set<std::string> returned_;  ///< those that have come again
  bool closed_ = false;
};

}  // namespace heatherdeck

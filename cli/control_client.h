/// @file
/// Calls to the operators' API of several control hosts.
///
///     BOOST_LEAF_AUTO(hosts, control_addresses(FLAGS_control));
///     control_client client(timers, executor, hosts);
///     outcome<boost::json::value> body = co_await client.get({"GET", "/v1/document"}, 10s);
///     outcome<submission_result> answer = co_await client.submit(change, 30s);
///
/// `get` asks the hosts in turn until one answers. `submit` follows not_leader to the leader and sends the same id
/// again after a lost answer, so it never submits a change twice.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <boost/json/value.hpp>

#include "kernel/mailbox.h"
#include "wire/http_message.h"
#include "wire/operator_api.h"

namespace heatherdeck {

/// @param list "ip:port,ip:port,...".
/// @return the addresses, or `usage` when there is none or one is malformed.
result<std::vector<std::string>> control_addresses(const std::string& list);

/// Waits for a time.
awaitable<void> pause(timer_service& timers, executor_type executor, duration time);

/// What each of several hosts answered.
using host_answers = std::vector<std::pair<std::string, outcome<boost::json::value>>>;

class control_client {
 public:
  control_client(timer_service& timers, executor_type executor, std::vector<std::string> hosts)
      : timers_(timers), executor_(std::move(executor)), hosts_(std::move(hosts)) {}

  /// Asks the hosts in turn, beginning with the one that answered last.
  /// @return the body of the first answer; the host's own error when it refused; `unreachable` when none answered.
  awaitable<outcome<boost::json::value>> get(http_request request, duration timeout);

  /// Asks all hosts at the same time.
  awaitable<host_answers> get_all(http_request request, duration timeout);

  /// Submits until there is an answer or the time is over.
  /// @return the answer, also a refusal; `unknown_outcome` when the change may have been accepted; `unreachable`.
  awaitable<outcome<submission_result>> submit(submission change, duration timeout);

  /// Adds the control hosts that the named ones know, so that the nodes of all of them are counted.
  awaitable<void> learn_hosts(duration timeout);

 private:
  void prefer(const std::string& host);
  void move_on();

  timer_service& timers_;
  executor_type executor_;
  std::vector<std::string> hosts_;  // the one to ask next stands first
};

/// Reads a typed value from an answer's body.
template <class Value>
outcome<Value> read_body(const outcome<boost::json::value>& body) {
  if (!body) return body.failure();
  return capture([&] { return from_json<Value>(*body); });
}

}  // namespace heatherdeck

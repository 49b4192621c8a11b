/// @file
/// Client of the control hosts' operator API, with failover between hosts.
///
///     BOOST_LEAF_AUTO(hosts, parse_control_addresses(FLAGS_control));
///     control_client client(timers, executor, hosts);
///     outcome<boost::json::value> body = co_await client.get({"GET", "/v1/document"}, 10s);
///     outcome<submission_result> answer = co_await client.submit(change, 30s);
///
/// Both calls begin with the host that responds first, so that frozen hosts, which accept connections and never
/// respond, cost no time each. `get` tries the hosts in turn until one answers. `submit` follows a not_leader refusal
/// to the leader and retries with the same submission id after a lost response, so a change is never made twice. Used
/// by the commands, on their event loop.
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
/// @return the addresses, or a `usage` error when the list is empty or an address is malformed.
result<std::vector<std::string>> parse_control_addresses(const std::string& list);

/// Suspends the calling coroutine for the given time.
awaitable<void> sleep_for(timer_service& timers, executor_type executor, duration time);

/// Each host's address with its response body or the error of the call.
using host_responses = std::vector<std::pair<std::string, outcome<boost::json::value>>>;

class control_client {
 public:
  control_client(timer_service& timers, executor_type executor, std::vector<std::string> hosts)
      : timers_(timers), executor_(std::move(executor)), hosts_(std::move(hosts)) {}

  /// Tries the hosts in turn, beginning with the one that answered last, or with the first to respond to a probe.
  /// @param timeout for each host.
  /// @return the body of the first response; the host's own error when it refused; `unreachable` when none answered.
  awaitable<outcome<boost::json::value>> get(http_request request, duration timeout);

  /// Sends the request to all hosts concurrently.
  /// @param timeout for each host.
  awaitable<host_responses> get_all(http_request request, duration timeout);

  /// Submits a change, with retries until there is a final response or the timeout ends.
  /// @param timeout for all attempts together.
  /// @return the response, which may be a refusal; `unknown_outcome` when the change may have been accepted; else the
  /// error of the last attempt.
  awaitable<outcome<submission_result>> submit(submission change, duration timeout);

  /// Asks one host for the addresses of all control hosts and adds them, so that the nodes of all of them are counted.
  awaitable<void> discover_hosts(duration timeout);

 private:
  awaitable<void> prefer_responsive_host();
  void move_to_front(const std::string& host);
  void rotate_hosts();

  timer_service& timers_;
  executor_type executor_;
  std::vector<std::string> hosts_;  // in the order in which they are tried
  bool responsive_ = false;         // the first of hosts_ has responded to the last call or probe
};

/// Parses a response body, or passes on the error of the call.
template <class Value>
outcome<Value> read_body(const outcome<boost::json::value>& body) {
  if (!body) return body.failure();
  return capture([&] { return from_json<Value>(*body); });
}

}  // namespace heatherdeck

// Makes one call at a time, except in get_all, which runs one child task per host.
//
// Invariant: a submission is reported as refused only when a control host has said so. If the response is lost after
// the first byte of the request was sent, the outcome is unknown until a host answers for the same id. Cost: one
// connection per call.
#include "cli/control_client.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include "wire/endpoint.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

// Delay after all hosts were tried. An election takes about 1.5 s, so several rounds of retries fall within one.
constexpr duration retry_delay = 300ms;
constexpr duration submit_attempt_timeout = 10s;
constexpr duration probe_timeout = 2s;

outcome<boost::json::value> parse_response_body(const http_response& answer) {
  outcome<boost::json::value> body = capture([&] { return parse_json(answer.body); });
  if (!body || answer.status < 400) return body;
  const auto refused = capture([&] { return from_json<submission_result>(*body); });
  if (refused && !refused->answer.ok()) return refused->answer.refusal;
  return error{error_kind::bad_message,
               "the host answered with HTTP status " + std::to_string(answer.status),
               "check that the address is the operator_listen address of a control host",
               {}};
}

enum class retry_action { finish, retry, retry_leader };

// What to do after a refusal of each kind; kinds that are not listed are final.
struct retry_rule {
  error_kind kind;
  retry_action action;
};

constexpr retry_rule retry_table[] = {
    {error_kind::not_leader, retry_action::retry_leader},
    {error_kind::no_quorum, retry_action::retry},
    {error_kind::overloaded, retry_action::retry},
    {error_kind::unavailable, retry_action::retry},
    {error_kind::unknown_outcome, retry_action::retry},
    {error_kind::timeout, retry_action::retry},
    {error_kind::stopped, retry_action::retry},
    {error_kind::unreachable, retry_action::retry},
    {error_kind::closed, retry_action::retry},
};

retry_action retry_action_for(error_kind kind) {
  for (const retry_rule& row : retry_table) {
    if (row.kind == kind) return row.action;
  }
  return retry_action::finish;
}

bool leaves_outcome_unknown(error_kind kind) {
  return kind == error_kind::unknown_outcome || kind == error_kind::timeout || kind == error_kind::closed;
}

submission_result parse_submission_result(const outcome<http_response>& answer) {
  submission_result result;
  if (!answer) {
    result.answer.refusal = answer.failure();
    return result;
  }
  const auto read = capture([&]() -> boost::leaf::result<submission_result> {
    BOOST_LEAF_AUTO(body, parse_json(answer->body));
    return from_json<submission_result>(body);
  });
  if (read) return *read;
  result.answer.refusal = read.failure();
  return result;
}

awaitable<void> call_host(timer_service& timers, executor_type executor, std::string host, http_request request,
                          duration timeout, reply<outcome<boost::json::value>> answer) {
  const outcome<http_response> response = co_await http_call(timers, executor, host, request, timeout);
  answer(response ? parse_response_body(*response) : outcome<boost::json::value>(response.failure()));
}

using probe_channel = boost::asio::experimental::channel<void(boost::system::error_code, std::string)>;

/// Sends the host's address to the channel if it responds, or else an empty text.
awaitable<void> probe_host(timer_service& timers, executor_type executor, std::string host,
                           std::shared_ptr<probe_channel> responses) {
  // Without a name the call is refused at once. Any response shows that the host runs.
  const http_request request{"GET", "/v1/section", {}, {}, {}};
  const outcome<http_response> response = co_await http_call(timers, executor, host, request, probe_timeout);
  if (!response) host.clear();
  responses->try_send(boost::system::error_code{}, std::move(host));
}

}  // namespace

result<std::vector<std::string>> parse_control_addresses(const std::string& list) {
  std::vector<std::string> hosts;
  for (std::size_t from = 0; from < list.size();) {
    const std::size_t end = std::min(list.find(',', from), list.size());
    const std::string host = list.substr(from, end - from);
    from = end + 1;
    if (!capture([&] { return parse_endpoint(host); })) {
      return fail(error_kind::usage, "'" + host + "' is not an address", "use the form --control=ip:port,ip:port,...",
                  "--control");
    }
    hosts.push_back(host);
  }
  if (hosts.empty()) {
    return fail(error_kind::usage, "no control host is given", "add --control=ip:port,ip:port,...", "--control");
  }
  return hosts;
}

awaitable<void> sleep_for(timer_service& timers, executor_type executor, duration time) {
  const auto channel =
      std::make_shared<boost::asio::experimental::channel<void(boost::system::error_code)>>(executor, 1);
  const subscription limit = timers.after(time, [channel] { channel->try_send(boost::system::error_code{}); });
  auto [ec] = co_await channel->async_receive(use_tuple);
  (void)ec;
}

awaitable<void> control_client::prefer_responsive_host() {
  if (responsive_ || hosts_.size() == 1) co_return;
  const std::size_t probes = hosts_.size();
  auto responses = std::make_shared<probe_channel>(executor_, probes);
  for (const std::string& host : hosts_) {
    boost::asio::co_spawn(executor_, probe_host(timers_, executor_, host, responses), boost::asio::detached);
  }
  for (std::size_t i = 0; i < probes; ++i) {
    auto [ec, host] = co_await responses->async_receive(use_tuple);
    if (ec || host.empty()) continue;
    move_to_front(host);
    responsive_ = true;
    co_return;
  }
}

void control_client::move_to_front(const std::string& host) {
  const auto found = std::find(hosts_.begin(), hosts_.end(), host);
  if (found == hosts_.end()) {
    hosts_.insert(hosts_.begin(), host);
  } else {
    std::rotate(hosts_.begin(), found, found + 1);
  }
}

void control_client::rotate_hosts() { std::rotate(hosts_.begin(), hosts_.begin() + 1, hosts_.end()); }

awaitable<outcome<boost::json::value>> control_client::get(http_request request, duration timeout) {
  const std::size_t number = hosts_.size();
  error last;
  for (std::size_t i = 0; i < number; ++i) {
    co_await prefer_responsive_host();
    const std::string host = hosts_.front();
    const outcome<http_response> answer = co_await http_call(timers_, executor_, host, request, timeout);
    responsive_ = answer.has_value();
    if (answer) co_return parse_response_body(*answer);
    last = answer.failure();
    rotate_hosts();
  }
  co_return error{error_kind::unreachable, "no control host answered; the last error: " + last.text, last.remedy,
                  last.where};
}

awaitable<host_responses> control_client::get_all(http_request request, duration timeout) {
  using channel_type = reply<outcome<boost::json::value>>::channel_type;
  std::vector<std::shared_ptr<channel_type>> channels;
  for (const std::string& host : hosts_) {
    channels.push_back(std::make_shared<channel_type>(executor_, 1));
    reply<outcome<boost::json::value>> answer(channels.back());
    boost::asio::co_spawn(executor_, call_host(timers_, executor_, host, request, timeout, std::move(answer)),
                          boost::asio::detached);
  }
  host_responses answers;
  const std::vector<std::string> hosts = hosts_;
  for (std::size_t i = 0; i < channels.size(); ++i) {
    auto [ec, answer] = co_await channels[i]->async_receive(use_tuple);
    answers.emplace_back(hosts[i], answer ? std::move(*answer) : outcome<boost::json::value>(answer.failure()));
  }
  co_return answers;
}

awaitable<void> control_client::discover_hosts(duration timeout) {
  http_request request{"GET", "/v1/status", {}, {}, {}};
  const outcome<boost::json::value> body = co_await get(std::move(request), timeout);
  const outcome<control_status> status = read_body<control_status>(body);
  if (!status) co_return;
  for (const std::string& address : status->control_addresses) {
    if (!address.empty() && std::find(hosts_.begin(), hosts_.end(), address) == hosts_.end()) hosts_.push_back(address);
  }
}

awaitable<outcome<submission_result>> control_client::submit(submission change, duration timeout) {
  const time_point end = timer_service::now() + timeout;
  http_request request{"POST", "/v1/submissions", {}, {}, boost::json::serialize(to_json(change))};
  bool outcome_unknown = false;
  error last{
      error_kind::unreachable, "the timeout ended before a control host was contacted", "use a longer --timeout_s", {}};
  for (std::size_t attempts = 1; timer_service::now() < end; ++attempts) {
    co_await prefer_responsive_host();
    const duration attempt = std::min<duration>(submit_attempt_timeout, end - timer_service::now());
    const std::string host = hosts_.front();
    const outcome<http_response> answer = co_await http_call(timers_, executor_, host, request, attempt);
    responsive_ = answer.has_value();
    submission_result result = parse_submission_result(answer);
    if (result.answer.ok()) co_return result;
    last = result.answer.refusal;
    outcome_unknown = outcome_unknown || leaves_outcome_unknown(last.kind);
    const retry_action action = retry_action_for(last.kind);
    if (action == retry_action::finish) co_return result;
    if (action == retry_action::retry_leader && !result.leader.empty() && result.leader != host) {
      move_to_front(result.leader);
      continue;
    }
    rotate_hosts();
    if (attempts % hosts_.size() != 0) continue;  // try the next host without delay
    const duration rest = std::min<duration>(retry_delay, end - timer_service::now());
    co_await sleep_for(timers_, executor_, rest);
  }
  if (outcome_unknown) {
    co_return error{error_kind::unknown_outcome, "it is not known whether the change was accepted: " + last.text,
                    "submit it again with --id=" + change.id + "; a change with the same id is made only once",
                    last.where};
  }
  if (last.kind == error_kind::not_leader) last.kind = error_kind::no_quorum;
  co_return last;
}

}  // namespace heatherdeck

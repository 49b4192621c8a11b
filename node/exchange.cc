// An attempt runs as three concurrent branches of one task: `handle_response` reads the response and relays it,
// `send_request` forwards the request body and then waits for the caller to disconnect, `wait_for_deadline` ends the
// attempt when its deadline passes. The first branch that ends determines the result. The upstream link is closed
// before anything else happens, so a late response cannot reach a caller. Up to 64 KiB of the request body are buffered
// for a retry; while the upstream of a retry is being chosen, no more of the body is read. Invariant: `mark_sent` is
// called before the first write of each attempt. Cost per attempt: three coroutine frames, one timer, and one message
// in each direction to "traffic" and "pool".
#include "node/exchange.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

#include "kernel/log.h"
#include "model/request_fingerprint.h"
#include "node/credentials.h"
#include "node/deadline_timer.h"
#include "node/error_response.h"
#include "node/local_upstream.h"
#include "node/mesh_upstream.h"
#include "node/scoped_pick.h"
#include "node/upload_buffer.h"
#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

using namespace boost::asio::experimental::awaitable_operators;  // NOLINT(google-build-using-namespace): operator||

enum class attempt_end { completed, failed, retry, caller_disconnected, caller_body_invalid, timeout };

struct attempt_result {
  attempt_end end = attempt_end::failed;
  attempt_failure failure = attempt_failure::closed;
};

class exchange {
 public:
  exchange(proxy_context_ptr context, caller_link& caller, request_head head)
      : context_(std::move(context)),
        caller_(&caller),
        head_(std::move(head)),
        arrived_(timer_service::now()),
        core_(head_.limits, arrived_) {}

  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;
  ~exchange();

  awaitable<exchange_result> run();

 private:
  exchange_result abort(unanswered_cause cause);
  awaitable<scoped_pick> request_pick(request_attributes wanted);
  awaitable<outcome<upstream_link_ptr>> open_link();
  awaitable<attempt_result> run_attempt();
  awaitable<attempt_result> handle_response();
  awaitable<attempt_result> send_request();
  awaitable<attempt_result> wait_for_deadline();
  awaitable<outcome<std::string>> next_body_data();
  awaitable<outcome<void>> read_hashed_body();
  awaitable<exchange_result> end_without_body(const error& failure);
  call_ending ending_of(const response_head& response) const;
  awaitable<attempt_result> relay(response_head response, call_outcome reported_outcome);
  awaitable<exchange_result> respond(exchange_decision decision, std::string refused_reason, std::string text);
  void add_response_metadata(response_head& response) const;
  void report_statement(const upstream_statement& statement) const;
  void record_progress();
  attempt_result end_attempt(attempt_result result);
  request_attributes attributes() const;
  request_fingerprint fingerprint() const;
  void log_lost_call(attempt_failure failure) const;
  void log_not_executed(attempt_failure evidence) const;
  milliseconds age() const;
  duration bounded_timeout(duration limit) const;

  proxy_context_ptr context_;
  caller_link* caller_;
  request_head head_;
  time_point arrived_;
  exchange_core core_;
  body_hasher body_hash_;
  scoped_pick pick_;
  scoped_pick next_pick_;
  upstream_link_ptr link_;
  std::shared_ptr<deadline_timer> timer_;
  std::shared_ptr<wake_signal> deadline_signal_;
  time_point sent_at_{};
  duration latency_{};
  std::vector<std::string> tried_targets_;
  std::string pinned_service_;
  upload_buffer upload_;
  bool choosing_next_ = false;  // a rejected request waits for another upstream, to which its whole body must go
  std::shared_ptr<wake_signal> next_chosen_;
  bool upload_done_ = false;
  bool attempt_ended_ = false;  // the attempt has a result: `send_request` must not write any more
  // Removed when the response is complete; the exchange is destroyed early only when the process ends.
  std::optional<unanswered_cause> unanswered_ = unanswered_cause::process_ended;
  std::optional<attempt_failure> last_failure_;
};

exchange::~exchange() {
  if (!unanswered_) return;
  const bool chosen = static_cast<bool>(pick_);
  const milliseconds since_sent = std::chrono::duration_cast<milliseconds>(timer_service::now() - sent_at_);
  log_event(log_level::info, "request_unanswered",
            {{"request", head_.request_id},
             {"cause", to_name(*unanswered_)},
             {"failure", last_failure_ ? to_name(*last_failure_) : std::string_view()},
             {"state", chosen ? to_name(core_.state()) : std::string_view("waiting")},
             {"attempts", core_.attempts()},
             {"route", chosen ? pick_.choice().route : std::string()},
             {"target", chosen ? pick_.choice().target : std::string()},
             {"from_peer", head_.limits.from_peer},
             {"age_ms", age().count()},
             {"attempt_ms", chosen && core_.attempts() > 0 ? since_sent.count() : 0}});
}

exchange_result exchange::abort(unanswered_cause cause) {
  unanswered_ = cause;
  caller_->abort();
  return exchange_result::aborted;
}

milliseconds exchange::age() const {
  return head_.age + std::chrono::duration_cast<milliseconds>(timer_service::now() - arrived_);
}

request_fingerprint exchange::fingerprint() const {
  return {hash_request_head(head_.method, head_.host, head_.target, head_.caller_service), body_hash_.value()};
}

// The upstream on this host ended the connection without a response, as it does when it crashes.
void exchange::log_lost_call(attempt_failure failure) const {
  const upstream_choice& choice = pick_.choice();
  log_event(log_level::warning, "upstream_call_lost",
            {{"request", head_.request_id},
             {"fingerprint", to_text(fingerprint())},
             {"target", choice.target},
             {"route", choice.route},
             {"path", head_.target},
             {"caller_service", head_.caller_service},
             {"from_peer", head_.limits.from_peer},
             {"reason", to_name(failure)},
             {"sent_ms_ago", std::chrono::duration_cast<milliseconds>(timer_service::now() - sent_at_).count()},
             {"age_ms", age().count()}});
}

// What this node believes of an attempt that it repeats elsewhere or reports as not executed.
void exchange::log_not_executed(attempt_failure evidence) const {
  log_event(log_level::info, "attempt_not_executed",
            {{"request", head_.request_id},
             {"evidence", to_name(evidence)},
             {"attempt", core_.attempts()},
             {"target", pick_.choice().target},
             {"local", pick_.choice().local},
             {"from_peer", head_.limits.from_peer},
             {"age_ms", age().count()}});
}

call_ending exchange::ending_of(const response_head& response) const {
  const bool from_upstream = pick_.choice().local && response.execution == execution_status::none;
  return from_upstream ? call_ending::answered : call_ending::unknown;
}

request_attributes exchange::attributes() const {
  request_attributes attributes{.host = head_.host, .path = head_.target, .method = head_.method};
  for (const auto& [name, value] : head_.headers) attributes.headers.emplace(name, value);
  attributes.deadline = core_.remaining_time(timer_service::now());
  attributes.age = age();
  attributes.from_peer = head_.limits.from_peer;
  if (attributes.from_peer) {
    attributes.service = head_.service;
    attributes.upstream_version = head_.upstream_version;
    attributes.account = head_.account;
    attributes.account_key = head_.account_key;
  } else {
    attributes.api_key = head_.api_key;
  }
  attributes.attempt = core_.attempts();
  attributes.tried_targets = tried_targets_;
  attributes.may_have_run = core_.may_have_run();
  attributes.pinned_service = pinned_service_;
  attributes.fingerprint = fingerprint();
  attributes.body_unread =
      core_.attempts() == 0 && head_.body != body_framing::none && !caller_->body_done() && !body_hash_.full();
  return attributes;
}

awaitable<scoped_pick> exchange::request_pick(request_attributes wanted) {
  auto acquiring = scoped_pick::acquire(context_, std::move(wanted));
  co_return co_await std::move(acquiring);
}

// Reads the part of the body that the fingerprint covers, before any of it is forwarded.
// Returns why the caller's body cannot be read; nothing is wrong when the deadline passes meanwhile.
awaitable<outcome<void>> exchange::read_hashed_body() {
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto signal = std::make_shared<wake_signal>(executor);
  const auto timer = deadline_timer::make(*context_->timers, [signal] { signal->set(); });
  timer->set(core_.deadline().value_or(timer_service::now() + context_->idle_timeout));
  outcome<void> result = error{error_kind::timeout, "the caller has sent no more of the body", {}, {}};
  upload_.keep_all(true);  // no attempt has sent any of it yet
  auto read_all = [this, &result]() -> awaitable<void> {
    while (!caller_->body_done() && !body_hash_.full()) {
      auto reading = next_body_data();
      auto data = co_await std::move(reading);
      if (!data) {
        result = data.failure();
        co_return;
      }
    }
    result = outcome<void>();
  };
  auto reading = read_all();
  auto waiting = signal->wait();
  auto first = std::move(reading) || std::move(waiting);
  (void)co_await std::move(first);
  if (!result && result.failure().kind == error_kind::timeout && core_.deadline()) co_return outcome<void>();
  co_return std::move(result);
}

awaitable<exchange_result> exchange::end_without_body(const error& failure) {
  if (failure.kind != error_kind::bad_message) co_return abort(unanswered_cause::body_unreadable);
  exchange_decision decision = core_.decide_after_failure(attempt_failure::cancelled, timer_service::now(), false);
  decision.status = 400;
  auto responding = respond(decision, {}, "the body is invalid");
  (void)co_await std::move(responding);
  co_return exchange_result::close;
}

// Called by each branch as its last step; afterwards no other branch writes to the upstream. Cancellation reaches only
// an operation that is pending at that moment, so the link is closed here as well unless it can be reused.
attempt_result exchange::end_attempt(attempt_result result) {
  if (std::exchange(attempt_ended_, true)) return result;
  if (result.end != attempt_end::completed || !upload_done_) link_->abort();
  return result;
}

// Posted with the head instead of with the result of the call, because a response may take seconds to end.
void exchange::report_statement(const upstream_statement& statement) const {
  const upstream_choice& choice = pick_.choice();
  if (!choice.local || statement == choice.statement) return;
  context_->traffic.post(upstream_stated{choice.target, statement});
}

// Until the response begins, the route's timeout counts from the last part of the request body; afterwards the idle
// timeout and the end of the response apply.
void exchange::record_progress() {
  const time_point now = timer_service::now();
  if (core_.state() != attempt_state::response_started) core_.restart_timeout(now);
  const bool timed = core_.state() != attempt_state::response_started && core_.deadline();
  timer_->set(timed ? *core_.deadline() : std::min(core_.response_end(), now + context_->idle_timeout));
}

duration exchange::bounded_timeout(duration limit) const {
  const auto left = core_.remaining_time(timer_service::now());
  return left ? std::min<duration>(limit, *left) : limit;
}

void exchange::add_response_metadata(response_head& response) const {
  response.request_id = head_.request_id;
  if (head_.limits.from_peer) {
    // This node's count of running and waiting requests includes the load that the upstream reports.
    // The pace of the response itself is newer.
    const double pace = response.load ? response.load->pace : 0;
    if (pick_ && pick_.choice().target_load) response.load = pick_.choice().target_load;
    if (response.load && pace > 0) response.load->pace = pace;
    return;
  }
  response.load.reset();
  if (!pick_) return;
  const upstream_choice& choice = pick_.choice();
  response.served_by = fmt::format("{}; version={}; zone={}; reason={}", choice.target, choice.upstream_version,
                                   choice.availability_zone, to_name(choice.locality));
}

awaitable<exchange_result> exchange::respond(exchange_decision decision, std::string refused_reason, std::string text) {
  core_.mark_response_started();
  if (decision.execution != execution_status::not_executed)
    refused_reason.clear();  // hd-refused implies that the request was not executed
  const bool retry_later = decision.execution == execution_status::not_executed && !pick_ &&
                           (decision.status == 503 || decision.status == 429);
  log_event(log_level::info, "request_refused",
            {{"request", head_.request_id},
             {"fingerprint", to_text(fingerprint())},
             {"status", decision.status},
             {"reason", refused_reason.empty() ? text : refused_reason},
             {"claim", to_name(decision.execution)},
             {"attempts", core_.attempts()},
             {"service", pinned_service_},
             {"from_peer", head_.limits.from_peer},
             {"age_ms", age().count()}});
  refusal_details details{.refused_reason = std::move(refused_reason), .text = std::move(text)};
  if (retry_later) details.retry_after = pick_.get_refusal().retry_after;
  if (!pick_ && head_.limits.from_peer) details.load = pick_.get_refusal().load;
  auto sending =
      send_error_response(*caller_, decision.status, decision.execution, std::move(details), head_.request_id);
  co_await std::move(sending);
  unanswered_.reset();
  co_return caller_->body_done() ? exchange_result::reusable : exchange_result::close;
}

// Returns the next part of the request body: first the data buffered by an earlier attempt, then data from the caller.
awaitable<outcome<std::string>> exchange::next_body_data() {
  if (upload_.has_unsent()) co_return upload_.take_unsent();
  auto reading = caller_->read_body();
  auto data = co_await std::move(reading);
  if (!data) co_return data.failure();
  body_hash_.update(*data);
  upload_.add(*data);
  if (!upload_.replayable() && link_) link_->wait_on_silence();
  co_return std::move(data);
}

awaitable<outcome<upstream_link_ptr>> exchange::open_link() {
  const upstream_choice choice = pick_.choice();
  const exchange_limits limits = core_.next_hop_limits(timer_service::now());
  // A connect within the same network takes milliseconds; the rest covers one lost SYN, which is sent again after 1 s.
  const duration timeout =
      bounded_timeout(choice.local ? duration(std::chrono::milliseconds(1500)) : context_->idle_timeout);
  if (choice.local) {
    auto opening = open_local_upstream(context_, choice, head_, limits, timeout);
    co_return co_await std::move(opening);
  }
  // Opening the stream sends the request head, so the deadline is checked here.
  if (!core_.may_send(timer_service::now()))
    co_return error{error_kind::unreachable, "the deadline has passed before the request was forwarded", {}, {}};
  request_head forwarded_head = head_;
  forwarded_head.age = age();
  const silence_action on_silence =
      core_.may_repeat(upload_.replayable()) ? silence_action::fail : silence_action::wait;
  auto opening = open_mesh_upstream(context_, choice, forwarded_head, limits, timeout, on_silence);
  auto opened = co_await std::move(opening);
  const auto failed = opened ? attempt_failure::closed : failure_of(opened.failure().kind);
  if (opened || failed != attempt_failure::connect_failed) core_.mark_sent();
  co_return std::move(opened);
}

awaitable<attempt_result> exchange::send_request() {
  bool last = head_.body == body_framing::none;
  bool write_failed = false;
  std::string data;
  if (!last && (upload_.has_unsent() || caller_->body_buffered())) {
    auto first = co_await next_body_data();
    if (!first) co_return end_attempt({attempt_end::caller_body_invalid});
    data = std::move(*first);
    last = caller_->body_done() && !upload_.has_unsent();
  }
  while (!attempt_ended_) {
    if (!core_.may_send(timer_service::now()) && core_.state() == attempt_state::not_sent) {
      co_return end_attempt({attempt_end::timeout});
    }
    core_.mark_sent();
    auto sending = link_->send(std::move(data), last);
    const auto sent = co_await std::move(sending);
    write_failed = !sent;
    upload_done_ = last && !write_failed;
    if (write_failed || last) break;
    while (choosing_next_ && !attempt_ended_) {
      auto waiting = next_chosen_->wait();
      (void)co_await std::move(waiting);
    }
    if (attempt_ended_) break;
    auto reading = next_body_data();
    auto next = co_await std::move(reading);
    if (!next) {
      const bool invalid = next.failure().kind == error_kind::bad_message;
      co_return end_attempt({invalid ? attempt_end::caller_body_invalid : attempt_end::caller_disconnected});
    }
    data = std::move(*next);
    last = caller_->body_done() && !upload_.has_unsent();
    record_progress();
  }
  // After a failed write a response may still arrive; `handle_response` ends the attempt.
  if (write_failed && !caller_->body_done() && !attempt_ended_) {
    const auto executor = co_await boost::asio::this_coro::executor;
    wake_signal never(executor);
    auto waiting = never.wait();
    (void)co_await std::move(waiting);
  }
  if (!attempt_ended_) {
    auto watching = caller_->wait_disconnected();
    co_await std::move(watching);
  }
  co_return end_attempt({attempt_end::caller_disconnected});
}

awaitable<attempt_result> exchange::wait_for_deadline() {
  const auto signal = deadline_signal_;
  const auto timer = timer_;
  bool fired = true;
  // If the response began in the same turn of the event loop in which the deadline passed, the timer has been extended.
  do {
    auto waiting = signal->wait();
    fired = co_await std::move(waiting);
  } while (fired && timer_service::now() < timer->due());
  co_return end_attempt({attempt_end::timeout});
}

awaitable<attempt_result> exchange::handle_response() {
  auto reading = link_->read_head();
  auto head = co_await std::move(reading);
  if (attempt_ended_) co_return end_attempt({attempt_end::failed});
  if (!head) co_return end_attempt({attempt_end::failed, failure_of(head.failure().kind)});
  const time_point now = timer_service::now();
  latency_ = now - sent_at_;
  report_statement(head->statement);
  const auto refused = from_name<refusal_reason>(head->refused_reason);
  const bool other_may_serve = upload_.replayable() && !(refused && holds_everywhere(*refused));
  exchange_decision decision = core_.decide_after_response(head->status, head->execution, now, other_may_serve);
  if (head->execution == execution_status::not_executed) log_not_executed(attempt_failure::peer_not_executed);
  if (decision.action == next_action::retry) {
    tried_targets_.push_back(pick_.choice().target);
    // The choice may take as long as the wait for a slot. What `send_request` has asked the caller for meanwhile is
    // kept beyond the limit of the buffer; it asks for no more.
    choosing_next_ = true;
    upload_.keep_all(true);
    auto picking = request_pick(attributes());
    next_pick_ = co_await std::move(picking);
    if (attempt_ended_) co_return end_attempt({attempt_end::failed});
    if (next_pick_) {
      pick_.finish({decision.reported_outcome, latency_, head->load, ending_of(*head), fingerprint()});
      co_return end_attempt({attempt_end::retry});
    }
    choosing_next_ = false;
    upload_.keep_all(false);
    next_chosen_->set();
  }
  head->execution = decision.execution;
  if (decision.execution != execution_status::none) head->status = decision.status;
  auto relaying = relay(std::move(*head), decision.reported_outcome);
  co_return co_await std::move(relaying);
}

awaitable<attempt_result> exchange::relay(response_head response, call_outcome reported_outcome) {
  core_.mark_response_started();
  record_progress();
  const auto load = response.load;
  const call_ending ending = ending_of(response);
  const bool end = response.body == body_framing::none;
  add_response_metadata(response);
  auto sending_head = caller_->send_head(std::move(response), end, link_->body_buffered());
  auto sent = co_await std::move(sending_head);
  while (sent && !end) {
    const time_point asked_at = timer_service::now();
    timer_->set(core_.body_due(asked_at, context_->idle_timeout));
    auto reading = link_->read_body();
    auto data = co_await std::move(reading);
    if (data) core_.on_body_read(data->size(), timer_service::now() - asked_at);
    if (!data) co_return end_attempt({attempt_end::failed, failure_of(data.failure().kind)});
    if (attempt_ended_) co_return end_attempt({attempt_end::failed});
    record_progress();
    const bool last = link_->response_done();
    auto sending = caller_->send_body(std::move(*data), last);
    sent = co_await std::move(sending);
    if (attempt_ended_) co_return end_attempt({attempt_end::failed});
    record_progress();
    if (last) break;
  }
  if (!sent) co_return end_attempt({attempt_end::caller_disconnected});
  pick_.finish({reported_outcome, latency_, load, ending, fingerprint()});
  co_return end_attempt({attempt_end::completed});
}

awaitable<attempt_result> exchange::run_attempt() {
  sent_at_ = timer_service::now();
  attempt_ended_ = false;
  upload_done_ = false;
  upload_.rewind();
  upload_.keep_all(false);
  choosing_next_ = false;
  next_chosen_ = std::make_shared<wake_signal>(context_->executor);
  auto opening = open_link();
  auto opened = co_await std::move(opening);
  if (!opened) co_return attempt_result{attempt_end::failed, failure_of(opened.failure().kind)};
  link_ = std::move(*opened);
  const auto signal = std::make_shared<wake_signal>(context_->executor);
  deadline_signal_ = signal;
  timer_ = deadline_timer::make(*context_->timers, [signal] { signal->set(); });
  timer_->set(core_.deadline().value_or(timer_service::now() + context_->idle_timeout));
  auto handling_response = handle_response();
  auto sending_request = send_request();
  auto waiting_for_deadline = wait_for_deadline();
  auto response_or_request = std::move(handling_response) || std::move(sending_request);
  auto any_ended = std::move(response_or_request) || std::move(waiting_for_deadline);
  auto ended = co_await std::move(any_ended);
  attempt_result result = std::visit([](const attempt_result& ended_first) { return ended_first; }, ended);
  timer_.reset();
  if (result.end == attempt_end::completed) {
    link_->release();
  } else {
    link_->abort();
    if (result.end == attempt_end::failed && !link_->may_have_been_sent())
      result.failure = attempt_failure::connect_failed;
  }
  link_.reset();
  co_return result;
}

awaitable<exchange_result> exchange::run() {
  if (const auto reason = core_.admit(timer_service::now())) {
    auto responding = respond(core_.decide_after_refusal(*reason), std::string(to_name(*reason)),
                              "the deadline has passed or the hop limit is reached");
    co_return co_await std::move(responding);
  }
  while (true) {
    if (next_pick_) {
      pick_ = std::exchange(next_pick_, {});
    } else {
      auto picking = request_pick(attributes());
      pick_ = co_await std::move(picking);
    }
    if (pick_.needs_body()) {
      auto reading = read_hashed_body();
      const outcome<void> read = co_await std::move(reading);
      if (!read) {
        auto ending = end_without_body(read.failure());
        co_return co_await std::move(ending);
      }
      request_attributes with_body = attributes();
      with_body.body_unread = false;
      auto picking = request_pick(std::move(with_body));
      pick_ = co_await std::move(picking);
    }
    if (!pick_) {
      const refusal_reason reason = pick_.get_refusal().reason;
      auto responding = respond(core_.decide_after_refusal(reason), std::string(to_name(reason)),
                                "no upstream is available for this request");
      co_return co_await std::move(responding);
    }
    if (!pick_.choice().idempotent && !caller_->first_in_line()) {
      pick_.finish({});  // no capacity of the upstream is reserved while responses ahead are delivered
      auto waiting = caller_->wait_first_in_line();
      co_await std::move(waiting);
      if (!caller_->disconnected()) continue;
    }
    // The pick may have waited long for a free slot; a caller that has disconnected meanwhile must not cause any work.
    if (caller_->disconnected()) {
      pick_.finish({});
      co_return abort(unanswered_cause::caller_disconnected);
    }
    const upstream_choice& choice = pick_.choice();
    pinned_service_ = choice.service;
    if (choice.remove_credentials) remove_credentials(head_.headers, *context_->dialect);
    head_.account = choice.account;
    head_.age += choice.elapsed_before_attempt;
    core_.begin_attempt(choice.idempotent, choice.timeout, timer_service::now(), choice.attempts);
    auto attempting = run_attempt();
    const attempt_result result = co_await std::move(attempting);
    if (result.end == attempt_end::completed) {
      unanswered_.reset();
      co_return caller_->body_done() ? exchange_result::reusable : exchange_result::close;
    }
    if (result.end == attempt_end::retry) continue;
    const bool caller_failed =
        result.end == attempt_end::caller_disconnected || result.end == attempt_end::caller_body_invalid;
    const attempt_failure failure = caller_failed                        ? attempt_failure::cancelled
                                    : result.end == attempt_end::timeout ? attempt_failure::timeout
                                                                         : result.failure;
    const bool lost = pick_.choice().local && core_.state() != attempt_state::not_sent &&
                      (failure == attempt_failure::closed || failure == attempt_failure::reset);
    if (lost) log_lost_call(failure);
    if (proves_not_executed(failure)) log_not_executed(failure);
    exchange_decision decision = core_.decide_after_failure(failure, timer_service::now(), upload_.replayable());
    pick_.finish({decision.reported_outcome,
                  timer_service::now() - sent_at_,
                  {},
                  lost ? call_ending::lost : call_ending::unknown,
                  fingerprint()});
    last_failure_ = failure;
    if (result.end == attempt_end::caller_disconnected) co_return abort(unanswered_cause::caller_disconnected);
    if (decision.action == next_action::abort) co_return abort(unanswered_cause::response_broken_off);
    if (decision.action == next_action::retry) {
      tried_targets_.push_back(pick_.choice().target);
      continue;
    }
    if (result.end == attempt_end::caller_body_invalid) decision.status = 400;
    auto failing = respond(decision, {}, std::string(to_name(failure)));
    const exchange_result end = co_await std::move(failing);
    co_return result.end == attempt_end::caller_body_invalid ? exchange_result::close : end;
  }
}

}  // namespace

awaitable<exchange_result> run_exchange(proxy_context_ptr context, caller_link& caller, request_head head) {
  exchange running(std::move(context), caller, std::move(head));
  auto ending = running.run();
  co_return co_await std::move(ending);
}

}  // namespace heatherdeck

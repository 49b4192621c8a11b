// An attempt runs as three branches of one task: `drive` reads the answer and relays it, `upload` passes on the
// request's body and then watches for the caller to go, `guard` ends the attempt when its time has passed. The first
// branch that ends decides; the link is abandoned before anything else happens, so a late answer has nowhere to go. Up
// to 64 KiB of the body are kept for a retry. Invariant: `mark_sent` precedes the first write of each attempt. Cost:
// three coroutine frames, one timer and one message each way to "traffic" and "pool" per attempt.
#include "node/exchange.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

#include "kernel/log.h"
#include "node/local_upstream.h"
#include "node/mesh_upstream.h"
#include "node/pick_ticket.h"
#include "node/time_guard.h"
#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

using namespace boost::asio::experimental::awaitable_operators;  // NOLINT(google-build-using-namespace): operator||

enum class attempt_end { answered, failed, retry, caller_gone, caller_broke, timeout };

struct attempt_result {
  attempt_end end = attempt_end::failed;
  exchange_failure failure = exchange_failure::closed;
};

exchange_failure failure_of(error_kind kind) {
  switch (kind) {
    case error_kind::unreachable:
    case error_kind::unauthorised:
    case error_kind::overloaded:
      return exchange_failure::refused;
    case error_kind::not_processed:
      return exchange_failure::refused_stream;
    case error_kind::timeout:
      return exchange_failure::timeout;
    case error_kind::bad_message:
      return exchange_failure::bad_answer;
    default:
      return exchange_failure::closed;
  }
}

class exchange {
 public:
  exchange(proxy_context_ptr context, caller_link& caller, request_head head)
      : context_(std::move(context)),
        caller_(&caller),
        head_(std::move(head)),
        arrived_(timer_service::now()),
        core_(head_.limits, arrived_) {}

  awaitable<exchange_end> run();

 private:
  awaitable<pick_ticket> pick();
  awaitable<outcome<upstream_link_ptr>> open_link();
  awaitable<attempt_result> attempt();
  awaitable<attempt_result> drive();
  awaitable<attempt_result> upload();
  awaitable<attempt_result> guard();
  awaitable<outcome<std::string>> next_piece();
  awaitable<attempt_result> relay(answer_head answer, call_outcome report);
  awaitable<exchange_end> answer(exchange_decision decision, std::string refused, std::string text);
  void complete(answer_head& answer) const;
  void note_progress();
  attempt_result decide(attempt_result result);
  request_facts facts() const;
  milliseconds age() const;
  duration time_for(duration most) const;

  proxy_context_ptr context_;
  caller_link* caller_;
  request_head head_;
  time_point arrived_;
  exchange_core core_;
  pick_ticket ticket_;
  pick_ticket next_ticket_;
  upstream_link_ptr link_;
  std::shared_ptr<time_guard> limit_;
  std::shared_ptr<wake_signal> limit_passed_;
  time_point sent_at_{};
  duration latency_{};
  std::vector<std::string> avoid_targets_;
  std::string kept_service_;
  std::string replay_;
  std::size_t replayed_ = 0;
  bool replayable_ = true;
  bool upload_done_ = false;
  bool over_ = false;  // the attempt has been decided: `upload` must not write any more
};

milliseconds exchange::age() const {
  return head_.age + std::chrono::duration_cast<milliseconds>(timer_service::now() - arrived_);
}

request_facts exchange::facts() const {
  request_facts facts{.host = head_.host, .path = head_.target, .method = head_.method};
  for (const auto& [name, value] : head_.headers) facts.headers.emplace(name, value);
  facts.deadline = core_.time_left(timer_service::now());
  facts.age = age();
  facts.from_peer = head_.limits.from_peer;
  if (facts.from_peer) {
    facts.service = head_.service;
    facts.upstream_version = head_.upstream_version;
  }
  facts.attempt = core_.attempts();
  facts.avoid_targets = avoid_targets_;
  facts.kept_service = kept_service_;
  return facts;
}

awaitable<pick_ticket> exchange::pick() {
  auto taking = pick_ticket::take(context_, facts());
  co_return co_await std::move(taking);
}

// Called by each branch as its last step: from then on no other branch writes to the upstream. A cancellation reaches
// only an operation that is waiting at that moment, so the link is ended here too, unless it can be used again.
attempt_result exchange::decide(attempt_result result) {
  if (std::exchange(over_, true)) return result;
  if (result.end != attempt_end::answered || !upload_done_) link_->abandon();
  return result;
}

// The route's time-out counts from the last piece of the request; an answer that has begun is limited by idle time
// only.
void exchange::note_progress() {
  const time_point now = timer_service::now();
  if (core_.state() != run_state::answered) core_.note_upload(now);
  const bool timed = core_.state() != run_state::answered && core_.deadline();
  limit_->set(timed ? *core_.deadline() : now + context_->idle_limit);
}

duration exchange::time_for(duration most) const {
  const auto left = core_.time_left(timer_service::now());
  return left ? std::min<duration>(most, *left) : most;
}

void exchange::complete(answer_head& answer) const {
  answer.request_id = head_.request_id;
  if (head_.limits.from_peer) {
    // What runs and waits at this node's gate includes what the upstream tells of itself.
    if (ticket_ && ticket_.choice().target_load) answer.load = ticket_.choice().target_load;
    return;
  }
  answer.load.reset();
  if (!ticket_) return;
  const upstream_choice& choice = ticket_.choice();
  answer.served_by = fmt::format("{}; version={}; zone={}; reason={}", choice.target, choice.upstream_version,
                                 choice.availability_zone, to_name(choice.reason));
}

awaitable<exchange_end> exchange::answer(exchange_decision decision, std::string refused, std::string text) {
  core_.mark_answered();
  if (decision.claim != run_claim::not_run) refused.clear();  // the header says that nothing has run
  const bool come_back = decision.claim == run_claim::not_run && decision.status == 503 && !ticket_;
  log_event(log_level::info, "request_refused",
            {{"request", head_.request_id},
             {"status", decision.status},
             {"reason", refused.empty() ? text : refused},
             {"claim", to_name(decision.claim)},
             {"attempts", core_.attempts()},
             {"service", kept_service_},
             {"from_peer", head_.limits.from_peer},
             {"age_ms", age().count()}});
  refusal_note note{.refused = std::move(refused), .text = std::move(text)};
  if (come_back) note.retry_after = ticket_.refused().retry_after;
  if (!ticket_ && head_.limits.from_peer) note.load = ticket_.refused().load;
  auto sending = send_refusal(*caller_, decision.status, decision.claim, std::move(note), head_.request_id);
  co_await std::move(sending);
  co_return caller_->body_done() ? exchange_end::keep : exchange_end::close;
}

// The next piece to send: kept pieces of an earlier attempt first, then the caller's.
awaitable<outcome<std::string>> exchange::next_piece() {
  if (replayed_ < replay_.size()) {
    std::string piece = replay_.substr(replayed_);
    replayed_ = replay_.size();
    co_return std::move(piece);
  }
  auto reading = caller_->read_body();
  auto piece = co_await std::move(reading);
  if (!piece) co_return piece.failure();
  if (replayable_ && replay_.size() + piece->size() <= stream_buffer_bytes) {
    replay_ += *piece;
    replayed_ = replay_.size();
  } else if (!piece->empty()) {
    replayable_ = false;
    std::string().swap(replay_);
    replayed_ = 0;
  }
  co_return std::move(piece);
}

awaitable<outcome<upstream_link_ptr>> exchange::open_link() {
  const upstream_choice choice = ticket_.choice();
  const exchange_limits limits = core_.forwarded(timer_service::now());
  // A host on the same network answers a connect within milliseconds; a second covers a lost SYN.
  const duration timeout = time_for(choice.local ? duration(std::chrono::milliseconds(1500)) : context_->idle_limit);
  if (choice.local) {
    auto opening = open_local_upstream(context_, choice, head_, limits, timeout);
    co_return co_await std::move(opening);
  }
  // The head leaves with the opening of the stream, so the deadline is looked at here.
  if (!core_.may_send(timer_service::now()))
    co_return error{error_kind::unreachable, "the deadline has passed", {}, {}};
  request_head forwarded = head_;
  forwarded.age = age();
  auto opening = open_mesh_upstream(context_, choice, forwarded, limits, timeout);
  auto opened = co_await std::move(opening);
  const auto failed = opened ? exchange_failure::closed : failure_of(opened.failure().kind);
  if (opened || failed != exchange_failure::refused) core_.mark_sent();
  co_return std::move(opened);
}

awaitable<attempt_result> exchange::upload() {
  bool last = head_.body == body_kind::none;
  bool broken = false;
  std::string piece;
  if (!last && (replayed_ < replay_.size() || caller_->body_buffered())) {
    auto first = co_await next_piece();
    if (!first) co_return decide({attempt_end::caller_broke});
    piece = std::move(*first);
    last = caller_->body_done() && replayed_ == replay_.size();
  }
  while (!over_) {
    if (!core_.may_send(timer_service::now()) && core_.state() == run_state::not_sent) {
      co_return decide({attempt_end::timeout});
    }
    core_.mark_sent();
    auto sending = link_->send(std::move(piece), last);
    const auto sent = co_await std::move(sending);
    broken = !sent;
    upload_done_ = last && !broken;
    if (broken || last || over_) break;
    auto reading = next_piece();
    auto next = co_await std::move(reading);
    if (!next) {
      const bool bad = next.failure().kind == error_kind::bad_message;
      co_return decide({bad ? attempt_end::caller_broke : attempt_end::caller_gone});
    }
    piece = std::move(*next);
    last = caller_->body_done() && (replayed_ == replay_.size() || !replayable_);
    note_progress();
  }
  // After a failed write the upstream's answer may still be on its way; `drive` decides.
  if (broken && !caller_->body_done() && !over_) {
    const auto executor = co_await boost::asio::this_coro::executor;
    wake_signal never(executor);
    auto waiting = never.wait();
    (void)co_await std::move(waiting);
  }
  if (!over_) {
    auto watching = caller_->watch_gone();
    co_await std::move(watching);
  }
  co_return decide({attempt_end::caller_gone});
}

awaitable<attempt_result> exchange::guard() {
  const auto passed = limit_passed_;
  const auto limit = limit_;
  bool fired = true;
  // An answer that began in the same turn of the loop as the deadline passed has moved the limit on.
  do {
    auto waiting = passed->wait();
    fired = co_await std::move(waiting);
  } while (fired && timer_service::now() < limit->due());
  co_return decide({attempt_end::timeout});
}

awaitable<attempt_result> exchange::drive() {
  auto reading = link_->read_head();
  auto head = co_await std::move(reading);
  if (over_) co_return decide({attempt_end::failed});
  if (!head) co_return decide({attempt_end::failed, failure_of(head.failure().kind)});
  const time_point now = timer_service::now();
  latency_ = now - sent_at_;
  exchange_decision decision = core_.judge_answer(head->status, head->claim, now, replayable_);
  if (decision.action == next_action::retry) {
    avoid_targets_.push_back(ticket_.choice().target);
    auto picking = pick();
    next_ticket_ = co_await std::move(picking);
    if (over_) co_return decide({attempt_end::failed});
    if (next_ticket_) {
      ticket_.finish(decision.report, latency_, head->load);
      co_return decide({attempt_end::retry});
    }
  }
  head->claim = decision.claim;
  if (decision.claim != run_claim::none) head->status = decision.status;
  auto relaying = relay(std::move(*head), decision.report);
  co_return co_await std::move(relaying);
}

awaitable<attempt_result> exchange::relay(answer_head answer, call_outcome report) {
  core_.mark_answered();
  note_progress();
  const auto load = answer.load;
  const bool end = answer.body == body_kind::none;
  complete(answer);
  auto heading = caller_->send_head(std::move(answer), end, link_->body_buffered());
  auto sent = co_await std::move(heading);
  while (sent && !end) {
    auto reading = link_->read_body();
    auto piece = co_await std::move(reading);
    if (!piece) co_return decide({attempt_end::failed, failure_of(piece.failure().kind)});
    if (over_) co_return decide({attempt_end::failed});
    const bool last = link_->answer_done();
    auto sending = caller_->send_body(std::move(*piece), last);
    sent = co_await std::move(sending);
    if (over_) co_return decide({attempt_end::failed});
    note_progress();
    if (last) break;
  }
  if (!sent) co_return decide({attempt_end::caller_gone});
  ticket_.finish(report, latency_, load);
  co_return decide({attempt_end::answered});
}

awaitable<attempt_result> exchange::attempt() {
  sent_at_ = timer_service::now();
  over_ = false;
  upload_done_ = false;
  replayed_ = 0;
  auto opening = open_link();
  auto opened = co_await std::move(opening);
  if (!opened) co_return attempt_result{attempt_end::failed, failure_of(opened.failure().kind)};
  link_ = std::move(*opened);
  const auto passed = std::make_shared<wake_signal>(context_->executor);
  limit_passed_ = passed;
  limit_ = time_guard::make(*context_->timers, [passed] { passed->set(); });
  limit_->set(core_.deadline().value_or(timer_service::now() + context_->idle_limit));
  auto driving = drive();
  auto uploading = upload();
  auto guarding = guard();
  auto two = std::move(driving) || std::move(uploading);
  auto three = std::move(two) || std::move(guarding);
  auto ended = co_await std::move(three);
  attempt_result result = std::visit([](const attempt_result& first) { return first; }, ended);
  limit_.reset();
  if (result.end == attempt_end::answered) {
    link_->finish();
  } else {
    link_->abandon();
    if (result.end == attempt_end::failed && !link_->may_have_been_sent()) result.failure = exchange_failure::refused;
  }
  link_.reset();
  co_return result;
}

awaitable<exchange_end> exchange::run() {
  if (const auto reason = core_.admit(timer_service::now())) {
    auto refusing = answer(core_.refuse(*reason), std::string(to_name(*reason)), "the request may not start here");
    co_return co_await std::move(refusing);
  }
  while (true) {
    if (next_ticket_) {
      ticket_ = std::exchange(next_ticket_, {});
    } else {
      auto picking = pick();
      ticket_ = co_await std::move(picking);
    }
    if (!ticket_) {
      const refusal_reason reason = ticket_.refused().reason;
      auto refusing = answer(core_.refuse(reason), std::string(to_name(reason)), "no upstream can be chosen");
      co_return co_await std::move(refusing);
    }
    // The wait for a slot may have been long; a caller that has gone meanwhile must not cost the upstream any work.
    if (caller_->gone()) {
      ticket_.finish(call_outcome::cancelled, {}, {});
      caller_->cut();
      co_return exchange_end::cut;
    }
    const upstream_choice& choice = ticket_.choice();
    kept_service_ = choice.service;
    head_.age += choice.time_gone;
    core_.begin_attempt(choice.idempotent, choice.timeout, timer_service::now(), choice.attempts);
    auto attempting = attempt();
    const attempt_result result = co_await std::move(attempting);
    if (result.end == attempt_end::answered) co_return caller_->body_done() ? exchange_end::keep : exchange_end::close;
    if (result.end == attempt_end::retry) continue;
    const bool gone = result.end == attempt_end::caller_gone || result.end == attempt_end::caller_broke;
    const exchange_failure failure = gone                                 ? exchange_failure::cancelled
                                     : result.end == attempt_end::timeout ? exchange_failure::timeout
                                                                          : result.failure;
    const bool replayable = replayable_;
    exchange_decision decision = core_.fail(failure, timer_service::now(), replayable);
    ticket_.finish(decision.report, timer_service::now() - sent_at_, {});
    if (decision.action == next_action::cut || result.end == attempt_end::caller_gone) {
      caller_->cut();
      co_return exchange_end::cut;
    }
    if (decision.action == next_action::retry) {
      avoid_targets_.push_back(ticket_.choice().target);
      continue;
    }
    if (result.end == attempt_end::caller_broke) decision.status = 400;
    auto failing = answer(decision, {}, std::string(to_name(failure)));
    const exchange_end end = co_await std::move(failing);
    co_return result.end == attempt_end::caller_broke ? exchange_end::close : end;
  }
}

}  // namespace

awaitable<exchange_end> run_exchange(proxy_context_ptr context, caller_link& caller, request_head head) {
  exchange running(std::move(context), caller, std::move(head));
  auto ending = running.run();
  co_return co_await std::move(ending);
}

awaitable<void> send_refusal(caller_link& caller, unsigned status, run_claim claim, refusal_note note,
                             std::string request_id) {
  answer_head head;
  head.retry_after = note.retry_after;
  head.load = note.load;
  head.status = status;
  head.claim = claim;
  head.refused = std::move(note.refused);
  head.request_id = std::move(request_id);
  head.headers.emplace_back("content-type", "text/plain");
  std::string text = std::move(note.text);
  text += '\n';
  head.body = body_kind::sized;
  head.content_length = text.size();
  auto heading = caller.send_head(std::move(head), false, true);
  const auto sent = co_await std::move(heading);
  if (!sent) co_return;
  auto sending = caller.send_body(std::move(text), true);
  (void)co_await std::move(sending);
}

}  // namespace heatherdeck

// One task receives all messages in order and calls the pure core, so a pick waits for nothing but the mailbox and, at
// most, a slot. Invariant: only this task accesses the core while the service runs. Cost: one message for each pick and
// one for each finish; five ticks a second.
#include "traffic/traffic_service.h"

#include <ctime>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "kernel/overloaded.h"
#include "model/service_names.h"

namespace heatherdeck {
namespace {

// Time during which the host was suspended; the steady clock does not count it.
duration suspended_time() {
  timespec with{};
  timespec without{};
  clock_gettime(CLOCK_MONOTONIC, &without);
  clock_gettime(CLOCK_BOOTTIME, &with);
  return std::chrono::seconds(with.tv_sec - without.tv_sec) + std::chrono::nanoseconds(with.tv_nsec - without.tv_nsec);
}

constexpr std::size_t inbox_capacity = 8192;
constexpr milliseconds tick_period{200};
// Evidence is sent at the tick nearest to the period that the document asks for.
constexpr milliseconds evidence_tolerance = tick_period / 2;

}  // namespace

result<std::unique_ptr<traffic_service>> traffic_service::make(const settings& own) {
  if (own.id.empty()) return fail(error_kind::bad_settings, "the process has no id", "set id", "id");
  if (own.availability_zone.empty()) {
    return fail(error_kind::bad_settings, "the availability zone is not set", "set availability_zone",
                "availability_zone");
  }
  std::uint64_t seed = own.seed;
  if (seed == 0) {
    std::random_device source;
    seed = (static_cast<std::uint64_t>(source()) << 32) | source();
  }
  return std::unique_ptr<traffic_service>(
      new traffic_service(traffic_identity{own.id, own.availability_zone, own.region, seed}));
}

std::string_view traffic_service::name() const { return to_name(service_name::traffic); }

void traffic_service::publish(kernel& k) {
  kernel_ = &k;
  inbox_ = std::make_unique<mailbox<traffic_message>>(k.executor(), inbox_capacity);
  k.publish(name(), inbox_->address());
}

result<void> traffic_service::start(kernel& k) {
  // A process without the subscriber service, such as a test, does not send evidence.
  if (k.has(to_name(service_name::subscriber))) {
    BOOST_LEAF_ASSIGN(subscriber_, k.find<subscriber_message>(to_name(service_name::subscriber)));
  }
  ticks_ = k.timers().every(tick_period, [inbox = inbox_->address()] { inbox.post(traffic_tick{}); });
  if (k.has(to_name(service_name::announcements))) {
    BOOST_LEAF_ASSIGN(announcements_, k.find<announcement_notice>(to_name(service_name::announcements)));
  }
  if (k.has(to_name(service_name::quarantine))) {
    BOOST_LEAF_ASSIGN(quarantine_, k.find<quarantine_message>(to_name(service_name::quarantine)));
  }
  boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
  return {};
}

void traffic_service::stop() {
  ticks_.cancel();
  answer_timer_.cancel();
  inbox_->close();
}

awaitable<void> traffic_service::run() {
  for (;;) {
    outcome<traffic_message> message = co_await inbox_->receive();
    if (!message) co_return;
    handle(std::move(*message));
  }
}

void traffic_service::handle(traffic_message message) {
  const time_point now = timer_service::now();
  core_.set_suspended_time(suspended_time());
  std::visit(overloaded_handlers{
                 [&](const traffic_tick&) { tick(now); },
                 [&](const answers_due&) {},  // the answers are taken after every message
                 [&](update_document& m) {
                   evidence_period_ = m.document->evidence_period();
                   log_accounts(*m.document);
                   log_event(log_level::info, "document_in_force", {{"version", m.document->document_version.text()}});
                   core_.set_document(std::move(m.document));
                 },
                 [&](const directory_changed& m) { core_.set_members(*m.members, now); },
                 [&](pick_upstream& m) { on_pick(now, std::move(m)); },
                 [&](const finish_call& m) { core_.finish(now, m); },
                 [&](const local_load& m) {
                   core_.report_local_load(m.target, m.load, now);
                   core_.report_warmup(m.target, m.warmup, now);
                 },
                 [&](const upstream_stated& m) { on_statement(now, m); },
                 [&](const start_draining& m) { core_.start_draining(m); },
                 [&](quarantine_changed& m) { core_.set_quarantine(std::move(m.list)); },
                 [&](const permit_source_changed& m) { core_.set_permit_source(now, m.stream); },
                 [&](const permit_answer& m) { core_.apply_permits(now, m); },
             },
             message);
  for (auto& [id, answer] : core_.take_answers(now)) {
    if (auto waiter = waiting_.extract(id)) waiter.mapped()(std::move(answer));
  }
  for (const cold_limit_change& change : core_.take_cold_limit_changes()) {
    log_event(log_level::info, change.cold ? "upstream_cold" : "upstream_warm", {{"target", change.target}});
  }
  for (quarantine_message& report : core_.take_quarantine_reports()) {
    if (quarantine_ && !quarantine_.post(std::move(report))) ++quarantine_reports_dropped_;
  }
  if (auto request = core_.take_permit_request(now)) {
    // A request that a full mailbox refuses has no answer, and the next one is sent after a time-out.
    if (subscriber_) subscriber_.post(send_permit_request{core_.permits().source(), std::move(*request)});
  }
  arm_answer_timer(now);
}

void traffic_service::arm_answer_timer(time_point now) {
  const std::optional<time_point> due = core_.next_answer_time(now);
  if (!due || (answers_due_ && *answers_due_ <= *due && *answers_due_ > now)) return;
  answers_due_ = due;
  answer_timer_ = kernel_->timers().after(*due - now, [inbox = inbox_->address()] { inbox.post(answers_due{}); });
}

void traffic_service::on_pick(time_point now, pick_upstream request) {
  const std::uint64_t id = next_waiter_id_++;
  std::optional<pick_result> answer = core_.pick(now, std::move(request.attributes), id);
  if (answer) {
    request.answer(std::move(*answer));
  } else {
    waiting_.emplace(id, std::move(request.answer));
  }
}

void traffic_service::on_statement(time_point now, const upstream_stated& stated) {
  if (!core_.report_statement(stated.target, stated.statement, now)) return;
  const std::optional<double>& limit = stated.statement.rate_limit;
  log_event(log_level::info, "upstream_statement",
            {{"target", stated.target},
             {"rate_limit", limit ? boost::json::value(*limit) : boost::json::value(nullptr)},
             {"leaving", stated.statement.leaving}});
  if (stated.statement.leaving && announcements_) announcements_.post(upstream_leaving{stated.target});
}

void traffic_service::log_accounts(const compiled_document& document) {
  const std::size_t accounts = document.accounts.size();
  const std::size_t keys = document.account_keys.size();
  if (accounts == accounts_in_force_ && keys == keys_in_force_) return;
  accounts_in_force_ = accounts;
  keys_in_force_ = keys;
  log_event(log_level::info, "accounts_in_force",
            {{"document", document.document_version.text()}, {"accounts", accounts}, {"keys", keys}});
}

// Requests refused since the last line; one line for each evidence period at most, however many there are.
void traffic_service::log_unauthenticated() {
  const traffic_counters& now = core_.counters();
  const std::uint64_t missing = now.missing_keys - logged_.missing_keys;
  const std::uint64_t unknown = now.unknown_keys - logged_.unknown_keys;
  const std::uint64_t withdrawn = now.withdrawn_keys - logged_.withdrawn_keys;
  logged_ = now;
  if (missing + unknown + withdrawn == 0) return;
  log_event(log_level::info, "unauthenticated", {{"missing", missing}, {"unknown", unknown}, {"withdrawn", withdrawn}});
}

void traffic_service::tick(time_point now) {
  for (const auto& [service, upstream_version] : core_.tick(now)) {
    log_event(log_level::warning, "version_cut_locally", {{"service", service}, {"version", upstream_version}});
  }
  if (now - evidence_taken_at_ + evidence_tolerance < evidence_period_) return;
  evidence_taken_at_ = now;
  log_unauthenticated();
  auto report = core_.take_evidence();
  if (!report || !subscriber_) return;
  if (!subscriber_.post(send_evidence{std::move(*report)})) ++evidence_dropped_;
}

boost::json::value traffic_service::dump() const {
  boost::json::value state = core_.dump(timer_service::now());
  state.as_object()["permits"] = core_.permits().dump(timer_service::now() + suspended_time());
  state.as_object()["evidence_dropped"] = evidence_dropped_;
  state.as_object()["quarantine_reports_dropped"] = quarantine_reports_dropped_;
  return state;
}

}  // namespace heatherdeck

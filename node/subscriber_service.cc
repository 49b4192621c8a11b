// One coroutine runs the core and writes to the stream; one for each attempt opens and reads a stream and posts the
// frames as messages to the first. Every connection attempt has a generation number, and messages of attempts that are
// neither of the race nor of the stream in use are ignored, so a late frame of a closed stream changes nothing.
// Invariant: "traffic" receives documents in rising version order. Cost when idle: one keep-alive message per period.
#include "node/subscriber_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include "kernel/log.h"
#include "model/service_names.h"
#include "wire/codec.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t inbox_capacity = 256;
constexpr auto tick_period = 500ms;
// Of one attempt; others are under way meanwhile.
constexpr auto attempt_timeout = 2s;
// While a message is being written, this task handles no other.
constexpr auto write_timeout = 1s;
constexpr std::uint32_t h2_cancel = 8;

}  // namespace

result<std::unique_ptr<service>> subscriber_service::make(const settings& s) {
  return std::unique_ptr<service>(new subscriber_service(s));
}

std::string_view subscriber_service::name() const { return to_name(service_name::subscriber); }

std::vector<std::string_view> subscriber_service::dependencies() const {
  return {to_name(service_name::mesh), to_name(service_name::traffic)};
}

void subscriber_service::publish(kernel& k) {
  kernel_ = &k;
  inbox_ = std::make_unique<mailbox<subscriber_message>>(k.executor(), inbox_capacity);
  k.publish(name(), inbox_->address());
}

result<void> subscriber_service::start(kernel& k) {
  BOOST_LEAF_ASSIGN(mesh_, k.find<mesh_message>(to_name(service_name::mesh)));
  BOOST_LEAF_ASSIGN(traffic_, k.find<traffic_message>(to_name(service_name::traffic)));
  if (k.has(to_name(service_name::announcements))) {
    BOOST_LEAF_ASSIGN(announcements_, k.find<announcement_notice>(to_name(service_name::announcements)));
  }
  tick_ = k.timers().every(tick_period, [inbox = inbox_->address()] { inbox.post(subscriber_tick{}); });
  boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
  schedule_attempt(std::nullopt);
  arm_wake_timer();
  return {};
}

void subscriber_service::stop() {
  tick_.cancel();
  wake_.cancel();
  inbox_->close();
  if (stream_) stream_->reset(h2_cancel);
}

awaitable<void> subscriber_service::run() {
  for (;;) {
    outcome<subscriber_message> message = co_await inbox_->receive();
    if (!message) co_return;
    awaitable<void> handled =
        std::visit([this](auto&& m) { return handle(std::forward<decltype(m)>(m)); }, std::move(*message));
    co_await std::move(handled);
    arm_wake_timer();
  }
}

void subscriber_service::schedule_attempt(std::optional<milliseconds> retry_after) {
  race_.clear();
  subscriber_core::attempt next = core_.next_attempt();
  const milliseconds delay = retry_after.value_or(next.delay);
  log_event(log_level::info, "source_attempt", {{"source", next.host_id}, {"delay_ms", delay.count()}});
  first_attempt_ = {std::move(next), timer_service::now() + delay};
}

// Timers only wake this task: what is due is in its state, so that a wake-up that a full mailbox refuses is made up for
// by the next tick.
void subscriber_service::begin_due_attempts(time_point now) {
  if (first_attempt_ && now >= first_attempt_->due) {
    const subscriber_core::attempt first = std::exchange(first_attempt_, std::nullopt)->host;
    race_.begin(now);
    begin_attempt(first);
    return;
  }
  for (std::size_t left = race_.due(now); left != 0; --left) {
    const std::optional<subscriber_core::attempt> next = core_.next_parallel_attempt(race_);
    if (!next) break;
    log_event(log_level::info, "source_attempt", {{"source", next->host_id}, {"parallel", true}});
    begin_attempt(*next);
  }
}

void subscriber_service::begin_attempt(const subscriber_core::attempt& next) {
  const std::uint64_t generation = ++generation_;
  race_.add(generation, next.host_id, timer_service::now());
  boost::asio::co_spawn(kernel_->executor(), connect(next.mesh_address, generation), boost::asio::detached);
}

std::optional<time_point> subscriber_service::next_deadline() const {
  std::optional<time_point> first = stream_ ? core_.leave_time() : std::nullopt;
  const auto add = [&first](time_point t) { first = first ? std::min(*first, t) : t; };
  if (first_attempt_) add(first_attempt_->due);
  if (!race_.empty()) add(race_.next_step());
  return first;
}

// The periodic tick alone would add up to its period to each of these waits.
void subscriber_service::arm_wake_timer() {
  const std::optional<time_point> due = next_deadline();
  if (due == armed_deadline_) return;
  armed_deadline_ = due;
  wake_.cancel();
  if (!due) return;
  wake_ = kernel_->timers().after(*due - timer_service::now(),
                                  [inbox = inbox_->address()] { inbox.post(subscriber_tick{}); });
}

// A frozen host accepts connections and streams, so only its response headers show that it runs. The connection of one
// that doesn't respond may be that of an earlier process, which nothing else would show before TCP gives it up; later
// attempts use a new one.
awaitable<void> subscriber_service::connect(std::string mesh_address, std::uint64_t generation) {
  const address<subscriber_message> inbox = inbox_->address();
  const time_point deadline = timer_service::now() + attempt_timeout;
  auto make_request = [&mesh_address](reply<std::shared_ptr<h2_stream>> answer) {
    return open_stream{mesh_address, stream_kind::subscribe, {}, false, std::move(answer)};
  };
  outcome<std::shared_ptr<h2_stream>> stream = co_await ask<std::shared_ptr<h2_stream>>(
      kernel_->timers(), kernel_->executor(), mesh_, attempt_timeout, make_request);
  if (!stream) {
    source_closed closed{generation, stream.failure()};
    (void)co_await inbox.send(std::move(closed));
    co_return;
  }
  std::shared_ptr<h2_stream> source_stream = *stream;
  subscription limit =
      kernel_->timers().after(deadline - timer_service::now(), [source_stream] { source_stream->reset(h2_cancel); });
  outcome<header_list> response = co_await source_stream->read_headers();
  limit.cancel();
  if (!response) {
    if (timer_service::now() >= deadline) mesh_.post(close_connections{mesh_address});
    source_closed closed{generation, response.failure()};
    (void)co_await inbox.send(std::move(closed));
    co_return;
  }
  source_opened opened{generation, source_stream, mesh_address};
  (void)co_await inbox.send(std::move(opened));
  for (;;) {
    outcome<std::string> frame = co_await source_stream->read_frame();
    if (!frame) {
      source_closed closed{generation, frame.failure()};
      (void)co_await inbox.send(std::move(closed));
      co_return;
    }
    source_frame received{generation, std::move(*frame)};
    (void)co_await inbox.send(std::move(received));
  }
}

awaitable<void> subscriber_service::handle(source_opened m) {
  if (!race_.contains(m.generation)) {
    m.stream->reset(h2_cancel);
    co_return;
  }
  const time_point now = timer_service::now();
  const std::string host_id = race_.host(m.generation);
  for (const std::string& silent : race_.win(m.generation, now)) core_.note_silent(silent);
  stream_ = m.stream;
  stream_address_ = m.mesh_address;
  stream_generation_ = m.generation;
  core_.on_connected(host_id, now);
  traffic_message permit_source = permit_source_changed{stream_generation_};
  (void)co_await traffic_.send(std::move(permit_source));
  log_event(log_level::info, "subscribed", {{"source", core_.source()}, {"version", core_.held_version().text()}});
  node_message request = core_.request();
  co_await write(std::move(request));
  expire_reports();
  for (const departure_report& report : departures_.unanswered()) {
    node_message message = report;
    co_await write(std::move(message));
  }
}

awaitable<void> subscriber_service::handle(source_closed m) {
  const bool attempted = race_.contains(m.generation);
  if (!attempted && m.generation != stream_generation_) co_return;
  const std::string source = attempted ? race_.host(m.generation) : core_.source();
  log_event(log_level::info, "source_closed", {{"source", source}, {"reason", m.reason.message()}});
  if (race_.remove(m.generation) && !race_.empty()) co_return;
  disconnect("the stream was closed", std::nullopt);
}

awaitable<void> subscriber_service::handle(source_frame m) {
  if (m.generation != stream_generation_) co_return;
  const outcome<control_message> message = capture([&] { return decode<control_message>(m.bytes); });
  if (!message) {
    log_error("bad_frame", message.failure(), {{"source", core_.source()}});
    disconnect("a message could not be decoded", std::nullopt);
    co_return;
  }
  auto passing = pass_on(*message);
  if (co_await std::move(passing)) co_return;
  const bool had_quorum = core_.source_has_quorum();
  subscriber_core::actions r = core_.on_message(*message, timer_service::now());
  if (core_.source_has_quorum() != had_quorum) {
    log_event(log_level::info, "source_quorum", {{"source", core_.source()}, {"present", !had_quorum}});
  }
  if (r.document) {
    // A control host of an earlier release sends no list.
    if (!departures_confirmed_) co_await confirm_departures({});
    update_document next{r.document};
    (void)co_await traffic_.send(std::move(next));
    log_event(log_level::info, "document_applied",
              {{"version", core_.held_version().text()}, {"source", core_.source()}});
  }
  if (r.ignored) {
    log_event(log_level::warning, "offer_ignored",
              {{"version", r.ignored->text()}, {"held", core_.held_version().text()}, {"source", core_.source()}});
  }
  if (r.answer) {
    if (const auto* refused = std::get_if<refused_report>(&*r.answer)) log_error("offer_refused", refused->reason);
    co_await write(std::move(*r.answer));
  }
  if (!r.disconnect_reason.empty()) disconnect(r.disconnect_reason, r.retry_after);
}

// Messages for other services may come before the first offer, whose meaning depends on being the first.
// @return false if the message is for the core.
awaitable<bool> subscriber_service::pass_on(const control_message& message) {
  if (const auto* permits = std::get_if<permit_answer>(&message)) {
    traffic_.post(*permits);
    co_return true;
  }
  if (const auto* receipt = std::get_if<departure_receipt>(&message)) {
    on_receipt(*receipt);
    co_return true;
  }
  const auto* list = std::get_if<departure_list>(&message);
  if (list == nullptr) co_return false;
  std::vector<target_departure> departures = list->departures;
  co_await confirm_departures(std::move(departures));
  co_return true;
}

awaitable<void> subscriber_service::confirm_departures(std::vector<target_departure> departures) {
  departures_confirmed_ = true;
  if (!announcements_) co_return;
  announcement_notice notice = departures_confirmed{std::move(departures)};
  // A closed mailbox means that the service has stopped.
  (void)co_await announcements_.send(std::move(notice));
}

awaitable<void> subscriber_service::handle(subscriber_tick) {
  const time_point now = timer_service::now();
  const std::string reason = core_.check_connection(now);
  if (!reason.empty()) {
    if (core_.is_silent(now)) mesh_.post(close_connections{stream_address_});
    disconnect(reason, std::nullopt);
  }
  begin_due_attempts(now);
  expire_reports();
  co_return;
}

awaitable<void> subscriber_service::handle(directory_changed m) {
  core_.set_members(*m.members);
  co_return;
}

awaitable<void> subscriber_service::handle(send_evidence m) {
  node_message message = std::move(m.report);
  co_await write(std::move(message));
}

awaitable<void> subscriber_service::handle(send_permit_request m) {
  if (m.stream != stream_generation_) co_return;
  node_message message = std::move(m.request);
  co_await write(std::move(message));
}

awaitable<void> subscriber_service::handle(report_departure m) {
  if (departures_.is_recorded(m.departure)) {
    m.answer(duration::zero());
    co_return;
  }
  expire_reports();
  const std::optional<departure_report> report = departures_.add(timer_service::now(), m.departure);
  if (!report) {
    m.answer(error{error_kind::overloaded, "too many departures wait to be recorded", "send the request again", {}});
    co_return;
  }
  departure_answers_[report->id] = std::move(m.answer);
  node_message message = *report;
  co_await write(std::move(message));
}

void subscriber_service::on_receipt(const departure_receipt& receipt) {
  const std::optional<time_point> since = departures_.confirm(receipt.id);
  if (!since) return;
  departure_answers_.at(receipt.id)(timer_service::now() - *since);
  departure_answers_.erase(receipt.id);
}

void subscriber_service::expire_reports() {
  for (const std::uint64_t id : departures_.expire(timer_service::now())) departure_answers_.erase(id);
}

awaitable<void> subscriber_service::write(node_message message) {
  if (!stream_) co_return;
  const std::shared_ptr<h2_stream> stream = stream_;
  std::string bytes = encode(message);
  const subscription limit = kernel_->timers().after(write_timeout, [stream] { stream->reset(h2_cancel); });
  const outcome<void> written = co_await stream->write_frame(std::move(bytes));
  if (!written) log_event(log_level::debug, "source_write_failed", {{"reason", written.failure().message()}});
}

void subscriber_service::disconnect(const std::string& reason, std::optional<milliseconds> retry_after) {
  const auto silent = std::chrono::duration_cast<milliseconds>(core_.time_since_last_message(timer_service::now()));
  log_event(log_level::info, "source_left",
            {{"source", core_.source()},
             {"reason", reason},
             {"version", core_.held_version().text()},
             {"silent_ms", silent.count()}});
  core_.on_disconnected();
  traffic_.post(permit_source_changed{0});
  if (stream_) stream_->reset(h2_cancel);
  stream_.reset();
  stream_generation_ = 0;
  schedule_attempt(retry_after);
}

boost::json::value subscriber_service::dump() const {
  const subscriber_core::counters& c = core_.counts();
  return boost::json::object{{"version", core_.held_version().text()},
                             {"has_document", core_.has_document()},
                             {"source", core_.source()},
                             {"applied", c.applied},
                             {"refused", c.refused},
                             {"ignored_old", c.ignored_old},
                             {"ignored_unconfirmed", c.ignored_unconfirmed},
                             {"sources_left", c.disconnects}};
}

}  // namespace heatherdeck
